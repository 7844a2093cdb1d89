"""Calls to simulated executors, with latency, network partitions, and lost or late answers."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import trio

from fireflyfork._ids import AttemptNumber, ExecutorId, FencingToken, NodeName, TaskName
from fireflyfork.adapters import ANY_INCARNATION, ExecutorCalls, ExecutorEndpoint
from fireflyfork.decisions.jobs import (
    CallOutcome,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    StartRequest,
)

from ._executors import STEP_SECONDS, StandInExecutor

LATENCY_SECONDS = 0.002
TIMEOUT_SECONDS = 0.6
LATE_DELAY_SECONDS = (1.0, 6.0)

_Order = Callable[[StandInExecutor], CallOutcome]


class StandInExecutorCalls(ExecutorCalls):
    """The calls of one instance to all executors."""

    def __init__(
        self,
        node: NodeName,
        executors: dict[ExecutorId, StandInExecutor],
        nursery: trio.Nursery,
        random: Random,
    ) -> None:
        """Carry out delayed orders in ``nursery``, even after the instance has ended."""
        self._node = node
        self._executors = executors
        self._nursery = nursery
        self._random = random
        self._connected: dict[ExecutorId, int] = {}
        """The incarnation of each executor to which the kept connections were opened."""

    async def start(
        self, place: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(place, lambda executor: executor.start(token, order))

    async def stop(
        self, place: ExecutorEndpoint, token: FencingToken, task: TaskName, attempt: AttemptNumber
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(place, lambda executor: executor.stop(token, task, attempt))

    async def pace(
        self,
        place: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(
            place, lambda executor: executor.pace(token, task, attempt, percent)
        )

    async def poll(
        self,
        place: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """See ExecutorCalls. ``fresh`` is ignored, as simulated connections never go silent."""
        executor = self._reachable(place)
        if executor is None:
            await trio.sleep(TIMEOUT_SECONDS)
            return PollAnswer(CallOutcome.UNKNOWN)
        wrong_incarnation = await self._arrive(executor, place)
        if wrong_incarnation is not None:
            return PollAnswer(
                wrong_incarnation, incarnation=_reported_incarnation(wrong_incarnation, executor)
            )
        renew = partial(executor.renew, token, request.forget_ends_to, request.lease_until_ms)
        late = self._draws(executor.trouble.late_share)
        if late:
            self._nursery.start_soon(self._carry_out_late, executor, renew)
        if late or not executor.up:
            await trio.sleep(TIMEOUT_SECONDS)
            return PollAnswer(CallOutcome.UNKNOWN)
        refusal = renew()
        if refusal is not CallOutcome.ACCEPTED:
            return PollAnswer(refusal)
        incarnation = executor.incarnation
        until = trio.current_time() + request.wait_seconds
        while trio.current_time() < until and not executor.has_end_after(request.forget_ends_to):
            await trio.sleep(STEP_SECONDS)
        is_lost = self._reachable(place) is None or executor.incarnation != incarnation
        if is_lost or self._draws(executor.trouble.lost_share):
            await trio.sleep(TIMEOUT_SECONDS)
            return PollAnswer(CallOutcome.UNKNOWN)
        delay = executor.trouble.answer_delay_seconds
        return await self._under_way(executor.listing(), delay, request.patience_seconds)

    @staticmethod
    async def _under_way(answer: PollAnswer, seconds: float, patience: float) -> PollAnswer:
        """Deliver an answer after ``seconds``, or UNKNOWN if that exceeds the caller's patience."""
        await trio.sleep(min(seconds, patience))
        return answer if seconds <= patience else PollAnswer(CallOutcome.UNKNOWN)

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""

    async def _order(self, place: ExecutorEndpoint, carry_out: _Order) -> OrderAnswer:
        executor = self._reachable(place)
        if executor is None:
            await trio.sleep(TIMEOUT_SECONDS)
            return OrderAnswer(CallOutcome.UNKNOWN, None)
        wrong_incarnation = await self._arrive(executor, place)
        if wrong_incarnation is not None:
            return OrderAnswer(
                wrong_incarnation, None, _reported_incarnation(wrong_incarnation, executor)
            )
        if self._draws(executor.trouble.late_share):
            self._nursery.start_soon(self._carry_out_late, executor, lambda: carry_out(executor))
        elif executor.up:
            outcome = carry_out(executor)
            await trio.sleep(LATENCY_SECONDS)
            if not self._draws(executor.trouble.lost_share):
                return OrderAnswer(outcome, executor.clock_ms, executor.incarnation)
        await trio.sleep(TIMEOUT_SECONDS)
        return OrderAnswer(CallOutcome.UNKNOWN, None)

    async def _arrive(
        self, executor: StandInExecutor, place: ExecutorEndpoint
    ) -> CallOutcome | None:
        """Deliver a call to its executor.

        Returns None if the call may be carried out. If it was addressed to another incarnation,
        returns the outcome that the caller sees.
        """
        await trio.sleep(LATENCY_SECONDS)
        if executor.trouble.restarts_at_next_call and executor.up:
            executor.trouble.restarts_at_next_call = False
            executor.crash()
            executor.restart()
        connected = self._connected.get(place.executor)
        self._connected[place.executor] = executor.incarnation
        if place.incarnation in (ANY_INCARNATION, executor.incarnation) or not executor.up:
            return None
        if connected == place.incarnation:
            # The call was sent over a connection to a process that has ended.
            await trio.sleep(TIMEOUT_SECONDS)
            return CallOutcome.UNKNOWN
        return CallOutcome.OTHER_INCARNATION

    async def _carry_out_late(
        self, executor: StandInExecutor, carry_out: Callable[[], object]
    ) -> None:
        incarnation = executor.incarnation
        await trio.sleep(self._random.uniform(*LATE_DELAY_SECONDS))
        # An order in transit is lost when the connections of the executor's process end.
        if executor.up and executor.incarnation == incarnation:
            carry_out()

    def _reachable(self, place: ExecutorEndpoint) -> StandInExecutor | None:
        executor = self._executors.get(place.executor)
        if executor is None:
            # An entry of another writer named it.
            return None
        cut = self._node in executor.trouble.unreachable_from
        return executor if executor.up and not cut else None

    def _draws(self, share: float) -> bool:
        return share > 0 and self._random.random() < share


def _reported_incarnation(outcome: CallOutcome, executor: StandInExecutor) -> int | None:
    """Return the incarnation that an answer reports, or None if the connection broke."""
    return executor.incarnation if outcome is CallOutcome.OTHER_INCARNATION else None
