"""Days on which large configurations fill the link between two regions."""

import unittest
from dataclasses import replace

from fireflyfork_standins.scheduling import (
    Profile,
    Purpose,
    RegionProfile,
    Report,
    RouteChange,
    run_world,
)

ROUTES = 1640
REGIONS = RegionProfile(link_mbps=4.0)
DAY = Profile(instances=8, executors=6, seconds=16.0, listing_counts=True, regions=REGIONS)
LARGE = replace(REGIONS, first_added=ROUTES)
LATE = 6.0
"""The link is idle again when trouble comes."""
SERIES = tuple(RouteChange(4.0 + 1.5 * number, ROUTES) for number in range(4))
STORM = tuple(RouteChange(LATE + number / 3, 1) for number in range(12))
MARGIN = 1.02
"""For the versions before and after, and what frames an answer."""


def _play(seed: int, regions: RegionProfile, trouble: str = "") -> Report:
    planned = ((LATE, trouble),) if trouble else ()
    return run_world(seed, replace(DAY, regions=regions, planned_troubles=planned))


class RegionLinkTest(unittest.TestCase):
    """Nothing is wrong with the executors, nor with the network but that it is full."""

    def test_calm_days_with_a_far_region(self) -> None:
        """Guards against what only a long way brings about."""
        for seed in (800, 801, 802):
            with self.subTest(seed):
                self.assertEqual(_play(seed, replace(REGIONS, link_mbps=8.0)).violations, [])

    def test_versions_in_series_start_nothing_again(self) -> None:
        """Versions come faster than the link carries them: ends on their way are taken for silence."""
        for seed in (800, 801, 802):
            with self.subTest(seed):
                self.assertEqual(_play(seed, replace(REGIONS, changes=SERIES)).violations, [])

    def test_small_changes_of_a_large_configuration_start_nothing_again(self) -> None:
        """Each small change sends all of it once more: ends on their way are taken for silence."""
        for seed in (800, 801, 802):
            with self.subTest(seed):
                self.assertEqual(_play(seed, replace(LARGE, changes=STORM)).violations, [])

    def test_a_lost_history_starts_nothing_again(self) -> None:
        """All instances list the configuration at once: ends on their way are taken for silence."""
        for seed in (800, 801, 802):
            with self.subTest(seed):
                report = _play(seed, LARGE, "store_forgets")
                self.assertEqual(report.violations, [])

    def test_a_restart_of_all_starts_nothing_again(self) -> None:
        """All instances read the configuration anew: ends on their way are taken for silence."""
        for seed in (800, 801, 802):
            with self.subTest(seed):
                report = _play(seed, LARGE, "kill_all")
                self.assertEqual(report.violations, [])

    def test_a_version_crosses_once_for_each_far_failure_domain(self) -> None:
        """Each far instance reads each version itself, so a large one fills the link for longer."""
        report = _play(800, replace(REGIONS, changes=SERIES[:1]))
        most = report.configuration_bytes * REGIONS.far_domains * MARGIN
        self.assertLessEqual(report.crossed[Purpose.CONFIGURATION], most)

    def test_a_seed_plays_the_same_day_again(self) -> None:
        """What crosses the link is under way for as long each time."""
        self.assertEqual(
            _play(800, replace(REGIONS, changes=SERIES)),
            _play(800, replace(REGIONS, changes=SERIES)),
        )
