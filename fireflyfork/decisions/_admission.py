"""The queue of one service at one owner: who waits for a slot, and who is refused at once.

A request is let in only if it, and everyone already waiting, can be expected to end before the
deadline. Serving those that can't would use the slots for answers that nobody waits for, and in an
overload all answers would soon be of that kind. Whoever waits is served by the earliest deadline.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from .._ids import MemberId, RequestId

LEARNING_SHARE = 1 / 16
"""The weight of the latest answer in the learned service time."""

DEVIATIONS = 2.0
"""A request is expected to take the mean and so many mean deviations."""

STALL_FACTOR = 4.0
"""Longer silence than so many expected gaps between answers counts as a stall."""

PERSISTENT_SECONDS = 0.5
"""A queue that has not been empty for so long is not a burst but an overload."""

OVERLOAD_WAIT = 0.5
"""In an overload a request waits at most so many mean service times.

There is always a next request then, so a longer queue serves no more of them; it only makes all of
them wait.
"""


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """What was learned of the time that executors take, in seconds."""

    mean: float
    deviation: float
    """The mean absolute deviation."""

    @property
    def expected(self) -> float:
        """What one request should be given."""
        return self.mean + DEVIATIONS * self.deviation

    def learn(self, seconds: float) -> ServiceTime:
        """Take one answer into account."""
        error = seconds - self.mean
        return ServiceTime(
            self.mean + LEARNING_SHARE * error,
            self.deviation + LEARNING_SHARE * (abs(error) - self.deviation),
        )


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that asks for a slot."""

    request_id: RequestId
    entry: MemberId
    """The entry that the caller reached."""
    deadline: float
    """By the owner's monotonic clock, in seconds."""


class AdmissionKind(Enum):
    """What becomes of a request now."""

    RUN = "run"
    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """A request that was not run, and when its caller should come back."""

    request: WaitingRequest
    retry_after: float
    """Seconds."""


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The decision on a new request, and those that lose their place because of it."""

    kind: AdmissionKind
    refused: tuple[RefusedRequest, ...] = ()
    """The new request, if refused, and any that waited and can't be served in time."""


@dataclass(frozen=True, slots=True)
class AdmissionQueue:
    """The requests that wait, by deadline, and what is known of the rate at which they move."""

    longest: int
    """Requests that may wait."""
    service_time: ServiceTime
    waiting: tuple[WaitingRequest, ...] = ()
    last_answer_at: float = 0.0
    """When an executor last answered, or when the queue last began to fill."""
    filling_since: float = 0.0
    """When the queue was last empty."""

    def offer(
        self, request: WaitingRequest, free: int, usable: int, now: float
    ) -> tuple[AdmissionQueue, AdmissionDecision]:
        """Decide on a new request.

        ``free`` slots can be had at once; ``usable`` slots in all work for this service here.
        """
        overdue: tuple[RefusedRequest, ...] = ()
        if not self.waiting:
            if free > 0 and now + self.service_time.expected <= request.deadline:
                return self, AdmissionDecision(AdmissionKind.RUN)
            queue = self._started_filling(now)
        else:
            queue, overdue = self.expire(now)
        return queue._place(request, overdue, usable, now)

    def take(self, now: float) -> tuple[AdmissionQueue, WaitingRequest | None]:
        """The request that gets a slot that has become free. Call ``expire`` first."""
        if not self.waiting:
            return self, None
        return replace(self, waiting=self.waiting[1:]), self.waiting[0]

    def expire(self, now: float) -> tuple[AdmissionQueue, tuple[RefusedRequest, ...]]:
        """Refuse those that can no longer end in time, even with a slot of their own at once."""
        latest = now + self.service_time.expected
        overdue = sum(request.deadline < latest for request in self.waiting)
        if not overdue:
            return self, ()
        refused = tuple(
            RefusedRequest(request, self.service_time.mean) for request in self.waiting[:overdue]
        )
        return replace(self, waiting=self.waiting[overdue:]), refused

    def next_expiry(self) -> float | None:
        """When ``expire`` next has something to do."""
        if not self.waiting:
            return None
        return self.waiting[0].deadline - self.service_time.expected

    def withdraw(self, request_id: RequestId) -> AdmissionQueue:
        """The caller is gone."""
        waiting = tuple(other for other in self.waiting if other.request_id != request_id)
        return replace(self, waiting=waiting)

    def answered(self, seconds: float, now: float) -> AdmissionQueue:
        """An executor took so long for an answer."""
        learned = self.service_time.learn(seconds)
        return AdmissionQueue(self.longest, learned, self.waiting, now, self.filling_since)

    def drain_per_second(self, usable: int, now: float) -> float:
        """Requests that end per second while others wait.

        The learned rate holds only while answers come. Without the second term, a service whose
        executors hang would go on filling its queue as if they moved, and each of these callers
        would wait for nothing.
        """
        if usable <= 0:
            return 0.0
        learned = usable / max(self.service_time.mean, 1e-6)
        silence = now - self.last_answer_at
        if not self.waiting or silence * learned < STALL_FACTOR:
            return learned
        return 1.0 / silence

    def retry_after(self, usable: int, now: float) -> float:
        """Seconds until those who wait now have been served."""
        drain = self.drain_per_second(usable, now)
        if drain <= 0:
            return self.service_time.expected
        return (len(self.waiting) + 1) / drain

    def _place(
        self,
        request: WaitingRequest,
        overdue: tuple[RefusedRequest, ...],
        usable: int,
        now: float,
    ) -> tuple[AdmissionQueue, AdmissionDecision]:
        placed = self._inserted(request)
        if placed._has_room_for(request, usable, now):
            return placed, AdmissionDecision(AdmissionKind.QUEUE, overdue)
        retry_after = self.retry_after(usable, now)
        displaced = self._displaced_by(request)
        if displaced is not None:
            swapped = placed.withdraw(displaced.request_id)
            if swapped._has_room_for(request, usable, now):
                refused = (*overdue, RefusedRequest(displaced, retry_after))
                return swapped, AdmissionDecision(AdmissionKind.QUEUE, refused)
        refused = (*overdue, RefusedRequest(request, retry_after))
        return self, AdmissionDecision(AdmissionKind.REFUSE, refused)

    def _displaced_by(self, request: WaitingRequest) -> WaitingRequest | None:
        """The last request of the entry that has the most waiting, if that is more than fair.

        Without this an entry that callers flood would fill the queue, and the callers of all
        other entries would be refused on its account.
        """
        counts: dict[MemberId, int] = {}
        for other in self.waiting:
            counts[other.entry] = counts.get(other.entry, 0) + 1
        if not counts:
            return None
        greediest = max(counts, key=lambda entry: counts[entry])
        if counts[greediest] <= counts.get(request.entry, 0) + 1:
            return None
        return next(other for other in reversed(self.waiting) if other.entry == greediest)

    def _inserted(self, request: WaitingRequest) -> AdmissionQueue:
        place = len(self.waiting)
        while place and self.waiting[place - 1].deadline > request.deadline:
            place -= 1
        waiting = (*self.waiting[:place], request, *self.waiting[place:])
        return replace(self, waiting=waiting)

    def _has_room_for(self, request: WaitingRequest, usable: int, now: float) -> bool:
        """Whether it can end in time, and no one behind it is made late by it."""
        drain = self.drain_per_second(usable, now)
        if len(self.waiting) > self.longest or drain <= 0:
            return False
        gap = 1.0 / drain
        place = self.waiting.index(request)
        if gap * (place + 1) > self._longest_wait(now):
            return False
        ends = now + self.service_time.expected + gap * (place + 1)
        if ends > request.deadline:
            return False
        for other in self.waiting[place + 1 :]:
            in_time_without = ends <= other.deadline
            ends += gap
            if in_time_without and ends > other.deadline:
                return False
        return True

    def _longest_wait(self, now: float) -> float:
        if now - self.filling_since < PERSISTENT_SECONDS:
            return float("inf")
        return OVERLOAD_WAIT * self.service_time.mean

    def _started_filling(self, now: float) -> AdmissionQueue:
        return AdmissionQueue(self.longest, self.service_time, (), now, now)
