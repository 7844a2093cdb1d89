"""Days on which the operator evacuates failure domains and takes them back."""

import unittest
from dataclasses import replace

from fireflyfork._ids import FailureDomainName
from fireflyfork_standins.scheduling import Evacuation, Profile, RegionProfile, run_day
from fireflyfork_standins.scheduling._regions import NEAR_DOMAIN

FAR = FailureDomainName("far-0")
EVACUATED_TWICE = (Evacuation(2.0, 8.0, FAR), Evacuation(12.0, 7.0, NEAR_DOMAIN))
DAY = Profile(
    instances=8,
    executors=6,
    seconds=20.0,
    regions=RegionProfile(evacuations=EVACUATED_TWICE),
)


class EvacuationDaysTest(unittest.TestCase):
    """No task starts in an evacuated domain, and accepted jobs end all the same."""

    def test_calm_days(self) -> None:
        """Guards against evacuations that don't reach the owner."""
        for seed in (900, 901):
            with self.subTest(seed):
                self.assertEqual(run_day(seed, DAY).violations, [])

    def test_the_owner_is_killed_during_an_evacuation(self) -> None:
        """Guards against a successor that doesn't know of the evacuation when it starts tasks."""
        planned = ((4.0, "kill"), (8.5, "kill"), (18.0, "kill"))
        for seed in (902, 903, 904):
            with self.subTest(seed):
                report = run_day(seed, replace(DAY, planned_troubles=planned))
                self.assertEqual(report.violations, [])
