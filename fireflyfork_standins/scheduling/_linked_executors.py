"""Calls of one instance to executors in both regions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from functools import partial

from fireflyfork._ids import AttemptNumber, ExecutorId, FencingToken, TaskName
from fireflyfork.adapters import (
    ANY_INCARNATION,
    MAX_CALL_SECONDS,
    ExecutorCalls,
    ExecutorEndpoint,
    HttpError,
)
from fireflyfork.decisions.jobs import (
    CallOutcome,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    StartRequest,
)
from fireflyfork.platform._executor_client import CALL_TIMEOUT_SECONDS

from ._link_calls import LinkCalls, LinkRequest
from ._region_link import Purpose, Region, RegionLink

POLL_BYTES = 300
"""Size of a poll request, and of its answer without rows."""
ROW_BYTES = 60
ORDER_BYTES = 500
ORDER_ANSWER_BYTES = 150

_Ask = Callable[[], Awaitable[OrderAnswer]]


class LinkedExecutorCalls(ExecutorCalls):
    """Calls to executors in both regions.

    Calls across the link have the same timeouts as the client of the platform's executors.
    """

    def __init__(
        self,
        inner: ExecutorCalls,
        link: RegionLink,
        caller_region: Region,
        regions: Mapping[ExecutorId, Region],
    ) -> None:
        """Prepare calls from an instance in ``caller_region``.

        ``inner`` calls executors without a link, and ``regions`` is the region of each executor.
        """
        self._inner = inner
        self._link = link
        self._caller_region = caller_region
        self._regions = regions
        self._kept: dict[ExecutorId, tuple[ExecutorEndpoint, FencingToken, LinkCalls]] = {}

    async def start(
        self, place: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(place, token, lambda: self._inner.start(place, token, order))

    async def stop(
        self, place: ExecutorEndpoint, token: FencingToken, task: TaskName, attempt: AttemptNumber
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(
            place, token, lambda: self._inner.stop(place, token, task, attempt)
        )

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
            place, token, lambda: self._inner.pace(place, token, task, attempt, percent)
        )

    async def poll(
        self,
        place: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """See ExecutorCalls."""
        if not self._crosses(place):
            return await self._inner.poll(place, token, request, fresh)
        is_read_only = not request.forget_ends_to and request.lease_until_ms is None
        extra = request.wait_seconds + request.patience_seconds - CALL_TIMEOUT_SECONDS
        calls = self._calls_to(place, token)
        try:
            return await calls.call(self._poll(place, token, request), extra, is_read_only, fresh)
        except _HandshakeError as error:
            return error.answer
        except HttpError:
            return PollAnswer(CallOutcome.UNKNOWN)

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
        self._kept.pop(executor, None)
        self._inner.forget(executor)

    async def _order(self, place: ExecutorEndpoint, token: FencingToken, ask: _Ask) -> OrderAnswer:
        if not self._crosses(place):
            return await ask()

        async def served() -> OrderAnswer | None:
            answer = await ask()
            return None if answer.outcome is CallOutcome.UNKNOWN else answer

        question = LinkRequest(
            ORDER_BYTES,
            Purpose.ORDERS,
            served,
            lambda _: ORDER_ANSWER_BYTES,
            lambda _: Purpose.ORDERS,
        )
        try:
            return await self._calls_to(place, token).call(question)
        except _HandshakeError as error:
            return OrderAnswer(error.answer.outcome, None, error.answer.incarnation)
        except HttpError:
            return OrderAnswer(CallOutcome.UNKNOWN, None)

    def _poll(
        self, place: ExecutorEndpoint, token: FencingToken, request: PollRequest
    ) -> LinkRequest[PollAnswer]:
        async def served() -> PollAnswer | None:
            answer = await self._inner.poll(place, token, request)
            return None if answer.outcome is CallOutcome.UNKNOWN else answer

        return LinkRequest(
            POLL_BYTES,
            Purpose.POLLS,
            served,
            lambda answer: POLL_BYTES + ROW_BYTES * (len(answer.running) + len(answer.ended)),
            lambda _: Purpose.POLLS,
        )

    async def _check_incarnation(
        self, place: ExecutorEndpoint, token: FencingToken, calls: LinkCalls
    ) -> None:
        """Check on a new connection that it leads to the expected incarnation."""
        if place.incarnation == ANY_INCARNATION:
            return
        request = PollRequest(0, None, 0.0, CALL_TIMEOUT_SECONDS)
        answer = await calls.exchange(self._poll(place, token, request))
        if answer.outcome is not CallOutcome.ACCEPTED:
            raise _HandshakeError(answer)

    def _calls_to(self, place: ExecutorEndpoint, token: FencingToken) -> LinkCalls:
        known = self._kept.get(place.executor)
        if known is not None and known[:2] == (place, token):
            return known[2]
        greet = partial(self._check_incarnation, place, token)
        calls = LinkCalls(
            self._link,
            self._caller_region,
            CALL_TIMEOUT_SECONDS,
            handshake=greet,
            unacknowledged=MAX_CALL_SECONDS,
            connects_patiently=True,
        )
        self._kept[place.executor] = (place, token, calls)
        return calls

    def _crosses(self, place: ExecutorEndpoint) -> bool:
        return self._regions[place.executor] is not self._caller_region


class _HandshakeError(HttpError):
    """A new connection leads to another incarnation, or the executor refuses the caller."""

    def __init__(self, answer: PollAnswer) -> None:
        super().__init__(f"handshake refused: {answer.outcome.value}")
        self.answer = answer
