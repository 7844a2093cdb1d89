"""An owner whose own event loop is late because of load, while all executors answer in time.

Answers that the owner reads late aren't late answers.
"""

import unittest
from unittest.mock import patch

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInExecutorCalls

from ....decisions.jobs import Scheduler
from ....decisions.jobs.tests.builders_jobs import job, step
from .builders_owner import OwnerFixture

SECONDS = 60.0
STARTING_POLLS = 8
"""Polls before the loop is delayed and until its lag is detected."""


class Counts:
    """Calls and failures of an owner during one run of the test."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        self.polls = 0
        self.fresh_polls = 0
        self.silent = 0


def _play(busy: float, idle: float, stall_at: float | None = None) -> Counts:
    """Block the loop for ``busy`` seconds and leave it free for ``idle`` seconds, repeatedly.

    With ``stall_at``, block it once at that time.
    """
    counts = Counts()
    clock = MockClock(autojump_threshold=0)
    poll, poll_failed = StandInExecutorCalls.poll, Scheduler.poll_failed

    async def counted(self, *arguments, **options):  # type: ignore[no-untyped-def]
        counts.polls += 1
        counts.fresh_polls += arguments[-1] is True
        return await poll(self, *arguments, **options)

    def failed(self, executor, now):  # type: ignore[no-untyped-def]
        counts.silent += 1
        poll_failed(self, executor, now)

    async def hold_up() -> None:
        await trio.sleep(5.0 if stall_at is None else stall_at)
        while busy:
            clock.jump(busy)
            await trio.sleep(idle) if idle else await trio.lowlevel.checkpoint()
            if stall_at is not None:
                return

    async def main() -> None:
        with trio.move_on_after(SECONDS):
            async with trio.open_nursery() as nursery:
                world = OwnerFixture(nursery)
                nursery.start_soon(world.store.run)
                nursery.start_soon(world.executor.run)
                nursery.start_soon(world.owner.run)
                nursery.start_soon(hold_up)
                world.accept_job(job("00000000000000aa", step(long_running=True)))

    with (
        patch.object(StandInExecutorCalls, "poll", counted),
        patch.object(Scheduler, "poll_failed", failed),
    ):
        trio.run(main, clock=clock)
    return counts


class LateLoopTest(unittest.TestCase):
    """Guards against an owner that attributes its own lateness to its executors.

    It would make more calls because of it.
    """

    def test_a_stall_makes_no_executor_suspect(self) -> None:
        """Guards against probes and lost leases after one second without processor time."""
        counts = _play(busy=1.0, idle=0.0, stall_at=20.5)
        self.assertEqual((counts.silent, counts.fresh_polls), (0, 0))

    def test_a_steady_load_makes_no_executor_suspect_and_costs_no_calls(self) -> None:
        """Guards against additional calls by an owner that has too little time for its usual ones."""
        punctual = _play(busy=0.0, idle=0.0)
        for busy, idle in ((0.08, 0.02), (0.24, 0.0)):
            with self.subTest(busy=busy):
                counts = _play(busy, idle)
                self.assertEqual((counts.silent, counts.fresh_polls), (0, 0))
                self.assertLessEqual(counts.polls, punctual.polls)

    def test_an_owner_that_is_far_behind_asks_its_executors_half_as_often(self) -> None:
        """Guards against polls that overload the owner of too many executors.

        The owner would then renew no lease in time, and all runs would lapse at once.
        """
        punctual = _play(busy=0.0, idle=0.0)
        counts = _play(busy=0.7, idle=0.2)
        self.assertEqual(counts.silent, 0)
        self.assertLessEqual(counts.polls, punctual.polls / 2 + STARTING_POLLS)
