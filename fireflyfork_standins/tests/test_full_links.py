"""Answers of executors that are seconds under way, since the link that they come over is full."""

import unittest

from fireflyfork_standins.scheduling import Profile, run_world

PROFILE = Profile(troubles=("answers_late",), trouble_gap_seconds=6.0, listing_counts=True)


class FullLinksTest(unittest.TestCase):
    """Nothing is wrong with the executors, nor with the owner."""

    def test_a_task_whose_end_is_on_its_way_is_not_started_again(self) -> None:
        """Something large is on its way over the link between two regions, and answers of executors on its
        far side take seconds. Their owner breaks each poll off before its answer comes, takes them for
        silent, lets their leases run out and starts their tasks again elsewhere, also those whose good end
        had been listed in an answer that it didn't wait for. Their users get everything twice.
        """
        for seed in range(700, 706):
            with self.subTest(seed):
                self.assertEqual(run_world(seed, PROFILE).violations, [])
