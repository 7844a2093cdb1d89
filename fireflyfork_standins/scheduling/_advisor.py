"""A simulated advisor, which decides slowly which executors may run a step.

It handles the calls of each instance one at a time, in turn, and rejects further ones while many
wait. The executors ask it whether the ticket of a start is valid.
"""

from __future__ import annotations

import hashlib
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

import trio

from fireflyfork._errors import AdvisorBusyError, AdvisorError
from fireflyfork._ids import ExecutorId, NodeName, TaskName
from fireflyfork.adapters import Advice, Advisor

from ._executors import StandInExecutor

LATENCY_SECONDS = 0.002
MAX_WAITING_CALLS = 32


@dataclass(frozen=True, slots=True)
class AdvisorProfile:
    """How an advisor works, with times in seconds."""

    decision_seconds: float = 0.05
    executor_seconds: float = 0.005
    valid_seconds: float = 3.0
    permitted_share: float = 0.5
    """Share of the executors that may run a step."""
    actual_cost_factor: float = 1.0
    """How many times the time that the configuration states a call takes."""
    drops_abandoned: bool = True
    """Whether calls whose caller has hung up are dropped while they wait."""


@dataclass(slots=True)
class AdvisorTrouble:
    """Failures that currently affect the advisor."""

    slowness: float = 1.0
    """Factor on the time that each call takes."""
    next_call_seconds: float = 0.0
    """Additional time of the next call only. Reset by that call."""
    loses_answers: bool = False
    """Whether calls are handled and never answered."""
    refuses: bool = False
    reset_share: float = 0.0
    """Share of calls whose connection is reset instead of an answer."""
    late_seconds: float = 0.0
    """Time for which answers are under way."""


@dataclass(slots=True, eq=False)
class _Turn:
    step: str
    executors: tuple[ExecutorId, ...]
    ended: trio.Event = field(default_factory=trio.Event)
    tickets: dict[ExecutorId, str] = field(default_factory=dict)
    is_abandoned: bool = False


class StandInAdvisor:
    """The advisor, for the calls of all instances."""

    def __init__(
        self,
        profile: AdvisorProfile,
        random: Random,
        executors: Mapping[ExecutorId, StandInExecutor],
    ) -> None:
        """Decide about the ``executors``, which may be added later."""
        self.profile = profile
        self.trouble = AdvisorTrouble()
        self.random = random
        self.counts: Counter[str] = Counter()
        """Calls that were ``handled``, ``abandoned`` by their callers though handled, or
        ``rejected``, and ``invalid`` tickets of starts."""
        self.most_waiting = 0
        """The most calls of one instance that waited at a time."""
        self._executors = executors
        self._queues: dict[NodeName, deque[_Turn]] = {}
        self._tickets: dict[tuple[ExecutorId, str], tuple[float, int]] = {}
        """When each ticket expires, and the incarnation that it is valid for."""

    def permits(self, executor: ExecutorId, step: str) -> bool:
        """Return whether an executor may run a step, which doesn't change. One always may."""
        if executor == self.first_permitted(step):
            return True
        return _digest(f"{step} {executor}") < 256 * self.profile.permitted_share

    def first_permitted(self, step: str) -> ExecutorId:
        """Return an executor that may run a step."""
        names = list(self._executors)
        return names[_digest(step) % len(names)]

    def is_valid(self, executor: ExecutorId, task: TaskName, ticket: str) -> bool:
        """Return whether a start of a task on an executor carries a valid ticket of its step."""
        until, incarnation = self._tickets.get((executor, ticket), (0.0, 0))
        is_valid = (
            ticket.startswith(f"{task.rpartition('.')[0]}/")
            and trio.current_time() <= until
            and incarnation == self._executors[executor].incarnation
        )
        self.counts["invalid"] += not is_valid
        return is_valid

    def enqueue(
        self, node: NodeName, step: str, executors: tuple[ExecutorId, ...], nursery: trio.Nursery
    ) -> _Turn:
        """Add a call of an instance, to be handled in turn. Raises AdvisorBusyError."""
        queue = self._queues.setdefault(node, deque())
        if self.trouble.refuses or len(queue) > MAX_WAITING_CALLS:
            self.counts["rejected"] += 1
            raise AdvisorBusyError("the advisor has too many waiting calls")
        turn = _Turn(step, executors)
        queue.append(turn)
        self.most_waiting = max(self.most_waiting, len(queue) - 1)
        if len(queue) == 1:
            nursery.start_soon(self._work_off, queue)
        return turn

    async def _work_off(self, queue: deque[_Turn]) -> None:
        while queue:
            turn = queue[0]
            if not (turn.is_abandoned and self.profile.drops_abandoned):
                await self._handle(turn)
            queue.popleft()

    async def _handle(self, turn: _Turn) -> None:
        cost = self.profile.executor_seconds * len(turn.executors) + self.profile.decision_seconds
        extra, self.trouble.next_call_seconds = self.trouble.next_call_seconds, 0.0
        cost *= self.profile.actual_cost_factor * self.trouble.slowness
        await trio.sleep(cost + extra)
        now = trio.current_time()
        turn.tickets = {
            executor: f"{turn.step}/{executor}/{now:.3f}"
            for executor in turn.executors
            if self.permits(executor, turn.step)
        }
        for executor, ticket in turn.tickets.items():
            until = now + self.profile.valid_seconds
            self._tickets[executor, ticket] = until, self._executors[executor].incarnation
        self.counts["handled"] += 1
        self.counts["abandoned"] += turn.is_abandoned
        turn.ended.set()


class StandInAdvisorCalls(Advisor):
    """The calls of one instance to the advisor."""

    def __init__(self, node: NodeName, advisor: StandInAdvisor, nursery: trio.Nursery) -> None:
        """Have calls handled in ``nursery``, also after the instance has ended."""
        self._node = node
        self._advisor = advisor
        self._nursery = nursery

    async def advise(
        self, step: str, executors: tuple[ExecutorId, ...], fresh: bool = False
    ) -> Advice:
        """See Advisor. ``fresh`` is ignored, as simulated connections never go silent."""
        await trio.sleep(LATENCY_SECONDS)
        trouble = self._advisor.trouble
        turn = self._advisor.enqueue(self._node, step, executors, self._nursery)
        try:
            await turn.ended.wait()
        except trio.Cancelled:
            turn.is_abandoned = True
            raise
        if trouble.loses_answers:
            await trio.sleep_forever()
        if trouble.reset_share and self._advisor.random.random() < trouble.reset_share:
            raise AdvisorError("the connection was reset")
        await trio.sleep(trouble.late_seconds + LATENCY_SECONDS)
        return Advice(turn.tickets, self._advisor.profile.valid_seconds)


def _digest(text: str) -> int:
    return hashlib.sha256(text.encode()).digest()[0]
