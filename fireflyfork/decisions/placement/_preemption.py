"""Preempts batch tasks for tasks that must start at once, and holds the freed room for them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice

from ..._contracts import Tolerance
from ..._ids import TaskId, WorkerId
from ..._machines import Resources
from .._eviction_budget import EvictionBudget
from .._placement_policy import CheckpointAndEvict
from .._tasks import Task, TaskState
from .._victims import Victim, cheapest_victims
from ._fleet import Fleet
from ._reasons import EvictedForUrgent
from ._relief import lost_core_seconds, lost_seconds
from ._worker_entries import WorkerEntry

_SHARE_PER_HOUR = 1.0
_MIN_BURST = 16.0
_MAX_VICTIMS = 4
_MAX_WORKERS_EXAMINED = 48
_MAX_PLANS_COMPARED = 8
_HOLD_SECONDS = 15.0
"""Room that is not used within this time is released, because the victims did not stop or the
worker was removed."""

Victims = list[Task]
"""The batch tasks to evict from one worker."""


@dataclass(frozen=True, slots=True)
class Hold:
    """Room that is held on one worker for one task."""

    entry: WorkerEntry
    amount: Resources
    expires: float


class Preemptor:
    """Evicts batch tasks for urgent tasks and replicas, within a separate budget."""

    def __init__(self, fleet: Fleet) -> None:
        """Use the fleet index of the policy, which changes over time."""
        self._fleet = fleet
        self._holds: dict[TaskId, Hold] = {}
        self._budget = EvictionBudget(_MIN_BURST)
        self._next_worker = 0
        self._victims: set[TaskId] = set()

    @property
    def budget(self) -> EvictionBudget:
        """The budget for evictions for urgent tasks and replicas."""
        return self._budget

    def begin_round(self, now: float) -> None:
        """Refill the budget and release expired holds."""
        self._budget.refill(now, self._fleet.batch_count, _SHARE_PER_HOUR)
        for task_id in [key for key, hold in self._holds.items() if hold.expires <= now]:
            self.release(task_id)

    def held_on(self, task_id: TaskId) -> WorkerId | None:
        """Return the worker on which room is held for the task, or None."""
        hold = self._holds.get(task_id)
        return None if hold is None else hold.entry.worker.worker_id

    def release(self, task_id: TaskId) -> None:
        """Release the room that is held for a task, if any."""
        hold = self._holds.pop(task_id, None)
        if hold is not None:
            self._fleet.release(hold.entry, hold.amount)

    def forget_victim(self, task_id: TaskId) -> None:
        """Drop a victim whose attempt has ended."""
        self._victims.discard(task_id)

    def claim(self, task_id: TaskId, need: Resources) -> WorkerEntry | None:
        """End the hold of a task whose room has become free.

        Return the worker, or None if there is no hold or the room isn't free yet.
        """
        hold = self._holds.get(task_id)
        if hold is None:
            return None
        self._fleet.release(hold.entry, hold.amount)
        listed = self._fleet.entries.get(hold.entry.worker.worker_id) is hold.entry
        if listed and hold.entry.has_room(need):
            del self._holds[task_id]
            return hold.entry
        self._fleet.hold(hold.entry, hold.amount)
        return None

    def preempt(
        self,
        task_id: TaskId,
        need: Resources,
        on_worker: Mapping[WorkerId, Mapping[TaskId, Task]],
        accepts: Callable[[WorkerEntry], bool],
        now: float,
    ) -> Iterator[CheckpointAndEvict]:
        """Evict the fewest and cheapest tasks among a few workers, and hold the room for the task.

        Nothing is evicted if the task already has a hold or the budget is too small.
        """
        if task_id in self._holds or self._budget.tokens < 1.0:
            return
        plans = islice(self._plans(need, on_worker, accepts, now), _MAX_PLANS_COMPARED)
        best = min(plans, key=lambda plan: plan[0], default=None)
        if best is None or len(best[2]) > self._budget.tokens:
            return
        _, entry, victims = best
        self._fleet.hold(entry, need)
        self._holds[task_id] = Hold(entry, need, now + _HOLD_SECONDS)
        for victim in victims:
            self._budget.take()
            self._victims.add(victim.task_id)
            reason = self._reason(task_id, victim, entry, now)
            yield CheckpointAndEvict(victim.task_id, reason.sentence())

    def _reason(
        self, task_id: TaskId, victim: Task, entry: WorkerEntry, now: float
    ) -> EvictedForUrgent:
        attempt = self._fleet.attempt(victim.task_id)
        lost = 0.0 if attempt is None else lost_seconds(attempt, now)
        return EvictedForUrgent(task_id, entry.worker.worker_id, lost)

    def _plans(
        self,
        need: Resources,
        on_worker: Mapping[WorkerId, Mapping[TaskId, Task]],
        accepts: Callable[[WorkerEntry], bool],
        now: float,
    ) -> Iterator[tuple[tuple[int, float], WorkerEntry, Victims]]:
        for entry in self._next_workers():
            if not need.fits_in(entry.worker.capacity) or not accepts(entry):
                continue
            victims = self._victims_on(entry, need, on_worker, now)
            if victims:
                lost = sum(self._lost_core_seconds(task, now) for task in victims)
                yield (len(victims), lost), entry, victims

    def _next_workers(self) -> Iterator[WorkerEntry]:
        """Yield the next workers in turn, to spread evictions over the fleet.

        Each call continues after the last worker of the previous call.
        """
        entries = self._fleet.numbered
        for _ in range(min(_MAX_WORKERS_EXAMINED, len(entries))):
            self._next_worker = (self._next_worker + 1) % len(entries)
            entry = entries[self._next_worker]
            if entry is not None:
                yield entry

    def _victims_on(
        self,
        entry: WorkerEntry,
        need: Resources,
        on_worker: Mapping[WorkerId, Mapping[TaskId, Task]],
        now: float,
    ) -> Victims:
        """Return the fewest and cheapest tasks that make enough room, or none if impossible."""
        free = Resources(entry.free_millicores, entry.free_memory, entry.free_accelerators)
        tasks = on_worker.get(entry.worker.worker_id, {})
        evictable = (
            Victim(task, task.reservation, (self._lost_core_seconds(task, now), task.task_id))
            for task in tasks.values()
            if self._may_be_evicted(task)
        )
        return [victim.item for victim in cheapest_victims(evictable, free, need, _MAX_VICTIMS)]

    def _may_be_evicted(self, task: Task) -> bool:
        return (
            task.state is TaskState.RUNNING
            and task.shape.service is None
            and not task.shape.urgent
            and task.shape.tolerance is Tolerance.EVICT
            and task.task_id not in self._victims
        )

    def _lost_core_seconds(self, task: Task, now: float) -> float:
        attempt = self._fleet.attempt(task.task_id)
        return 0.0 if attempt is None else lost_core_seconds(attempt, now)
