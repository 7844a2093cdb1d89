"""An owner of hundreds of executors, each of which reports several events per second.

There are far more events than rounds of placing that the owner's processor can perform.
"""

import unittest
from unittest.mock import patch

import trio
from trio.testing import MockClock

from ....decisions.jobs import Scheduler
from .builders_owner import OwnerFixture

EVENTS = 2_000
EVENT_SECONDS = 0.001
ROUND_SECONDS = 0.004


class PlacingRoundsTest(unittest.TestCase):
    """Guards against an owner that processes its whole fleet at each event."""

    def test_events_of_a_busy_fleet_share_rounds_of_placing(self) -> None:
        """Guards against rounds that use all of the loop's time, so that answers are read late."""
        clock = MockClock(autojump_threshold=0)
        rounds = 0

        def place(*_: object) -> None:
            nonlocal rounds
            rounds += 1
            clock.jump(ROUND_SECONDS)

        async def main() -> float:
            async with trio.open_nursery() as nursery:
                world = OwnerFixture(nursery)
                nursery.start_soon(world.store.run)
                nursery.start_soon(world.executor.run)
                nursery.start_soon(world.owner.run)
                await trio.sleep(5.0)
                before, begun = rounds, trio.current_time()
                for _ in range(EVENTS):
                    world.owner.request_dispatch()
                    await trio.sleep(EVENT_SECONDS)
                share = (rounds - before) * ROUND_SECONDS / (trio.current_time() - begun)
                nursery.cancel_scope.cancel()
            return share

        with patch.object(Scheduler, "place", place):
            share = trio.run(main, clock=clock)
        self.assertLessEqual(share, 0.26)
        self.assertGreater(share, 0.1)

    def test_a_single_event_is_placed_at_once(self) -> None:
        """Guards against a rest between rounds that delays callers of an idle service."""
        clock = MockClock(autojump_threshold=0)
        placed_at: list[float] = []

        def place(*_: object) -> None:
            placed_at.append(trio.current_time())

        async def main() -> float:
            async with trio.open_nursery() as nursery:
                world = OwnerFixture(nursery)
                nursery.start_soon(world.store.run)
                nursery.start_soon(world.executor.run)
                nursery.start_soon(world.owner.run)
                await trio.sleep(5.05)
                kicked_at = trio.current_time()
                world.owner.request_dispatch()
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return min(at for at in placed_at if at >= kicked_at) - kicked_at

        with patch.object(Scheduler, "place", place):
            self.assertLess(trio.run(main, clock=clock), 0.002)
