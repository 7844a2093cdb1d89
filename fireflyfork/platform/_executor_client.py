"""Calls to the platform's executors over HTTP."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from loguru import logger

from .._ids import AttemptNumber, ExecutorId, FencingToken, TaskName
from .._links import Address
from ..adapters import ExecutorCalls, ExecutorPlace, HttpError
from ..decisions.jobs import (
    CallOutcome,
    EndedRow,
    EndReason,
    OrderAnswer,
    PollAnswer,
    RunningRow,
    StartRequest,
)
from ._http_calls import CallAnswer, JsonCalls
from ._names import EXPECTED_INCARNATION_HEADER, PACE_PATH, POLL_PATH, START_PATH, STOP_PATH

CALL_TIMEOUT_SECONDS = 0.6
"""An answer takes 1 ms, and some 45 ms from another region; an executor that hangs or is cut off
should not keep its tasks from others for longer than a caller notices."""
MOST_ENDS_LISTED = 500
"""An answer holds so many ends; later ones come once earlier ones may be forgotten."""

_REASONS = {
    "fence": CallOutcome.FENCED,
    "old": CallOutcome.STALE_ATTEMPT,
    "late": CallOutcome.PAST_DEADLINE,
    "room": CallOutcome.NO_ROOM,
    "ticket": CallOutcome.NO_TICKET,
}
_STATUSES = {
    200: CallOutcome.ACCEPTED,
    400: CallOutcome.MALFORMED,
    421: CallOutcome.OTHER_INCARNATION,
    429: CallOutcome.UNHEALTHY,
    503: CallOutcome.UNHEALTHY,
}
_END_REASONS = {
    "done": EndReason.DONE,
    "failed": EndReason.FAILED,
    "stopped": EndReason.STOPPED,
    "lapsed": EndReason.LAPSED,
    "broken": EndReason.GANG_BROKEN,
    "alone": EndReason.GANG_INCOMPLETE,
}


class _Order(msgspec.Struct, omit_defaults=True):
    task: str
    attempt: int
    fencing_token: int
    spec: str | None = None
    deadline_ms: int | None = None
    checkpoint: str = ""
    ticket: str = ""
    percent: int | None = None


class _Poll(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class _OrderAnswer(msgspec.Struct):
    clock_ms: int | None = None
    reason: str = ""
    born: int | None = None


class _PollAnswer(msgspec.Struct):
    clock_ms: int
    running: list[tuple[Any, ...]] = []
    ended: list[tuple[int, str, int, str, str]] = []
    born: int | None = None


_Shape = TypeVar("_Shape")


class PlatformExecutors(ExecutorCalls):
    """A client of all executors."""

    def __init__(self) -> None:
        """No connection yet."""
        self._calls: dict[ExecutorId, tuple[Address, JsonCalls]] = {}

    async def start(
        self, place: ExecutorPlace, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        body = _Order(
            order.task,
            order.attempt,
            token,
            spec=order.payload,
            deadline_ms=order.deadline_ms,
            checkpoint=order.checkpoint,
            ticket=order.ticket,
        )
        return await self._order(place, START_PATH, body)

    async def stop(
        self,
        place: ExecutorPlace,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(place, STOP_PATH, _Order(task, attempt, token))

    async def pace(
        self,
        place: ExecutorPlace,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(place, PACE_PATH, _Order(task, attempt, token, percent=percent))

    async def poll(
        self,
        place: ExecutorPlace,
        token: FencingToken,
        forget_ends_to: int,
        lease_until_ms: int | None,
        wait_seconds: float,
    ) -> PollAnswer:
        """See ExecutorCalls."""
        body = _Poll(token, forget_ends_to, lease_until_ms, int(wait_seconds * 1000))
        answer = await self._call(place, POLL_PATH, msgspec.json.encode(body), wait_seconds)
        if answer is None:
            return PollAnswer(CallOutcome.UNKNOWN)
        if answer.status != 200:
            refusal = _decoded(answer, _OrderAnswer)
            return PollAnswer(_outcome(answer, refusal))
        poll = _decoded(answer, _PollAnswer)
        if poll is None:
            return PollAnswer(CallOutcome.UNKNOWN)
        return PollAnswer(
            CallOutcome.ACCEPTED,
            poll.clock_ms,
            poll.born,
            tuple(map(_running_row, poll.running)),
            tuple(map(_ended_row, poll.ended)),
            len(poll.ended) < MOST_ENDS_LISTED,
        )

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
        known = self._calls.pop(executor, None)
        if known is not None:
            known[1].close()

    async def _order(self, place: ExecutorPlace, path: str, body: _Order) -> OrderAnswer:
        answer = await self._call(place, path, msgspec.json.encode(body))
        if answer is None:
            return OrderAnswer(CallOutcome.UNKNOWN, None)
        decoded = _decoded(answer, _OrderAnswer)
        outcome = _outcome(answer, decoded)
        if decoded is None:
            return OrderAnswer(outcome, None)
        return OrderAnswer(outcome, decoded.clock_ms, decoded.born)

    async def _call(
        self, place: ExecutorPlace, path: str, body: bytes, extra_seconds: float = 0.0
    ) -> CallAnswer | None:
        headers = ((EXPECTED_INCARNATION_HEADER, place.executor.encode("ascii")),)
        try:
            return await self._calls_to(place).call("POST", path, body, headers, extra_seconds)
        except HttpError as error:
            logger.debug("executor call failed", executor=place.executor, error=str(error))
            return None

    def _calls_to(self, place: ExecutorPlace) -> JsonCalls:
        known = self._calls.get(place.executor)
        if known is not None and known[0] == place.address:
            return known[1]
        if known is not None:
            known[1].close()
        calls = JsonCalls(place.address, CALL_TIMEOUT_SECONDS)
        self._calls[place.executor] = (place.address, calls)
        return calls


def _outcome(answer: CallAnswer, decoded: _OrderAnswer | None) -> CallOutcome:
    if answer.status == 409 and decoded is not None:
        return _REASONS.get(decoded.reason, CallOutcome.UNKNOWN)
    return _STATUSES.get(answer.status, CallOutcome.UNKNOWN)


def _decoded(answer: CallAnswer, shape: type[_Shape]) -> _Shape | None:
    if not answer.body:
        return None
    try:
        return msgspec.json.decode(answer.body, type=shape)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        logger.warning("executor's answer not readable", status=answer.status, error=str(error))
        return None


def _running_row(row: tuple[Any, ...]) -> RunningRow:
    # Rows grew a column for the usage figure; an executor without it measures nothing.
    figure = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return RunningRow(
        TaskName(str(row[0])), AttemptNumber(int(row[1])), str(row[2] or ""), int(row[3]), figure
    )


def _ended_row(row: tuple[int, str, int, str, str]) -> EndedRow:
    number, task, attempt, reason, checkpoint = row
    # A reason that isn't known counts as a lapse: the run is over and nobody is to blame.
    known = _END_REASONS.get(reason, EndReason.LAPSED)
    return EndedRow(number, TaskName(task), AttemptNumber(attempt), known, checkpoint)
