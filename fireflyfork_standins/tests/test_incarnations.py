"""Executors that start anew under their ids, while what was meant for their earlier lives is on its way."""

import unittest

from fireflyfork_standins.scheduling import INCARNATION_TROUBLES, Profile, run_world

PROFILE = Profile(
    jobs_per_second=4.0,
    troubles=INCARNATION_TROUBLES,
    trouble_gap_seconds=2.0,
    longest_lease_seconds=10.0,
)
SEEDS_OF_SECOND_RUNS = (1005, 1009, 1031, 1034, 1035, 1037, 1051, 1053)
"""Days on which a task that had ended well was started again."""


class IncarnationsTest(unittest.TestCase):
    """Nothing runs twice, whichever life an order reaches."""

    def test_no_task_that_ended_well_runs_again(self) -> None:
        """An executor starts anew under its id while an order or a renewal is on its way to it, and is cut
        off for some seconds before its owner has noticed. Its task ends well there. The owner takes the
        task for over too early and starts it again elsewhere, and when the executor is back it lists the
        end of the first run. The task's user gets two letters, two bookings, two certificates.

        The order carried a deadline by the clock of the last life, far ahead of the new one's, and the new
        life took it up to the longest lease there is, twice what the owner reckoned with. The log of such a
        day shows the second start after "its lease lapsed", 5.25 s after the last renewal, and the executor
        with a lease of 10 s that no order by its own clock gave it.
        """
        for seed in SEEDS_OF_SECOND_RUNS:
            with self.subTest(seed):
                self.assertEqual(run_world(seed, PROFILE).violations, [])
