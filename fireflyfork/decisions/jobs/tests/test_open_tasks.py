"""How many tasks of accepted jobs an owner keeps records of."""

import unittest

from ...._ids import AttemptNumber, TaskName
from .. import EndReason, RunningRow, StoredProgress
from .._job_limits import (
    MAX_EARLY_WINDOWS,
    MAX_OPEN_OCCURRENCES,
    MAX_OPEN_TASKS,
    MAX_TASKS,
    SMALL_JOB_TASKS,
)
from .._job_table import JobTable
from .builders_jobs import START_MS, OwnerUnderTest, job, step, table

MANY = 2**30
"""Occurrences that are all due at once."""


def _tasks(jobs: JobTable) -> int:
    return sum(1 for _ in jobs.live_tasks())


class OpenTasksTest(unittest.TestCase):
    """The records of tasks stay bounded whatever callers, executors and the store contain."""

    def setUp(self) -> None:
        self.jobs = JobTable()
        self.jobs.configure(table())

    def test_occurrences_that_are_due_at_once_are_opened_in_part(self) -> None:
        """Guards against a schedule of a hundred bytes that uses up the owner's memory."""
        self.jobs.accept(job(repetitions=MANY, first_due_ms=0, interval_ms=0), None, START_MS)
        self.assertEqual(_tasks(self.jobs), MAX_OPEN_OCCURRENCES)

    def test_further_occurrences_follow_as_earlier_ones_end(self) -> None:
        """Guards against a schedule that stops after its first occurrences."""
        spec = job("00000000000000aa", step(count=MAX_TASKS // 2), repetitions=4)
        first = self.jobs.accept(spec, None, START_MS)
        self.assertEqual(len(first), MAX_TASKS)
        for task in first[: MAX_TASKS // 2]:
            self.jobs.task_done(task, START_MS)
        (accepted,) = self.jobs.live_jobs()
        self.assertEqual(len(self.jobs.open_due(accepted, START_MS)), MAX_TASKS // 2)

    def test_occurrences_that_are_over_leave_nothing_behind(self) -> None:
        """Guards against a schedule that takes more memory with each of its occurrences."""
        ready = self.jobs.accept(job(repetitions=MANY), None, START_MS)
        (accepted,) = self.jobs.live_jobs()
        for _ in range(4 * MAX_OPEN_OCCURRENCES):
            self.jobs.task_done(ready.pop(0), START_MS)
            ready.extend(self.jobs.open_due(accepted, START_MS))
        self.assertLessEqual(len(accepted.remaining_tasks), MAX_OPEN_OCCURRENCES)
        self.assertLessEqual(len(accepted.done), MAX_OPEN_OCCURRENCES)

    def test_large_jobs_wait_as_a_whole_and_small_ones_do_not(self) -> None:
        """Guards against a hundred small requests that use up the owner's memory together."""
        for number in range(MAX_OPEN_TASKS // MAX_TASKS + 5):
            self.jobs.accept(job(f"{number:016x}", step(count=MAX_TASKS)), None, START_MS)
        self.assertEqual(_tasks(self.jobs), MAX_OPEN_TASKS)
        small = job("00000000000000ff", step(count=SMALL_JOB_TASKS))
        self.assertEqual(len(self.jobs.accept(small, None, START_MS)), SMALL_JOB_TASKS)

    def test_a_waiting_large_job_is_opened_when_another_is_over(self) -> None:
        """Guards against accepted jobs that are never started because others came first."""
        owner = OwnerUnderTest("i-0")
        wide = step(count=MAX_TASKS, cpu_millis=20_000)
        names = [f"{number:016x}" for number in range(MAX_OPEN_TASKS // MAX_TASKS + 1)]
        for name in names:
            owner.scheduler.accept(job(name, wide), START_MS)
        last = owner.scheduler.jobs.get(job(names[-1]).job)
        assert last is not None
        self.assertEqual(len(last.tasks), 0)
        owner.scheduler.cancel(job(names[0]).job, owner.now, START_MS)
        owner.scheduler.jobs.changes.take(len(names))
        owner.scheduler.jobs.changes.mark_stored()
        for _ in range(2):
            owner.scheduler.check_time(owner.now, START_MS)
        self.assertEqual(len(last.tasks), MAX_TASKS)

    def test_stored_progress_opens_no_unbounded_number_of_occurrences(self) -> None:
        """Guards against a stored progress that ends each owner that recovers the job."""
        for progress in (
            StoredProgress(done=((MANY, 0, 0),)),
            StoredProgress(done=((2**62, 2**62, 2**62),)),
            StoredProgress(done_occurrences=MANY - 1),
        ):
            with self.subTest(progress=progress):
                self.setUp()
                self.jobs.accept(job(repetitions=MANY), progress, START_MS)
                self.assertLessEqual(_tasks(self.jobs), MAX_EARLY_WINDOWS * MAX_TASKS)

    def test_a_report_opens_no_unbounded_number_of_occurrences(self) -> None:
        """Guards against a list of runs that uses up the owner's memory."""
        owner = OwnerUnderTest("i-0")
        spec = job(repetitions=MANY, first_due_ms=START_MS + 60_000, interval_ms=1_000)
        owner.scheduler.accept(spec, START_MS)
        ended, listed = (TaskName(f"{spec.job}.{MANY - number}.0.0") for number in (1, 2))
        owner.end("i-0", ended, 1, EndReason.FAILED)
        owner.poll("i-0", RunningRow(listed, AttemptNumber(1), "", 10, 0.0))
        self.assertLessEqual(_tasks(owner.scheduler.jobs), MAX_EARLY_WINDOWS * MAX_TASKS)
