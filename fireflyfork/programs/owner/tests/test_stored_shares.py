"""The use of shares across a change of owner, through the store."""

import unittest

import msgspec
import trio
from trio.testing import MockClock

from ...._ids import LeaseId, Revision
from ....adapters import Put
from ....decisions.jobs.fairness.tests.builders_shares import FairOwner, small
from ....decisions.jobs.tests.builders_jobs import SERVICE, learned
from ..._scheduling_keys import learned_key, owner_key
from .._service_journal import ServiceJournal
from .._service_lease import Term
from .builders_journal import FaultyStore


class StoredSharesTest(unittest.TestCase):
    """What the next owner reads."""

    def setUp(self) -> None:
        self.store = FaultyStore()
        self.owner = FairOwner("i-0")
        self.owner.scheduler.adopt([learned("web", 1.0)])
        self.owner.submit("a", small())
        self.owner.tick(0.1)
        self.owner.place()
        self.owner.tick(1.0)
        revision = self.store.backing.apply({}, (Put(owner_key(SERVICE), b"n-0"),), ())
        term = Term(SERVICE, 1, LeaseId(0), Revision(revision))
        self.journal = ServiceJournal(self.store, term, self.owner.scheduler, lambda _: None)

    def test_shares_are_stored_with_other_changes(self) -> None:
        """Guards against a new owner that doesn't know which queue has used the room."""

        async def main() -> None:
            await trio.sleep(3.0)
            await self.journal.open()
            self.assertTrue(await self.journal.flush())
            fits, (share,), _ = await self.journal.last_learned()
            self.assertEqual([fit.serving for fit in fits], ["web"])
            self.assertEqual(share.share, "a")
            self.assertGreater(share.recent_use, 0.0)

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_unreadable_shares_are_left_out(self) -> None:
        """Guards against a service without an owner, or without what it learned, for bad shares."""
        fit = {"serving": "web", "names": [], "products": [], "targets": [], "shares": [1]}
        put = Put(learned_key(SERVICE), msgspec.msgpack.encode([fit]))
        self.store.backing.apply({}, (put,), ())

        async def main() -> None:
            fits, shares, _ = await self.journal.last_learned()
            self.assertEqual([each.serving for each in fits], ["web"])
            self.assertEqual(shares, ())

        trio.run(main)
