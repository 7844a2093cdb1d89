"""Tests of days on which large configurations saturate the link between two regions."""

import unittest
from dataclasses import replace

from fireflyfork_standins.scheduling import (
    Profile,
    Purpose,
    RegionProfile,
    Report,
    RouteChange,
    run_day,
)

ROUTES = 1640
REGIONS = RegionProfile(link_mbps=4.0)
DAY = Profile(instances=8, executors=6, seconds=16.0, listing_counts=True, regions=REGIONS)
LARGE = replace(REGIONS, first_added=ROUTES)
LATE = 6.0
"""Time at which trouble occurs, in seconds. The link is idle again by then."""
SERIES = tuple(RouteChange(4.0 + 1.5 * number, ROUTES) for number in range(4))
STORM = tuple(RouteChange(LATE + number / 3, 1) for number in range(12))
MARGIN = 1.02
"""Factor that allows for the versions before and after the change, and the framing of answers."""


def _play(seed: int, regions: RegionProfile, trouble: str = "") -> Report:
    planned = ((LATE, trouble),) if trouble else ()
    return run_day(seed, replace(DAY, regions=regions, planned_troubles=planned))


class RegionLinkTest(unittest.TestCase):
    """Executors and network work correctly, but the link is saturated."""

    def test_calm_days_with_a_far_region(self) -> None:
        """Guards against violations that the latency between the regions alone causes."""
        for seed in (800, 801, 802):
            with self.subTest(seed):
                self.assertEqual(_play(seed, replace(REGIONS, link_mbps=8.0)).violations, [])

    def test_versions_in_series_start_nothing_again(self) -> None:
        """Versions are written faster than the link transfers them. This delays the lists of ended
        tasks, whose executors would be considered unreachable.
        """
        for seed in (800, 801, 802):
            with self.subTest(seed):
                self.assertEqual(_play(seed, replace(REGIONS, changes=SERIES)).violations, [])

    def test_small_changes_of_a_large_configuration_start_nothing_again(self) -> None:
        """Each small change transfers the whole configuration again. This delays the lists of ended
        tasks, whose executors would be considered unreachable.
        """
        for seed in (800, 801, 802):
            with self.subTest(seed):
                self.assertEqual(_play(seed, replace(LARGE, changes=STORM)).violations, [])

    def test_a_lost_history_starts_nothing_again(self) -> None:
        """The store drops its history, and all instances list the configuration at once. This delays
        the lists of ended tasks, whose executors would be considered unreachable.
        """
        for seed in (800, 801, 802):
            with self.subTest(seed):
                report = _play(seed, LARGE, "store_forgets")
                self.assertEqual(report.violations, [])

    def test_a_restart_of_all_starts_nothing_again(self) -> None:
        """All instances restart and read the configuration. This delays the lists of ended tasks, whose
        executors would be considered unreachable.
        """
        for seed in (800, 801, 802):
            with self.subTest(seed):
                report = _play(seed, LARGE, "kill_all")
                self.assertEqual(report.violations, [])

    def test_a_version_crosses_once_for_each_far_failure_domain(self) -> None:
        """If each far instance read each version from the store itself, a large version would saturate
        the link for longer. One instance of each failure domain must read it for the others.
        """
        report = _play(800, replace(REGIONS, changes=SERIES[:1]))
        most = report.configuration_bytes * REGIONS.far_domains * MARGIN
        self.assertLessEqual(report.link_bytes[Purpose.CONFIGURATION], most)

    def test_a_seed_plays_the_same_day_again(self) -> None:
        """Guards against transfers over the link whose duration differs between runs of one seed."""
        self.assertEqual(
            _play(800, replace(REGIONS, changes=SERIES)),
            _play(800, replace(REGIONS, changes=SERIES)),
        )
