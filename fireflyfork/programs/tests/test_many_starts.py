"""An owner that has far more starts to send at once than its processor sends in a second.

The pattern: a fleet has become free, or known, and hundreds of tasks wait for it; the owner's own loop is what
they wait for.
"""

import unittest
from unittest.mock import patch

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInExecutorCalls

from ...decisions.jobs import EndReason
from ...decisions.jobs.tests.builders_jobs import job, step
from .builders_owner import OwnerWorld

EXECUTORS = 60
TASKS = 6 * EXECUTORS
PASSES = 4
"""How often the loop comes to one call: to connect, greet, send, and take the answer in."""
SECONDS_A_PASS = 0.0015
IDLE_SECONDS = 3.0
PLAY_SECONDS = 12.0


async def _work(clock: MockClock) -> None:
    """What one call costs its owner, in passes of the loop between which other calls have their turn."""
    for _ in range(PASSES):
        clock.jump(SECONDS_A_PASS)
        await trio.lowlevel.checkpoint()


def _play() -> tuple[int, int, int]:
    """Starts that were sent, tasks that run at the end, and runs whose lease has lapsed."""
    clock = MockClock(autojump_threshold=0)
    start, poll = StandInExecutorCalls.start, StandInExecutorCalls.poll
    sent = 0

    async def costly_start(self, *arguments):  # type: ignore[no-untyped-def]
        nonlocal sent
        sent += 1
        await _work(clock)
        return await start(self, *arguments)

    async def costly_poll(self, *arguments):  # type: ignore[no-untyped-def]
        await _work(clock)
        return await poll(self, *arguments)

    async def main() -> tuple[int, int, int]:
        async with trio.open_nursery() as nursery:
            world = OwnerWorld(nursery, EXECUTORS)
            nursery.start_soon(world.store.run)
            for executor in world.executors.values():
                nursery.start_soon(executor.run)
            nursery.start_soon(world.owner.run)
            await trio.sleep(IDLE_SECONDS)
            world.hand_in(job("00000000000000aa", step(count=TASKS, long_running=True)))
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
    """Guards against an owner that falls behind, and sends all again since it has fallen behind."""

    def test_starts_that_wait_for_their_owner_are_neither_void_nor_lapse(self) -> None:
        """Guards against starts whose validity and lease run out before their owner has sent and renewed them."""
        self.assertEqual(_play(), (TASKS, TASKS, 0))
