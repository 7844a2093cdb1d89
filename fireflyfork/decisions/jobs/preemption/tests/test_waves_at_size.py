"""Urgent waves into a fleet of 176 executors that is full of less urgent work."""

import unittest
from unittest.mock import patch

from ... import PreemptionSettings
from ...tests.builders_jobs import step
from .._preemption import EXECUTORS_PER_SEARCH, MAX_SEARCHES_PER_TICK
from .._room_plans import RoomPlanner
from .builders_preemption import STOP_SECONDS, URGENT, PreemptingOwner
from .builders_waves import EXECUTORS, URGENT_TASKS, play_urgent_waves

POLL_SECONDS = 0.2
"""A stop's end is listed, and the start sent, within two ticks."""


class UrgentWavesTest(unittest.TestCase):
    """How soon urgent tasks start, and what is thrown away for them."""

    def test_urgent_tasks_start_within_the_time_of_a_stop(self) -> None:
        """Guards against urgent tasks that wait for a fleet full of less urgent ones."""
        outcome = play_urgent_waves(PreemptionSettings(True, 0.1))
        self.assertEqual(len(outcome.waits), URGENT_TASKS)
        self.assertLessEqual(max(outcome.waits), STOP_SECONDS + POLL_SECONDS)
        self.assertLessEqual(len(outcome.stopped), URGENT_TASKS)
        self.assertEqual(outcome.thrown_away_core_seconds, 0.0)

    def test_a_search_costs_no_more_in_a_larger_fleet(self) -> None:
        """Guards against an owner whose rounds take long while a whole wave finds no room."""
        owner = PreemptingOwner(*(f"i-{number}" for number in range(6 * EXECUTORS)))
        for _ in range(6 * EXECUTORS):
            owner.submit(URGENT, step(cpu_millis=16_000, estimate_ms=30_000))
        owner.run_until_listed(0.2)
        for _ in range(20):
            owner.submit(URGENT, step(count=4, cpu_millis=4_000))
        with patch.object(RoomPlanner, "plan", return_value=None) as plan:
            owner.run_until_listed(0.1)
        self.assertGreater(plan.call_count, 0)
        self.assertLessEqual(plan.call_count, EXECUTORS_PER_SEARCH * MAX_SEARCHES_PER_TICK)

    def test_without_the_policy_they_wait(self) -> None:
        self.assertEqual(play_urgent_waves(PreemptionSettings()).waits, ())
