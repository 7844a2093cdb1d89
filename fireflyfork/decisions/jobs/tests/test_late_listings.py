"""An owner that asks its executors seldom, since it has too many of them for its processor."""

import unittest

from .builders_jobs import OwnerUnderTest, job, row

SELDOM_SECONDS = 3.0


class LateListingTest(unittest.TestCase):
    """What the owner hasn't asked for is no sign of anything."""

    def test_a_run_that_nobody_has_asked_about_does_not_stand_still(self) -> None:
        """Guards against an owner that is late to ask, stops sound runs and avoids their executors for it."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(), 0)
        (run,) = owner.place()
        for percent in (10, 50):
            owner.poll("i-0", row(run, percent))
            owner.tick(SELDOM_SECONDS)
            self.assertEqual((owner.stops(), owner.executor().strikes), ([], 0))

    def test_a_run_that_is_listed_without_progress_stands_still(self) -> None:
        """Guards against a run that is never stopped, since it is asked for too seldom."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(), 0)
        (run,) = owner.place()
        for _ in range(2):
            owner.poll("i-0", row(run, 10))
            owner.tick(SELDOM_SECONDS)
        self.assertEqual((owner.stops(), owner.executor().strikes), ([run], 1))
