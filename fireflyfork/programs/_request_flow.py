"""Routes each request to a target here or at a peer, and retries where that is safe."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import count
from random import Random

import trio

from .._errors import OverloadedError, RequestError
from .._ids import MemberId, RegionName, ServiceName
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import Role
from ..decisions import (
    FailedAttempt,
    LinkBudget,
    RetryBudget,
    RetryDecision,
    RetryLimits,
    Route,
    RouteInput,
    RouteKind,
    route,
)
from ._bodies import RequestBody
from ._forwarding import Forwarder
from ._metrics import Metrics
from ._ownership import OwnershipView
from ._peer_figures import PeerFigures
from ._redirects import Redirects
from ._sinks import AnswerSink
from ._target_attempts import TargetAttempts
from ._target_group import TargetGroup
from ._target_groups import TargetGroups

_TYPICAL_ANSWER_BYTES = 4096


class RequestFlow:
    """Dispatches requests with routing, redirects and retries."""

    def __init__(
        self,
        ownership: OwnershipView,
        targets: TargetGroups,
        attempts: TargetAttempts,
        forwarder: Forwarder,
        figures: PeerFigures,
        metrics: Metrics,
        random: Random,
    ) -> None:
        """``random`` selects the members that routing compares."""
        self._ownership = ownership
        self._targets = targets
        self._attempts = attempts
        self._forwarder = forwarder
        self._figures = figures
        self._random = random
        self._metrics = metrics
        self._links: dict[RegionName, LinkBudget] = {}
        self._budgets: dict[ServiceName, RetryBudget] = {}

    def set_links(self, links: Mapping[RegionName, LinkBudget]) -> None:
        """Put the byte budgets of the links to other regions in force."""
        self._links = dict(links)

    async def dispatch(self, request: ServiceRequest, body: RequestBody, sink: AnswerSink) -> None:
        """Run the request on a target, here or at a peer. Raises RequestError, HttpError."""
        group = self._group(request)
        self._budgets[request.service] = self._budget(request.service).request()
        verdict = Verdict.NOT_RUN
        redirects = Redirects(request.deadline)
        for attempts in count(1):
            try:
                await self._dispatch_once(group, request, body, sink)
                return
            except OverloadedError:
                raise
            except RequestError as error:
                if not sink.started and body.replayable and await redirects.follow(error):
                    continue
                error = redirects.final_error(error)
                verdict = error.verdict.after(verdict)
                failed = FailedAttempt(
                    verdict,
                    request.idempotent,
                    attempts,
                    request.deadline,
                    group.expected_run_seconds,
                )
                if sink.started or not body.replayable or not self._allow_retry(request, failed):
                    raise RequestError(
                        error.status, error.reason, verdict, error.retry_after
                    ) from error

    async def run_here(
        self, request: ServiceRequest, body: RequestBody, sink: AnswerSink, entry: MemberId
    ) -> None:
        """Run a request that ``entry`` forwarded on a target that this entry owns.

        Raises RequestError, HttpError.
        """
        await self._attempts.run(self._group(request), request, body, sink, entry)

    def _budget(self, service: ServiceName) -> RetryBudget:
        return self._budgets.get(service) or RetryBudget.full(RetryLimits())

    def _allow_retry(self, request: ServiceRequest, failed: FailedAttempt) -> bool:
        budget = self._budget(request.service)
        self._budgets[request.service], decision = budget.decide(failed, trio.current_time())
        self._metrics.count(
            "fireflyfork_failed_attempts_total",
            service=request.service,
            then=decision.value,
        )
        return decision is RetryDecision.RETRY

    async def _dispatch_once(
        self, group: TargetGroup, request: ServiceRequest, body: RequestBody, sink: AnswerSink
    ) -> None:
        chosen = self._route(group, request, body)
        match chosen.kind:
            case RouteKind.OWN_TARGET | RouteKind.QUEUE:
                await self._attempts.run(group, request, body, sink, self._ownership.member_id)
            case RouteKind.FORWARD | RouteKind.SPILL:
                assert chosen.member_id is not None
                await self._forwarder.forward(chosen.member_id, Role.OWNER, request, body, sink)
            case RouteKind.REFUSE:
                wait = max(chosen.retry_after, group.seconds_to_first_slot())
                raise OverloadedError(503, "no room in time", Verdict.NOT_RUN, wait)

    def _route(self, group: TargetGroup, request: ServiceRequest, body: RequestBody) -> Route:
        now = trio.current_time()
        region = self._ownership.region_of(self._ownership.member_id)
        owners = self._targets.other_owners(request.service)
        regions = ((member, self._ownership.region_of(member)) for member in owners)
        peer_regions = [
            (member, member_region)
            for member, member_region in regions
            if member_region is not None
        ]
        route_input = RouteInput(
            region=region or RegionName(""),
            own=tuple(group.own_targets()),
            queued=group.queued,
            drain_per_second=group.drain_per_second,
            peers=tuple(self._figures.for_members(request.service, peer_regions)),
            time_left=request.deadline - now - group.expected_run_seconds,
            request_bytes=body.length + _TYPICAL_ANSWER_BYTES,
            forwarded=False,
            draw=(self._random.random(), self._random.random()),
        )
        chosen = route(route_input, self._links, now)
        if chosen.kind is RouteKind.SPILL and chosen.member_id is not None:
            self._spend(chosen, route_input.request_bytes, now)
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
