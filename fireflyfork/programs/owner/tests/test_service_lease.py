"""An owner whose own event loop is late while the store answers in time."""

import unittest
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore
from fireflyfork_standins.scheduling._nodes import VirtualClock

from ....decisions.jobs.tests.builders_jobs import SERVICE
from ..._announcements import Announcements
from ..._scheduling_keys import owner_key
from .._service_lease import LEASE_SECONDS, ServiceLease
from .builders_owner import NODE

SECONDS = 30.0
ITERATION_SECONDS = 0.6 * LEASE_SECONDS
"""Length of a loop iteration: two of them are longer than the lease, one is shorter."""


async def _block_loop(clock: MockClock) -> None:
    while True:
        clock.jump(ITERATION_SECONDS)
        await trio.lowlevel.checkpoint()


class LateLoopTest(unittest.TestCase):
    """An answer that is read late doesn't show that the lease has ended."""

    def test_an_owner_whose_loop_is_late_keeps_its_service(self) -> None:
        """Guards against an owner that waits for its own late loop before it renews its lease.

        The service would pass from one instance to the next, each with the same load.
        """
        clock = MockClock(autojump_threshold=0)

        async def main() -> bool:
            store, time = StandInStore(Random(1)), VirtualClock()
            client = store.client(NODE)
            announcements = Announcements(NODE, 1.0, 1000.0, client, time)
            lease = ServiceLease(SERVICE, NODE, client, time, Random(1), announcements)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run)
                term = await lease.acquire()
                nursery.start_soon(lease.keep, term)
                nursery.start_soon(_block_loop, clock)
                await trio.sleep(SECONDS)
                owner_item = store.get(owner_key(SERVICE))
                nursery.cancel_scope.cancel()
            return owner_item is not None and owner_item.revision == term.owner_revision

        self.assertTrue(trio.run(main, clock=clock))
