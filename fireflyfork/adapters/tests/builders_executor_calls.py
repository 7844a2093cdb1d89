"""Builds clients of simulated executors."""

from __future__ import annotations

from ..._ids import AttemptNumber, ExecutorId, FencingToken, TaskName
from ...decisions.jobs import CallOutcome, OrderAnswer, PollAnswer, PollRequest, StartRequest
from .. import ExecutorCalls, ExecutorEndpoint

_ACCEPTED = OrderAnswer(CallOutcome.ACCEPTED, 482_113, 1)


class AcceptingExecutors(ExecutorCalls):
    """Simulated executors that accept every call and list no runs."""

    async def start(
        self, endpoint: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return _ACCEPTED

    async def stop(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return _ACCEPTED

    async def pace(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return _ACCEPTED

    async def poll(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """See ExecutorCalls."""
        return PollAnswer(CallOutcome.ACCEPTED, 482_113, 1)

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
