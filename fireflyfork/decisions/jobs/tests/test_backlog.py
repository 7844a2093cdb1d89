"""A backlog of thousands of tasks while all executors are full.

For some seconds large steps arrive faster than they can be run, and the owner retries the waiting
tasks ten times a second, in addition to its other work.
"""

import unittest
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from .. import EndReason, _waiting_tasks
from .._placement import Placement
from .._service_state import ServiceState
from .._urgency import urgency
from .builders_jobs import START_MS, OwnerUnderTest, job, row, step

STEPS, TASKS = 60, 39


class BacklogTest(unittest.TestCase):
    """The cost of a backlog, and the order in which it is served."""

    def test_tick_cost_depends_on_steps_not_tasks(self) -> None:
        """Guards against an owner that spends all of its time on tasks that it can't place."""
        owner = OwnerUnderTest("i-0", "i-1")
        for number in range(STEPS):
            spec = step(count=TASKS, cpu_millis=1000 + number)
            owner.scheduler.accept(job(f"{number:016x}", spec), START_MS)
        owner.place()
        waiting = owner.scheduler.waiting_tasks
        self.assertGreater(waiting, 0.9 * STEPS * TASKS)
        with (
            patch.object(_waiting_tasks, "urgency", wraps=urgency) as sorted_by,
            patch.object(ServiceState, "needs_run", wraps=ServiceState.needs_run) as looked_at,
            patch.object(Placement, "_start", autospec=True, return_value=False) as tried,
        ):
            owner.scheduler.check_time(owner.now, START_MS)
            owner.scheduler.place(owner.now, START_MS)
        self.assertEqual(owner.scheduler.waiting_tasks, waiting)
        self.assertLessEqual(sorted_by.call_count, STEPS)
        self.assertLessEqual(looked_at.call_count, STEPS)
        self.assertLessEqual(tried.call_count, STEPS)

    @given(st.lists(st.tuples(st.integers(1, 5), st.integers(200, 9000)), min_size=1, max_size=8))
    def test_the_most_urgent_tasks_are_started(self, steps: list[tuple[int, int]]) -> None:
        """Guards against jobs that are overtaken by less urgent ones because tasks wait in
        groups."""
        owner = OwnerUnderTest("i-0")
        for number, (count, estimate_ms) in enumerate(steps):
            spec = step(count=count, cpu_millis=4000, estimate_ms=estimate_ms)
            owner.scheduler.accept(job(f"{number:016x}", spec), START_MS)
        tasks = sorted(owner.scheduler.jobs.live_tasks(), key=lambda task: urgency(task, START_MS))
        room = 16_000 // 4000
        least_urgent = max(urgency(task, START_MS) for task in tasks[:room])
        for run in owner.place():
            self.assertLessEqual(urgency(run.task, START_MS), least_urgent)

    def test_a_requeued_task_is_placed_before_the_next_tick(self) -> None:
        """Guards against tasks that wait for a tick although resources have become free."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job("00000000000000aa", step(count=5, cpu_millis=4000)), START_MS)
        runs = owner.place()
        self.assertEqual(len(runs), 4)
        owner.scheduler._state.remove_run(runs[0], owner.now, runs[0].task.last_run_over)
        self.assertEqual(len(owner.place()), 1)

    def test_a_restarted_long_running_task_may_use_the_short_task_reserve(self) -> None:
        """Guards against a service whose ended task is not restarted although resources are free.

        Tasks of its step that never ran may not have those resources, since they are kept free from
        new tasks.
        """
        owner = OwnerUnderTest("i-0")
        long_running_step = step(count=20, cpu_millis=1000, memory_mb=100, long_running=True)
        owner.scheduler.accept(job("00000000000000aa", long_running_step), START_MS)
        runs = owner.place()
        self.assertEqual(len(runs), 14)
        owner.end("i-0", runs[3].task.name, runs[3].attempt, EndReason.FAILED)
        owner.poll("i-0", *(row(run) for run in runs if run is not runs[3]))
        owner.executor().incoming_cpu_millis = 3000
        self.assertEqual(owner.place(), [])
        owner.executor().incoming_cpu_millis = 0
        owner.scheduler.check_time(owner.now, START_MS)
        again = {run.task.name for run in owner.place()}
        self.assertIn(runs[3].task.name, again)
