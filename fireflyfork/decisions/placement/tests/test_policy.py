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
        small = table(InterferenceAwarePolicy())
        small.teams[QUOTES] = TeamContract(QUOTES, size(4, 4))
        cases = [
            (shape(size(17, 1)), "can ever hold"),
            (shape(size(1, 1, accelerators=1)), "can ever hold"),
            (shape(size(8, 1), team=QUOTES), "whole quota"),
            (shape(team=QUOTES, urgent=True), "may not submit urgent"),
            (shape(size(16, 60)), ""),
        ]
        for job, expected in cases:
            with self.subTest(expected=expected):
                reason = small.policy.infeasible(job, small.workers, small.teams)
                self.assertIn(expected, reason)
                self.assertEqual(bool(expected), bool(reason))

    def test_why_waiting(self) -> None:
        """Guards against waiting tasks whose missing resource is not shown to operators."""
        small = table(InterferenceAwarePolicy(), workers=1)
        small.teams[QUOTES] = TeamContract(QUOTES, size(4, 10))
        small.submit(shape(size(4, 4), team=QUOTES))
        small.submit(shape(size(11, 4)))
        over_quota = small.submit(shape(size(1, 1), team=QUOTES))[0]
        no_room = small.submit(shape(size(2, 1)))[0]
        small.round()
        view = small.view()
        cases = [(over_quota, "WaitsForQuota"), (no_room, "WaitsForRoom")]
        for task_id, kind in cases:
            with self.subTest(kind=kind):
                reason = small.policy.why_waiting(small.tasks[task_id], view)
                assert reason is not None
                self.assertEqual(reason.as_json()["kind"], kind)
                self.assertTrue(reason.sentence().startswith("Waits"))


class FairnessTest(unittest.TestCase):
    """Teams share the workers in proportion to their quotas."""

    def test_a_flood_of_one_team_does_not_starve_another(self) -> None:
        """Guards against a task that waits until hundreds of another team's tasks have run."""
        small = table(InterferenceAwarePolicy(), workers=1)
        small.submit(shape(size(1, 1), team=QUOTES), 300)
        late = small.submit(shape(size(1, 1)))[0]
        small.round()
        self.assertIsNotNone(small.tasks[late].worker_id)


class ReplicaTest(unittest.TestCase):
    """Replicas of a service are spread over racks and failure domains."""

    def test_replicas_spread(self) -> None:
        """Guards against losing all replicas of a service with one rack or failure domain."""
        small = table(InterferenceAwarePolicy(), workers=8)
        small.submit(replica_shape(), 4)
        small.round()
        places = [small.workers[task.worker_id] for task in small.running() if task.worker_id]
        self.assertEqual(len({place.rack for place in places}), 4)
        domains = [place.failure_domain for place in places]
        self.assertEqual(sorted(domains), ["domain-0", "domain-0", "domain-1", "domain-1"])


class UrgentTest(unittest.TestCase):
    """Urgent tasks don't wait until batch tasks finish."""

    def test_urgent_work_evicts_the_least_lost_work(self) -> None:
        """Guards against evicting the task that loses more work, or more tasks than necessary.

        An urgent task arrives while batch tasks fill the fleet.
        """
        small = table(InterferenceAwarePolicy(), workers=1)
        old = small.submit(shape(size(8, 10)))[0]
        small.round()
        small.now += 300.0
        young = small.submit(shape(size(8, 10)))[0]
        small.round()
        urgent = small.submit(shape(size(4, 4), urgent=True))[0]
        commands = small.round()
        evicted = [item.task_id for item in commands if isinstance(item, CheckpointAndEvict)]
        self.assertEqual(evicted, [young])
        small.round()
        self.assertEqual(small.evictions, 1)
        small.end(young, AttemptOutcome.STOPPED)
        small.submit(shape(size(8, 10)))
        small.round()
        self.assertIsNotNone(small.tasks[urgent].worker_id)
        self.assertIsNotNone(small.tasks[old].worker_id)

    def test_what_tolerates_nothing_is_not_evicted(self) -> None:
        """Guards against evicting tasks of a team whose tolerance doesn't allow eviction."""
        small = table(InterferenceAwarePolicy(), workers=1)
        for tolerance in (Tolerance.NONE, Tolerance.THROTTLE):
            small.submit(shape(size(8, 10), tolerance=tolerance))
        small.round()
        small.submit(shape(size(4, 4), urgent=True))
        self.assertEqual(small.round(), [])


class ReliefTest(unittest.TestCase):
    """Slowed services are relieved by throttling, then by eviction; later, limits are lifted."""

    def test_throttle_then_evict_then_relax(self) -> None:
        """Guards against ignoring a noisy neighbour, and against eviction before throttling."""
        small = table(InterferenceAwarePolicy(), workers=1)
        desk = small.submit(replica_shape())[0]
        noisy = small.submit(shape(size(4, 4), task_class="noisy"))[0]
        small.round()
        steps = []
        for _ in range(20):
            small.report(noisy, size(4, 4))
            small.report(desk, size(1, 1), tail=3 * OBJECTIVE_MILLISECONDS)
            steps += [type(command) for command in small.round(3.0)]
            if CheckpointAndEvict in steps:
                break
        self.assertEqual(steps, [Throttle, Throttle, CheckpointAndEvict])
        small.end(noisy, AttemptOutcome.STOPPED)
        small.tasks.pop(noisy)

    def test_evictions_stop_at_the_budget(self) -> None:
        """Guards against evicting all batch tasks after one shift of load."""
        small = table(InterferenceAwarePolicy(), workers=8)
        small.weights = Weights(tail_latency=10.0)
        desks = small.submit(replica_shape(), 8)
        noisy = small.submit(shape(size(12, 12), task_class="noisy"), 8)
        small.round()
        for _ in range(60):
            beside: dict[WorkerId | None, float] = {}
            for task_id in noisy:
                task = small.tasks[task_id]
                limit = task.millicores_limit or task.reservation.millicores
                beside[task.worker_id] = limit / 16_000
                if task.worker_id is not None:
                    small.report(task_id, Resources(limit, GIGABYTE))
            for task_id in desks:
                share = beside.get(small.tasks[task_id].worker_id, 0.0)
                small.report(task_id, size(1, 1), tail=OBJECTIVE_MILLISECONDS * exp(6 * share))
            small.round(3.0)
        self.assertEqual(small.evictions, 2)

    def test_lagging_reports_of_one_cause_throttle_once(self) -> None:
        """Guards against throttling again because of measurements taken before the throttle."""
        small = table(InterferenceAwarePolicy(), workers=1)
        desk = small.submit(replica_shape())[0]
        noisy = small.submit(shape(size(4, 4), task_class="noisy"))[0]
        small.round()
        small.report(noisy, size(4, 4))
        commands = []
        for second in range(10):
            tail = 2 * OBJECTIVE_MILLISECONDS
            small.report(desk, size(1, 1), tail=tail, lag=10.0 - second * 0.1)
            commands += small.round()
        self.assertEqual([type(command) for command in commands], [Throttle])

    def test_limits_are_lifted_when_calm(self) -> None:
        """Guards against a limit that is never lifted and slows a batch task until its end."""
        small = table(InterferenceAwarePolicy(), workers=1)
        desk = small.submit(replica_shape())[0]
        noisy = small.submit(shape(size(4, 4), task_class="noisy"))[0]
        small.round()
        for ratio in [2.0] * 3 + [0.3] * 40:
            small.report(noisy, size(4, 4))
            small.report(desk, size(1, 1), tail=ratio * OBJECTIVE_MILLISECONDS)
            small.round(3.0)
        self.assertIsNone(small.tasks[noisy].millicores_limit)


class BlameTest(unittest.TestCase):
    """Failures are attributed to the worker or to the task."""

    def test_a_worker_that_fails_everything_is_quarantined(self) -> None:
        """Guards against a worker that fails tasks fast, so it has room and attracts all tasks."""
        small = table(InterferenceAwarePolicy(), workers=4)
        broken = WorkerId("worker-1")
        failures = 0
        for _ in range(40):
            small.submit(shape(size(4, 4)))
            small.round()
            for task in list(small.running()):
                if task.worker_id == broken:
                    failures += 1
                    small.end(task.task_id, AttemptOutcome.FAILED, "broken disk")
        self.assertEqual(failures, 4)
        self.assertEqual(small.refused, {})

    def test_a_task_that_fails_everywhere_is_given_up(self) -> None:
        """Guards against retrying a task forever that crashes on every worker."""
        small = table(InterferenceAwarePolicy(), workers=6)
        task_id = small.submit(shape())[0]
        starts = 0
        for _ in range(10):
            starts += sum(isinstance(command, Start) for command in small.round())
            if task_id in small.tasks and small.tasks[task_id].worker_id is not None:
                small.end(task_id, AttemptOutcome.FAILED, "exit status 1")
        self.assertEqual(starts, 3)
        self.assertIn("failed on 3 different workers", small.refused[task_id].reason)

    def test_one_bad_job_accuses_no_worker(self) -> None:
        """Guards against quarantining workers because all tasks of a single job crash."""
        small = table(InterferenceAwarePolicy(), workers=4)
        small.submit(shape(), 20)
        for _ in range(6):
            small.round()
            for task in list(small.running()):
                small.end(task.task_id, AttemptOutcome.FAILED, "exit status 1")
        self.assertEqual(len(small.refused), 20)
        small.submit(shape(size(16, 1)), 4)
        small.round()
        self.assertEqual(len({task.worker_id for task in small.running()}), 4)


class SizeTest(unittest.TestCase):
    """Reservations when declared sizes differ from usage."""

    def test_sizes_shrink_and_grow_with_usage(self) -> None:
        """Guards against an idle fleet when tasks declare four times what they use."""
        small = table(InterferenceAwarePolicy(), workers=2)
        for _ in range(10):
            for task_id in small.submit(shape(size(4, 8)), 4):
                small.round(0.1)
                small.report(task_id, size(1, 2))
                small.end(task_id, AttemptOutcome.FINISHED)
        task_id = small.submit(shape(size(4, 8)))[0]
        small.round()
        reservation = small.tasks[task_id].reservation
        self.assertTrue(reservation.fits_in(size(2.5, 5)), reservation)
        self.assertTrue(size(1, 2.2).fits_in(reservation), reservation)

    def test_memory_is_not_cut_before_the_tail_is_known(self) -> None:
        """Guards against a task that runs out of memory after few samples.

        Three small tasks don't show the memory usage of the largest task.
        """
        small = table(InterferenceAwarePolicy(), workers=1)
        for task_id in small.submit(shape(size(1, 8)), 3):
            small.round()
            small.report(task_id, size(1, 1))
            small.end(task_id, AttemptOutcome.FINISHED)
        task_id = small.submit(shape(size(1, 8)))[0]
        small.round()
        self.assertEqual(small.tasks[task_id].reservation.memory, 8 * GIGABYTE)

    def test_memory_grows_after_a_task_ran_out_of_it(self) -> None:
        """Guards against retrying a task with the same memory after it ran out of memory."""
        small = table(InterferenceAwarePolicy(), workers=2)
        task_id = small.submit(shape(size(1, 8), team=LETTERS))[0]
        small.round()
        small.end(task_id, AttemptOutcome.FAILED, "out of memory")
        small.round()
        self.assertGreaterEqual(small.tasks[task_id].reservation.memory, 12 * GIGABYTE)
