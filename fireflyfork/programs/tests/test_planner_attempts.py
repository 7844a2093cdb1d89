"""Tests of the attempts that a planner starts under single failures."""

import unittest
from dataclasses import replace

import trio

from fireflyfork_standins import EventKind, Faults, history_problems

from ... import JobId, TaskId, WorkerId
from ...decisions import LeaseRules, PlanningRules, TaskState
from .builders_faults import Fault, FaultKind, PlannerSequence
from .builders_planner import make_submission, run_simulated, until

JOB = JobId("night")
FIRST = TaskId("night/0")
LONG_LEASES = PlanningRules(LeaseRules(lease=30.0, silence=8.0, margin=3.0))
"""Leases that outlast ``silence``, so an unreachable worker runs on after the planner notices."""


def starts_of(planners: PlannerSequence, task_id: TaskId) -> list[tuple[int, WorkerId]]:
    """Return the attempt number and worker of each start of a task."""
    return [
        (event.attempt, event.worker_id)
        for event in planners.workers.history
        if event.task_id == task_id and event.kind is EventKind.STARTED
    ]


def state_of(planners: PlannerSequence, task_id: TaskId) -> TaskState | None:
    """Return the state of an open task at the current owner."""
    state = planners.runner.state
    task = state.table.tasks.get(task_id) if state is not None else None
    return task.state if task is not None else None


class StartsTest(unittest.TestCase):
    """Tasks start only after their intent is stored, and only once."""

    def test_nothing_starts_while_the_store_is_away(self) -> None:
        """Guards against a start without a stored intent, which the next planner would repeat."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery)
                await planners.submit(make_submission(tasks=3, run_seconds=5.0))
                planners.store.down = True
                await trio.sleep(30.0)
                self.assertEqual(planners.workers.history, [])
                planners.store.down = False
                await until(lambda: planners.is_over(JOB))
                self.assertEqual(len(starts_of(planners, FIRST)), 1)
                nursery.cancel_scope.cancel()

        run_simulated(body)

    def test_running_work_goes_on_in_a_store_outage(self) -> None:
        """Running tasks must continue while the store is unavailable for longer than a lease."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery)
                await planners.submit(make_submission(tasks=3, run_seconds=40.0))
                await until(lambda: state_of(planners, FIRST) is TaskState.RUNNING)
                planners.store.down = True
                await trio.sleep(60.0)
                planners.store.down = False
                await until(lambda: planners.is_over(JOB))
                self.assertEqual(len(starts_of(planners, FIRST)), 1)
                nursery.cancel_scope.cancel()

        run_simulated(body)

    def test_a_start_that_arrives_late(self) -> None:
        """Guards against a task that runs on two workers because a delayed start order arrives."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery)
                planners.platform.late_orders = 1
                planners.platform.late_seconds = 30.0
                planners.workers.faults = Faults(unreachable=(WorkerId("w0"),))
                await planners.submit(make_submission(tasks=1, run_seconds=60.0))
                await until(lambda: len(starts_of(planners, FIRST)) == 1)
                self.assertNotEqual(starts_of(planners, FIRST)[0][1], WorkerId("w0"))
                planners.workers.faults = Faults()
                await until(lambda: planners.is_over(JOB))
                self.assertEqual(len(starts_of(planners, FIRST)), 1)
                nursery.cancel_scope.cancel()

        run_simulated(body)

    def test_a_renewal_that_arrives_late(self) -> None:
        """Guards against a run that was given up but continues because a delayed renewal arrives."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery, LONG_LEASES)
                await planners.submit(make_submission(tasks=1, run_seconds=200.0))
                await until(lambda: state_of(planners, FIRST) is TaskState.RUNNING)
                unreachable = Faults(unreachable=(starts_of(planners, FIRST)[0][1],))
                earlier = planners.gate
                earlier.close()
                await trio.sleep(4.0)
                planners.take_over()
                await trio.sleep(5.0)
                planners.workers.faults = unreachable
                await trio.sleep(20.2)
                planners.workers.faults = Faults()
                earlier.open()
                await trio.sleep(0.05)
                planners.workers.faults = unreachable
                await until(lambda: len(starts_of(planners, FIRST)) == 2)
                workers = planners.workers
                problems = list(history_problems(workers.history, workers.in_region("viti")))
                self.assertEqual(problems, [])
                nursery.cancel_scope.cancel()

        run_simulated(body)

    def test_cancelled_work_never_runs_again(self) -> None:
        """A job is cancelled, and the planner crashes before it can stop the running tasks."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery)
                await planners.submit(make_submission(tasks=30, run_seconds=30.0))
                await until(lambda: state_of(planners, FIRST) is TaskState.RUNNING)
                planners.platform.down = True
                self.assertTrue(await planners.runner.cancel(JOB, None))
                cancelled_at = trio.current_time()
                await planners.apply(Fault(FaultKind.PLANNER_KILLED, 0.0, 0.0, 0))
                await trio.sleep(1.0)
                planners.platform.down = False
                await until(lambda: planners.is_over(JOB))
                late = [
                    event
                    for event in planners.workers.history
                    if event.kind is EventKind.STARTED and event.time > cancelled_at
                ]
                self.assertEqual(late, [])
                state = planners.runner.state
                assert state is not None
                self.assertEqual(state.table.jobs[JOB].cancelled_count, 30)
                nursery.cancel_scope.cancel()

        run_simulated(body)


class IdleWorkersTest(unittest.TestCase):
    """Workers that have been idle for a long time."""

    def test_the_first_task_on_a_worker_that_was_idle(self) -> None:
        """Guards against evicting the first task on a worker that had nothing to report before."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery, report_lag=3.0)
                await trio.sleep(100.0)
                await planners.submit(make_submission(tasks=1, run_seconds=30.0))
                await until(lambda: planners.is_over(JOB))
                self.assertEqual(starts_of(planners, FIRST), [(1, WorkerId("w0"))])
                nursery.cancel_scope.cancel()

        run_simulated(body)


class BadWorkersTest(unittest.TestCase):
    """Workers and tasks that fail."""

    def test_a_worker_that_fails_everything(self) -> None:
        """If one of three workers fails all its tasks, the other workers finish the job."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery)
                planners.workers.faults = Faults(fail_all=(WorkerId("w0"),))
                await planners.submit(make_submission(tasks=12, run_seconds=4.0))
                await until(lambda: planners.is_over(JOB))
                state = planners.runner.state
                assert state is not None
                self.assertEqual(state.table.jobs[JOB].finished_count, 12)
                nursery.cancel_scope.cancel()

        run_simulated(body)

    def test_a_task_that_fails_everywhere_is_given_up(self) -> None:
        """A task that can never run must fail with a reason instead of being retried forever."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery)
                everywhere = tuple(WorkerId(f"w{index}") for index in range(3))
                planners.workers.faults = Faults(fail_all=everywhere)
                await planners.submit(make_submission(tasks=1))
                await until(lambda: planners.is_over(JOB))
                state = planners.runner.state
                assert state is not None
                job = state.table.jobs[JOB]
                self.assertEqual(job.failed_count, 1)
                self.assertIn("failed 3 times on 3 workers", job.failures[0].reason)
                nursery.cancel_scope.cancel()

        run_simulated(body)

    def test_a_worker_that_falls_silent(self) -> None:
        """Tasks of an unreachable worker start elsewhere, but only after their leases have ended."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                planners = PlannerSequence(nursery, LONG_LEASES)
                await planners.submit(make_submission(tasks=4, run_seconds=200.0))
                await until(lambda: state_of(planners, FIRST) is TaskState.RUNNING)
                faults = planners.workers.faults
                lost = starts_of(planners, FIRST)[0][1]
                planners.workers.faults = replace(faults, unreachable=(lost,))
                await until(lambda: planners.is_over(JOB))
                starts = starts_of(planners, FIRST)
                self.assertEqual(len(starts), 2)
                self.assertNotEqual(starts[1][1], lost)
                workers = planners.workers
                problems = list(history_problems(workers.history, workers.in_region("viti")))
                self.assertEqual(problems, [])
                nursery.cancel_scope.cancel()

        run_simulated(body)
