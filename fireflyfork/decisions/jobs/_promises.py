"""Room that is kept for a task on the executor that it is being moved to."""

from __future__ import annotations

from dataclasses import dataclass

from ._executors import ExecutorState
from ._runs import Task


@dataclass(frozen=True, slots=True)
class Promise:
    """Where a task goes next."""

    executor: ExecutorState
    until: float
    """On the owner's clock; afterwards the task goes wherever there is room."""


class PromiseBook:
    """Which tasks have a place kept for them.

    A task that is moved ends in one place before it starts in the other. Room that comes free in between
    would go to whatever waits, and the task would be left without a place, or be put beside the very
    tasks that it was taken away from.
    """

    def __init__(self) -> None:
        """Nothing is promised."""
        self._promises: dict[Task, Promise] = {}

    def __len__(self) -> int:
        """How many tasks are on their way."""
        return len(self._promises)

    def make(self, task: Task, executor: ExecutorState, until: float) -> None:
        """Keep room for a task; an earlier promise to it is dropped."""
        self.drop(task)
        self._promises[task] = Promise(executor, until)
        executor.promised_cpu_millis += task.spec.reserved_cpu_millis
        executor.promised_memory_mb += task.spec.memory_mb

    def destination(self, task: Task) -> ExecutorState | None:
        """The executor that a task is to go to, or None."""
        promise = self._promises.get(task)
        return promise.executor if promise is not None else None

    def has_room(self, task: Task) -> bool:
        """Whether the place that is kept for a task is free."""
        there = self.destination(task)
        if there is None:
            return False
        cpu = there.free_cpu_millis + task.spec.reserved_cpu_millis
        memory = there.free_memory_mb + task.spec.memory_mb
        return cpu >= task.spec.reserved_cpu_millis and memory >= task.spec.memory_mb

    def drop(self, task: Task) -> None:
        """The task has arrived, or goes elsewhere."""
        promise = self._promises.pop(task, None)
        if promise is not None:
            promise.executor.promised_cpu_millis -= task.spec.reserved_cpu_millis
            promise.executor.promised_memory_mb -= task.spec.memory_mb

    def expire(self, now: float) -> None:
        """Drop promises whose time is over, or whose task or executor is gone."""
        for task, promise in tuple(self._promises.items()):
            over = task.job.state.is_final or task.key not in task.job.tasks
            if over or promise.until <= now or not promise.executor.usable(now):
                self.drop(task)
