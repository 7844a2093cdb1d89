"""Days on which others than the scheduler change what it reads."""

import unittest
from dataclasses import replace

from fireflyfork_standins.scheduling import TROUBLES, Profile, run_day

CHANGES_OF_OWNER = Profile(troubles=("kill", "kill_all", "stop"), trouble_gap_seconds=4.0)
ROUTES = replace(CHANGES_OF_OWNER, changes_routes=True, fail_share=0.3)
EVERYTHING = replace(ROUTES, foreign_entries=True, unusual_jobs=True, troubles=TROUBLES)


class FurtherWritersTest(unittest.TestCase):
    """No promise to callers is broken, and no internal error is met."""

    def _assert_kept(self, profile: Profile, seeds: range) -> None:
        for seed in seeds:
            with self.subTest(seed):
                report = run_day(seed, profile)
                self.assertEqual(report.violations, [])
                self.assertGreater(report.starts, 50)

    def test_jobs_that_request_nothing_of_some_kinds(self) -> None:
        """Guards against a job whose tasks end each owner in turn."""
        self._assert_kept(replace(CHANGES_OF_OWNER, unusual_jobs=True), range(1, 4))

    def test_entries_of_another_writer(self) -> None:
        """Guards against an entry that ends each owner in turn."""
        self._assert_kept(replace(CHANGES_OF_OWNER, foreign_entries=True), range(1, 4))

    def test_a_route_that_is_removed_and_comes_back_while_owners_change(self) -> None:
        """Guards against jobs that are failed too early, or started too often, by another owner."""
        for attempts in (2, 5):
            with self.subTest(attempts=attempts):
                self._assert_kept(replace(ROUTES, attempts=attempts), range(1, 4))

    def test_all_of_them_under_all_kinds_of_trouble(self) -> None:
        """Guards against combinations that no single test has."""
        self._assert_kept(EVERYTHING, range(1, 7))
