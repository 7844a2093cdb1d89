"""Runs requests on executors; a slot is held until its request is proved to have ended."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import trio

from .._errors import MisdirectedError, PeerError, RequestError
from .._ids import MemberId, RequestId
from .._links import Address
from .._requests import ServiceRequest
from .._traces import TraceContext
from .._verdict import Verdict
from ..adapters import Header, HttpClientConnection, HttpError, RequestHead
from ..decisions import ConnectionChoice, ConnectionId, SlotRefusal
from ._bodies import RequestBody
from ._caller_requests import KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER, TRACE_HEADER
from ._ownership import OwnershipView
from ._sinks import AnswerSink, DetachableSink, incomplete_answer_error
from ._span_writer import SpanWriter
from ._target_group import OwnedTarget, TargetGroup

CONNECT_SECONDS = 0.5
SEND_SECONDS = 2.5
"""The longest time for sending a request.

It adds up to ``START_WITHIN_SECONDS`` with ``CONNECT_SECONDS`` and the time that the kernel waits
for the acknowledgement of sent bytes.
"""


SILENCE_MARGIN_SECONDS = 0.25
"""Added to the contract's longest run time to allow for the network and a busy event loop."""


class _SilentConnectionError(HttpError):
    """Raised if no answer arrives although the executor must have ended the request."""


@dataclass(slots=True, eq=False)
class _Attempt:
    """One attempt to run a request on one target."""

    attempt_id: RequestId
    request: ServiceRequest
    body: RequestBody
    sink: DetachableSink
    trace: TraceContext
    ended: trio.Event = field(default_factory=trio.Event)
    error: RequestError | None = None
    abandoned: bool = False
    may_have_been_sent: bool = False
    """Whether any byte of the request may have been sent."""
    answered: bool = False
    """Whether the executor's whole answer was received."""

    @property
    def verdict(self) -> Verdict:
        return Verdict.MAY_HAVE_RUN if self.may_have_been_sent else Verdict.NOT_RUN


class TargetAttempts:
    """Runs requests on owned targets, in tasks that continue after the callers' deadlines."""

    def __init__(self, ownership: OwnershipView, spans: SpanWriter) -> None:
        """Call ``attach`` before the first request."""
        self._ownership = ownership
        self._spans = spans
        self._nursery: trio.Nursery | None = None
        self._count = 0

    def attach(self, nursery: trio.Nursery) -> None:
        """Run attempts in ``nursery``."""
        self._nursery = nursery

    async def run(
        self,
        group: TargetGroup,
        request: ServiceRequest,
        body: RequestBody,
        sink: AnswerSink,
        entry: MemberId,
    ) -> None:
        """Wait for a slot, run the request and pass the answer to ``sink``.

        ``entry`` is the entry that received the request from the caller or forwarded it. Raises
        RequestError, at the latest at the request's deadline.
        """
        self._count += 1
        attempt_id = RequestId(f"{request.request_id}.{self._count}")
        target = await group.acquire(request, attempt_id, entry)
        with self._spans.span(
            "target", request.trace, target=target.contract.target_id, attempt=attempt_id
        ) as span:
            attempt = _Attempt(attempt_id, request, body, DetachableSink(sink), span.context)
            assert self._nursery is not None
            self._nursery.start_soon(self._carry_out, group, target, attempt)
            await self._wait(attempt)

    async def _wait(self, attempt: _Attempt) -> None:
        try:
            with trio.move_on_at(attempt.request.deadline):
                await attempt.ended.wait()
        finally:
            attempt.abandoned = True
            attempt.sink.detach()
        if not attempt.ended.is_set():
            raise RequestError(504, "the deadline passed", attempt.verdict, retry_after=1.0)
        if attempt.error is not None:
            raise attempt.error

    async def _carry_out(self, group: TargetGroup, target: OwnedTarget, attempt: _Attempt) -> None:
        started = trio.current_time()
        try:
            with trio.move_on_after(target.ledger.limits.hold_seconds):
                await self._use_connection(target, attempt, group.contract.longest_run_seconds)
        except (HttpError, PeerError) as error:
            attempt.error = RequestError(502, str(error), attempt.verdict, retry_after=1.0)
        except RequestError as error:
            verdict = error.verdict.after(attempt.verdict)
            attempt.error = RequestError(error.status, error.reason, verdict, error.retry_after)
        finally:
            if not attempt.answered and attempt.error is None:
                attempt.error = incomplete_answer_error("no answer within the longest run time")
            if attempt.answered:
                group.record_run_time(trio.current_time() - started)
            if attempt.answered or not attempt.may_have_been_sent:
                group.release(target, attempt.attempt_id)
            attempt.ended.set()

    async def _use_connection(
        self, target: OwnedTarget, attempt: _Attempt, longest_run: float
    ) -> None:
        number, connection = await self._connection(target, attempt.request.idempotent)
        silent = False
        try:
            self._check_permission(target, attempt)
            await self._exchange(connection, attempt, longest_run)
        except _SilentConnectionError:
            silent = True
            raise
        finally:
            self._put_back(target, number, connection, silent)

    def _check_permission(self, target: OwnedTarget, attempt: _Attempt) -> None:
        # The process may have been paused since the slot was acquired, for long enough that another
        # member owns the target now and has its own count of the slots. Sending the request would
        # then exceed the executor's slots.
        if not self._ownership.may_dispatch(target.partition):
            raise MisdirectedError("ownership of the target is in doubt")
        if attempt.abandoned or trio.current_time() >= attempt.request.deadline:
            raise RequestError(504, "the deadline passed before sending", Verdict.NOT_RUN, 1.0)

    async def _exchange(
        self, connection: HttpClientConnection, attempt: _Attempt, longest_run: float
    ) -> None:
        attempt.may_have_been_sent = True
        await self._send(connection, attempt)
        # By then the executor has ended the request, so an answer that has not started won't arrive
        # on this connection. Waiting longer would let more requests use the same dead path.
        try:
            with trio.fail_after(longest_run + SILENCE_MARGIN_SECONDS):
                head = await connection.receive_head()
        except trio.TooSlowError as error:
            raise _SilentConnectionError("no answer within the longest run time") from error
        await attempt.sink.start(head)
        async for chunk in connection.receive_body():
            await attempt.sink.send(chunk)
        attempt.answered = True
        await attempt.sink.end()

    @staticmethod
    async def _send(connection: HttpClientConnection, attempt: _Attempt) -> None:
        # The time for which a slot is held assumes that the request is sent within this limit. A
        # request sent later could still run after its slot was given to another request.
        try:
            with trio.fail_after(SEND_SECONDS):
                await connection.send_head(_head(attempt))
                async for chunk in attempt.body.chunks():
                    await connection.send_body(chunk)
                await connection.send_end()
        except trio.TooSlowError as error:
            raise HttpError("the request did not leave in time") from error

    async def _connection(
        self, target: OwnedTarget, idempotent: bool
    ) -> tuple[ConnectionId, HttpClientConnection]:
        now = trio.current_time()
        target.pool, decision = target.pool.choose(idempotent, now)
        target.close_connections(decision.close)
        if decision.choice is ConnectionChoice.QUARANTINED:
            raise RequestError(
                503, "the way to the target is silent", Verdict.NOT_RUN, decision.retry_after
            )
        if decision.connection_id is not None:
            connection = target.connections.pop(decision.connection_id)
            if connection.reusable:
                return decision.connection_id, connection
            connection.close()
            target.ledger = target.ledger.close_connection()
        return await self._open(target)

    async def _open(self, target: OwnedTarget) -> tuple[ConnectionId, HttpClientConnection]:
        ledger = target.ledger.open_connection(trio.current_time())
        if isinstance(ledger, SlotRefusal):
            raise RequestError(503, "no connection to the target left", Verdict.NOT_RUN, 1.0)
        target.ledger = ledger
        target.last_connection_id = ConnectionId(target.last_connection_id + 1)
        connection_id = target.last_connection_id
        try:
            address = Address.parse(target.contract.address)
            connection = await HttpClientConnection.open(address, CONNECT_SECONDS)
        except BaseException:
            target.ledger = target.ledger.close_connection()
            target.pool = target.pool.open_failed(trio.current_time())
            raise
        target.pool = target.pool.opened()
        return connection_id, connection

    @staticmethod
    def _put_back(
        target: OwnedTarget, number: ConnectionId, connection: HttpClientConnection, silent: bool
    ) -> None:
        now = trio.current_time()
        if connection.reusable:
            target.connections[number] = connection
            target.pool, useless = target.pool.answered(number, now)
            target.close_connections(useless)
            return
        connection.close()
        target.ledger = target.ledger.close_connection()
        if silent:
            target.pool, suspected = target.pool.silent(number, target.last_connection_id, now)
            target.close_connections(suspected)


def _head(attempt: _Attempt) -> RequestHead:
    request = attempt.request
    remaining = max(1, int((request.deadline - trio.current_time()) * 1000))
    headers: list[Header] = [
        (b"host", request.service.encode("ascii")),
        *request.headers,
        (REQUEST_ID_HEADER, request.request_id.encode("ascii")),
        (TIMEOUT_HEADER, str(remaining).encode("ascii")),
        (TRACE_HEADER, attempt.trace.traceparent.encode("ascii")),
    ]
    if request.key:
        headers.append((KEY_HEADER, request.key.encode("latin-1")))
    headers.extend(_framing(attempt.body, headers))
    return RequestHead(request.method, request.path, tuple(headers))


def _framing(body: RequestBody, headers: list[Header]) -> Iterator[Header]:
    if any(name == b"content-length" for name, _ in headers):
        return
    if not body.is_complete:
        yield (b"transfer-encoding", b"chunked")
    elif body.length:
        yield (b"content-length", str(body.length).encode("ascii"))
