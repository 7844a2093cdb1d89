"""The policy's compact index of workers and attempts, updated from observations and views."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import chain

from ..._ids import FailureDomainName, RackName, TaskId, WorkerId
from ..._machines import Resources, Worker
from .._placement_policy import PlacementView
from .._tasks import Task
from ._classes import TaskClass
from ._free_index import FreeIndex
from ._worker_entries import AttemptEntry, WorkerEntry

_NO_RESOURCES = Resources()
_MAX_REMOVED_WORKERS = 256
"""The number of removed workers whose state is kept."""


class Fleet:
    """Indexes all workers by id and by free processor time, and all attempts by task."""

    def __init__(self) -> None:
        """Start without workers and attempts."""
        self._entries: dict[WorkerId, WorkerEntry] = {}
        self._numbers: list[WorkerEntry | None] = []
        self._without_accelerators = FreeIndex()
        self._with_accelerators = FreeIndex()
        self._free_numbers: list[int] = []
        self._removed: dict[WorkerId, WorkerEntry] = {}
        """The state of workers that were recently removed from the list. The list lags, and a
        worker that is listed again still runs its tasks."""
        self._tentative: list[tuple[WorkerEntry, TaskClass, int]] = []
        """Starts of this round, with their millicores, which the task table has not confirmed."""
        self._attempts: dict[TaskId, AttemptEntry] = {}
        self._early_starts: dict[WorkerId, list[tuple[float, Task]]] = {}
        """Attempts, with their start times, on workers that have not been listed yet."""
        self._racks: dict[FailureDomainName, dict[RackName, list[WorkerEntry]]] = {}
        self._capacities: dict[Resources, int] = {}
        self._batch_count = 0

    @property
    def entries(self) -> Mapping[WorkerId, WorkerEntry]:
        """The listed workers by id."""
        return self._entries

    @property
    def numbered(self) -> list[WorkerEntry | None]:
        """The listed workers by their index number; None for numbers that are not in use."""
        return self._numbers

    @property
    def capacities(self) -> Mapping[Resources, int]:
        """The number of workers of each capacity."""
        return self._capacities

    @property
    def racks(self) -> Mapping[FailureDomainName, Mapping[RackName, list[WorkerEntry]]]:
        """The workers by failure domain and rack."""
        return self._racks

    @property
    def batch_count(self) -> int:
        """The number of batch attempts that may be running."""
        return self._batch_count

    def attempt(self, task_id: TaskId) -> AttemptEntry | None:
        """Return the attempt of a task that may be running, or None if there is none."""
        return self._attempts.get(task_id)

    def sync(self, view: PlacementView) -> list[WorkerId]:
        """Update the index from the task table; return the workers that were removed.

        The table's values are immutable, so an identical object means an unchanged worker.
        """
        self._undo_tentative()
        reserved = view.reserved
        entries = self._entries
        for worker_id, worker in view.workers.items():
            entry = entries.get(worker_id)
            if entry is None or entry.worker is not worker:
                entry = self._add_worker(worker)
            now_reserved = reserved.get(worker_id, _NO_RESOURCES)
            if entry.reserved is not now_reserved:
                entry.refresh(now_reserved)
                self.reindex(entry)
        if len(entries) == len(view.workers):
            return []
        removed = [worker_id for worker_id in entries if worker_id not in view.workers]
        for worker_id in removed:
            self._remove_worker(worker_id)
        return removed

    def with_room(self, need: Resources) -> Iterator[WorkerEntry]:
        """Yield workers that have room for ``need``, in order of free processor time, least first.

        Workers without accelerators come before those with accelerators.
        """
        plain = () if need.accelerators else self._without_accelerators.candidates(need.millicores)
        numbers = self._numbers
        for number in chain(plain, self._with_accelerators.candidates(need.millicores)):
            entry = numbers[number]
            if entry is not None and entry.has_room(need):
                yield entry

    def add_start(self, entry: WorkerEntry, need: Resources, task_class: TaskClass) -> None:
        """Reserve resources for a start of this round.

        The next ``sync`` replaces the reservation by that of the task table.
        """
        entry.subtract_free(need)
        entry.add_pending(task_class, need.millicores)
        entry.reserved = None
        self._tentative.append((entry, task_class, need.millicores))
        self.reindex(entry)

    def hold(self, entry: WorkerEntry, amount: Resources) -> None:
        """Hold resources of a worker for one task, so that no other task can use them."""
        entry.held = entry.held + amount
        entry.subtract_free(amount)
        self.reindex(entry)

    def release(self, entry: WorkerEntry, amount: Resources) -> None:
        """Release held resources of a worker."""
        entry.held = entry.held - amount
        entry.subtract_free(_NO_RESOURCES - amount)
        self.reindex(entry)

    def started(self, task: Task, now: float) -> None:
        """Add an attempt that may be running from now on."""
        if task.worker_id is None or task.task_id in self._attempts:
            return
        entry = self._entries.get(task.worker_id)
        if entry is None:
            self._early_starts.setdefault(task.worker_id, []).append((now, task))
            return
        self._attempts[task.task_id] = AttemptEntry(task, entry, now)
        entry.add_pending(TaskClass(task.shape.task_class), task.reservation.millicores)
        if task.millicores_limit is not None:
            entry.throttled.add(task.task_id)
        if task.shape.service is None:
            self._batch_count += 1
        else:
            entry.add_replica(task.shape.service, task.reservation.millicores)

    def ended(self, task: Task, now: float) -> AttemptEntry | None:
        """Remove an attempt that can't be running any more.

        Return its entry, or None if it wasn't in the index.
        """
        attempt = self._attempts.pop(task.task_id, None)
        if attempt is None:
            self._discard_early_start(task)
            return None
        entry = attempt.entry
        entry.throttled.discard(task.task_id)
        task_class = TaskClass(task.shape.task_class)
        if attempt.reported:
            entry.departed.append((now, task_class, attempt.used))
        else:
            entry.add_pending(task_class, -attempt.task.reservation.millicores)
        self._drop_replica(attempt)
        return attempt

    def reported(self, attempt: AttemptEntry, millicores: int) -> None:
        """Record the reported processor usage of an attempt."""
        entry = attempt.entry
        task_class = TaskClass(attempt.task.shape.task_class)
        if not attempt.reported:
            attempt.reported = True
            entry.add_pending(task_class, -attempt.task.reservation.millicores)
        if millicores != attempt.used:
            entry.add_used(task_class, millicores - attempt.used)
            attempt.used = millicores

    def reindex(self, entry: WorkerEntry) -> None:
        """Move a worker to the bucket of its free processor time."""
        has_accelerators = entry.worker.capacity.accelerators > 0
        index = self._with_accelerators if has_accelerators else self._without_accelerators
        index.put(entry.number, entry.free_millicores)

    def _undo_tentative(self) -> None:
        for entry, task_class, millicores in self._tentative:
            entry.add_pending(task_class, -millicores)
        self._tentative.clear()

    def _add_worker(self, worker: Worker) -> WorkerEntry:
        existing = self._entries.get(worker.worker_id)
        if existing is not None:
            self._remove_from_indexes(existing)
        entry = existing or self._removed.pop(worker.worker_id, None) or WorkerEntry(worker)
        entry.worker = worker
        entry.reserved = None
        if existing is None:
            self._number(entry)
            self._entries[worker.worker_id] = entry
        racks = self._racks.setdefault(worker.failure_domain, {})
        racks.setdefault(worker.rack, []).append(entry)
        self._capacities[worker.capacity] = self._capacities.get(worker.capacity, 0) + 1
        for now, task in self._early_starts.pop(worker.worker_id, ()):
            self.started(task, now)
        return entry

    def _remove_worker(self, worker_id: WorkerId) -> None:
        entry = self._entries.pop(worker_id)
        self._remove_from_indexes(entry)
        self._numbers[entry.number] = None
        self._free_numbers.append(entry.number)
        self._removed[worker_id] = entry
        if len(self._removed) > _MAX_REMOVED_WORKERS:
            del self._removed[next(iter(self._removed))]

    def _number(self, entry: WorkerEntry) -> None:
        if self._free_numbers:
            entry.number = self._free_numbers.pop()
            self._numbers[entry.number] = entry
            return
        entry.number = len(self._numbers)
        self._numbers.append(entry)

    def _remove_from_indexes(self, entry: WorkerEntry) -> None:
        self._without_accelerators.remove(entry.number)
        self._with_accelerators.remove(entry.number)
        capacity = entry.worker.capacity
        self._capacities[capacity] -= 1
        if not self._capacities[capacity]:
            del self._capacities[capacity]
        racks = self._racks[entry.worker.failure_domain]
        racks[entry.worker.rack].remove(entry)
        if not racks[entry.worker.rack]:
            del racks[entry.worker.rack]

    def _drop_replica(self, attempt: AttemptEntry) -> None:
        service = attempt.task.shape.service
        if service is None:
            self._batch_count -= 1
            return
        attempt.entry.drop_replica(service, attempt.task.reservation.millicores)
        if service not in attempt.entry.replicas:
            attempt.entry.pressure.forget(service)

    def _discard_early_start(self, task: Task) -> None:
        for starts in self._early_starts.values():
            starts[:] = [item for item in starts if item[1].task_id != task.task_id]
