"""Example-based tests of the placement policy: starts, waiting tasks, evictions and refusals."""

import unittest
from math import exp

from ...._contracts import TeamContract, Tolerance, Weights
from ...._ids import WorkerId
from ...._machines import Resources
from ..._placement_policy import (
    CheckpointAndEvict,
    Start,
    Throttle,
)
from ..._task_changes import AttemptOutcome
from .. import InterferenceAwarePolicy
from .builders_placement import (
    GIGABYTE,
    LETTERS,
    OBJECTIVE_MILLISECONDS,
    QUOTES,
    replica_shape,
    shape,
    size,
    table,
)


class FeasibilityTest(unittest.TestCase):
    """Tasks that can never run, and tasks that wait."""

    def test_infeasible(self) -> None:
        """Guards against queueing jobs that can never run and would wait forever."""
        task_table = table(InterferenceAwarePolicy())
        task_table.teams[QUOTES] = TeamContract(QUOTES, size(4, 4))
        cases = [
            (shape(size(17, 1)), "can ever hold"),
            (shape(size(1, 1, accelerators=1)), "can ever hold"),
            (shape(size(8, 1), team=QUOTES), "whole quota"),
            (shape(team=QUOTES, urgent=True), "may not submit urgent"),
            (shape(size(16, 60)), ""),
        ]
        for job, expected in cases:
            with self.subTest(expected=expected):
                reason = task_table.policy.infeasible(job, task_table.workers, task_table.teams)
                self.assertIn(expected, reason)
                self.assertEqual(bool(expected), bool(reason))

    def test_why_waiting(self) -> None:
        """Guards against waiting tasks whose missing resource is not shown to operators."""
        task_table = table(InterferenceAwarePolicy(), workers=1)
        task_table.teams[QUOTES] = TeamContract(QUOTES, size(4, 10))
        task_table.submit(shape(size(4, 4), team=QUOTES))
        task_table.submit(shape(size(11, 4)))
        over_quota = task_table.submit(shape(size(1, 1), team=QUOTES))[0]
        no_room = task_table.submit(shape(size(2, 1)))[0]
        task_table.run_round()
        view = task_table.view()
        cases = [(over_quota, "WaitsForQuota"), (no_room, "WaitsForRoom")]
        for task_id, kind in cases:
            with self.subTest(kind=kind):
                reason = task_table.policy.why_waiting(task_table.tasks[task_id], view)
                assert reason is not None
                self.assertEqual(reason.as_json()["kind"], kind)
                self.assertTrue(reason.sentence().startswith("Waits"))


class FairnessTest(unittest.TestCase):
    """Teams share the workers in proportion to their quotas."""

    def test_many_tasks_of_one_team_do_not_starve_another(self) -> None:
        """Guards against a task that waits until hundreds of another team's tasks have run."""
        task_table = table(InterferenceAwarePolicy(), workers=1)
        task_table.submit(shape(size(1, 1), team=QUOTES), 300)
        late = task_table.submit(shape(size(1, 1)))[0]
        task_table.run_round()
        self.assertIsNotNone(task_table.tasks[late].worker_id)


class ReplicaTest(unittest.TestCase):
    """Replicas of a service are spread over racks and failure domains."""

    def test_replicas_spread(self) -> None:
        """Guards against losing all replicas of a service with one rack or failure domain."""
        task_table = table(InterferenceAwarePolicy(), workers=8)
        task_table.submit(replica_shape(), 4)
        task_table.run_round()
        places = [
            task_table.workers[task.worker_id] for task in task_table.running() if task.worker_id
        ]
        self.assertEqual(len({place.rack for place in places}), 4)
        domains = [place.failure_domain for place in places]
        self.assertEqual(sorted(domains), ["domain-0", "domain-0", "domain-1", "domain-1"])


class UrgentPlacementTest(unittest.TestCase):
    """Urgent tasks don't wait until batch tasks finish."""

    def test_urgent_work_evicts_the_least_lost_work(self) -> None:
        """Guards against evicting the task that loses more work, or more tasks than necessary.

        An urgent task arrives while batch tasks fill the fleet.
        """
        task_table = table(InterferenceAwarePolicy(), workers=1)
        old = task_table.submit(shape(size(8, 10)))[0]
        task_table.run_round()
        task_table.now += 300.0
        young = task_table.submit(shape(size(8, 10)))[0]
        task_table.run_round()
        urgent = task_table.submit(shape(size(4, 4), urgent=True))[0]
        commands = task_table.run_round()
        evicted = [item.task_id for item in commands if isinstance(item, CheckpointAndEvict)]
        self.assertEqual(evicted, [young])
        task_table.run_round()
        self.assertEqual(task_table.evictions, 1)
        task_table.end(young, AttemptOutcome.STOPPED)
        task_table.submit(shape(size(8, 10)))
        task_table.run_round()
        self.assertIsNotNone(task_table.tasks[urgent].worker_id)
        self.assertIsNotNone(task_table.tasks[old].worker_id)

    def test_tasks_without_tolerance_are_not_evicted(self) -> None:
        """Guards against evicting tasks of a team whose tolerance doesn't allow eviction."""
        task_table = table(InterferenceAwarePolicy(), workers=1)
        for tolerance in (Tolerance.NONE, Tolerance.THROTTLE):
            task_table.submit(shape(size(8, 10), tolerance=tolerance))
        task_table.run_round()
        task_table.submit(shape(size(4, 4), urgent=True))
        self.assertEqual(task_table.run_round(), [])


class ReliefTest(unittest.TestCase):
    """Slowed services are relieved by throttling, then by eviction; later, limits are lifted."""

    def test_throttle_then_evict_then_relax(self) -> None:
        """Guards against ignoring a noisy neighbour, and against eviction before throttling."""
        task_table = table(InterferenceAwarePolicy(), workers=1)
        desk = task_table.submit(replica_shape())[0]
        noisy = task_table.submit(shape(size(4, 4), task_class="noisy"))[0]
        task_table.run_round()
        steps = []
        for _ in range(20):
            task_table.report(noisy, size(4, 4))
            task_table.report(desk, size(1, 1), tail=3 * OBJECTIVE_MILLISECONDS)
            steps += [type(command) for command in task_table.run_round(3.0)]
            if CheckpointAndEvict in steps:
                break
        self.assertEqual(steps, [Throttle, Throttle, CheckpointAndEvict])
        task_table.end(noisy, AttemptOutcome.STOPPED)
        task_table.tasks.pop(noisy)

    def test_evictions_stop_at_the_budget(self) -> None:
        """Guards against evicting all batch tasks after one shift of load."""
        task_table = table(InterferenceAwarePolicy(), workers=8)
        task_table.weights = Weights(tail_latency=10.0)
        desks = task_table.submit(replica_shape(), 8)
        noisy = task_table.submit(shape(size(12, 12), task_class="noisy"), 8)
        task_table.run_round()
        for _ in range(60):
            load_by_worker: dict[WorkerId | None, float] = {}
            for task_id in noisy:
                task = task_table.tasks[task_id]
                limit = task.millicores_limit or task.reservation.millicores
                load_by_worker[task.worker_id] = limit / 16_000
                if task.worker_id is not None:
                    task_table.report(task_id, Resources(limit, GIGABYTE))
            for task_id in desks:
                share = load_by_worker.get(task_table.tasks[task_id].worker_id, 0.0)
                task_table.report(task_id, size(1, 1), tail=OBJECTIVE_MILLISECONDS * exp(6 * share))
            task_table.run_round(3.0)
        self.assertEqual(task_table.evictions, 2)

    def test_lagging_reports_of_one_cause_throttle_once(self) -> None:
        """Guards against throttling again because of measurements taken before the throttle."""
        task_table = table(InterferenceAwarePolicy(), workers=1)
        desk = task_table.submit(replica_shape())[0]
        noisy = task_table.submit(shape(size(4, 4), task_class="noisy"))[0]
        task_table.run_round()
        task_table.report(noisy, size(4, 4))
        commands = []
        for second in range(10):
            tail = 2 * OBJECTIVE_MILLISECONDS
            task_table.report(desk, size(1, 1), tail=tail, lag=10.0 - second * 0.1)
            commands += task_table.run_round()
        self.assertEqual([type(command) for command in commands], [Throttle])

    def test_limits_are_lifted_when_calm(self) -> None:
        """Guards against a limit that is never lifted and slows a batch task until its end."""
        task_table = table(InterferenceAwarePolicy(), workers=1)
        desk = task_table.submit(replica_shape())[0]
        noisy = task_table.submit(shape(size(4, 4), task_class="noisy"))[0]
        task_table.run_round()
        for ratio in [2.0] * 3 + [0.3] * 40:
            task_table.report(noisy, size(4, 4))
            task_table.report(desk, size(1, 1), tail=ratio * OBJECTIVE_MILLISECONDS)
            task_table.run_round(3.0)
        self.assertIsNone(task_table.tasks[noisy].millicores_limit)


class FailureAttributionTest(unittest.TestCase):
    """Failures are attributed to the worker or to the task."""

    def test_a_worker_that_fails_everything_is_quarantined(self) -> None:
        """Guards against a worker that fails tasks fast, so it has room and attracts all tasks."""
        task_table = table(InterferenceAwarePolicy(), workers=4)
        broken = WorkerId("worker-1")
        failures = 0
        for _ in range(40):
            task_table.submit(shape(size(4, 4)))
            task_table.run_round()
            for task in list(task_table.running()):
                if task.worker_id == broken:
                    failures += 1
                    task_table.end(task.task_id, AttemptOutcome.FAILED, "broken disk")
        self.assertEqual(failures, 4)
        self.assertEqual(task_table.refused, {})

    def test_a_task_that_fails_everywhere_is_given_up(self) -> None:
        """Guards against retrying a task forever that crashes on every worker."""
        task_table = table(InterferenceAwarePolicy(), workers=6)
        task_id = task_table.submit(shape())[0]
        starts = 0
        for _ in range(10):
            starts += sum(isinstance(command, Start) for command in task_table.run_round())
            if task_id in task_table.tasks and task_table.tasks[task_id].worker_id is not None:
                task_table.end(task_id, AttemptOutcome.FAILED, "exit status 1")
        self.assertEqual(starts, 3)
        self.assertIn("failed on 3 different workers", task_table.refused[task_id].reason)

    def test_failures_of_one_job_quarantine_no_worker(self) -> None:
        """Guards against quarantining workers because all tasks of a single job crash."""
        task_table = table(InterferenceAwarePolicy(), workers=4)
        task_table.submit(shape(), 20)
        for _ in range(6):
            task_table.run_round()
            for task in list(task_table.running()):
                task_table.end(task.task_id, AttemptOutcome.FAILED, "exit status 1")
        self.assertEqual(len(task_table.refused), 20)
        task_table.submit(shape(size(16, 1)), 4)
        task_table.run_round()
        self.assertEqual(len({task.worker_id for task in task_table.running()}), 4)


class LearnedSizesTest(unittest.TestCase):
    """Reservations when declared sizes differ from usage."""

    def test_sizes_shrink_and_grow_with_usage(self) -> None:
        """Guards against an idle fleet when tasks declare four times what they use."""
        task_table = table(InterferenceAwarePolicy(), workers=2)
        for _ in range(10):
            for task_id in task_table.submit(shape(size(4, 8)), 4):
                task_table.run_round(0.1)
                task_table.report(task_id, size(1, 2))
                task_table.end(task_id, AttemptOutcome.FINISHED)
        task_id = task_table.submit(shape(size(4, 8)))[0]
        task_table.run_round()
        reservation = task_table.tasks[task_id].reservation
        self.assertTrue(reservation.fits_in(size(2.5, 5)), reservation)
        self.assertTrue(size(1, 2.2).fits_in(reservation), reservation)

    def test_memory_is_not_reduced_before_enough_peaks_are_known(self) -> None:
        """Guards against a task that runs out of memory after few samples.

        Three small tasks don't show the memory usage of the largest task.
        """
        task_table = table(InterferenceAwarePolicy(), workers=1)
        for task_id in task_table.submit(shape(size(1, 8)), 3):
            task_table.run_round()
            task_table.report(task_id, size(1, 1))
            task_table.end(task_id, AttemptOutcome.FINISHED)
        task_id = task_table.submit(shape(size(1, 8)))[0]
        task_table.run_round()
        self.assertEqual(task_table.tasks[task_id].reservation.memory, 8 * GIGABYTE)

    def test_memory_grows_after_a_task_ran_out_of_it(self) -> None:
        """Guards against retrying a task with the same memory after it ran out of memory."""
        task_table = table(InterferenceAwarePolicy(), workers=2)
        task_id = task_table.submit(shape(size(1, 8), team=LETTERS))[0]
        task_table.run_round()
        task_table.end(task_id, AttemptOutcome.FAILED, "out of memory")
        task_table.run_round()
        self.assertGreaterEqual(task_table.tasks[task_id].reservation.memory, 12 * GIGABYTE)
