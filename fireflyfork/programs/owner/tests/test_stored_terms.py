"""The terms of queues across a change of owner, through the store."""

import unittest
from dataclasses import replace

import trio
from trio.testing import MockClock

from ...._ids import JobId, LeaseId, Revision
from ....adapters import Put
from ....decisions.jobs.tests.builders_histories import ServiceUnderTest
from ....decisions.jobs.tests.builders_jobs import SERVICE, job, queue
from ..._scheduling_keys import owner_key, queue_terms_key
from .._service_journal import ServiceJournal
from .._service_lease import Term
from .builders_journal import FaultyStore, WriteBehavior

MAX_ROWS = 32
"""The most rows that a transaction of the platform's store takes."""


class StoredTermsTest(unittest.TestCase):
    """What the next owner reads."""

    def setUp(self) -> None:
        """Change the terms of a queue after a job was accepted."""
        self.store = FaultyStore()
        self.service = ServiceUnderTest()
        self.service.submit(job())
        self.service.configure([queue(attempts=5)])
        revision = self.store.backing.apply({}, (Put(owner_key(SERVICE), b"n-0"),), ())
        term = Term(SERVICE, 1, LeaseId(0), Revision(revision))
        self.journal = ServiceJournal(self.store, term, self.service.scheduler, lambda _: None)

    def test_changed_terms_are_stored_and_read_again(self) -> None:
        """Guards against terms that only the memory of the present owner holds."""

        async def main() -> None:
            await self.journal.open()
            self.assertEqual(await self.journal.last_terms(), {})
            self.assertTrue(await self.journal.flush())
            self.assertEqual(await self.journal.last_terms(), {"q": self.service.queues[0].terms})
            self.assertFalse(self.service.scheduler.jobs.stored_terms.changed)

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_terms_are_stored_again_after_a_write_without_success(self) -> None:
        """Guards against terms that are lost with one write."""
        for behavior in (
            WriteBehavior.REFUSED,
            WriteBehavior.NEVER,
            WriteBehavior.DONE_UNANSWERED,
        ):
            with self.subTest(behavior):
                self.setUp()

                async def main(behavior: WriteBehavior = behavior) -> None:
                    await self.journal.open()
                    self.store.behavior = behavior
                    self.assertFalse(await self.journal.flush())
                    self.store.behavior = WriteBehavior.DONE
                    while not await self.journal.flush():
                        pass
                    self.assertEqual(set(await self.journal.last_terms()), {"q"})

                trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_unreadable_terms_are_left_out(self) -> None:
        """Guards against a service without an owner for bytes of another writer."""
        for value in (b"", b"\xff", b"\x81\xa1q\x93\x01\x02\x00", b"\x81\xa1q\xc0", b"\x90"):
            with self.subTest(value):
                self.store.backing.apply({}, (Put(queue_terms_key(SERVICE), value),), ())
                self.assertEqual(trio.run(self.journal.last_terms), {})

    def test_a_write_has_no_more_rows_than_the_store_takes(self) -> None:
        """Guards against an owner of many jobs whose every write is refused."""
        for number in range(60):
            self.service.submit(job(f"{number:016x}"))
            changed = self.service.scheduler.jobs.get(JobId(f"{number:016x}"))
            assert changed is not None
            self.service.scheduler.jobs.record_change(changed)
        self.service.tick(1.0)
        self.service.configure([replace(queue(attempts=4), priority=2)])
        rows: list[int] = []
        commit = self.store.commit

        async def counted(
            expected: dict[str, Revision],
            puts: tuple[Put, ...] = (),
            removals: tuple[str, ...] = (),
        ) -> Revision:
            rows.append(len(expected) + len(puts) + len(removals))
            return await commit(expected, puts, removals)

        async def main() -> None:
            await trio.sleep(3.0)
            await self.journal.open()
            self.store.commit = counted  # type: ignore[method-assign]
            while len(self.service.scheduler.jobs.changes):
                await self.journal.flush()

        trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertLessEqual(max(rows), MAX_ROWS)
        self.assertGreater(max(rows), MAX_ROWS - 3)
