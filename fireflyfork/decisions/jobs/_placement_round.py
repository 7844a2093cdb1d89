"""The state of one round in which waiting tasks are assigned to executors."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from math import inf

from ._candidates import Candidates
from ._executors import ExecutorState
from ._free_room import FreeRoom
from ._placement_costs import leftover_millis, max_accepted_cost
from ._runs import Task
from ._tickets import StepId
from ._waiting_tasks import Refusal

LONG_RUNNING_PATIENCE_SECONDS = 3.0
"""How long a long-running task without a reservation waits for an executor that is cheap."""


@dataclass(slots=True)
class PlacementRound:
    """The state of one placement round."""

    usable: list[ExecutorState]
    total_millis: int
    """CPU capacity of all usable executors, in thousandths of a core."""
    reserved_millis: int
    """CPU time that was reserved on the usable executors when the round began."""
    long_running_millis: int
    """CPU time reserved by long-running tasks, including those started in this round."""
    urgent_millis: int = 0
    """The part of ``reserved_millis`` that belongs to short tasks of priority 0."""
    started_millis: int = 0
    """CPU time reserved by the tasks started in this round."""
    free_room: FreeRoom = field(init=False)
    seen_gain: int = 0
    """Number of the last gain of room before the round."""
    compared: int = 0
    """Number of executors that were compared without a cache of their costs."""
    other_work: int = 0
    """The work of the round beside comparisons, by the number of these that take as long."""
    shapes_compared_in_vain: int = 0
    """Number of shapes that were compared with executors in vain and are tried at every tick."""
    took_room: bool = False
    """Whether a task was started since ``free_room`` was last refreshed."""
    has_turn: bool = False
    """Whether the step that is being placed is tried even if that number is at its limit."""
    waited_seconds: float = 0.0
    """How long ago the step that is being placed was first tried."""
    refusals: dict[tuple[Hashable, frozenset[ExecutorState]], Refusal] = field(default_factory=dict)
    """By shape of task and the executors that it is barred from: why no executor could run it."""
    barred: frozenset[ExecutorState] = frozenset()
    """The executors whose reserved room the task that is being placed may not use."""
    candidates: dict[tuple[StepId, frozenset[ExecutorState]], Candidates] = field(
        default_factory=dict
    )
    """By step and the executors that its tasks are barred from, which change as room is taken."""
    waiting_for_rack: set[StepId] = field(default_factory=set)
    """Steps that found an executor, but wait for one near their data."""
    _most_leftover_millis: float | None = None

    @classmethod
    def for_executors(cls, usable: list[ExecutorState]) -> PlacementRound:
        """Return the initial state of a round that places tasks on the usable executors."""
        return cls(
            usable,
            sum(executor.registration.room.cpu_millis for executor in usable),
            sum(executor.used_cpu_millis for executor in usable),
            sum(executor.long_running_cpu_millis for executor in usable),
            sum(executor.urgent_cpu_millis for executor in usable),
        )

    def __post_init__(self) -> None:
        """Initialize the free room."""
        self.free_room = FreeRoom(self.usable)

    @property
    def most_leftover_millis(self) -> float:
        """The most CPU time that tasks with a reservation leave unused on an executor."""
        if self._most_leftover_millis is None:
            self._most_leftover_millis = max((1.0, *map(leftover_millis, self.usable)))
        return self._most_leftover_millis

    @property
    def short_task_millis(self) -> int:
        """CPU time that short tasks had reserved when the round began."""
        return self.reserved_millis - self.long_running_millis

    def current_free_room(self) -> FreeRoom:
        """Return the free room, read again if tasks were started since it was read."""
        if self.took_room:
            self.free_room.refresh()
            self.took_room = False
        return self.free_room

    def max_cost(self, task: Task, now_ms: int) -> float:
        """Return the highest cost that a task without a reservation accepts.

        A long-running task that has waited accepts any: it is paced where it disturbs services, and
        no end of another long-running task may ever make an executor cheaper.
        """
        if task.spec.long_running and self.waited_seconds >= LONG_RUNNING_PATIENCE_SECONDS:
            return inf
        age = (now_ms - task.job.spec.accepted_ms) / 1000
        return max_accepted_cost(age, self.reserved_millis / max(1, self.total_millis))

    def would_take_short_task_reserve(self, task: Task, share: float) -> bool:
        """Whether a new long-running task would take the share that is kept for short tasks."""
        if not task.spec.long_running or task.attempt:
            return False
        long_running_millis = self.long_running_millis + task.spec.reserved_cpu_millis
        return long_running_millis > self.total_millis * (1 - share)

    def would_take_urgent_reserve(self, task: Task, share: float) -> bool:
        """Whether a less urgent short task would take the share that is kept for urgent ones."""
        millis = task.spec.reserved_cpu_millis
        if not share or not millis or not task.job.queue.priority or task.spec.long_running:
            return False
        in_use = self.reserved_millis + self.started_millis
        if 2 * in_use < self.total_millis:
            return False
        less_urgent_millis = in_use - self.urgent_millis
        if less_urgent_millis <= self.long_running_millis:
            # Long-running tasks may never give the room back that this task would wait for.
            return False
        return less_urgent_millis + millis > self.total_millis * (1 - share)
