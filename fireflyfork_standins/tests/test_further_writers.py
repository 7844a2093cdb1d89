"""Days on which others than the scheduler change what it reads."""

import unittest
from dataclasses import replace

from fireflyfork_standins.scheduling import INCARNATION_TROUBLES, TROUBLES, Profile, run_day

CHANGES_OF_OWNER = Profile(troubles=("kill", "kill_all", "stop"), trouble_gap_seconds=4.0)
ROUTES = replace(CHANGES_OF_OWNER, changes_routes=True, fail_share=0.3)
EVERYTHING = replace(ROUTES, foreign_entries=True, unusual_jobs=True, troubles=TROUBLES)
EVERYTHING_ELSE = replace(EVERYTHING, changes_kinds=True, early_cancel_share=0.2)


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

    def test_executors_that_come_back_as_another_kind(self) -> None:
        """Guards against starts by the labels of an incarnation that is over."""
        for troubles in (CHANGES_OF_OWNER.troubles, INCARNATION_TROUBLES):
            with self.subTest(troubles=troubles):
                profile = replace(CHANGES_OF_OWNER, troubles=troubles, changes_kinds=True)
                self._assert_kept(profile, range(1, 4))

    def test_callers_that_cancel_before_they_have_an_answer(self) -> None:
        """Guards against a request that is carried out after its cancellation was answered."""
        troubles = ("freeze", "store_lost", "kill", "store_refuses_owner")
        profile = replace(CHANGES_OF_OWNER, troubles=troubles, early_cancel_share=0.5)
        self._assert_kept(profile, range(1, 6))

    def test_all_of_them_under_all_kinds_of_trouble(self) -> None:
        """Guards against combinations that no single test has."""
        self._assert_kept(EVERYTHING, range(1, 7))

    def test_changes_of_kind_and_early_cancellations_beside_them(self) -> None:
        """Guards against combinations of these with other kinds of trouble."""
        self._assert_kept(EVERYTHING_ELSE, range(1, 7))
