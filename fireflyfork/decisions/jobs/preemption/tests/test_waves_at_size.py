"""Urgent waves into a fleet of 176 executors that is full of less urgent work."""

import unittest
from unittest.mock import patch

from ... import PreemptionSettings, RoomMade, Run, StepSpec
from ...tests.builders_jobs import step
from .._preemption import EXECUTORS_PER_SEARCH, MAX_SEARCHES_PER_TICK
from .._room_plans import RoomPlanner
from .builders_preemption import OTHER, STOP_SECONDS, URGENT, PreemptingOwner

EXECUTORS = 176
POLL_SECONDS = 0.2
"""A stop's end is listed, and the start sent, within two ticks."""


class UrgentWavesTest(unittest.TestCase):
    """How soon urgent tasks start, and what is thrown away for them."""

    def _play(self, preemption: PreemptionSettings) -> tuple[PreemptingOwner, list[float], float]:
        """Play two waves. Returns the owner, how long urgent tasks waited, and the lost work."""
        names = [f"i-{number}" for number in range(EXECUTORS)]
        owner = PreemptingOwner(*names, preemption=preemption)
        slow = step(count=4, cpu_millis=4_000, memory_mb=1_000, estimate_ms=30_000)
        for number in range(EXECUTORS):
            owner.submit(OTHER, slow if number % 2 else _saving())
        owner.run_until_listed(10.0)
        submitted: dict[str, float] = {}
        for _ in range(2):
            for _ in range(4):
                urgent = step(count=4, cpu_millis=4_000, memory_mb=1_000, estimate_ms=3_000)
                submitted[owner.submit(URGENT, urgent).job] = owner.now
            owner.run_until_listed(5.0)
        waits = [
            run.ordered_at - submitted[run.task.job.spec.job]
            for run in owner.started
            if run.task.job.spec.job in submitted
        ]
        notes = [note for note in owner.scheduler.take_notes() if isinstance(note, RoomMade)]
        return owner, waits, sum(note.lost_core_seconds for note in notes)

    def test_urgent_tasks_start_within_the_time_of_a_stop(self) -> None:
        """Guards against urgent tasks that wait for a fleet full of less urgent ones."""
        owner, waits, lost = self._play(PreemptionSettings(True, 0.1))
        self.assertEqual(len(waits), 32)
        self.assertLessEqual(max(waits), STOP_SECONDS + POLL_SECONDS)
        urgent_work = 32 * 4.0 * 3.0
        self.assertLessEqual(lost, urgent_work)
        self.assertLessEqual(len(set(owner.stopped)), 32)
        self.assertTrue(all(_saves(run) for run in owner.stopped))

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
        _, waits, _ = self._play(PreemptionSettings())
        self.assertEqual(waits, [])


def _saving() -> StepSpec:
    return step(count=4, cpu_millis=4_000, memory_mb=1_000, estimate_ms=30_000, checkpointing=True)


def _saves(run: Run) -> bool:
    return run.task.spec.checkpointing
