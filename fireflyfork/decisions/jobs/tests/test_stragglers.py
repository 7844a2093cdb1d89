"""Tests of runs that take much longer than their estimate."""

import unittest

from .. import EndReason, Run
from .builders_jobs import START_MS, OwnerUnderTest, job, row, step


class StragglersTest(unittest.TestCase):
    """Runs on an executor at a sixth of the usual speed that answers polls and fails no task."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0", "i-1")

    def _start(self, number: int, **changes: object) -> Run:
        """Start a job of one task while only ``i-0`` is usable."""
        self.owner.executor("i-1").cordoned = True
        name = f"{number:016x}"
        self.owner.scheduler.accept(job(name, step(**changes)), START_MS)
        (run,) = self.owner.place()
        self.owner.executor("i-1").cordoned = False
        return run

    def _report(self, seconds: float, *runs: Run, percent: int) -> None:
        self.owner.now += seconds
        self.owner.poll("i-0", *(row(run, percent) for run in runs))
        self.owner.poll("i-1")
        self.owner.tick(0.1)

    def test_a_slow_run_of_a_step_that_may_be_copied_gets_a_copy(self) -> None:
        """Guards against callers that wait for the slowest task of a job on a slow executor.

        A copy elsewhere ends in a fraction of the remaining time; the run that ends first counts.
        """
        slow = self._start(1, speculative=True)
        self._report(0.9, slow, percent=15)
        (copy,) = self.owner.place()
        self.assertEqual((copy.executor.executor, copy.attempt), ("i-1", 2))
        self.assertEqual(self.owner.stops(), [])
        self.owner.end("i-1", copy.task.name, copy.attempt, EndReason.DONE)
        self.owner.poll("i-1")
        self.assertEqual(self.owner.stops(), [slow])

    def test_there_is_one_copy_at_most(self) -> None:
        slow = self._start(1, speculative=True)
        self._report(0.9, slow, percent=15)
        (copy,) = self.owner.place()
        self.owner.now += 0.9
        self.owner.poll("i-0", row(slow, 30))
        self.owner.poll("i-1", row(copy, 15))
        self.owner.tick(0.1)
        self.assertEqual(self.owner.place(), [])

    def test_runs_of_two_jobs_show_that_the_executor_is_slow(self) -> None:
        """Guards against leaving runs on a slow executor, where their callers wait six times as
        long.

        Steps that may not be copied are stopped and started elsewhere.
        """
        first, second = self._start(1), self._start(2)
        self._report(0.9, first, second, percent=15)
        self.assertEqual(set(self.owner.stops()), {first, second})

    def test_runs_that_are_not_moved(self) -> None:
        """Guards against moving long tasks from executor to executor, so that they never end."""
        for name, changes, seconds, percent in (
            ("one job alone", {}, 0.9, 15),
            ("at its usual speed", {"speculative": True}, 0.9, 60),
            ("too young to judge", {"speculative": True}, 0.2, 1),
            ("almost done", {"speculative": True}, 5.0, 70),
            ("best effort", {"speculative": True, "uses_leftover_cpu": True}, 0.9, 15),
        ):
            with self.subTest(name):
                self.setUp()
                run = self._start(1, **changes)
                self._report(seconds, run, percent=percent)
                self.assertEqual((self.owner.stops(), self.owner.place()), ([], []))

    def test_a_run_not_listed_yet_is_not_a_straggler(self) -> None:
        """Guards against moving every run after half a second because its progress is still
        unknown."""
        self._start(1, speculative=True)
        self.owner.tick(0.9)
        self.assertEqual(self.owner.place(), [])

    def test_a_task_is_moved_once(self) -> None:
        first, second = self._start(1), self._start(2)
        self._report(0.9, first, second, percent=15)
        self.assertEqual(len(self.owner.stops()), 2)
        for run in (first, second):
            self.owner.end("i-0", run.task.name, 1, EndReason.STOPPED)
        self.owner.poll("i-0")
        again = self.owner.place()
        self.assertEqual({run.executor.executor for run in again}, {"i-1"})
        self.owner.now += 0.9
        self.owner.poll("i-1", *(row(run, 15) for run in again))
        self.owner.tick(0.1)
        self.assertEqual(self.owner.stops(), [])
