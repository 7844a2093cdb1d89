"""An owner that has far more starts to send at once than its processor can send in a second.

This happens when a fleet becomes free or known while hundreds of tasks wait for it. The event loop
of the owner is then the bottleneck.
"""

import unittest
from unittest.mock import patch

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInExecutorCalls

from ....decisions.jobs import EndReason
from ....decisions.jobs.tests.builders_jobs import job, step
from .builders_owner import OwnerFixture

EXECUTORS = 60
TASKS = 6 * EXECUTORS
ITERATIONS = 4
"""Loop iterations of one call: to connect, to exchange the handshake, to send, and to process the
answer."""
ITERATION_SECONDS = 0.0015
IDLE_SECONDS = 3.0
PLAY_SECONDS = 12.0


async def _spend_call_time(clock: MockClock) -> None:
    """Simulate the loop time of one call in several iterations, between which other calls run."""
    for _ in range(ITERATIONS):
        clock.jump(ITERATION_SECONDS)
        await trio.lowlevel.checkpoint()


def _play() -> tuple[int, int, int]:
    """Return the starts sent, the tasks running at the end, and the runs whose lease has lapsed."""
    clock = MockClock(autojump_threshold=0)
    start, poll = StandInExecutorCalls.start, StandInExecutorCalls.poll
    sent = 0

    async def costly_start(self, *arguments):  # type: ignore[no-untyped-def]
        nonlocal sent
        sent += 1
        await _spend_call_time(clock)
        return await start(self, *arguments)

    async def costly_poll(self, *arguments):  # type: ignore[no-untyped-def]
        await _spend_call_time(clock)
        return await poll(self, *arguments)

    async def main() -> tuple[int, int, int]:
        async with trio.open_nursery() as nursery:
            world = OwnerFixture(nursery, EXECUTORS)
            nursery.start_soon(world.store.run)
            for executor in world.executors.values():
                nursery.start_soon(executor.run)
            nursery.start_soon(world.owner.run)
            await trio.sleep(IDLE_SECONDS)
            world.accept_job(job("00000000000000aa", step(count=TASKS, long_running=True)))
            await trio.sleep(PLAY_SECONDS)
            running = sum(len(executor.running) for executor in world.executors.values())
            nursery.cancel_scope.cancel()
        return sent, running, world.history.ends[EndReason.LAPSED]

    with (
        patch.object(StandInExecutorCalls, "start", costly_start),
        patch.object(StandInExecutorCalls, "poll", costly_poll),
    ):
        return trio.run(main, clock=clock)


class ManyStartsTest(unittest.TestCase):
    """Guards against an owner that falls behind and, because of that, sends all starts again."""

    def test_delayed_starts_neither_expire_nor_lapse(self) -> None:
        """Guards against starts whose deadline or lease ends before they are sent or renewed."""
        self.assertEqual(_play(), (TASKS, TASKS, 0))
