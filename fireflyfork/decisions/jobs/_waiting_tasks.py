"""Tasks that wait for a place, step by step.

Tasks of a step are alike: they are equally urgent, and where one finds no room none does. So they wait
together, and what a backlog costs grows with its steps, not with its tasks.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from itertools import chain, count

from ..._waits import WaitReason
from ._runs import Task
from ._urgency import Urgency, urgency


@dataclass(slots=True, eq=False)
class WaitingStep:
    """Tasks of one step that wait, in the order in which they came."""

    key: Hashable
    tasks: deque[Task] = field(default_factory=deque)
    parked: bool = True
    """Whether it is tried again only at the next tick."""
    reason: WaitReason = WaitReason.NOTHING
    """Why its tasks found no place when they were last looked for."""


class WaitingTasks:
    """All that wait, the most urgent step first."""

    def __init__(self, goes_alone: Callable[[Task], bool]) -> None:
        """Nothing waits. A task that ``goes_alone`` is placed apart from the others of its step."""
        self._goes_alone = goes_alone
        self._steps: dict[Hashable, WaitingStep] = {}
        self._order: list[tuple[Urgency, int, WaitingStep]] = []
        self._deferred: list[Task] = []
        self._numbers = count()

    def __len__(self) -> int:
        """How many tasks wait."""
        return sum(len(one.tasks) for one in self._steps.values()) + len(self._deferred)

    def __iter__(self) -> Iterator[Task]:
        """All of them, in no order."""
        return chain(*(one.tasks for one in self._steps.values()), self._deferred)

    def push(self, task: Task, now_ms: int) -> None:
        """A task waits, and may be placed at once."""
        key = self._key(task)
        step = self._steps.get(key)
        if step is None:
            step = self._steps[key] = WaitingStep(key)
        step.tasks.append(task)
        if step.parked:
            self._line_up(step, now_ms)

    def defer(self, task: Task) -> None:
        """A task waits for the next tick."""
        self._deferred.append(task)

    def pop(self) -> WaitingStep | None:
        """Take the most urgent step that isn't parked; ``park`` or ``drop`` comes next. None: all are."""
        return heapq.heappop(self._order)[-1] if self._order else None

    def drop(self, step: WaitingStep) -> None:
        """None of its tasks waits any more."""
        del self._steps[step.key]

    def park(self, step: WaitingStep, reason: WaitReason) -> None:
        """Its tasks found no place: it is tried again at the next tick, or when another one comes."""
        step.parked = True
        if step.reason is not reason:
            step.reason = reason
            for task in step.tasks:
                task.waits_for = reason

    def retry(self, now_ms: int) -> None:
        """Everything that waits may be placed again."""
        deferred, self._deferred = self._deferred, []
        for task in deferred:
            self.push(task, now_ms)
        for step in self._steps.values():
            if step.parked:
                self._line_up(step, now_ms)

    def _line_up(self, step: WaitingStep, now_ms: int) -> None:
        step.parked = False
        entry = (urgency(step.tasks[0], now_ms), next(self._numbers), step)
        heapq.heappush(self._order, entry)

    def _key(self, task: Task) -> Hashable:
        if self._goes_alone(task):
            return task.step_id, task.key
        # Room is kept from tasks that last and never ran, but not from those that have to come back.
        ran_before = task.spec.long_running and task.attempt > 0
        return task.step_id, ran_before
