"""Routes each request to an own target, the local queue or another member.

An entry knows the free slots of its own targets exactly. It knows the load of its peers only from
the figures that they send along with their answers. A request is forwarded at most once, so that
stale figures can't cause a forwarding loop.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from .._ids import MemberId, RegionName, TargetId

FRESH_SECONDS = 1.0
"""Maximum age of figures that are used to compare the load of members."""

LEAVING_SECONDS = 120.0
"""Time for which a target gets no new requests after it was last seen leaving.

It must exceed the lag of the instance list. Otherwise an outdated copy of the list, in which the
target is still live, would bring the target back, and requests sent to it would be cut off when it
stops.
"""

RENEWAL_SECONDS = 30.0
"""Minimum age difference for a mark to be renewed; exceeds the time to gossip to all members."""


@dataclass(frozen=True, slots=True)
class OwnTarget:
    """A target owned by this member."""

    target_id: TargetId
    free_slots: int


@dataclass(frozen=True, slots=True)
class MemberLoad:
    """The load that a member reported for one service, and the requests sent to it since then."""

    member_id: MemberId
    region: RegionName
    free_slots: int
    """Total free slots of the member's targets."""
    queued: int
    """Number of requests queued at the member."""
    drain_per_second: float
    """Number of requests that the member's targets complete per second when busy."""
    measured_at: float
    """Time at which the figures arrived, on the receiving member's monotonic clock."""
    sent_since: int = 0
    """Number of requests forwarded to the member since the figures arrived.

    Without this count all requests between two messages would be sent to the same free slot.
    """

    @property
    def room(self) -> int:
        """Free slots minus the queued and in-flight requests; negative if requests will wait."""
        return self.free_slots - self.queued - self.sent_since

    @property
    def expected_wait(self) -> float:
        """Seconds that one more request would wait; infinite if the queue doesn't drain."""
        if self.room > 0:
            return 0.0
        if self.drain_per_second <= 0:
            return float("inf")
        return (1 - self.room) / self.drain_per_second

    def is_fresh(self, now: float) -> bool:
        """Return whether the report is recent enough to compare the member with others."""
        return now - self.measured_at <= FRESH_SECONDS


class RouteKind(Enum):
    """How a request is routed."""

    OWN_TARGET = "own-target"
    FORWARD = "forward"
    """Forward to a member of this region."""
    QUEUE = "queue"
    """Queue at this member for a slot of an own target."""
    SPILL = "spill"
    """Forward to a member of another region over the metered link."""
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Route:
    """The routing decision for one request."""

    kind: RouteKind
    target_id: TargetId | None = None
    member_id: MemberId | None = None
    retry_after: float = 0.0
    """Seconds after which the caller should retry, if refused."""


@dataclass(frozen=True, slots=True)
class RouteInput:
    """The input of a routing decision."""

    region: RegionName
    own: Sequence[OwnTarget]
    """This member's targets of the service, except targets that are leaving."""
    queued: int
    """Number of requests queued at this member for the service."""
    drain_per_second: float
    """Number of requests that the own targets complete per second when busy."""
    peers: Sequence[MemberLoad]
    """The other members of all regions that own targets of the service."""
    time_left: float
    """Seconds until the deadline minus the expected service time."""
    request_bytes: int
    """Size of the request plus the expected size of its answer."""
    forwarded: bool
    """Whether the request was forwarded to this member by a peer."""
    draw: tuple[float, float]
    """Two random numbers in [0, 1)."""


@dataclass(frozen=True, slots=True)
class LinkBudget:
    """A token bucket over the bytes that requests may put on the metered link to a region."""

    bytes_per_second: float
    burst_seconds: float = 1.0
    debt_bytes: float = 0.0
    """Bytes sent that the rate had not yet paid back at ``debt_at``."""
    debt_at: float = 0.0

    def allows(self, size: int, now: float) -> bool:
        """Return whether ``size`` bytes may be sent now."""
        return self._debt(now) + size <= self.bytes_per_second * self.burst_seconds

    def spend(self, size: int, now: float) -> LinkBudget:
        """Deduct ``size`` bytes that were sent or received, whether or not they were expected."""
        owed = self._debt(now) + size
        return LinkBudget(self.bytes_per_second, self.burst_seconds, owed, now)

    def _debt(self, now: float) -> float:
        return max(0.0, self.debt_bytes - (now - self.debt_at) * self.bytes_per_second)


def route(question: RouteInput, links: Mapping[RegionName, LinkBudget], now: float) -> Route:
    """Choose the route of a request.

    The options are, in order of preference:

    - an own target with a free slot, which needs no hop and whose state is known exactly;
    - a peer in the region: the less loaded of two drawn at random, so that entries with the same
      figures don't all choose the same peer;
    - the queue, local or at that peer, with the shorter expected wait;
    - a peer in another region, if no queue drains in time and the link budget allows it.
    """
    free = [target for target in question.own if target.free_slots > 0]
    if free:
        best = max(free, key=lambda target: target.free_slots)
        return Route(RouteKind.OWN_TARGET, target_id=best.target_id)
    if question.forwarded:
        wait = expected_wait_here(question)
        return _queue_here(question) or _refusal(wait, question.time_left)
    near = [peer for peer in question.peers if peer.region == question.region]
    peer = less_loaded_of_two(near, question.draw, now)
    if peer is None:
        return _queue_here(question) or _spill_or_refuse(question, links, now)
    forward = Route(RouteKind.FORWARD, member_id=peer.member_id)
    if not peer.is_fresh(now):
        # A member that stopped sending figures may be dead or partitioned, so the local queue is
        # preferred if it drains in time.
        return _queue_here(question) or forward
    if peer.expected_wait < expected_wait_here(question):
        in_time = peer.expected_wait <= question.time_left
        return forward if in_time else _spill_or_refuse(question, links, now)
    return _queue_here(question) or _spill_or_refuse(question, links, now)


def less_loaded_of_two(
    peers: Sequence[MemberLoad], draw: tuple[float, float], now: float
) -> MemberLoad | None:
    """Return the less loaded of two members drawn at random, or None if there are none.

    Expected waits are compared first, then room. Only members with fresh figures are drawn. If
    there are none, one member is drawn regardless of its figures, since stale figures would direct
    all requests to a member that was idle long ago.
    """
    fresh = [peer for peer in peers if peer.is_fresh(now)]
    if not fresh:
        return peers[int(draw[0] * len(peers))] if peers else None
    first = int(draw[0] * len(fresh))
    if len(fresh) == 1:
        return fresh[first]
    second = (first + 1 + int(draw[1] * (len(fresh) - 1))) % len(fresh)
    return min(fresh[first], fresh[second], key=lambda peer: (peer.expected_wait, -peer.room))


def expected_wait_here(question: RouteInput) -> float:
    """Return the expected wait in seconds for a slot of an own target; infinite without targets."""
    if not question.own or question.drain_per_second <= 0:
        return float("inf")
    return (question.queued + 1) / question.drain_per_second


def _queue_here(question: RouteInput) -> Route | None:
    if expected_wait_here(question) > question.time_left:
        return None
    return Route(RouteKind.QUEUE)


def _spill_or_refuse(
    question: RouteInput, links: Mapping[RegionName, LinkBudget], now: float
) -> Route:
    """Return a route to another region if the link budget allows it, or else a refusal."""
    far = [
        peer
        for peer in question.peers
        if peer.region != question.region
        and peer.is_fresh(now)
        and peer.room > 0
        and peer.region in links
        and links[peer.region].allows(question.request_bytes, now)
    ]
    peer = less_loaded_of_two(far, question.draw, now)
    if peer is None:
        return _refusal(expected_wait_here(question), question.time_left)
    return Route(RouteKind.SPILL, member_id=peer.member_id)


def _refusal(wait: float, time_left: float) -> Route:
    """Refuse with the time after which the queue should be short enough for the same deadline."""
    if wait == float("inf"):
        return Route(RouteKind.REFUSE, retry_after=FRESH_SECONDS)
    return Route(RouteKind.REFUSE, retry_after=max(0.0, wait - max(0.0, time_left)))


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """A record that a target was seen leaving, as exchanged between members."""

    target_id: TargetId
    age_seconds: float
    """Seconds since the instance list or the configuration last listed the target as leaving."""


@dataclass(frozen=True, slots=True)
class LeavingTargets:
    """The targets that get no new requests, merged from this member's and its peers' sightings."""

    _seen_at: Mapping[TargetId, float] = field(default_factory=dict)

    def mark_seen(self, targets: Iterable[TargetId], now: float) -> LeavingTargets:
        """Record that the instance list or the configuration lists targets as leaving or absent."""
        return LeavingTargets({**self._seen_at, **dict.fromkeys(targets, now)})

    def merge_marks(self, marks: Iterable[LeavingMark], now: float) -> LeavingTargets:
        """Merge the marks of a peer, ignoring marks that are hardly newer than the known marks.

        A mark appears younger by the time that its message was in transit. If any younger mark
        were merged, two members would keep renewing each other's marks for a target that has long
        returned, and its slots would be lost for good. For the same reason marks are kept for a
        while after they have expired.
        """
        newer = {
            mark.target_id: now - mark.age_seconds
            for mark in marks
            if now - mark.age_seconds > self._last_seen(mark.target_id) + RENEWAL_SECONDS
        }
        return LeavingTargets({**self._seen_at, **newer}) if newer else self

    def includes(self, target_id: TargetId, now: float) -> bool:
        """Return whether the target is leaving, so that it gets no new requests."""
        return now - self._last_seen(target_id) < LEAVING_SECONDS

    def marks_for_peers(self, now: float) -> tuple[LeavingMark, ...]:
        """Return a ``LeavingMark`` for each leaving target, to be sent to peers."""
        return tuple(
            LeavingMark(target_id, now - seen_at)
            for target_id, seen_at in self._seen_at.items()
            if now - seen_at < LEAVING_SECONDS
        )

    def without_expired(self, now: float) -> LeavingTargets:
        """Remove marks that expired long ago."""
        oldest = now - 2 * LEAVING_SECONDS
        return LeavingTargets({t: at for t, at in self._seen_at.items() if at > oldest})

    def _last_seen(self, target_id: TargetId) -> float:
        return self._seen_at.get(target_id, float("-inf"))
