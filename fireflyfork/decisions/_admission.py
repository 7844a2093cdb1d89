"""Admission control for the requests of one service at one owner.

A request is admitted only if it and every request already queued are expected to finish before
their deadlines. Serving a request that is bound to miss its deadline occupies a slot for an answer
that no caller still waits for, and under overload soon every answer would be of that kind. Queued
requests are served in order of their deadlines, earliest first.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from .._ids import MemberId, RequestId

SMOOTHING_FACTOR = 1 / 16
"""Weight of the latest sample in the moving averages of the service time."""

MARGIN_DEVIATIONS = 2.0
"""Number of mean deviations added to the mean to get the expected service time."""

STALL_FACTOR = 4.0
"""A service counts as stalled after this many expected intervals without an answer."""

OVERLOAD_SECONDS = 0.5
"""A queue that has been non-empty for longer than this many seconds indicates overload."""

MAX_OVERLOAD_WAIT_FACTOR = 0.5
"""Maximum wait under overload, as a multiple of the mean service time.

Under overload the queue always holds a next request, so a longer queue doesn't raise throughput; it
only makes every request wait longer.
"""


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Moving averages of the time that executors take for a request, in seconds."""

    mean: float
    """Moving average of the service time."""
    deviation: float
    """Mean absolute deviation from the mean."""

    @property
    def expected(self) -> float:
        """The service time to assume for a request: the mean plus a safety margin."""
        return self.mean + MARGIN_DEVIATIONS * self.deviation

    def with_sample(self, seconds: float) -> ServiceTime:
        """Return the averages updated with a request that took ``seconds``."""
        error = seconds - self.mean
        return ServiceTime(
            self.mean + SMOOTHING_FACTOR * error,
            self.deviation + SMOOTHING_FACTOR * (abs(error) - self.deviation),
        )


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that needs a slot of the service."""

    request_id: RequestId
    entry: MemberId
    """The entry that received the request from its caller."""
    deadline: float
    """Deadline on the owner's monotonic clock, in seconds."""


class AdmissionKind(Enum):
    """Outcome of offering a request to the queue."""

    RUN = "run"
    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """A request that was rejected without being run."""

    request: WaitingRequest
    retry_after: float
    """Seconds after which the caller should retry."""


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The decision on a new request, and the requests that are refused as a result."""

    kind: AdmissionKind
    refused: tuple[RefusedRequest, ...] = ()
    """The new request if it was refused, and queued requests that were displaced or are overdue."""


@dataclass(frozen=True, slots=True)
class AdmissionQueue:
    """The queued requests in order of deadline, and the state that predicts their throughput."""

    max_waiting: int
    """Maximum number of queued requests."""
    service_time: ServiceTime
    waiting: tuple[WaitingRequest, ...] = ()
    last_answer_at: float = 0.0
    """Time at which an executor last answered or the queue became non-empty, whichever is later."""
    nonempty_since: float = 0.0
    """Time at which the queue last became non-empty."""

    def offer(
        self, request: WaitingRequest, free: int, usable: int, now: float
    ) -> tuple[AdmissionQueue, AdmissionDecision]:
        """Run, queue or refuse a new request.

        ``free`` is the number of idle slots; ``usable`` is the number of slots, idle or busy, that
        this owner can use for the service.
        """
        overdue: tuple[RefusedRequest, ...] = ()
        if not self.waiting:
            if free > 0 and now + self.service_time.expected <= request.deadline:
                return self, AdmissionDecision(AdmissionKind.RUN)
            queue = self._marked_nonempty(now)
        else:
            queue, overdue = self.expire(now)
        return queue._enqueue_or_refuse(request, overdue, usable, now)

    def take(self, now: float) -> tuple[AdmissionQueue, WaitingRequest | None]:
        """Dequeue the request with the earliest deadline. Call ``expire`` first."""
        if not self.waiting:
            return self, None
        return replace(self, waiting=self.waiting[1:]), self.waiting[0]

    def expire(self, now: float) -> tuple[AdmissionQueue, tuple[RefusedRequest, ...]]:
        """Refuse the requests that would miss their deadline even if they were started now."""
        latest = now + self.service_time.expected
        overdue = sum(request.deadline < latest for request in self.waiting)
        if not overdue:
            return self, ()
        refused = tuple(
            RefusedRequest(request, self.service_time.mean) for request in self.waiting[:overdue]
        )
        return replace(self, waiting=self.waiting[overdue:]), refused

    def next_expiry(self) -> float | None:
        """Return the time at which the next request expires, or None if the queue is empty."""
        if not self.waiting:
            return None
        return self.waiting[0].deadline - self.service_time.expected

    def withdraw(self, request_id: RequestId) -> AdmissionQueue:
        """Remove a request whose caller has disconnected or given up."""
        waiting = tuple(request for request in self.waiting if request.request_id != request_id)
        return replace(self, waiting=waiting)

    def answered(self, seconds: float, now: float) -> AdmissionQueue:
        """Record an answer that arrived ``seconds`` after its request was sent."""
        service_time = self.service_time.with_sample(seconds)
        return AdmissionQueue(
            self.max_waiting, service_time, self.waiting, now, self.nonempty_since
        )

    def drain_per_second(self, usable: int, now: float) -> float:
        """Return the expected number of requests completed per second while the queue is non-empty.

        The learned rate is valid only while answers arrive. After a stall the rate falls to one
        request per elapsed silence; otherwise a service whose executors hang would keep admitting
        requests at the learned rate, and their callers would wait in vain.
        """
        if usable <= 0:
            return 0.0
        learned = usable / max(self.service_time.mean, 1e-6)
        silence = now - self.last_answer_at
        if not self.waiting or silence * learned < STALL_FACTOR:
            return learned
        return 1.0 / silence

    def retry_after(self, usable: int, now: float) -> float:
        """Return the seconds after which all requests queued now should have been served."""
        drain = self.drain_per_second(usable, now)
        if drain <= 0:
            return self.service_time.expected
        return (len(self.waiting) + 1) / drain

    def _enqueue_or_refuse(
        self,
        request: WaitingRequest,
        overdue: tuple[RefusedRequest, ...],
        usable: int,
        now: float,
    ) -> tuple[AdmissionQueue, AdmissionDecision]:
        placed = self._inserted(request)
        if placed._can_meet_deadlines(request, usable, now):
            return placed, AdmissionDecision(AdmissionKind.QUEUE, overdue)
        retry_after = self.retry_after(usable, now)
        displaced = self._displaced_by(request)
        if displaced is not None:
            swapped = placed.withdraw(displaced.request_id)
            if swapped._can_meet_deadlines(request, usable, now):
                refused = (*overdue, RefusedRequest(displaced, retry_after))
                return swapped, AdmissionDecision(AdmissionKind.QUEUE, refused)
        refused = (*overdue, RefusedRequest(request, retry_after))
        return self, AdmissionDecision(AdmissionKind.REFUSE, refused)

    def _displaced_by(self, request: WaitingRequest) -> WaitingRequest | None:
        """Return the queued request that should give way to ``request``, or None.

        That is the last request of the entry with the most queued requests, if that entry would
        still have at least as many as the entry of ``request`` after the swap. Without this, one
        entry with many callers could fill the queue and cause the requests of all other entries to
        be refused.
        """
        counts: dict[MemberId, int] = {}
        for queued in self.waiting:
            counts[queued.entry] = counts.get(queued.entry, 0) + 1
        if not counts:
            return None
        largest_entry = max(counts, key=lambda entry: counts[entry])
        if counts[largest_entry] <= counts.get(request.entry, 0) + 1:
            return None
        return next(queued for queued in reversed(self.waiting) if queued.entry == largest_entry)

    def _inserted(self, request: WaitingRequest) -> AdmissionQueue:
        place = len(self.waiting)
        while place and self.waiting[place - 1].deadline > request.deadline:
            place -= 1
        waiting = (*self.waiting[:place], request, *self.waiting[place:])
        return replace(self, waiting=waiting)

    def _can_meet_deadlines(self, request: WaitingRequest, usable: int, now: float) -> bool:
        """Return whether the queued ``request`` can finish in time.

        This includes that it doesn't delay a request behind it past its deadline.
        """
        drain = self.drain_per_second(usable, now)
        if len(self.waiting) > self.max_waiting or drain <= 0:
            return False
        gap = 1.0 / drain
        place = self.waiting.index(request)
        if gap * (place + 1) > self._max_wait(now):
            return False
        ends = now + self.service_time.expected + gap * (place + 1)
        if ends > request.deadline:
            return False
        for follower in self.waiting[place + 1 :]:
            in_time_without = ends <= follower.deadline
            ends += gap
            if in_time_without and ends > follower.deadline:
                return False
        return True

    def _max_wait(self, now: float) -> float:
        if now - self.nonempty_since < OVERLOAD_SECONDS:
            return float("inf")
        return MAX_OVERLOAD_WAIT_FACTOR * self.service_time.mean

    def _marked_nonempty(self, now: float) -> AdmissionQueue:
        return AdmissionQueue(self.max_waiting, self.service_time, (), now, now)
