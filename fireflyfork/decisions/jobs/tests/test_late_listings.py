"""Tests of an owner with too many executors for its processor, which polls them rarely."""

import unittest

from .builders_jobs import OwnerUnderTest, job, row

SELDOM_SECONDS = 3.0


class RarePollsTest(unittest.TestCase):
    """Missing polls are no evidence about runs or executors."""

    def test_a_run_without_recent_polls_is_not_stalled(self) -> None:
        """Guards against a late owner that stops sound runs and avoids their executors."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(), 0)
        (run,) = owner.place()
        for percent in (10, 50):
            owner.poll("i-0", row(run, percent))
            owner.tick(SELDOM_SECONDS)
            self.assertEqual((owner.stops(), owner.executor().consecutive_failures), ([], 0))

    def test_a_run_listed_without_progress_is_stalled(self) -> None:
        """Guards against a stalled run that is never stopped because it is polled too rarely."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(), 0)
        (run,) = owner.place()
        for _ in range(2):
            owner.poll("i-0", row(run, 10))
            owner.tick(SELDOM_SECONDS)
        self.assertEqual((owner.stops(), owner.executor().consecutive_failures), ([run], 1))
