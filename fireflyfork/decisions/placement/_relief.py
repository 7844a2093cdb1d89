"""Relieves slowed services by throttling or evicting batch tasks.

Tasks are throttled first, and evicted if throttling doesn't help and the gain exceeds the cost.
Limits are lifted when latency is low again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from ..._contracts import Tolerance, Weights
from ..._ids import ServiceName, TaskId, WorkerId
from .. import _victims
from .._eviction_budget import EvictionBudget
from .._placement_policy import CheckpointAndEvict, PlacementCommand, Throttle
from .._tasks import Task, TaskState
from ._classes import TaskClass
from ._eviction_budget import latency_share_per_hour
from ._fleet import Fleet
from ._interference import InterferenceModel
from ._policy_settings import Relief
from ._pressure import PressureAction
from ._reasons import EvictedForLatency, ThrottledForLatency, ThrottleLifted
from ._worker_entries import AttemptEntry, WorkerEntry

_TARGET_RATIO = 0.75
"""The target ratio of p99 latency to objective. With a target at the objective, the next report
would trigger relief again."""
_THROTTLE_FACTOR = 0.5
"""Factor by which one throttle reduces a task's processor time."""
_MIN_SHARE_OF_RESERVATION = 0.25
_MIN_MILLICORES = 50
_MIN_CONTRIBUTION_SHARE = 0.25
"""Neighbours that contribute less than this share of the largest contribution aren't throttled."""
_NEGLIGIBLE_EFFECT = 0.01
"""A limit with at most this effect on the logarithm of tail latency is always lifted."""
_MIN_EXPLAINED = 0.05
"""If the contributions of all neighbours to the logarithm of tail latency sum to less than this,
they don't explain the latency, and slowing them would not help."""
_REPORTS_TO_TRUST_ESTIMATES = 12
"""Number of reports about a service in a load band from which estimates of low contributions by its
neighbours are trusted."""
_MAX_GAIN_MINUTES = 10.0
"""The benefit of an eviction is counted for at most this time, since load shifts."""
_RESTART_MINUTES = 0.5
"""Cost of a restart in addition to the lost work, in minutes of the task's run time."""
_MIN_REMAINING_MINUTES = 0.5
_CORE_MINUTE_COST = 0.05
"""Cost of a lost core-minute before weighting; an eviction costs 1."""


@dataclass(frozen=True, slots=True)
class _Neighbour:
    """A batch task on the same worker as a slowed service."""

    task: Task
    attempt: AttemptEntry
    contribution: float
    """The task's contribution to the logarithm of the service's tail latency. If the effects are
    unknown, the share of the worker's processors that the task uses."""
    limit: int
    """The processor limit in millicores that the next throttle would set."""

    @property
    def contribution_per_use(self) -> float:
        """The contribution per processor time used.

        Throttling the tasks with the highest value first costs the least throughput.
        """
        return self.contribution / max(self.attempt.used, 1)

    @property
    def can_be_throttled(self) -> bool:
        current = self.task.millicores_limit
        if current is None:
            return self.limit < max(self.attempt.used, 1)
        return self.limit < current


class ReliefPlanner:
    """Throttles and evicts batch tasks next to slowed services, and lifts limits afterwards."""

    def __init__(self, fleet: Fleet, interference: InterferenceModel, relief: Relief) -> None:
        """Use the fleet index and the interference model of the policy, which change over time."""
        self._fleet = fleet
        self._interference = interference
        self._relief = relief
        self._budget = EvictionBudget()

    @property
    def budget(self) -> EvictionBudget:
        """The budget for evictions for latency."""
        return self._budget

    def plan(
        self,
        measured: Iterable[WorkerEntry],
        on_worker: Mapping[WorkerId, Mapping[TaskId, Task]],
        weights: Weights,
        now: float,
    ) -> Iterator[PlacementCommand]:
        """Yield commands for the given workers, which have new latency measurements."""
        self._budget.refill(now, self._fleet.batch_count, latency_share_per_hour(weights))
        for entry in measured:
            tasks = on_worker.get(entry.worker.worker_id, {})
            yield from self._plan_worker(entry, tasks, weights, now)

    def _plan_worker(
        self, entry: WorkerEntry, tasks: Mapping[TaskId, Task], weights: Weights, now: float
    ) -> Iterator[PlacementCommand]:
        action = entry.pressure.action()
        service, ratio = entry.pressure.worst()
        if self._relief is Relief.NONE or service is None:
            return
        if self._relief is Relief.EVICT_AT_ONCE:
            if entry.pressure.is_high:
                yield from self._evict_largest(entry, tasks, service, ratio, now)
            return
        if action is PressureAction.RELAX and entry.throttled:
            lifted = tuple(self._relax(entry, tasks, service, ratio, now))
            if lifted:
                entry.pressure.relaxed(now)
            yield from lifted
        elif action is PressureAction.RELIEVE:
            commands = tuple(self._relieve(entry, tasks, service, ratio, weights, now))
            if commands:
                entry.pressure.relieved(now)
            yield from commands

    def _relieve(
        self,
        entry: WorkerEntry,
        tasks: Mapping[TaskId, Task],
        service: ServiceName,
        ratio: float,
        weights: Weights,
        now: float,
    ) -> Iterator[PlacementCommand]:
        neighbours = self._neighbours(entry, tasks, service, now)
        if not neighbours:
            return
        throttled = tuple(self._throttle(entry, neighbours, service, ratio))
        if throttled:
            yield from throttled
            return
        yield from self._evict(entry, neighbours, service, ratio, weights, now)

    def _neighbours(
        self, entry: WorkerEntry, tasks: Mapping[TaskId, Task], service: ServiceName, now: float
    ) -> list[_Neighbour]:
        """Return the batch tasks that may be throttled, in order of contribution per use.

        Return none if enough reports show that they don't explain the latency.
        """
        capacity = max(entry.worker.capacity.millicores, 1)
        load = entry.expected_load()
        neighbours = []
        for task, attempt in self._throttleable(tasks):
            share = attempt.used / capacity
            task_class = TaskClass(task.shape.task_class)
            contribution = self._interference.added_log_ratio(service, load, task_class, share, now)
            neighbours.append(_Neighbour(task, attempt, contribution, _next_limit(task, attempt)))
        if sum(neighbour.contribution for neighbour in neighbours) < _MIN_EXPLAINED:
            if self._interference.reports(service, load) >= _REPORTS_TO_TRUST_ESTIMATES:
                return []
            neighbours = [
                _Neighbour(item.task, item.attempt, item.attempt.used / capacity, item.limit)
                for item in neighbours
            ]
        return sorted(neighbours, key=lambda item: (-item.contribution_per_use, item.task.task_id))

    def _throttleable(self, tasks: Mapping[TaskId, Task]) -> Iterator[tuple[Task, AttemptEntry]]:
        for task in tasks.values():
            attempt = self._fleet.attempt(task.task_id)
            if attempt is not None and attempt.reported and _may_be_throttled(task):
                yield task, attempt

    def _throttle(
        self, entry: WorkerEntry, neighbours: list[_Neighbour], service: ServiceName, ratio: float
    ) -> Iterator[Throttle]:
        excess = math.log(ratio / _TARGET_RATIO)
        min_contribution = _MIN_CONTRIBUTION_SHARE * neighbours[0].contribution_per_use
        for neighbour in neighbours:
            if excess <= 0.0 or neighbour.contribution_per_use < min_contribution:
                return
            if not neighbour.can_be_throttled:
                continue
            used = max(neighbour.attempt.used, 1)
            excess -= neighbour.contribution * max(1.0 - neighbour.limit / used, 0.0)
            entry.throttled.add(neighbour.task.task_id)
            worker_id = entry.worker.worker_id
            reason = ThrottledForLatency(service, worker_id, ratio, neighbour.limit)
            yield Throttle(neighbour.task.task_id, neighbour.limit, reason.sentence())

    def _evict(
        self,
        entry: WorkerEntry,
        neighbours: list[_Neighbour],
        service: ServiceName,
        ratio: float,
        weights: Weights,
        now: float,
    ) -> Iterator[CheckpointAndEvict]:
        """Evict at most one task: the one that loses the least work of the main contributors."""
        min_contribution = _MIN_CONTRIBUTION_SHARE * max(
            neighbour.contribution for neighbour in neighbours
        )
        contributors = [
            item
            for item in neighbours
            if item.contribution >= min_contribution
            and item.task.shape.tolerance is Tolerance.EVICT
        ]
        if not contributors:
            return
        victim = min(contributors, key=lambda item: lost_core_seconds(item.attempt, now))
        gain = self._gain(entry, victim, ratio, weights, now)
        cost = eviction_cost(victim.attempt, weights, now)
        if gain <= cost or not self._budget.take():
            return
        lost = lost_seconds(victim.attempt, now)
        worker_id = entry.worker.worker_id
        reason = EvictedForLatency(service, worker_id, ratio, lost, gain, cost)
        yield CheckpointAndEvict(victim.task.task_id, reason.sentence())

    def _gain(
        self, entry: WorkerEntry, victim: _Neighbour, ratio: float, weights: Weights, now: float
    ) -> float:
        """Return the weighted benefit of an eviction.

        The unit is one replica that for one minute has a tail latency higher by its objective.
        """
        after = max(ratio * math.exp(-victim.contribution), _TARGET_RATIO)
        minutes = min(remaining_minutes(victim.attempt, now), _MAX_GAIN_MINUTES)
        replicas = sum(entry.replicas.values())
        return weights.tail_latency * replicas * max(ratio - after, 0.0) * minutes

    def _relax(
        self,
        entry: WorkerEntry,
        tasks: Mapping[TaskId, Task],
        service: ServiceName,
        ratio: float,
        now: float,
    ) -> Iterator[Throttle]:
        """Raise limits in order of effect, while the service is predicted to stay on target."""
        slack = math.log(_TARGET_RATIO / ratio)
        for effect, task in self._throttled_tasks(entry, tasks, service, now):
            slack -= effect
            if slack < 0.0 and effect > _NEGLIGIBLE_EFFECT:
                return
            raised: int | None = int((task.millicores_limit or 0) / _THROTTLE_FACTOR)
            if raised is not None and raised >= task.reservation.millicores:
                raised = None
                entry.throttled.discard(task.task_id)
            reason = ThrottleLifted(entry.worker.worker_id, ratio)
            yield Throttle(task.task_id, raised, reason.sentence())

    def _throttled_tasks(
        self, entry: WorkerEntry, tasks: Mapping[TaskId, Task], service: ServiceName, now: float
    ) -> list[tuple[float, Task]]:
        """Return the throttled tasks with the effect of raising each limit, smallest first."""
        capacity = max(entry.worker.capacity.millicores, 1)
        load = entry.expected_load()
        throttled = []
        for task_id in tuple(entry.throttled):
            task = tasks.get(task_id)
            if task is None or task.millicores_limit is None:
                entry.throttled.discard(task_id)
                continue
            share = task.millicores_limit / capacity
            task_class = TaskClass(task.shape.task_class)
            effect = self._interference.added_log_ratio(service, load, task_class, share, now)
            throttled.append((effect, task))
        return sorted(throttled, key=lambda item: (item[0], item[1].task_id))

    def _evict_largest(
        self,
        entry: WorkerEntry,
        tasks: Mapping[TaskId, Task],
        service: ServiceName,
        ratio: float,
        now: float,
    ) -> Iterator[CheckpointAndEvict]:
        """Evict the largest neighbour. This baseline has no hysteresis, cost model or budget."""
        attempts = [
            attempt
            for task, attempt in self._throttleable(tasks)
            if task.shape.tolerance is Tolerance.EVICT
        ]
        if not attempts:
            return
        victim = max(attempts, key=lambda item: (item.used, item.task.task_id))
        lost = lost_seconds(victim, now)
        reason = EvictedForLatency(service, entry.worker.worker_id, ratio, lost, 0.0, 0.0)
        entry.pressure.relieved(now)
        yield CheckpointAndEvict(victim.task.task_id, reason.sentence())


def lost_seconds(attempt: AttemptEntry, now: float) -> float:
    """Return the seconds since the last reported progress, which a failed checkpoint would lose."""
    return max(now - attempt.progress_at, 0.0)


def lost_core_seconds(attempt: AttemptEntry, now: float) -> float:
    """Return the lost seconds times the number of cores reserved."""
    millicores = attempt.task.reservation.millicores
    return _victims.lost_core_seconds(lost_seconds(attempt, now), millicores)


def remaining_minutes(attempt: AttemptEntry, now: float) -> float:
    """Return the remaining declared run time.

    It has a positive minimum, since declared run times are often too short.
    """
    shape = attempt.task.shape
    remaining = (1.0 - attempt.progress) * shape.run_seconds / 60.0
    return max(remaining, _MIN_REMAINING_MINUTES)


def eviction_cost(attempt: AttemptEntry, weights: Weights, now: float) -> float:
    """Return the weighted cost of an eviction, including the lost work and the restart."""
    cores = attempt.task.reservation.millicores / 1000.0
    lost_core_minutes = lost_core_seconds(attempt, now) / 60.0 + cores * _RESTART_MINUTES
    return weights.evictions + weights.throughput * lost_core_minutes * _CORE_MINUTE_COST


def _may_be_throttled(task: Task) -> bool:
    return (
        task.state is TaskState.RUNNING
        and task.shape.service is None
        and not task.shape.urgent
        and task.shape.tolerance is not Tolerance.NONE
    )


def _next_limit(task: Task, attempt: AttemptEntry) -> int:
    current = task.millicores_limit
    base = attempt.used if current is None else current
    floor = int(_MIN_SHARE_OF_RESERVATION * task.reservation.millicores)
    return max(int(base * _THROTTLE_FACTOR), floor, _MIN_MILLICORES)
