"""Tests with executors that restart under their ids while calls to earlier incarnations are in
transit."""

import unittest

from fireflyfork_standins.scheduling import INCARNATION_TROUBLES, Profile, run_day

PROFILE = Profile(
    jobs_per_second=4.0,
    troubles=INCARNATION_TROUBLES,
    trouble_gap_seconds=2.0,
    max_lease_seconds=10.0,
)
SEEDS_OF_SECOND_RUNS = (1005, 1009, 1031, 1034, 1035, 1037, 1051, 1053)
"""Seeds of days on which a completed task was started again."""


class IncarnationsTest(unittest.TestCase):
    """No task runs twice, whichever incarnation an order reaches."""

    def test_no_task_that_ended_well_runs_again(self) -> None:
        """An executor restarts under its id while an order or a renewal is in transit to it, and is cut
        off for some seconds before its owner notices the restart. Its task completes there. The owner
        considers the task's lease expired too early and starts the task again elsewhere. When the
        executor is reachable again, it lists the end of the first run, so the task has run twice.

        The cause was that the deadline in the order was a reading of the last incarnation's clock, far
        ahead of the new one's. The new incarnation cut it to the maximum lease of 10 s, which is twice
        the lease that the owner assumed. The log of such a day shows the second start after "its lease
        lapsed", 5.25 s after the last renewal, while the executor had a lease of 10 s that no order by
        its own clock had granted.
        """
        for seed in SEEDS_OF_SECOND_RUNS:
            with self.subTest(seed):
                self.assertEqual(run_day(seed, PROFILE).violations, [])
