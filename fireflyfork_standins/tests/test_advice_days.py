"""Tests that run the scheduler's real code on simulated days with an advisor."""

import unittest
from dataclasses import replace

from fireflyfork_standins.scheduling import (
    ADVISOR_TROUBLES,
    TROUBLES,
    AdvisorProfile,
    Burst,
    Profile,
    Report,
    run_day,
)

URGENT_START_SECONDS = 2.3
"""The time within which urgent work starts."""
RECOVERY_SECONDS = 4.0
LONGEST_TROUBLE_SECONDS = 8.0
SLOW_ADVISOR = AdvisorProfile(decision_seconds=2.2, executor_seconds=0.05)
DAY = Profile(executors=6, seconds=26.0, jobs_per_second=1.5, advisor=AdvisorProfile())
BURST = Burst(at=4.0, seconds=4.0, factor=4.0)
SCARCE_ADVISOR = AdvisorProfile(executor_seconds=0.02)
"""It is busy for about half of the time of a calm day, and has no time left during a burst."""
TROUBLE_AT = 5.0


class AdviceDaysTest(unittest.TestCase):
    """Each queue asks an advisor, which handles the calls of an instance one at a time."""

    def _check_waits(self, report: Report, since: float, limit: float) -> None:
        """Check that no promise is broken, and how long jobs that arrive after ``since`` wait."""
        self.assertEqual(report.violations, [])
        waits = [waited for accepted_at, waited in report.first_starts if accepted_at > since]
        self.assertGreater(len(waits), 0)
        self.assertLess(max(waits), limit)

    def test_a_calm_day(self) -> None:
        report = run_day(1, DAY)
        self._check_waits(report, 0.0, URGENT_START_SECONDS)
        self.assertEqual(report.advisor_calls["abandoned"], 0)

    def test_steps_are_served_again_after_a_burst(self) -> None:
        """Guards against calls that wait until they are given up, and are repeated for good."""
        backlog = (BURST.factor - 1) * BURST.seconds / 2
        since = BURST.at + BURST.seconds + backlog + RECOVERY_SECONDS
        for drops_abandoned in (True, False):
            with self.subTest(drops_abandoned=drops_abandoned):
                advisor = replace(SCARCE_ADVISOR, drops_abandoned=drops_abandoned)
                report = run_day(1, replace(DAY, advisor=advisor, burst=BURST))
                self._check_waits(report, since, URGENT_START_SECONDS)
                self.assertEqual(report.advisor_calls["abandoned"], 0)

    def test_a_calm_service_is_served_whose_calls_take_seconds(self) -> None:
        """Guards against a fixed timeout that is shorter than the stated cost of a call."""
        report = run_day(1, replace(DAY, advisor=SLOW_ADVISOR, jobs_per_second=0.12))
        self._check_waits(report, 0.0, 2 * 3.0 + URGENT_START_SECONDS)

    def test_each_kind_of_trouble(self) -> None:
        """Guards against an advisor's past trouble that keeps a service down."""
        for kind in ADVISOR_TROUBLES:
            with self.subTest(kind):
                report = run_day(3, replace(DAY, planned_troubles=((TROUBLE_AT, kind),)))
                since = TROUBLE_AT + LONGEST_TROUBLE_SECONDS + RECOVERY_SECONDS
                self._check_waits(report, since, URGENT_START_SECONDS)

    def test_all_kinds_together_with_changes_of_owner(self) -> None:
        """Several failures of advisor, instances, store and executors overlap."""
        profile = replace(DAY, seconds=20.0, troubles=(*ADVISOR_TROUBLES, *TROUBLES))
        for seed in (1, 2):
            with self.subTest(seed):
                self.assertEqual(run_day(seed, profile).violations, [])
