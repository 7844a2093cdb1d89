"""Urgent tasks that find every executor full of less urgent work."""

import unittest

from ....._waits import WaitReason
from ... import MoveReason, PreemptionSettings, RoomMade, RunMoved, TaskSent
from ...tests.builders_jobs import START_MS, step
from .._losses import MIN_SECONDS_BETWEEN_STOPS
from .builders_preemption import OTHER, STOP_SECONDS, URGENT, PreemptingOwner

WHOLE = step(cpu_millis=16_000, estimate_ms=4_000)
"""A task that takes all processors of an executor."""
HALF = step(cpu_millis=8_000, estimate_ms=4_000)
URGENT_WHOLE = step(cpu_millis=16_000, estimate_ms=4_000)


class VictimsTest(unittest.TestCase):
    """Which runs are stopped."""

    def _fill(self, owner: PreemptingOwner, *steps: object, seconds: float = 0.2) -> None:
        for spec in steps:
            owner.submit(OTHER, spec)  # type: ignore[arg-type]
            owner.run_until_listed(seconds)

    def test_an_urgent_task_starts_within_the_time_of_a_stop(self) -> None:
        """Guards against urgent tasks that wait until less urgent ones end by themselves."""
        owner = PreemptingOwner("i-0")
        self._fill(owner, WHOLE)
        urgent = owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(len(owner.runs_of(urgent)), 1)
        notes = owner.scheduler.take_notes()
        moved = [note.reason for note in notes if isinstance(note, RunMoved)]
        self.assertEqual(moved, [MoveReason.PREEMPTION])
        sent = [note.waited_for for note in notes if isinstance(note, TaskSent)]
        self.assertEqual(sent, [WaitReason.NOTHING, WaitReason.PROCESSORS])
        self.assertEqual([note.stopped for note in notes if isinstance(note, RoomMade)], [1])

    def test_the_run_is_stopped_that_loses_least(self) -> None:
        """Guards against stopping a run that is nearly done while another one has just begun."""
        owner = PreemptingOwner("i-0", "i-1")
        self._fill(owner, WHOLE, WHOLE, seconds=1.0)
        youngest = owner.started[-1]
        owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [youngest])

    def test_saved_work_is_not_lost(self) -> None:
        owner = PreemptingOwner("i-0", "i-1")
        saving = step(cpu_millis=16_000, estimate_ms=4_000, checkpointing=True)
        self._fill(owner, saving, WHOLE, seconds=1.1)
        saved = owner.started[0]
        owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [saved])

    def test_of_two_runs_on_an_executor_the_younger_one_is_stopped(self) -> None:
        owner = PreemptingOwner("i-0")
        self._fill(owner, HALF, HALF, seconds=1.0)
        owner.submit(URGENT, HALF)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [owner.started[1]])

    def test_what_is_too_small_to_help_goes_on(self) -> None:
        """Guards against cheap runs that are stopped beside the one whose room is needed."""
        owner = PreemptingOwner("i-0")
        large = step(cpu_millis=12_000, estimate_ms=4_000)
        self._fill(owner, large, step(cpu_millis=4_000, estimate_ms=4_000), seconds=0.5)
        owner.submit(URGENT, large)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [owner.started[0]])

    def test_memory_is_freed_where_it_is_missing(self) -> None:
        """Guards against stops of work that reserves no processors for the sake of processors."""
        owner = PreemptingOwner("i-0")
        self._fill(owner, step(uses_leftover_cpu=True, memory_mb=60_000, estimate_ms=4_000))
        owner.submit(URGENT, step(memory_mb=8_000, estimate_ms=4_000))
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(len(owner.stopped), 1)

    def test_leftover_work_is_not_stopped_for_processors(self) -> None:
        owner = PreemptingOwner("i-0")
        serving = step(cpu_millis=16_000, long_running=True)
        owner.submit(URGENT, serving)
        self._fill(owner, step(uses_leftover_cpu=True, cpu_millis=8_000, estimate_ms=4_000))
        owner.submit(URGENT, HALF)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [])

    def test_what_is_protected_is_not_stopped(self) -> None:
        """Guards against stops of equally urgent work, of gangs, and of services beyond budget."""
        for name, queue, spec in (
            ("equally urgent", URGENT, WHOLE),
            ("gang", OTHER, step(count=2, cpu_millis=8_000, estimate_ms=4_000, gang=True)),
            ("service without budget", OTHER, step(cpu_millis=16_000, long_running=True)),
        ):
            with self.subTest(name):
                owner = PreemptingOwner("i-0")
                owner.submit(queue, spec)
                owner.run_until_listed(1.5)
                owner.submit(URGENT, URGENT_WHOLE)
                owner.run_until_listed(STOP_SECONDS)
                self.assertEqual(owner.stopped, [])

    def test_the_budget_of_a_service_bounds_its_stops(self) -> None:
        """Guards against two tasks of a service that are away where one may be missing."""
        owner = PreemptingOwner("i-0", "i-1")
        served = step(
            count=2, cpu_millis=14_000, estimate_ms=500, long_running=True, unavailable_budget=1
        )
        owner.submit(OTHER, served)
        owner.run_until_listed(2.0)
        owner.submit(URGENT, step(count=2, cpu_millis=16_000, estimate_ms=4_000))
        owner.run_until_listed(3.0)
        self.assertEqual(len(owner.stopped), 1)

    def test_work_is_not_thrown_away_for_less(self) -> None:
        """Guards against a fleet that does less for all callers than if the task had waited."""
        owner = PreemptingOwner("i-0")
        self._fill(owner, WHOLE, seconds=2.0)
        owner.submit(URGENT, step(cpu_millis=4_000, estimate_ms=500))
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [])

    def test_nothing_is_stopped_on_an_executor_that_is_leaving(self) -> None:
        owner = PreemptingOwner("i-0", "i-1")
        self._fill(owner, WHOLE)
        self._fill(owner, WHOLE)
        owner.executor("i-0").cordoned = True
        owner.submit(URGENT, step(count=2, cpu_millis=16_000, estimate_ms=4_000))
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual([run.executor.executor for run in owner.stopped], ["i-1"])

    def test_nothing_is_stopped_while_the_policy_is_off(self) -> None:
        owner = PreemptingOwner("i-0", preemption=PreemptionSettings())
        self._fill(owner, WHOLE)
        owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(1.0)
        self.assertEqual(owner.stopped, [])

    def test_nothing_is_stopped_for_a_job_that_is_beyond_use(self) -> None:
        owner = PreemptingOwner("i-0")
        self._fill(owner, WHOLE)
        owner.submit(URGENT, URGENT_WHOLE, accepted_ms=START_MS - 3_600_000)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [])


class RestraintTest(unittest.TestCase):
    """How much is stopped, and how often."""

    def test_room_that_comes_free_as_soon_is_awaited(self) -> None:
        """Guards against the stop of a run that is over before the stop is."""
        owner = PreemptingOwner("i-0")
        owner.submit(OTHER, WHOLE)
        owner.run_until_listed(3.8)
        urgent = owner.submit(URGENT, URGENT_WHOLE)
        owner.submit(OTHER, WHOLE)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [])
        self.assertEqual(len(owner.runs_of(urgent)), 1)

    def test_a_run_that_is_about_to_end_is_not_stopped_beside_others(self) -> None:
        """Guards against a victim whose room comes free anyway, and is counted twice."""
        owner = PreemptingOwner("i-0")
        owner.submit(OTHER, step(cpu_millis=8_000, estimate_ms=4_000, checkpointing=True))
        owner.run_until_listed(2.4)
        owner.submit(OTHER, HALF)
        owner.run_until_listed(1.4)
        owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(0.1)
        self.assertEqual(owner.stopped, [owner.started[1]])

    def test_room_that_is_not_free_in_time_is_not_awaited_for_long(self) -> None:
        """Guards against an urgent task that waits beside a run which is always about to end."""
        owner = PreemptingOwner("i-0", "i-1")
        owner.submit(OTHER, WHOLE)
        owner.run_until_listed(3.8)
        owner.stuck.add(owner.started[0])
        saving = step(cpu_millis=16_000, estimate_ms=60_000, checkpointing=True)
        owner.submit(OTHER, saving)
        owner.run_until_listed(0.2)
        owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [])
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [owner.started[1]])

    def test_the_budget_bounds_the_stops_of_ten_seconds(self) -> None:
        """Guards against a wave of urgent tasks that clears the fleet."""
        names = [f"i-{number}" for number in range(40)]
        owner = PreemptingOwner(*names, preemption=PreemptionSettings(True, 0.1))
        slow = step(count=40, cpu_millis=16_000, estimate_ms=60_000)
        owner.submit(OTHER, slow)
        owner.run_until_listed(0.3)
        owner.submit(URGENT, step(count=40, cpu_millis=16_000, estimate_ms=60_000))
        owner.run_until_listed(10.0)
        self.assertGreater(len(owner.stopped), 2)
        self.assertLessEqual(len(owner.stopped), 2 + 0.1 * 40)

    def test_a_task_is_not_stopped_again_soon(self) -> None:
        """Guards against a less urgent task that never ends while urgent ones arrive in waves."""
        owner = PreemptingOwner("i-0")
        saving = step(cpu_millis=16_000, estimate_ms=20_000, checkpointing=True)
        victim = owner.submit(OTHER, saving)
        owner.run_until_listed(0.3)
        for _ in range(4):
            owner.submit(URGENT, step(cpu_millis=16_000, estimate_ms=1_000))
            owner.run_until_listed(MIN_SECONDS_BETWEEN_STOPS / 5)
        self.assertEqual(len(owner.stopped), 1)
        owner.run_until_listed(1.0)
        self.assertEqual(len(owner.runs_of(victim)), 1)

    def test_leftover_work_is_paused_rather_than_stopped(self) -> None:
        """Guards against stops where a pause frees as much, and against pauses without an end."""
        owner = PreemptingOwner("i-0")
        filling = step(
            count=2, cpu_millis=14_000, memory_mb=100, uses_leftover_cpu=True, estimate_ms=9_000
        )
        owner.submit(OTHER, filling)
        owner.run_until_listed(0.3)
        urgent = owner.submit(
            URGENT, step(cpu_millis=10_000, uses_leftover_cpu=True, estimate_ms=5_000)
        )
        owner.run_until_listed(0.4)
        self.assertEqual(len(owner.runs_of(urgent)), 1)
        self.assertEqual(owner.stopped, [])
        self.assertEqual({percent for _, percent in owner.paced}, {0})
        owner.run_until_listed(7.0)
        self.assertTrue(owner.is_over(urgent))
        self.assertEqual(owner.stopped, [])
        self.assertGreater(owner.paced[-1][1], 0)
