"""Decides, for each request, who runs it, and tries again where that is safe."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

import trio

from .._errors import OverloadedError, RequestError
from .._ids import RegionName
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import Role
from ..decisions import LinkBudget, Route, RouteKind, RouteQuestion, route
from ._bodies import RequestBody
from ._forwarding import Forwarder
from ._ownership import OwnershipView
from ._peer_figures import PeerFigures
from ._sinks import AnswerSink
from ._target_attempts import TargetAttempts
from ._target_group import TargetGroup
from ._target_groups import TargetGroups

MOST_ATTEMPTS = 3
_TYPICAL_ANSWER_BYTES = 4096


class RequestFlow:
    """The way of requests through this entry."""

    def __init__(
        self,
        ownership: OwnershipView,
        targets: TargetGroups,
        attempts: TargetAttempts,
        forwarder: Forwarder,
        figures: PeerFigures,
        random: Random,
    ) -> None:
        """``random`` draws the members to compare."""
        self._ownership = ownership
        self._targets = targets
        self._attempts = attempts
        self._forwarder = forwarder
        self._figures = figures
        self._random = random
        self._links: dict[RegionName, LinkBudget] = {}

    def set_links(self, links: Mapping[RegionName, LinkBudget]) -> None:
        """Put the byte budgets of the links to other regions in force."""
        self._links = dict(links)

    async def dispatch(self, request: ServiceRequest, body: RequestBody, sink: AnswerSink) -> None:
        """Run the request on a target, here or at a peer. Raises RequestError, HttpError."""
        verdict = Verdict.NOT_RUN
        for attempt in range(1, MOST_ATTEMPTS + 1):
            try:
                await self._dispatch_once(request, body, sink)
                return
            except OverloadedError:
                raise
            except RequestError as error:
                verdict = error.verdict.after(verdict)
                if attempt == MOST_ATTEMPTS or not _may_retry(request, body, sink, error):
                    raise RequestError(
                        error.status, error.reason, verdict, error.retry_after
                    ) from error

    async def run_here(self, request: ServiceRequest, body: RequestBody, sink: AnswerSink) -> None:
        """Run a forwarded request on a target owned here. Raises RequestError, HttpError."""
        await self._attempts.run(self._group(request), request, body, sink)

    async def _dispatch_once(
        self, request: ServiceRequest, body: RequestBody, sink: AnswerSink
    ) -> None:
        group = self._group(request)
        chosen = self._route(group, request, body)
        match chosen.kind:
            case RouteKind.OWN_TARGET | RouteKind.QUEUE:
                await self._attempts.run(group, request, body, sink)
            case RouteKind.FORWARD | RouteKind.SPILL:
                assert chosen.member_id is not None
                await self._forwarder.forward(chosen.member_id, Role.OWNER, request, body, sink)
            case RouteKind.REFUSE:
                raise OverloadedError(503, "no room in time", Verdict.NOT_RUN, chosen.retry_after)

    def _route(self, group: TargetGroup, request: ServiceRequest, body: RequestBody) -> Route:
        now = trio.current_time()
        region = self._ownership.region_of(self._ownership.own)
        owners = self._targets.other_owners(request.service)
        regions = ((member, self._ownership.region_of(member)) for member in owners)
        known = [(member, at) for member, at in regions if at is not None]
        question = RouteQuestion(
            region=region or RegionName(""),
            own=tuple(group.own_targets()),
            queued=group.queued,
            drain_per_second=group.drain_per_second,
            peers=tuple(self._figures.of(request.service, known)),
            time_left=request.deadline - now - group.expected_run_seconds,
            request_bytes=body.length + _TYPICAL_ANSWER_BYTES,
            forwarded=False,
            draw=(self._random.random(), self._random.random()),
        )
        chosen = route(question, self._links, now)
        if chosen.kind is RouteKind.SPILL and chosen.member_id is not None:
            self._spend(chosen, question.request_bytes, now)
        return chosen

    def _spend(self, chosen: Route, size: int, now: float) -> None:
        assert chosen.member_id is not None
        region = self._ownership.region_of(chosen.member_id)
        if region in self._links:
            self._links[region] = self._links[region].spend(size, now)

    def _group(self, request: ServiceRequest) -> TargetGroup:
        group = self._targets.group(request.service)
        if group is None:
            raise RequestError(404, f"no service {request.service!r}", Verdict.NOT_RUN)
        return group


def _may_retry(
    request: ServiceRequest, body: RequestBody, sink: AnswerSink, error: RequestError
) -> bool:
    if sink.started or not body.replayable or trio.current_time() >= request.deadline:
        return False
    return request.idempotent or error.verdict.permits_retry_of_non_idempotent
