"""The order in which waiting tasks are placed."""

import unittest

from .. import Task
from .._urgency import urgency
from .builders_jobs import START_MS, OwnerUnderTest, job, step


def _task(owner: OwnerUnderTest, name: str, estimate_ms: int, age_ms: int = 0) -> Task:
    spec = job(name, step(estimate_ms=estimate_ms), accepted_ms=START_MS - age_ms)
    owner.scheduler.accept(spec, START_MS)
    accepted = owner.scheduler.jobs.get(spec.job)
    assert accepted is not None
    return next(iter(accepted.tasks.values()))


class UrgencyTest(unittest.TestCase):
    """Jobs that can meet their objective go first, ordered by least work; late ones follow."""

    def test_of_jobs_with_as_much_work_the_earlier_objective_goes_first(self) -> None:
        owner = OwnerUnderTest()
        soon = _task(owner, "00000000000000aa", 2000, age_ms=100)
        later = _task(owner, "00000000000000bb", 2000)
        self.assertLess(urgency(soon, START_MS), urgency(later, START_MS))

    def test_the_least_work_goes_first(self) -> None:
        """Guards against serving jobs by objective under overload.

        All jobs would get a part of the resources and most callers would wait in vain; the small
        ones alone would have been in time.
        """
        owner = OwnerUnderTest()
        large = _task(owner, "00000000000000aa", 2000, age_ms=100)
        small = _task(owner, "00000000000000bb", 1900)
        self.assertLess(urgency(small, START_MS), urgency(large, START_MS))

    def test_finished_work_of_a_job_does_not_count(self) -> None:
        owner = OwnerUnderTest("i-0")
        wide = _task(owner, "00000000000000aa", 1000)
        before = wide.job.remaining_work()
        self.assertEqual(before, 1000 * 1000)
        wide.job.remaining_tasks[0, 0] = 0
        self.assertEqual(wide.job.remaining_work(), 0)

    def test_jobs_beyond_use_are_ordered_by_age(self) -> None:
        """Guards against a large job that waits forever while small ones keep arriving."""
        owner = OwnerUnderTest()
        large = _task(owner, "00000000000000aa", 600, age_ms=60_000)
        small = _task(owner, "00000000000000bb", 500, age_ms=30_000)
        self.assertLess(urgency(large, START_MS), urgency(small, START_MS))

    def test_late_jobs_follow_jobs_that_can_be_in_time(self) -> None:
        """Guards against serving jobs by age alone under overload.

        Each job would wait for others that are already late and end late itself, so no caller would
        get an answer in time.
        """
        owner = OwnerUnderTest()
        late = _task(owner, "00000000000000aa", 500, age_ms=1900)
        fresh = _task(owner, "00000000000000bb", 2000)
        self.assertLess(urgency(fresh, START_MS), urgency(late, START_MS))

    def test_jobs_beyond_use_come_last(self) -> None:
        owner = OwnerUnderTest()
        useless = _task(owner, "00000000000000aa", 500, age_ms=20_000)
        late = _task(owner, "00000000000000bb", 2000, age_ms=6_000)
        self.assertLess(urgency(late, START_MS), urgency(useless, START_MS))
