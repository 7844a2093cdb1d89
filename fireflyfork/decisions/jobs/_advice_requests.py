"""Chooses which step the advisor is asked about next, and about which executors.

The advisor is slow: it spends time on each question and on each executor named, and answers an
instance's questions one at a time. So a question names the executors that are needed and no more,
and while steps wait, the most urgent one comes first.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from math import inf

from ..._ids import ExecutorId, QueueName
from ._commands import AskAdvice
from ._executors import ExecutorState
from ._free_room import FreeRoom
from ._gangs import gang_members
from ._placement_costs import is_allowed, is_far_from_data
from ._runs import Task
from ._service_state import ServiceState
from ._tickets import ASK_AGAIN_SECONDS, NOTHING_TO_ASK_SECONDS, StepId

MAX_EXECUTORS_PER_QUESTION = 100
"""The advisor accepts no more."""
MAX_SPREAD = 15
"""Executors over which the tasks of a step are spread, if there are as many tasks."""
SPARE_EXECUTORS = 2
"""Further executors to ask for: others may take the room on the first ones meanwhile."""
OLDEST_FIRST_INTERVAL = 4
"""Each fourth question is about the oldest job. The most urgent ones can keep the advisor busy for
as long as they keep coming, and older ones would wait as long."""
MAX_EXECUTORS_EXAMINED = 4_096
"""Executors that are looked through for one question, over all steps."""
ASSUMED_PERMITTED, ASSUMED_WEIGHT = 0.5, 4.0
"""The share of executors that a queue's policy is assumed to permit before any answer, and the
number of executors that this counts as."""
MAX_WEIGHT = 200.0
"""Number of executors after which earlier answers lose half of their weight."""
MIN_PERMITTED = 0.02
LATEST_COST_WEIGHT = 0.2
"""Weight of the latest question in the mean cost of questions."""


@dataclass(slots=True)
class _PermittedShare:
    """The share of executors that the policy of a queue permits."""

    permitted: float = ASSUMED_PERMITTED * ASSUMED_WEIGHT
    asked: float = ASSUMED_WEIGHT

    @property
    def value(self) -> float:
        return max(MIN_PERMITTED, self.permitted / self.asked)

    def add(self, permitted: int, asked: int) -> None:
        self.permitted += permitted
        self.asked += asked
        if self.asked > MAX_WEIGHT:
            self.permitted, self.asked = self.permitted / 2, self.asked / 2


class AdviceRequests:
    """Chooses the questions to the advisor of one service."""

    def __init__(self, state: ServiceState) -> None:
        """Initialize with the service state to read."""
        self._state = state
        self._shares: dict[QueueName, _PermittedShare] = defaultdict(_PermittedShare)
        self._questions = 0
        self._mean_cost = 0.0

    @property
    def waiting_steps(self) -> int:
        """The number of steps that a question may be sent about now or later."""
        return len(self._state.tickets.wanted)

    @property
    def backlog_seconds(self) -> float:
        """The time that the advisor takes for one question about each of these steps."""
        return self.waiting_steps * self._mean_cost

    def next(self, now: float, now_ms: int) -> AskAdvice | None:
        """Return the next question, or None if there is none now."""
        usable = self._state.usable_executors(now)
        tasks = list(self._tasks_without_ticket(now)) if usable else []
        if not tasks:
            return None
        oldest_first = self._questions % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1
        free_room = FreeRoom(usable)

        def order(task: Task) -> tuple[float, ...]:
            # Without room a ticket is of no use now, and may expire unused.
            without_room = float(not free_room.may_fit(task.spec))
            if oldest_first:
                return without_room, task.job.spec.accepted_ms
            return without_room, *self._state.policies.order.urgency(task, now_ms)

        tasks = heapq.nsmallest(1 + MAX_EXECUTORS_EXAMINED // len(usable), tasks, key=order)
        # Executors without room are asked about only while nobody needs others.
        questions = (
            self._question(task, usable, has_room, now)
            for has_room in ((True, False) if len(tasks) > 1 else (False,))
            for task in tasks
        )
        return next((question for question in questions if question is not None), None)

    def sent(self, question: AskAdvice, due_at: float) -> None:
        """Record that a question was sent, whose answer is overdue after ``due_at``."""
        self._questions += 1
        cost = question.cost_seconds
        self._mean_cost += LATEST_COST_WEIGHT * (cost - self._mean_cost)
        self._state.tickets.postpone(question.step, due_at)

    def learn(self, question: AskAdvice, permitted: set[ExecutorId]) -> None:
        """Learn from an answer how many executors the queue's policy permits."""
        known = self._state.tickets.is_permitted
        unknown = [name for name in question.executors if known(question.step, name) is None]
        share = self._shares[question.queue]
        share.add(sum(name in permitted for name in unknown), len(unknown))

    def _tasks_without_ticket(self, now: float) -> Iterator[Task]:
        """Yield a task of each step that lacks tickets and may be asked about now."""
        tickets = self._state.tickets
        for step in tuple(tickets.wanted):
            waiting = self._state.waiting.tasks_of_step(step)
            if not waiting or self._missing(waiting[0], len(waiting), now) <= 0:
                tickets.satisfied(step)
            elif tickets.may_ask(step, now):
                yield waiting[0]

    def _missing(self, task: Task, waiting: int, now: float) -> int:
        """Return how many more executors with a ticket and room a task's step needs."""
        usable_now = sum(_has_room(task, executor) for executor in self._holders(task, now))
        if task.spec.gang:
            return len(gang_members(task)) - usable_now
        return 0 if usable_now else min(waiting, MAX_SPREAD) + SPARE_EXECUTORS

    def _holders(self, task: Task, now: float) -> Iterator[ExecutorState]:
        return (
            executor
            for name in self._state.tickets.holders(task.step_id)
            if (executor := self._state.executors.get(name)) is not None
            and executor.is_usable(now)
            and self._has_ticket(task.step_id, executor, now)
        )

    def _has_ticket(self, step: StepId, executor: ExecutorState, now: float) -> bool:
        tickets = self._state.tickets
        return tickets.valid(step, executor.executor, executor.incarnation, now) is not None

    def _question(
        self, task: Task, usable: list[ExecutorState], has_room: bool, now: float
    ) -> AskAdvice | None:
        """Return a question about a task's step, or None if no executor is left to ask about.

        With ``has_room`` it names only executors that have room now. A step for which there are
        none makes way for others.
        """
        step, queue = task.step_id, task.job.queue
        candidates = self._candidates(task, usable, has_room, now)
        if not candidates:
            delay = ASK_AGAIN_SECONDS if has_room else NOTHING_TO_ASK_SECONDS
            self._state.tickets.postpone(step, now + delay)
            return None
        waiting = len(self._state.waiting.tasks_of_step(step))
        names = tuple(self._enough(task, candidates, self._missing(task, waiting, now)))
        cost = queue.advice.decision_seconds + queue.advice.executor_seconds * len(names)
        return AskAdvice(step, names, queue.name, cost, queue.advice.valid_seconds)

    def _candidates(
        self, task: Task, usable: list[ExecutorState], has_room: bool, now: float
    ) -> list[ExecutorState]:
        """Return the executors that may be asked about, the best first."""
        step, permitted = task.step_id, self._state.tickets.is_permitted
        candidates = [
            executor
            for executor in usable
            if (_has_room(task, executor) if has_room else is_allowed(task, executor))
            and permitted(step, executor.executor) is not False
            and not self._has_ticket(step, executor, now)
        ]
        extra_cost = self._state.policies.estimates.extra_cost
        # An avoided executor is empty, and would be the first one to be asked about.
        candidates = [each for each in candidates if extra_cost(task, each) < inf] or candidates
        racks = _free_cpu_by_rack(candidates) if task.spec.same_rack else {}

        def preference(executor: ExecutorState) -> tuple[float, ...]:
            return (
                not _has_room(task, executor),
                is_far_from_data(task, executor),
                -racks.get(executor.registration.rack, 0),
                permitted(step, executor.executor) is None,
                -executor.free_cpu_millis,
            )

        return sorted(candidates, key=preference)

    def _enough(
        self, task: Task, candidates: list[ExecutorState], missing: int
    ) -> Iterator[ExecutorId]:
        """Yield as many candidates as are likely to contain the missing number."""
        share = self._shares[task.job.queue.name].value
        expected = 0.0
        for executor in islice(candidates, MAX_EXECUTORS_PER_QUESTION):
            if expected >= missing:
                return
            is_known = self._state.tickets.is_permitted(task.step_id, executor.executor)
            expected += 1.0 if is_known else share
            yield executor.executor


def _has_room(task: Task, executor: ExecutorState) -> bool:
    step = task.spec
    fits = executor.fits(step.reserved_cpu_millis, step.memory_mb, step.accelerators)
    return fits and is_allowed(task, executor)


def _free_cpu_by_rack(executors: list[ExecutorState]) -> dict[str, int]:
    free: dict[str, int] = defaultdict(int)
    for executor in executors:
        free[executor.registration.rack] += executor.free_cpu_millis
    return free
