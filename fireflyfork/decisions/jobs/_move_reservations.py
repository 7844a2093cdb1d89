"""Resources reserved for tasks at the executors that they are being moved to."""

from __future__ import annotations

from dataclasses import dataclass

from ._executors import ExecutorState
from ._runs import Task

RESERVATION_SECONDS = 1.5
"""How long resources stay reserved for a moved task: a stop takes up to 0.2 s, and its end is
listed within another 0.2 s."""


@dataclass(frozen=True, slots=True)
class MoveReservation:
    """A reservation for one task."""

    executor: ExecutorState
    until: float
    """Seconds on the owner's clock; after this time the task may go to any executor."""


class MoveReservations:
    """The reservations of all tasks that are being moved.

    A task that is moved ends on one executor before it starts on another. Without a reservation,
    other waiting tasks would take the resources that become free in between. The moved task would
    find no executor, or would be placed next to the very tasks that it was separated from.
    """

    def __init__(self) -> None:
        """Initialize without reservations."""
        self._reservations: dict[Task, MoveReservation] = {}

    def __len__(self) -> int:
        """Return the number of tasks that have a reservation."""
        return len(self._reservations)

    def add(self, task: Task, executor: ExecutorState, until: float) -> None:
        """Reserve resources for a task on an executor, in place of any earlier reservation."""
        self.drop(task)
        self._reservations[task] = MoveReservation(executor, until)
        executor.incoming_cpu_millis += task.spec.reserved_cpu_millis
        executor.incoming_memory_mb += task.spec.memory_mb

    def destination(self, task: Task) -> ExecutorState | None:
        """Return the executor that has resources reserved for a task, or None."""
        promise = self._reservations.get(task)
        return promise.executor if promise is not None else None

    def has_room(self, task: Task) -> bool:
        """Whether the resources reserved for a task are free."""
        destination = self.destination(task)
        if destination is None:
            return False
        cpu = destination.free_cpu_millis + task.spec.reserved_cpu_millis
        memory = destination.free_memory_mb + task.spec.memory_mb
        return cpu >= task.spec.reserved_cpu_millis and memory >= task.spec.memory_mb

    def drop(self, task: Task) -> None:
        """Drop the reservation of a task."""
        promise = self._reservations.pop(task, None)
        if promise is not None:
            promise.executor.incoming_cpu_millis -= task.spec.reserved_cpu_millis
            promise.executor.incoming_memory_mb -= task.spec.memory_mb

    def drop_destination(self, executor: ExecutorState) -> None:
        """Drop the reservations on an executor that has restarted, maybe with other room."""
        for task, promise in tuple(self._reservations.items()):
            if promise.executor is executor:
                self.drop(task)

    def expire(self, now: float) -> None:
        """Drop reservations that have expired or whose task is over or executor unusable."""
        for task, promise in tuple(self._reservations.items()):
            is_over = task.job.state.is_final or task.key not in task.job.tasks
            if is_over or promise.until <= now or not promise.executor.is_usable(now):
                self.drop(task)
