"""A client of the platform's executors over HTTP."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Annotated, TypeVar

import msgspec
from loguru import logger

from .._decoding import Count, Name, decode_json
from .._errors import InvalidDataError
from .._ids import AttemptNumber, ExecutorId, FencingToken, TaskName
from ..adapters import (
    ANY_INCARNATION,
    MAX_CALL_SECONDS,
    ExecutorCalls,
    ExecutorEndpoint,
    Header,
    HttpError,
    LoopTime,
)
from ..decisions.jobs import (
    CallOutcome,
    EndedRow,
    EndReason,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    RunningRow,
    StartRequest,
)
from ._http_calls import BoundCall, CallAnswer, JsonCalls
from ._names import EXPECTED_INCARNATION_HEADER, PACE_PATH, POLL_PATH, START_PATH, STOP_PATH

CALL_TIMEOUT_SECONDS = 0.6
"""The timeout in loop time. An answer takes 1 ms, and about 45 ms from another region. The tasks of an executor that
hangs or is disconnected must move to others before callers notice a delay."""
MAX_LISTED_ENDS = 500
"""The maximum number of ended runs in an executor's answer. It lists the oldest ones first, and further ones only
after these have been acknowledged."""

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


MAX_CHECKPOINT_LENGTH = 4_096
"""Maximum number of characters of a checkpoint, which is stored with the progress of its job."""
Checkpoint = Annotated[str, msgspec.Meta(max_length=MAX_CHECKPOINT_LENGTH)]


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
    clock_ms: Count | None = None
    reason: str = ""


class _Running(msgspec.Struct, array_like=True):
    task: Name
    attempt: Count
    checkpoint: Checkpoint | None
    percent: Count
    figure: float | None = None
    """The column was added to the format later; older executors don't send it."""


class _Ended(msgspec.Struct, array_like=True):
    number: Count
    task: Name
    attempt: Count
    reason: str
    checkpoint: Checkpoint


class _PollAnswer(msgspec.Struct):
    clock_ms: Count
    running: list[_Running] = []
    ended: list[_Ended] = []
    born: Count | None = None


_Shape = TypeVar("_Shape")


class _IncarnationCheckError(HttpError):
    """A new connection leads to another incarnation, or its incarnation couldn't be verified."""

    def __init__(self, outcome: CallOutcome, incarnation: int | None = None) -> None:
        super().__init__(f"incarnation check: {outcome.value}, found incarnation {incarnation}")
        self.outcome = outcome
        self.incarnation = incarnation


@dataclass(frozen=True, slots=True)
class _BoundClient:
    """A client whose connections all lead to one incarnation of an executor."""

    endpoint: ExecutorEndpoint
    token: FencingToken
    calls: JsonCalls


class PlatformExecutors(ExecutorCalls):
    """Calls all executors over HTTP.

    The platform's calls identify an executor but not its incarnation. A connection ends together with the
    process that it leads to. Each new connection is therefore first used for a poll without side effects,
    whose answer contains the incarnation. Nothing else is sent on a connection to a wrong incarnation.
    """

    def __init__(self, loop_time: LoopTime) -> None:
        """Start without connections. Timeouts are measured in ``loop_time``."""
        self._loop_time = loop_time
        self._bound: dict[ExecutorId, _BoundClient] = {}

    async def start(
        self, endpoint: ExecutorEndpoint, token: FencingToken, order: StartRequest
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
        return await self._order(endpoint, token, START_PATH, body)

    async def stop(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        return await self._order(endpoint, token, STOP_PATH, _Order(task, attempt, token))

    async def pace(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        order = _Order(task, attempt, token, percent=percent)
        return await self._order(endpoint, token, PACE_PATH, order)

    async def poll(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """See ExecutorCalls."""
        poll = _Poll(
            token,
            request.forget_ends_to,
            request.lease_until_ms,
            int(request.wait_seconds * 1000),
        )
        calls = self._calls_to(endpoint, token)
        # A poll that neither renews the lease nor acknowledges ends has no effect on any incarnation, and
        # its answer shows which one it has reached. It needs no check of the connection before.
        harmless = not request.forget_ends_to and request.lease_until_ms is None
        try:
            answer = await calls.call(
                "POST",
                POLL_PATH,
                msgspec.json.encode(poll),
                _headers(endpoint),
                request.wait_seconds + request.patience_seconds - CALL_TIMEOUT_SECONDS,
                harmless,
                fresh,
            )
        except _IncarnationCheckError as error:
            return PollAnswer(error.outcome, incarnation=error.incarnation)
        except HttpError as error:
            return PollAnswer(CallOutcome.UNKNOWN, why=str(error))
        listed = _poll_answer(answer)
        if (
            harmless
            and (outcome := _verification_outcome(endpoint, listed)) is not CallOutcome.ACCEPTED
        ):
            calls.close()
            return PollAnswer(outcome, incarnation=listed.incarnation)
        return listed

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
        known = self._bound.pop(executor, None)
        if known is not None:
            known.calls.close()

    async def _order(
        self, endpoint: ExecutorEndpoint, token: FencingToken, path: str, order: _Order
    ) -> OrderAnswer:
        calls = self._calls_to(endpoint, token)
        try:
            answer = await calls.call("POST", path, msgspec.json.encode(order), _headers(endpoint))
        except _IncarnationCheckError as error:
            return OrderAnswer(error.outcome, None, error.incarnation)
        except HttpError as error:
            logger.debug("executor call failed", executor=endpoint.executor, error=str(error))
            return OrderAnswer(CallOutcome.UNKNOWN, None)
        decoded = _decoded(answer, _OrderAnswer)
        outcome = _outcome(answer, decoded)
        if decoded is None:
            return OrderAnswer(outcome, None)
        return OrderAnswer(outcome, decoded.clock_ms, endpoint.incarnation)

    def _calls_to(self, endpoint: ExecutorEndpoint, token: FencingToken) -> JsonCalls:
        client = self._bound.get(endpoint.executor)
        if client is not None and client.endpoint == endpoint and client.token == token:
            return client.calls
        if client is not None:
            client.calls.close()
        calls = JsonCalls(
            endpoint.address,
            CALL_TIMEOUT_SECONDS,
            verify=partial(_verify_incarnation, endpoint, token),
            loop_time=self._loop_time,
            unacknowledged_seconds=MAX_CALL_SECONDS,
            connect_within_call=True,
        )
        self._bound[endpoint.executor] = _BoundClient(endpoint, token, calls)
        return calls


async def _verify_incarnation(
    endpoint: ExecutorEndpoint, token: FencingToken, connection: BoundCall
) -> None:
    """Poll over a new connection. Raises _IncarnationCheckError if it doesn't lead to the expected incarnation."""
    if endpoint.incarnation == ANY_INCARNATION:
        return
    body = msgspec.json.encode(_Poll(token, last_seen=0))
    listed = _poll_answer(await connection.call("POST", POLL_PATH, body, _headers(endpoint)))
    outcome = _verification_outcome(endpoint, listed)
    if outcome is not CallOutcome.ACCEPTED:
        raise _IncarnationCheckError(outcome, listed.incarnation)


def _verification_outcome(endpoint: ExecutorEndpoint, listed: PollAnswer) -> CallOutcome:
    """Return ACCEPTED if the answer to a poll came from the expected incarnation, or the outcome of the call if not."""
    if listed.outcome is not CallOutcome.ACCEPTED:
        return listed.outcome
    if endpoint.incarnation in (ANY_INCARNATION, listed.incarnation):
        return CallOutcome.ACCEPTED
    return CallOutcome.OTHER_INCARNATION


def _headers(endpoint: ExecutorEndpoint) -> tuple[Header, ...]:
    return ((EXPECTED_INCARNATION_HEADER, endpoint.executor.encode("ascii")),)


def _poll_answer(answer: CallAnswer) -> PollAnswer:
    if answer.status != 200:
        return PollAnswer(_outcome(answer, _decoded(answer, _OrderAnswer)))
    poll = _decoded(answer, _PollAnswer)
    if poll is None:
        return PollAnswer(CallOutcome.UNKNOWN)
    return PollAnswer(
        CallOutcome.ACCEPTED,
        poll.clock_ms,
        poll.born,
        tuple(map(_running_row, poll.running)),
        tuple(map(_ended_row, poll.ended)),
        ends_may_be_cut=len(poll.ended) >= MAX_LISTED_ENDS,
    )


def _outcome(answer: CallAnswer, decoded: _OrderAnswer | None) -> CallOutcome:
    if answer.status == 409 and decoded is not None:
        return _REASONS.get(decoded.reason, CallOutcome.UNKNOWN)
    return _STATUSES.get(answer.status, CallOutcome.UNKNOWN)


def _decoded(answer: CallAnswer, shape: type[_Shape]) -> _Shape | None:
    if not answer.body:
        return None
    try:
        return decode_json(answer.body, shape)
    except InvalidDataError as error:
        logger.warning("cannot decode executor answer", status=answer.status, error=str(error))
        return None


def _running_row(row: _Running) -> RunningRow:
    return RunningRow(
        TaskName(row.task),
        AttemptNumber(row.attempt),
        row.checkpoint or "",
        row.percent,
        row.figure or 0.0,
    )


def _ended_row(row: _Ended) -> EndedRow:
    # An unknown reason is treated as a lapsed lease: the run has ended, and it isn't a failure of the task.
    reason = _END_REASONS.get(row.reason, EndReason.LAPSED)
    return EndedRow(
        row.number, TaskName(row.task), AttemptNumber(row.attempt), reason, row.checkpoint
    )
