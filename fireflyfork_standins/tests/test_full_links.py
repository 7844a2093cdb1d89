"""Tests with executors whose answers take seconds because a link is saturated."""

import unittest

from fireflyfork_standins.scheduling import Profile, run_day

PROFILE = Profile(troubles=("answers_late",), trouble_gap_seconds=6.0, listing_counts=True)


class FullLinksTest(unittest.TestCase):
    """Executors and owner work correctly, but answers are late."""

    def test_a_task_whose_end_is_on_its_way_is_not_started_again(self) -> None:
        """A large transfer saturates the link between two regions, so answers of executors in the far
        region take seconds. An owner that aborts each poll before its answer arrives considers the
        executors unreachable, lets their leases expire and restarts their tasks elsewhere. This
        includes tasks whose successful end was listed in an aborted answer, so they run twice.
        """
        for seed in range(700, 706):
            with self.subTest(seed):
                self.assertEqual(run_day(seed, PROFILE).violations, [])
