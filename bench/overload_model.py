"""A seeded discrete-event model of the callers, entries, owners and executors of one region.

The model runs the product's decisions and simulates only time, the network and the executors.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from fireflyfork import (
    FailureDomainName,
    MemberId,
    RegionName,
    RequestId,
    ServiceContract,
    ServiceName,
    TargetContract,
    TargetId,
    TeamName,
    Verdict,
)
from fireflyfork.decisions import (
    AdmissionKind,
    AdmissionQueue,
    FailedAttempt,
    MemberLoad,
    OwnTarget,
    RetryBudget,
    RetryDecision,
    RetryLimits,
    RouteInput,
    RouteKind,
    ServiceTime,
    SlotLedger,
    SlotLimits,
    WaitingRequest,
    route,
)

REGION = RegionName("viti")
ENTRIES = 6
TARGETS = 8
SLOTS = 8
MEAN_SECONDS = 0.1
SIGMA = 0.5
"""Standard deviation of the logarithm of the service time, which is lognormal."""
TIMEOUT = 0.5
HOP = 0.0005
LOAD_REPORT_SECONDS = 0.25
REFUSED_CONNECTION_SHARE = 0.02
"""Share of attempts whose connection is refused, which proves that they have not run."""
WARM_UP = 1.0
MEASURED = 4.0
MAX_ATTEMPTS = 3
CAPACITY = TARGETS * SLOTS / MEAN_SECONDS
"""Requests per second that the executors can run."""
ENTRY_WEIGHTS = (4.0, 2.0, 1.0, 1.0, 1.0, 1.0)
"""Relative weights of the entries in the distribution of callers' connections."""


@dataclass(frozen=True, slots=True)
class Variant:
    """The mechanisms that are replaced by naive ones."""

    name: str
    fixed_share: bool = False
    """Each entry uses its own share of every target's slots and never forwards requests."""
    round_robin: bool = False
    """Each entry sends requests to the owners in turn."""
    no_shedding: bool = False
    """Requests wait in order of arrival, without a limit."""
    plain_retry: bool = False
    """Every failed request is retried, up to three attempts, without a retry budget."""


@dataclass(slots=True)
class ModelRequest:
    """A request and its state in the model."""

    serial: int
    entry: int
    arrived: float
    deadline: float
    attempts: int = 1
    ended: bool = False


@dataclass(slots=True)
class Outcomes:
    """Outcomes, as callers observe them, of the requests that arrived in the measured time."""

    arrived: int = 0
    answer_seconds: list[float] = field(default_factory=list)
    refusal_seconds: list[float] = field(default_factory=list)
    timed_out: int = 0
    failed: int = 0
    """Requests whose connection was refused and that weren't retried."""
    retries: int = 0
    runs: int = 0


@dataclass(slots=True)
class ModelOwner:
    """The state of an entry as the owner of its targets."""

    ledgers: dict[TargetId, SlotLedger]
    admission: AdmissionQueue
    fifo: deque[ModelRequest] = field(default_factory=deque)
    requests: dict[RequestId, ModelRequest] = field(default_factory=dict)


class OverloadModel:
    """Simulates one variant at one load with one seed."""

    def __init__(self, variant: Variant, load: float, seed: int) -> None:
        """``load`` is the arrival rate as a multiple of the capacity."""
        self.outcomes = Outcomes()
        self._variant = variant
        self._load = load
        self._random = Random(seed)
        self._now = 0.0
        self._serial = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._owners = self._build_owners()
        self._budgets = [RetryBudget.full(RetryLimits()) for _ in range(ENTRIES)]
        self._peer_loads: list[dict[int, MemberLoad]] = [{} for _ in range(ENTRIES)]
        self._round_robin_counters = [0] * ENTRIES

    def run(self) -> Outcomes:
        """Run until the last timeout of the measured time has passed, and return the outcomes."""
        self._schedule(0.0, self._report_loads)
        self._schedule(0.0, self._arrive)
        end = WARM_UP + MEASURED + TIMEOUT
        while self._events and self._events[0][0] <= end:
            self._now, _, happen = heapq.heappop(self._events)
            happen()
        return self.outcomes

    def _build_owners(self) -> list[ModelOwner]:
        shares: list[dict[TargetId, int]] = [{} for _ in range(ENTRIES)]
        for number in range(TARGETS * SLOTS):
            target = TargetId(f"t{number // SLOTS}")
            holder = number % ENTRIES if self._variant.fixed_share else number // SLOTS % ENTRIES
            shares[holder][target] = shares[holder].get(target, 0) + 1
        return [self._build_owner(share) for share in shares]

    def _build_owner(self, share: dict[TargetId, int]) -> ModelOwner:
        service = ServiceContract(ServiceName("desk"), TeamName("desk"), 5.0)
        ledgers = {}
        for target_id, slots in share.items():
            contract = TargetContract(
                target_id, service.name, "", REGION, FailureDomainName("suva"), slots, 64
            )
            ledgers[target_id] = SlotLedger(SlotLimits.from_contracts(contract, service))
        admission = AdmissionQueue(service.longest_queue, ServiceTime(MEAN_SECONDS, 0.0))
        return ModelOwner(ledgers, admission)

    def _schedule(self, seconds: float, happen: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._events, (self._now + seconds, self._serial, happen))

    def _arrive(self) -> None:
        self._schedule(self._random.expovariate(self._load * CAPACITY), self._arrive)
        entry = self._random.choices(range(ENTRIES), ENTRY_WEIGHTS)[0]
        request = ModelRequest(self._serial, entry, self._now, self._now + TIMEOUT)
        if self._is_measured(request):
            self.outcomes.arrived += 1
        self._budgets[entry] = self._budgets[entry].request()
        self._schedule(TIMEOUT, lambda: self._time_out(request))
        self._dispatch(request)

    def _is_measured(self, request: ModelRequest) -> bool:
        return WARM_UP <= request.arrived < WARM_UP + MEASURED

    def _dispatch(self, request: ModelRequest) -> None:
        owner, retry_after = self._choose_owner(request)
        if owner is None:
            self._refused(request, retry_after)
        elif owner == request.entry:
            self._offer(owner, request)
        else:
            self._note_sent(request.entry, owner)
            self._schedule(HOP, lambda: self._offer(owner, request))

    def _choose_owner(self, request: ModelRequest) -> tuple[int | None, float]:
        if self._variant.fixed_share:
            return request.entry, 0.0
        if self._variant.round_robin:
            self._round_robin_counters[request.entry] += 1
            return self._round_robin_counters[request.entry] % TARGETS % ENTRIES, 0.0
        chosen = route(self._build_route_input(request), {}, self._now)
        if chosen.kind is RouteKind.REFUSE:
            return None, chosen.retry_after
        member = chosen.member_id
        return (request.entry if member is None else int(member)), 0.0

    def _build_route_input(self, request: ModelRequest) -> RouteInput:
        own = self._owners[request.entry]
        time_left = request.deadline - self._now - own.admission.service_time.expected
        return RouteInput(
            region=REGION,
            own=[OwnTarget(name, ledger.free(self._now)) for name, ledger in own.ledgers.items()],
            queued=self._queued(own),
            drain_per_second=own.admission.drain_per_second(_slots(own), self._now),
            peers=tuple(self._peer_loads[request.entry].values()),
            time_left=1e9 if self._variant.no_shedding else time_left,
            request_bytes=1000,
            forwarded=False,
            draw=(self._random.random(), self._random.random()),
        )

    def _queued(self, owner: ModelOwner) -> int:
        return len(owner.fifo) + len(owner.admission.waiting)

    def _note_sent(self, entry: int, owner: int) -> None:
        known = self._peer_loads[entry].get(owner)
        if known is not None:
            self._peer_loads[entry][owner] = replace(known, sent_since=known.sent_since + 1)

    def _report_loads(self) -> None:
        self._schedule(LOAD_REPORT_SECONDS, self._report_loads)
        for owner in range(ENTRIES):
            for entry in range(ENTRIES):
                self._update_load(entry, owner)

    def _update_load(self, entry: int, owner: int) -> None:
        if entry == owner:
            return
        state = self._owners[owner]
        free = sum(ledger.free(self._now) for ledger in state.ledgers.values())
        drain = state.admission.drain_per_second(_slots(state), self._now)
        self._peer_loads[entry][owner] = MemberLoad(
            MemberId(str(owner)), REGION, free, self._queued(state), drain, self._now
        )

    def _offer(self, owner: int, request: ModelRequest) -> None:
        state = self._owners[owner]
        free = sum(ledger.free(self._now) for ledger in state.ledgers.values())
        if self._variant.no_shedding:
            state.fifo.append(request)
            if free:
                self._start(owner, state.fifo.popleft())
            return
        waiting = WaitingRequest(
            RequestId(f"{request.serial}.{request.attempts}"),
            MemberId(str(request.entry)),
            request.deadline,
        )
        state.requests[waiting.request_id] = request
        state.admission, decision = state.admission.offer(waiting, free, _slots(state), self._now)
        for refused in decision.refused:
            self._send_refusal(owner, refused.request.request_id, refused.retry_after)
        if decision.kind is AdmissionKind.RUN:
            del state.requests[waiting.request_id]
            self._start(owner, request)

    def _send_refusal(self, owner: int, name: RequestId, retry_after: float) -> None:
        request = self._owners[owner].requests.pop(name)
        hop = 0.0 if owner == request.entry else HOP
        self._update_load(request.entry, owner)
        self._schedule(hop, lambda: self._refused(request, retry_after))

    def _start(self, owner: int, request: ModelRequest) -> None:
        state = self._owners[owner]
        attempt = RequestId(f"{request.serial}.{request.attempts}")
        target = max(state.ledgers, key=lambda name: state.ledgers[name].free(self._now))
        taken = state.ledgers[target].acquire(attempt, self._now)
        assert isinstance(taken, SlotLedger), taken
        state.ledgers[target] = taken
        if self._random.random() < REFUSED_CONNECTION_SHARE:
            self._schedule(HOP, lambda: self._fail(owner, target, attempt, request))
            return
        self.outcomes.runs += 1
        seconds = self._random.lognormvariate(0.0, SIGMA) * MEAN_SECONDS / _LOGNORMAL_MEAN
        self._schedule(seconds, lambda: self._end(owner, target, attempt, request, seconds))

    def _end(
        self, owner: int, target: TargetId, attempt: RequestId, request: ModelRequest, took: float
    ) -> None:
        state = self._owners[owner]
        state.ledgers[target] = state.ledgers[target].release(attempt)
        state.admission = state.admission.answered(took, self._now)
        hop = 0.0 if owner == request.entry else HOP
        self._schedule(hop, lambda: self._answered(owner, request))
        self._start_next(owner)

    def _fail(
        self, owner: int, target: TargetId, attempt: RequestId, request: ModelRequest
    ) -> None:
        state = self._owners[owner]
        state.ledgers[target] = state.ledgers[target].release(attempt)
        hop = 0.0 if owner == request.entry else HOP
        self._schedule(hop, lambda: self._not_run(request))
        self._start_next(owner)

    def _start_next(self, owner: int) -> None:
        state = self._owners[owner]
        if state.fifo:
            self._start(owner, state.fifo.popleft())
            return
        state.admission, overdue = state.admission.expire(self._now)
        for refused in overdue:
            self._send_refusal(owner, refused.request.request_id, refused.retry_after)
        state.admission, following = state.admission.take(self._now)
        if following is not None:
            self._start(owner, state.requests.pop(following.request_id))

    def _answered(self, owner: int, request: ModelRequest) -> None:
        self._update_load(request.entry, owner)
        if not request.ended:
            request.ended = True
            if self._is_measured(request):
                self.outcomes.answer_seconds.append(self._now - request.arrived)

    def _refused(self, request: ModelRequest, retry_after: float) -> None:
        """Handle a refusal for lack of room, which the product's entry does not retry."""
        if request.ended:
            return
        if self._variant.plain_retry and request.attempts < MAX_ATTEMPTS:
            self._retry(request)
            return
        request.ended = True
        if self._is_measured(request):
            assert retry_after > 0
            self.outcomes.refusal_seconds.append(self._now - request.arrived)

    def _not_run(self, request: ModelRequest) -> None:
        """Handle a refused connection, which proves that the request has not run."""
        if request.ended:
            return
        if self._may_retry(request):
            self._retry(request)
            return
        request.ended = True
        self.outcomes.failed += self._is_measured(request)

    def _retry(self, request: ModelRequest) -> None:
        request.attempts += 1
        self.outcomes.retries += self._is_measured(request)
        self._dispatch(request)

    def _may_retry(self, request: ModelRequest) -> bool:
        if self._variant.plain_retry:
            return request.attempts < MAX_ATTEMPTS
        failed = FailedAttempt(
            Verdict.NOT_RUN, False, request.attempts, request.deadline, MEAN_SECONDS
        )
        budget, decision = self._budgets[request.entry].decide(failed, self._now)
        self._budgets[request.entry] = budget
        return decision is RetryDecision.RETRY

    def _time_out(self, request: ModelRequest) -> None:
        if request.ended:
            return
        request.ended = True
        again = self._variant.plain_retry and request.attempts < MAX_ATTEMPTS
        if self._is_measured(request) and not again:
            self.outcomes.timed_out += 1
        if again:
            self.outcomes.retries += self._is_measured(request)
            second = replace(
                request,
                arrived=self._now,
                deadline=self._now + TIMEOUT,
                attempts=request.attempts + 1,
                ended=False,
            )
            self._schedule(TIMEOUT, lambda: self._time_out(second))
            self._dispatch(second)


_LOGNORMAL_MEAN = 2.718281828459045 ** (SIGMA * SIGMA / 2)


def _slots(owner: ModelOwner) -> int:
    return sum(ledger.limits.slots for ledger in owner.ledgers.values())
