"""Serves what peers send: forwarded requests, heartbeats and membership messages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import replace

import trio
from loguru import logger

from .._errors import FireflyforkError, RequestError
from .._ids import IdempotencyKey, MemberId, RequestId, ServiceName, TargetId
from .._requests import ServiceRequest
from .._traces import TraceContext
from .._verdict import Verdict
from ..adapters import Control, Forward, IncomingCall, PeerHandler, Pong, Role
from ..decisions import LeavingMark
from ._bodies import RequestBody
from ._keyed_requests import KeyedRequests
from ._ownership import OwnershipView
from ._peer_figures import PeerFigures
from ._request_flow import RequestFlow
from ._sinks import PeerSink
from ._span_writer import SpanWriter
from ._target_groups import TargetGroups


class ControlHandler(ABC):
    """Takes the messages of one topic."""

    @abstractmethod
    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Take a message, and return the reply if there is one. Raises PeerError."""


class PeerService(PeerHandler):
    """What this entry does for its peers."""

    def __init__(
        self,
        ownership: OwnershipView,
        targets: TargetGroups,
        figures: PeerFigures,
        spans: SpanWriter,
    ) -> None:
        """Call ``attach`` before the first peer connects."""
        self._ownership = ownership
        self._targets = targets
        self._figures = figures
        self._spans = spans
        self._topics: dict[str, ControlHandler] = {}
        self._flow: RequestFlow | None = None
        self._keyed: KeyedRequests | None = None
        self._in_flight = 0
        self._idle = trio.Event()

    @property
    def in_flight(self) -> int:
        """Forwarded requests in flight here."""
        return self._in_flight

    def attach(self, flow: RequestFlow, keyed: KeyedRequests) -> None:
        """Give it what runs requests."""
        self._flow = flow
        self._keyed = keyed

    def subscribe(self, topic: str, handler: ControlHandler) -> None:
        """Send messages of ``topic`` to ``handler``."""
        self._topics[topic] = handler

    async def handle_call(self, call: IncomingCall) -> None:
        """Serve one forwarded request; its errors go to the peer."""
        self._in_flight += 1
        try:
            await self._serve(call)
        except RequestError as error:
            call.refuse(error)
        except FireflyforkError as error:
            call.refuse(RequestError(502, str(error), Verdict.MAY_HAVE_RUN, 1.0))
        except Exception as error:
            # A fault in the handling of one request must not end the process, which would take
            # all other requests with it; the log line is how anyone would notice.
            logger.opt(exception=error).error("forwarded request failed")
            call.refuse(RequestError(500, "internal error", Verdict.MAY_HAVE_RUN))
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()
                self._idle = trio.Event()

    async def wait_idle(self) -> None:
        """Wait until no forwarded request is in flight."""
        while self._in_flight:
            await self._idle.wait()

    def pong(self, nonce: int) -> Pong:
        """See PeerHandler."""
        marks = self._targets.leaving.marks(trio.current_time())
        return Pong(
            nonce,
            {group.contract.name: group.figures() for group in self._targets.groups()},
            {mark.target_id: mark.age_seconds for mark in marks},
        )

    def handle_pong(self, member: MemberId, pong: Pong) -> None:
        """See PeerHandler."""
        region = self._ownership.region_of(member)
        if region is not None:
            for service, figures in pong.figures.items():
                self._figures.heard(member, region, ServiceName(service), figures)
        marks = [LeavingMark(TargetId(name), age) for name, age in pong.leaving.items()]
        leaving = self._targets.leaving.heard(marks, trio.current_time())
        if leaving is not self._targets.leaving:
            self._targets.note_leaving(leaving)

    def handle_control(self, member: MemberId, control: Control) -> Control | None:
        """See PeerHandler."""
        handler = self._topics.get(control.topic)
        return handler.handle(member, control.content) if handler is not None else None

    async def _serve(self, call: IncomingCall) -> None:
        request = _request(call.forward)
        group = self._targets.group(request.service)
        if group is None or self._flow is None or self._keyed is None:
            raise RequestError(503, "the service is not known here yet", Verdict.NOT_RUN, 1.0)
        body = RequestBody(call.body(), group.contract.longest_body_bytes)
        with self._spans.span("peer-request", request.trace, origin=call.member) as span:
            request = replace(request, trace=span.context)
            await body.fill()
            sink = PeerSink(call, group.figures)
            if call.forward.role is Role.HOME:
                await self._keyed.run_as_home(request, body, sink)
            else:
                await self._flow.run_here(request, body, sink, call.member)


def _request(forward: Forward) -> ServiceRequest:
    return ServiceRequest(
        request_id=RequestId(forward.request_id),
        service=ServiceName(forward.service),
        method=forward.method,
        path=forward.path,
        headers=tuple(forward.headers),
        deadline=trio.current_time() + forward.remaining_milliseconds / 1000.0,
        trace=TraceContext.parse(forward.traceparent) or TraceContext.new(),
        key=IdempotencyKey(forward.key) if forward.key else None,
    )
