"""In which order waiting tasks are placed."""

import unittest

from .. import Task
from .._urgency import urgency
from .builders_jobs import START_MS, OwnerUnderTest, job, step


def _task(owner: OwnerUnderTest, name: str, estimate_ms: int, age_ms: int = 0) -> Task:
    spec = job(name, step(estimate_ms=estimate_ms), accepted_ms=START_MS - age_ms)
    owner.scheduler.accept(spec, START_MS)
    known = owner.scheduler.jobs.get(spec.job)
    assert known is not None
    return next(iter(known.tasks.values()))


class UrgencyTest(unittest.TestCase):
    """Earliest objective first, as long as it can be met."""

    def test_the_earlier_objective_goes_first(self) -> None:
        owner = OwnerUnderTest()
        soon, later = _task(owner, "00000000000000aa", 500), _task(owner, "00000000000000bb", 2000)
        self.assertLess(urgency(soon, START_MS), urgency(later, START_MS))

    def test_a_job_that_is_late_anyway_stands_behind_those_that_can_be_in_time(self) -> None:
        """More work comes than can be done. Served by age alone, each job waits for others that are
        late already and ends late itself, so that no caller gets an answer in time.
        """
        owner = OwnerUnderTest()
        late = _task(owner, "00000000000000aa", 500, age_ms=1900)
        fresh = _task(owner, "00000000000000bb", 2000)
        self.assertLess(urgency(fresh, START_MS), urgency(late, START_MS))

    def test_a_job_of_no_more_use_stands_last(self) -> None:
        owner = OwnerUnderTest()
        useless = _task(owner, "00000000000000aa", 500, age_ms=20_000)
        late = _task(owner, "00000000000000bb", 2000, age_ms=6_000)
        self.assertLess(urgency(late, START_MS), urgency(useless, START_MS))
