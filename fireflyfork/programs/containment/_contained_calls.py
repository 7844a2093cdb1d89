"""Calls to executors that report every failure as the outcome of the call."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from ..._ids import AttemptNumber, ExecutorId, FencingToken, TaskName
from ...adapters import ExecutorCalls, ExecutorEndpoint
from ...decisions.jobs import CallOutcome, OrderAnswer, PollAnswer, PollRequest, StartRequest
from ._unexpected_errors import UnexpectedErrors

PART = "call to executor"
_UNANSWERED = OrderAnswer(CallOutcome.UNKNOWN, None)

_Answer = TypeVar("_Answer", OrderAnswer, PollAnswer)


class ContainedExecutorCalls(ExecutorCalls):
    """Makes calls by another client, and reports its errors as calls without an answer.

    Without an answer, a call may have been executed, which is all that is known after an error.
    The executor counts as silent and gets no new work, while the others go on.
    """

    def __init__(self, inner: ExecutorCalls, errors: UnexpectedErrors) -> None:
        """Make calls by ``inner``, and report its errors to ``errors``."""
        self._inner = inner
        self._errors = errors

    async def start(
        self, endpoint: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._contain(self._inner.start(endpoint, token, order), endpoint, _UNANSWERED)

    async def stop(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        call = self._inner.stop(endpoint, token, task, attempt)
        return await self._contain(call, endpoint, _UNANSWERED)

    async def pace(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        call = self._inner.pace(endpoint, token, task, attempt, percent)
        return await self._contain(call, endpoint, _UNANSWERED)

    async def poll(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """See ExecutorCalls."""
        unanswered = PollAnswer(CallOutcome.UNKNOWN, why="internal error")
        call = self._inner.poll(endpoint, token, request, fresh)
        return await self._contain(call, endpoint, unanswered)

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
        self._inner.forget(executor)

    async def _contain(
        self, call: Awaitable[_Answer], endpoint: ExecutorEndpoint, unanswered: _Answer
    ) -> _Answer:
        try:
            return await call
        except Exception as error:
            self._errors.report(PART, error, executor=endpoint.executor)
            return unanswered
