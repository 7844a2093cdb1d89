"""Runs that were slowed down next to services, and move elsewhere.

Pattern of the load: services whose own load rises and falls within ten seconds, and jobs of two
steps with twenty tasks each that fill what the services leave. The callers of a job wait for the
slowest of its tasks.
"""

import unittest

from .. import MoveReason, Run, RunMoved, StepSpec
from .._paced_runs import MAX_LOST_PROGRESS, MIN_SECONDS_BETWEEN_MOVES
from .builders_jobs import (
    START_MS,
    OwnerUnderTest,
    job,
    learned,
    registration,
    row,
    step,
)

TARGET_MS = 300
HEAVY = 5.0


class PacedRunsTest(unittest.TestCase):
    """An owner with a service on one executor, and a run next to it that was slowed down."""

    def _begin(self, *others: str, filling: StepSpec | None = None) -> tuple[Run, Run]:
        """Start a service and a run next to it, and return both."""
        self.owner = OwnerUnderTest("i-0")
        self.owner.scheduler.adopt((learned("web", HEAVY),))
        serving = step(long_running=True, image="web", tail_target_ms=TARGET_MS)
        self.owner.scheduler.accept(job("00000000000000aa", serving), START_MS)
        (web,) = self.owner.place()
        filling = filling or step(uses_leftover_cpu=True, image="noisy", cpu_millis=1000)
        self.owner.scheduler.accept(job("00000000000000bb", filling), START_MS)
        (noisy,) = self.owner.place()
        for name in others:
            self.owner.scheduler.register(registration(name), self.owner.now)
            self.owner.poll(name)
        return web, noisy

    def _slow_down(self, web: Run, noisy: Run, progress: int = 10, headroom: float = 0.6) -> None:
        """Let the service be over its target for a second."""
        for _ in range(2):
            self.owner.tick(0.5)
            rows = (row(web, 100, TARGET_MS / headroom), row(noisy, progress, 500.0))
            self.owner.poll("i-0", *rows)
        self.owner.tick(0.1)

    def test_a_slow_run_moves_to_a_free_executor(self) -> None:
        """Guards against jobs that wait for one task of twenty beside a busy service."""
        web, noisy = self._begin("i-1")
        self._slow_down(web, noisy)
        self.assertEqual(self.owner.stops(), [noisy])
        (moved,) = (
            note for note in self.owner.scheduler.take_notes() if isinstance(note, RunMoved)
        )
        self.assertEqual((moved.task, moved.reason), (noisy.task.name, MoveReason.SLOW))

    def test_a_run_at_full_pace_stays(self) -> None:
        """Guards against moves that gain nothing."""
        web, noisy = self._begin("i-1")
        self._slow_down(web, noisy, headroom=3.0)
        self.assertEqual(self.owner.stops(), [])

    def test_a_run_without_a_better_executor_stays(self) -> None:
        """Guards against runs that are stopped and started again where they were."""
        web, noisy = self._begin()
        self._slow_down(web, noisy)
        self.assertEqual(self.owner.stops(), [])

    def test_a_run_that_would_lose_much_work_stays(self) -> None:
        """Guards against work that is thrown away again and again shortly before its end."""
        for checkpointing, expected in ((False, 0), (True, 1)):
            with self.subTest(checkpointing):
                filling = step(
                    uses_leftover_cpu=True,
                    image="noisy",
                    cpu_millis=1000,
                    checkpointing=checkpointing,
                )
                web, noisy = self._begin("i-1", filling=filling)
                self._slow_down(web, noisy, progress=MAX_LOST_PROGRESS + 10)
                self.assertEqual(len(self.owner.stops()), expected)

    def test_a_task_that_was_just_moved_stays(self) -> None:
        """Guards against a task that is moved from executor to executor and never works."""
        web, noisy = self._begin("i-1")
        noisy.task.moved_at = self.owner.now + 1.1 - MIN_SECONDS_BETWEEN_MOVES / 2
        self._slow_down(web, noisy)
        self.assertEqual(self.owner.stops(), [])
