"""Forwards requests to peers over their streams and passes on the answers."""

from __future__ import annotations

import trio

from .._errors import FireflyforkError, OverloadedError, PeerError, RequestError
from .._ids import MemberId
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import (
    AnswerHead,
    Forward,
    OutgoingCall,
    PeerConnection,
    Peers,
    Refusal,
    ResponseHead,
    Role,
    ServiceFigures,
    refusal_error,
)
from ._bodies import RequestBody
from ._ownership import OwnershipView
from ._peer_figures import PeerFigures
from ._sinks import AnswerSink
from ._span_writer import SpanWriter

SAME_REGION_MARGIN_SECONDS = 0.01
OTHER_REGION_MARGIN_SECONDS = 0.06
"""The peer's deadline is earlier by the margin, so that its verdict arrives before our deadline."""


class Forwarder:
    """Forwards requests to peers."""

    def __init__(
        self, ownership: OwnershipView, peers: Peers, figures: PeerFigures, spans: SpanWriter
    ) -> None:
        """Service figures that arrive with answers are recorded in ``figures``."""
        self._ownership = ownership
        self._peers = peers
        self._figures = figures
        self._spans = spans

    async def forward(
        self,
        member: MemberId,
        role: Role,
        request: ServiceRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> None:
        """Forward the request and pass its whole answer to ``sink``.

        Raises RequestError, HttpError.
        """
        margin = self._margin(member)
        if trio.current_time() + 2 * margin > request.deadline:
            raise OverloadedError(503, "the deadline can't be made", Verdict.NOT_RUN, 1.0)
        with self._spans.span("forward", request.trace, peer=member, role=role.value) as span:
            stream = await self._stream(member)
            self._figures.count_forwarded(member, request.service)
            number, call = stream.open_call()
            forward = _forward_message(number, role, request, span.context.traceparent, margin)
            await self._run_call(stream, call, forward, request, body, sink)

    async def _stream(self, member: MemberId) -> PeerConnection:
        try:
            return await self._peers.stream(member)
        except PeerError as error:
            raise RequestError(503, str(error), Verdict.NOT_RUN, retry_after=1.0) from error

    async def _run_call(
        self,
        stream: PeerConnection,
        call: OutgoingCall,
        forward: Forward,
        request: ServiceRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> None:
        verdict = Verdict.NOT_RUN
        finished = False
        try:
            with trio.move_on_at(request.deadline):
                stream.send(forward)
                verdict = Verdict.MAY_HAVE_RUN
                await self._exchange(call, body, sink, request)
                finished = True
        except PeerError as error:
            raise RequestError(502, str(error), verdict, retry_after=1.0) from error
        finally:
            call.close(finished)
        if not finished:
            raise RequestError(504, "the deadline passed", verdict, retry_after=1.0)

    async def _exchange(
        self, call: OutgoingCall, body: RequestBody, sink: AnswerSink, request: ServiceRequest
    ) -> None:
        if body.is_complete:
            await _send_body(call, body)
            await self._receive(call, sink, request)
            return
        # A large body is sent while the answer is awaited, since the peer may refuse the request
        # before it has read the body to its end.
        error: FireflyforkError | None = None
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                nonlocal error
                try:
                    await _send_body(call, body)
                except FireflyforkError as failure:
                    error = failure
                    nursery.cancel_scope.cancel()

            nursery.start_soon(send)
            try:
                await self._receive(call, sink, request)
            except FireflyforkError as failure:
                error = failure
            nursery.cancel_scope.cancel()
        if error is not None:
            raise error

    async def _receive(self, call: OutgoingCall, sink: AnswerSink, request: ServiceRequest) -> None:
        event = await call.receive()
        if isinstance(event, Refusal):
            raise refusal_error(event)
        if not isinstance(event, AnswerHead):
            raise PeerError("a body without a head")
        self._record_figures(call.member, request, event.figures)
        await sink.start(ResponseHead(event.status, tuple(event.headers)))
        async for data in call.body():
            await sink.send(data)
        await sink.end()

    def _record_figures(
        self, member: MemberId, request: ServiceRequest, figures: ServiceFigures
    ) -> None:
        region = self._ownership.region_of(member)
        if region is not None:
            self._figures.update(member, region, request.service, figures)

    def _margin(self, member: MemberId) -> float:
        same_region = self._ownership.region_of(member) == self._ownership.region_of(
            self._ownership.member_id
        )
        return SAME_REGION_MARGIN_SECONDS if same_region else OTHER_REGION_MARGIN_SECONDS


async def _send_body(call: OutgoingCall, body: RequestBody) -> None:
    async for data in body.chunks():
        await call.send(data, end=False)
    await call.send(b"", end=True)


def _forward_message(
    number: int, role: Role, request: ServiceRequest, traceparent: str, margin: float
) -> Forward:
    remaining = request.deadline - margin - trio.current_time()
    return Forward(
        number,
        role,
        request.request_id,
        request.service,
        request.method,
        request.path,
        list(request.headers),
        max(1, int(remaining * 1000)),
        traceparent,
        request.key or "",
    )
