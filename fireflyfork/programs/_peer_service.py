"""Serves peers: forwarded requests, heartbeats and control messages."""

from __future__ import annotations

from dataclasses import dataclass, replace

import trio
from loguru import logger

from .._errors import FireflyforkError, PeerError, RequestError
from .._ids import IdempotencyKey, MemberId, RequestId, ServiceName, TargetId
from .._requests import ServiceRequest
from .._traces import TraceContext
from .._verdict import Verdict
from ..adapters import Control, Forward, IncomingCall, PeerHandler, Pong, Role
from ..decisions import LeavingMark
from ._bodies import RequestBody
from ._control_handler import ControlHandler
from ._keyed_requests import KeyedRequests
from ._ownership import OwnershipView
from ._peer_figures import PeerFigures
from ._request_flow import RequestFlow
from ._sinks import PeerSink
from ._span_writer import SpanWriter
from ._target_groups import TargetGroups

FIGURES_SECONDS = 5.0
"""A peer gets the figures of a service until this long after its last request to the service."""


@dataclass(frozen=True, slots=True)
class PeerParts:
    """The parts of an entry that serve peers' requests."""

    targets: TargetGroups
    flow: RequestFlow
    keyed: KeyedRequests


class PeerService(PeerHandler):
    """Handles the requests and messages of peers."""

    def __init__(
        self,
        ownership: OwnershipView,
        figures: PeerFigures,
        spans: SpanWriter,
    ) -> None:
        """Call ``attach`` before the first peer connects."""
        self._ownership = ownership
        self._figures = figures
        self._spans = spans
        self._topics: dict[str, ControlHandler] = {}
        self._attached: PeerParts | None = None
        self._last_used: dict[tuple[MemberId, ServiceName], float] = {}
        self._in_flight = 0
        self._idle = trio.Event()

    @property
    def in_flight(self) -> int:
        """The number of forwarded requests in flight at this entry."""
        return self._in_flight

    def attach(self, parts: PeerParts) -> None:
        """Set the parts that serve requests."""
        self._attached = parts

    def subscribe(self, topic: str, handler: ControlHandler) -> None:
        """Pass control messages of ``topic`` to ``handler``."""
        self._topics[topic] = handler

    async def handle_call(self, call: IncomingCall) -> None:
        """Serve one forwarded request; errors are sent to the peer as refusals."""
        self._in_flight += 1
        try:
            await self._serve(call)
        except RequestError as error:
            call.refuse(error)
        except FireflyforkError as error:
            call.refuse(RequestError(502, str(error), Verdict.MAY_HAVE_RUN, 1.0))
        except Exception as error:
            # An error in the handling of one request must not end the process and with it all
            # other requests. It is reported only by this log line.
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

    def pong(self, member: MemberId, nonce: int) -> Pong:
        """See PeerHandler. Only the figures of services that the member forwards to are sent.

        With hundreds of services, the figures of all would cost more than the heartbeat itself.
        """
        now = trio.current_time()
        self._last_used = {
            key: used_at
            for key, used_at in self._last_used.items()
            if now - used_at < FIGURES_SECONDS
        }
        used = (service for peer, service in self._last_used if peer == member)
        targets = self._parts.targets
        groups = (targets.group(service) for service in used)
        return Pong(
            nonce,
            {group.contract.name: group.figures() for group in groups if group is not None},
            {mark.target_id: mark.age_seconds for mark in targets.leaving.marks_for_peers(now)},
        )

    def handle_pong(self, member: MemberId, pong: Pong) -> None:
        """See PeerHandler."""
        region = self._ownership.region_of(member)
        if region is not None:
            for service, figures in pong.figures.items():
                self._figures.update(member, region, ServiceName(service), figures)
        marks = [LeavingMark(TargetId(name), age) for name, age in pong.leaving.items()]
        targets = self._parts.targets
        leaving = targets.leaving.merge_marks(marks, trio.current_time())
        if leaving is not targets.leaving:
            targets.note_leaving(leaving)

    def handle_control(self, member: MemberId, control: Control) -> Control | None:
        """See PeerHandler."""
        handler = self._topics.get(control.topic)
        if handler is None:
            return None
        try:
            return handler.handle(member, control.content)
        except PeerError:
            raise
        except Exception as error:
            # As with requests, an error in the handling of one message must not end the process.
            logger.opt(exception=error).error("control message failed", topic=control.topic)
            return None

    @property
    def _parts(self) -> PeerParts:
        assert self._attached is not None
        return self._attached

    async def _serve(self, call: IncomingCall) -> None:
        request = _request(call.forward)
        self._last_used[call.member, request.service] = trio.current_time()
        group = self._parts.targets.group(request.service)
        if group is None:
            raise RequestError(503, "the service is not known here yet", Verdict.NOT_RUN, 1.0)
        body = RequestBody(call.body(), group.contract.longest_body_bytes)
        with self._spans.span("peer-request", request.trace, origin=call.member) as span:
            request = replace(request, trace=span.context)
            await body.fill()
            sink = PeerSink(call, group.figures)
            if call.forward.role is Role.HOME:
                await self._parts.keyed.run_as_home(request, body, sink)
            else:
                await self._parts.flow.run_here(request, body, sink, call.member)


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
