"""An owner that has just taken over hundreds of executors without a connection to any of them.

This happens at a change of owner in a large fleet, on an instance with a fraction of a processor.
"""

import unittest
from unittest.mock import patch

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInExecutorCalls

from .._service_lease import RENEW_SECONDS
from .builders_owner import OwnerFixture

EXECUTORS = 400
ITERATIONS = 3
"""Loop iterations of one call: to connect, to send, and to process the answer."""
ITERATION_SECONDS = 0.0015
TICK_SECONDS = 0.01
PLAY_SECONDS = 4.0


async def _measure_loop_delay(clock: MockClock) -> tuple[float, int]:
    """Return the longest delay of another task by the loop, and the number of executors reached."""
    async with trio.open_nursery() as nursery:
        world = OwnerFixture(nursery, EXECUTORS)
        nursery.start_soon(world.store.run)
        for executor in world.executors.values():
            nursery.start_soon(executor.run)
        await trio.sleep(TICK_SECONDS)
        nursery.start_soon(world.owner.run)
        max_delay, end = 0.0, trio.current_time() + PLAY_SECONDS
        while trio.current_time() < end:
            started_at = trio.current_time()
            await trio.sleep(TICK_SECONDS)
            max_delay = max(max_delay, trio.current_time() - started_at - TICK_SECONDS)
        executors = world.owner.scheduler.executors.values()
        reached = sum(state.polled_at is not None for state in executors)
        nursery.cancel_scope.cancel()
    return max_delay, reached


class ManyFirstPollsTest(unittest.TestCase):
    """Guards against an owner that polls its whole fleet for the first time at once."""

    def test_a_takeover_of_a_large_fleet_leaves_the_loop_time_for_other_tasks(self) -> None:
        """Guards against an owner whose own lease ends while its loop is busy with first polls."""
        clock = MockClock(autojump_threshold=0)
        poll = StandInExecutorCalls.poll

        async def costly_poll(self, *arguments):  # type: ignore[no-untyped-def]
            for _ in range(ITERATIONS):
                clock.jump(ITERATION_SECONDS)
                await trio.lowlevel.checkpoint()
            return await poll(self, *arguments)

        with patch.object(StandInExecutorCalls, "poll", costly_poll):
            max_delay, reached = trio.run(_measure_loop_delay, clock, clock=clock)
        self.assertEqual(reached, EXECUTORS)
        self.assertLess(max_delay, RENEW_SECONDS)
