"""The tasks that wait for an executor, grouped by step.

Tasks of a step are alike: they are equally urgent, and if one finds no executor, none does. So they
wait as a group, and the cost of a backlog grows with its steps, not with its tasks.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from itertools import chain, count

from ..._waits import WaitReason
from ._runs import Task
from ._tickets import StepId
from ._urgency import Urgency, urgency

TURNS_PER_TICK = 8
"""Steps that were passed over in a round and are tried in the next one all the same."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a step found no executor, and when it is tried again."""

    reason: WaitReason
    seen_gain: int | None = None
    """Number of the last gain of room that was taken into account. The step is tried again after a
    later gain that may let it run; None if other changes may let it run."""
    retry_at: float = 0.0
    """When the step is tried again in any case, in seconds; 0 for the next tick."""


@dataclass(slots=True, eq=False)
class WaitingStep:
    """Waiting tasks of one step, in the order of their arrival."""

    key: Hashable
    tasks: deque[Task] = field(default_factory=deque)
    parked: bool = True
    """Whether the step waits for the next tick or for another task before it is retried."""
    revision: int = 0
    """Revision of the urgency by which the step was sorted."""
    reason: WaitReason = WaitReason.NOTHING
    """Why no executor could run the step's tasks at the last attempt to place them."""
    seen_gain: int | None = None
    """See ``Refusal``."""
    retry_at: float = 0.0
    """See ``Refusal``."""
    tried_since: float | None = None
    """When this owner first tried to place a task of the step, in seconds on its clock."""
    has_turn: bool = False
    """Whether the step is tried even if too many others found no executor."""
    turn: int = 0
    """Number of the last turn; higher ones are later."""

    def waited_seconds(self, now: float) -> float:
        """Return how long ago the step was first tried."""
        return now - self.tried_since if self.tried_since is not None else 0.0

    def bring_most_failed_forward(self) -> Task:
        """Make the task with the most failed attempts the first one, and return it.

        If its job can't be done, its last attempt is the one that shows so.
        """
        task = max(self.tasks, key=lambda waiting: len(waiting.failed_attempts))
        if task is not self.tasks[0]:
            self.tasks.remove(task)
            self.tasks.appendleft(task)
        return task


class WaitingTasks:
    """All waiting tasks, the most urgent step first."""

    def __init__(
        self,
        is_separate: Callable[[Task], bool],
        urgency: Callable[[Task, int], Urgency] = urgency,
        revision: Callable[[Task], int] = lambda task: 0,
    ) -> None:
        """Initialize without tasks.

        Tasks for which ``is_separate`` returns True are queued separately from their step.
        ``urgency`` returns the sort key of a task at a time in Unix milliseconds; ``revision``
        returns a number that changes when the task has to be sorted again before the next tick.
        """
        self._revision = revision
        self._urgency = urgency
        self._is_separate = is_separate
        self._steps: dict[Hashable, WaitingStep] = {}
        self._order: list[tuple[Urgency, int, WaitingStep]] = []
        self._deferred: list[Task] = []
        """Tasks that are added to their steps at the next tick."""
        self._numbers = count()
        self.is_cut_short = False
        """Whether the last round has left steps for the next one."""

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return sum(len(step.tasks) for step in self._steps.values()) + len(self._deferred)

    def __iter__(self) -> Iterator[Task]:
        """Iterate over the waiting tasks in no particular order."""
        return chain(*(step.tasks for step in self._steps.values()), self._deferred)

    def push(self, task: Task, now_ms: int) -> None:
        """Add a task that may be placed immediately."""
        key = self._key(task)
        step = self._steps.get(key)
        if step is None:
            step = self._steps[key] = WaitingStep(key)
        step.tasks.append(task)
        if step.parked:
            self._schedule(step, now_ms)

    def defer(self, task: Task) -> None:
        """Add a task that waits for the next tick."""
        self._deferred.append(task)

    def by_step(self) -> Iterator[tuple[Task, int]]:
        """Yield a task of each step, and how many tasks of the step wait."""
        return ((step.tasks[0], len(step.tasks)) for step in self._steps.values() if step.tasks)

    def count_steps(self, reason: WaitReason) -> int:
        """Return the number of steps that wait for a reason."""
        return sum(step.reason is reason for step in self._steps.values())

    def tasks_of_step(self, step_id: StepId) -> list[Task]:
        """Return the waiting tasks of one step, apart from those that are queued separately."""
        steps = (self._steps.get((step_id, ran_before)) for ran_before in (False, True))
        return [task for step in steps if step is not None for task in step.tasks]

    def pop(self, now_ms: int) -> WaitingStep | None:
        """Return the most urgent step that isn't parked, or None.

        The caller must pass the step to ``park``, ``postpone`` or ``drop``.
        """
        while self._order:
            step = heapq.heappop(self._order)[-1]
            if step.revision == self._revision(step.tasks[0]):
                return step
            self._schedule(step, now_ms)
        return None

    def drop(self, step: WaitingStep) -> None:
        """Remove a step that has no waiting tasks any more."""
        del self._steps[step.key]

    def park(self, step: WaitingStep, refusal: Refusal) -> None:
        """Park a step without an executor until it is retried or another task of it arrives."""
        step.parked = True
        step.has_turn = False
        step.seen_gain, step.retry_at = refusal.seen_gain, refusal.retry_at
        self._set_reason(step, refusal.reason)

    def postpone(self, step: WaitingStep, now_ms: int) -> None:
        """Leave a step for the next round."""
        self._set_reason(step, WaitReason.NEXT_ROUND)
        self._schedule(step, now_ms)

    def retry(
        self, now_ms: int, may_be_placed: Callable[[WaitingStep], bool] = lambda step: True
    ) -> None:
        """Allow the waiting tasks to be placed again for which ``may_be_placed`` returns True.

        While steps are left for the next round, those that were tried in the rounds before don't
        come before them again.
        """
        deferred, self._deferred = self._deferred, []
        for task in deferred:
            self.push(task, now_ms)
        parked = [step for step in self._steps.values() if step.parked]
        passed_over = [step for step in parked if step.reason is WaitReason.BEHIND]
        for step in heapq.nsmallest(TURNS_PER_TICK, passed_over, key=lambda each: each.turn):
            step.has_turn = True
            step.turn = next(self._numbers)
        for step in parked:
            is_remembered = step.seen_gain is not None
            if (is_remembered or not self.is_cut_short) and may_be_placed(step):
                self._schedule(step, now_ms)

    def retry_remembered(self, now_ms: int, may_be_placed: Callable[[WaitingStep], bool]) -> None:
        """Like ``retry``, but only for steps that a gain of room lets run."""
        for step in self._steps.values():
            if step.parked and step.seen_gain is not None and may_be_placed(step):
                self._schedule(step, now_ms)

    def retry_step(self, step_id: StepId, now_ms: int) -> None:
        """Allow the waiting tasks of one step to be placed again."""
        for ran_before in (False, True):
            step = self._steps.get((step_id, ran_before))
            if step is not None and step.parked:
                self._schedule(step, now_ms)

    @staticmethod
    def _set_reason(step: WaitingStep, reason: WaitReason) -> None:
        if step.reason is not reason:
            step.reason = reason
            for task in step.tasks:
                task.wait_reason = reason

    def _schedule(self, step: WaitingStep, now_ms: int) -> None:
        step.parked = False
        step.revision = self._revision(step.tasks[0])
        entry = (self._urgency(step.tasks[0], now_ms), next(self._numbers), step)
        heapq.heappush(self._order, entry)

    def _key(self, task: Task) -> Hashable:
        if self._is_separate(task):
            return task.step_id, task.key
        # Resources are kept free from long-running tasks that never ran, but not from restarted
        # ones.
        ran_before = task.spec.long_running and task.attempt > 0
        return task.step_id, ran_before
