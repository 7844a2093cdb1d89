"""Detection of the loss of ownership by an owner."""

import unittest

import trio
from trio.testing import MockClock

from ....adapters import StoreListing
from ....decisions.jobs.tests.builders_jobs import job
from ..._scheduling_keys import WORK_PREFIX
from .._service_journal import OwnershipLostError
from .builders_owner import OwnerFixture


class LostOwnershipTest(unittest.TestCase):
    """Jobs that are accepted after a change of owner belong to the successor only.

    The successor starts them without confirmation.
    """

    def test_an_owner_that_was_replaced_while_it_recovered_starts_nothing(self) -> None:
        """Guards against a job that runs twice after its first owner was frozen during recovery.

        The instance wins a service and is frozen before it has read the state. Another instance
        takes over and starts a job accepted since then. The first one resumes and reads the job,
        but its watch doesn't report the successor, whose owner key is older than the listing.
        """

        async def main() -> int:
            async with trio.open_nursery() as nursery:
                world = OwnerFixture(nursery)
                nursery.start_soon(world.store.run)
                nursery.start_soon(world.executor.run)
                world.replace_owner()
                world.accept_job(job())
                # The owner's writes, each of which would reveal the successor, get no answer.
                world.store.trouble.lost_share = 1.0
                with trio.move_on_after(3.0):
                    await world.owner.run()
                nursery.cancel_scope.cancel()
            return world.history.starts

        self.assertEqual(trio.run(main, clock=MockClock(autojump_threshold=0)), 0)

    def test_a_listing_after_a_change_of_owner_adds_no_job(self) -> None:
        """Guards against jobs of a successor that are accepted from a new listing.

        The store loses its history while an owner is cut off, so the owner lists all keys again. If
        it accepts the jobs before it checks the owner key, a job of its successor may be started in
        between and run twice.
        """

        async def main() -> tuple[bool, int]:
            async with trio.open_nursery() as nursery:
                world = OwnerFixture(nursery)
                world.replace_owner()
                world.accept_job(job())
                listing = StoreListing(world.store.items_under(WORK_PREFIX), world.store.revision)
                lost = False
                try:
                    world.owner._work_intake.take_listing(listing)
                except OwnershipLostError:
                    lost = True
            return lost, len(world.owner.scheduler.jobs)

        self.assertEqual(trio.run(main, clock=MockClock(autojump_threshold=0)), (True, 0))
