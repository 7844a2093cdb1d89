"""An owner that loses the store while other instances reach it, and one that loses it with them.

Load: the store is away for the owner's instance for seconds, silent or refusing.
"""

import unittest
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore
from fireflyfork_standins.scheduling._nodes import VirtualClock

from ...._ids import FailureDomainName, NodeName, Revision, ServiceName
from ...._links import Address
from ....adapters import RelayedExecutors, RelayEndpoint
from ....decisions.jobs.tests.builders_jobs import SERVICE
from ..._announcements import Announcements
from ..._metrics import Metrics
from ..._scheduling_keys import owner_key
from .._release_through_peer import ReleaseThroughPeer, release_service
from .._service_lease import LEASE_SECONDS, ServiceLease
from .builders_owner import NODE

PEER = NodeName("n-1")
DOMAIN = FailureDomainName("suva")
BEFORE_SECONDS = 5.0


class _PeerCalls(RelayedExecutors):
    """Asks an instance without a stream in between."""

    def __init__(self, store: StandInStore) -> None:
        self._store = store

    @property
    def usable_relays(self) -> tuple[RelayEndpoint, ...]:
        """See RelayedExecutors."""
        return (RelayEndpoint(PEER, DOMAIN, Address("10.0.0.2", 1)),)

    async def release(
        self,
        endpoint: RelayEndpoint,
        service: ServiceName,
        owner_revision: Revision,
        seconds: float,
    ) -> bool:
        """See RelayedExecutors."""
        return await release_service(self._store.client(PEER), service, owner_revision)


class _Stage:
    """An owner that keeps its lease, and an instance that it may ask to release the service."""

    def __init__(self) -> None:
        self.store = StandInStore(Random(1))
        self.resigned_after: float | None = None
        """Seconds from the loss of the store to the owner's resignation."""
        self.vacant_after: float | None = None
        """Seconds from the loss of the store until the owner key was gone."""
        self._clock = VirtualClock()
        self._cut_at = 0.0

    async def play(self, cut_off: set[NodeName], seconds: float) -> None:
        """Cut instances off from the store and continue for some seconds."""
        client = self.store.client(NODE)
        announcements = Announcements(NODE, 1.0, 1000.0, client, self._clock)
        lease = ServiceLease(SERVICE, NODE, client, self._clock, Random(1), announcements)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.store.run)
            term = await lease.acquire()
            release = ReleaseThroughPeer(
                term, DOMAIN, _PeerCalls(self.store), self._clock, Metrics(), lambda: 0.0
            )
            nursery.start_soon(lease.keep, term, release.note_renewal)
            nursery.start_soon(release.run, self._resign)
            await trio.sleep(BEFORE_SECONDS)
            self._cut_at = trio.current_time()
            self._cut(cut_off)
            nursery.start_soon(self._watch_key)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    def _cut(self, cut_off: set[NodeName]) -> None:
        self.store.trouble.refused |= cut_off

    async def _resign(self) -> None:
        self.resigned_after = trio.current_time() - self._cut_at

    async def _watch_key(self) -> None:
        while self.store.get(owner_key(SERVICE)) is not None:
            await trio.sleep(0.01)
        self.vacant_after = trio.current_time() - self._cut_at


class _SilentStage(_Stage):
    """The store answers nothing to the instances that are cut off."""

    def _cut(self, cut_off: set[NodeName]) -> None:
        self.store.trouble.silent |= cut_off


def _play(stage: _Stage, cut_off: set[NodeName], seconds: float = 3.0) -> _Stage:
    trio.run(stage.play, cut_off, seconds, clock=MockClock(autojump_threshold=0))
    return stage


class ReleaseThroughPeerTest(unittest.TestCase):
    """The service is vacant before the owner's lease ends, if another instance can own it."""

    def test_an_owner_that_the_store_refuses_hands_over(self) -> None:
        """Guards against a service without a usable owner until a lease has ended."""
        stage = _play(_Stage(), {NODE})
        assert stage.vacant_after is not None and stage.resigned_after is not None
        self.assertLess(stage.vacant_after, 0.7 * LEASE_SECONDS)
        self.assertLess(stage.resigned_after - stage.vacant_after, 0.05)

    def test_an_owner_to_which_the_store_is_silent_hands_over(self) -> None:
        """Guards against an owner that waits for the timeout of its renewal."""
        stage = _play(_SilentStage(), {NODE})
        assert stage.vacant_after is not None and stage.resigned_after is not None
        self.assertLess(stage.vacant_after, 0.9 * LEASE_SECONDS)

    def test_an_outage_of_the_store_for_all_ends_no_ownership(self) -> None:
        """Guards against a service that nobody owns because the store is away for everybody."""
        stage = _play(_Stage(), {NODE, PEER})
        self.assertIsNone(stage.resigned_after)

    def test_an_owner_in_contact_keeps_its_service(self) -> None:
        stage = _play(_Stage(), set(), seconds=30.0)
        self.assertIsNone(stage.vacant_after)
        self.assertIsNone(stage.resigned_after)

    def test_a_late_release_ends_no_later_term(self) -> None:
        """Guards against a request that arrives when the service has another owner.

        The owner that sent it has lost the service, and is told so.
        """

        async def main() -> tuple[bool, bool]:
            store = StandInStore(Random(1))
            store.put(owner_key(SERVICE), b"n-0")
            first = store.revision
            store.remove(owner_key(SERVICE))
            store.put(owner_key(SERVICE), b"n-1")
            is_over = await release_service(store.client(PEER), SERVICE, first)
            return is_over, store.get(owner_key(SERVICE)) is not None

        result = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual(result, (True, True))
