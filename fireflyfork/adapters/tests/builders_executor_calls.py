"""Builds clients of simulated executors."""

from __future__ import annotations

from ..._ids import AttemptNumber, ExecutorId, FencingToken, TaskName
from ...decisions.jobs import CallOutcome, OrderAnswer, PollAnswer, PollRequest, StartRequest
from .. import ExecutorCalls, ExecutorPlace

_ACCEPTED = OrderAnswer(CallOutcome.ACCEPTED, 482_113, 1)


class AcceptingExecutors(ExecutorCalls):
    """Simulated executors that accept every call and list no runs."""

    async def start(
        self, place: ExecutorPlace, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return _ACCEPTED

    async def stop(
        self, place: ExecutorPlace, token: FencingToken, task: TaskName, attempt: AttemptNumber
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return _ACCEPTED

    async def pace(
        self,
        place: ExecutorPlace,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return _ACCEPTED

    async def poll(
        self, place: ExecutorPlace, token: FencingToken, request: PollRequest, fresh: bool = False
    ) -> PollAnswer:
        """See ExecutorCalls."""
        return PollAnswer(CallOutcome.ACCEPTED, 482_113, 1)

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
