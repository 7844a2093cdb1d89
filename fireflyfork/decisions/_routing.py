"""Which target a request goes to, or which member it is forwarded to.

An entry knows the slots of its own targets exactly and those of its peers from figures that came
along with their answers. A request that was forwarded once is not forwarded again, so that stale
figures can't send it in circles.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from .._ids import MemberId, RegionName, TargetId

FRESH_SECONDS = 1.0
"""Figures measured longer ago don't say which of two members is less loaded."""

LEAVING_SECONDS = 120.0
"""How long a target is left out after it was last seen leaving.

It has to exceed the lag of the instance list. Otherwise a late copy of the list, in which the
target still lives, would bring it back, and requests sent to it would be cut off when it stops.
"""

RENEWAL_SECONDS = 30.0
"""More than a message needs on its way through all members."""


@dataclass(frozen=True, slots=True)
class OwnTarget:
    """A target that this member owns."""

    target_id: TargetId
    free_slots: int


@dataclass(frozen=True, slots=True)
class MemberFigures:
    """What a member said of one service, and what was sent to it since."""

    member_id: MemberId
    region: RegionName
    free_slots: int
    """Free slots of its targets."""
    queued: int
    """Requests that wait at it."""
    drain_per_second: float
    """Requests that its targets end per second when busy."""
    measured_at: float
    """By this member's monotonic clock: when the message with the figures came."""
    sent_since: int = 0
    """Requests forwarded to it after that; the figures don't know of them.

    Without this count all requests between two messages would see the same free slot and go there.
    """

    @property
    def room(self) -> int:
        """Free slots less what is on its way; negative when requests will wait."""
        return self.free_slots - self.queued - self.sent_since

    @property
    def expected_wait(self) -> float:
        """Seconds that one more request waits there; infinite if nothing drains."""
        if self.room > 0:
            return 0.0
        if self.drain_per_second <= 0:
            return float("inf")
        return (1 - self.room) / self.drain_per_second

    def is_fresh(self, now: float) -> bool:
        """Whether the figures can be compared with others."""
        return now - self.measured_at <= FRESH_SECONDS


class RouteKind(Enum):
    """What to do with a request."""

    OWN_TARGET = "own-target"
    FORWARD = "forward"
    """To a member of this region."""
    QUEUE = "queue"
    """Wait here for a slot of an own target."""
    SPILL = "spill"
    """To a member of another region, over the metered link."""
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Route:
    """The way of one request."""

    kind: RouteKind
    target_id: TargetId | None = None
    member_id: MemberId | None = None
    retry_after: float = 0.0
    """Seconds, when refused."""


@dataclass(frozen=True, slots=True)
class RouteQuestion:
    """What is known when a request has to be routed."""

    region: RegionName
    own: Sequence[OwnTarget]
    """This member's targets of the service, without the leaving ones."""
    queued: int
    """Requests that wait here for the service."""
    drain_per_second: float
    """Requests that the own targets end per second when busy."""
    peers: Sequence[MemberFigures]
    """The other members, of any region, that own targets of the service."""
    time_left: float
    """Seconds to the deadline, less the expected service time."""
    request_bytes: int
    """What the request and its expected answer put on a link."""
    forwarded: bool
    """Whether a peer sent it here."""
    draw: tuple[float, float]
    """Two random numbers in [0, 1)."""


@dataclass(frozen=True, slots=True)
class LinkBudget:
    """A token bucket over the bytes that requests may put on the metered link to a region."""

    bytes_per_second: float
    burst_seconds: float = 1.0
    spent: float = 0.0
    """Bytes above which the bucket is empty are not yet paid back at ``spent_at``."""
    spent_at: float = 0.0

    def allows(self, size: int, now: float) -> bool:
        """Whether ``size`` bytes may be sent now."""
        return self._owed(now) + size <= self.bytes_per_second * self.burst_seconds

    def spend(self, size: int, now: float) -> LinkBudget:
        """Count ``size`` bytes that were sent or received, expected or not."""
        owed = self._owed(now) + size
        return LinkBudget(self.bytes_per_second, self.burst_seconds, owed, now)

    def _owed(self, now: float) -> float:
        return max(0.0, self.spent - (now - self.spent_at) * self.bytes_per_second)


def route(question: RouteQuestion, links: Mapping[RegionName, LinkBudget], now: float) -> Route:
    """Choose where a request goes.

    Own targets with a free slot come first, since they cost no hop and are known exactly; then
    the peers of the region, the one with more room of two drawn at random, so that entries with
    the same figures don't all choose the same one; then the queue that is expected to be the
    shorter; then, if none moves in time, another region while the link has bytes left.
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
        return _queue_here(question) or _elsewhere(question, links, now)
    forward = Route(RouteKind.FORWARD, member_id=peer.member_id)
    if not peer.is_fresh(now):
        # A silent member may be dead or cut off, so a queue here that moves in time is better.
        return _queue_here(question) or forward
    if peer.expected_wait < expected_wait_here(question):
        in_time = peer.expected_wait <= question.time_left
        return forward if in_time else _elsewhere(question, links, now)
    return _queue_here(question) or _elsewhere(question, links, now)


def less_loaded_of_two(
    peers: Sequence[MemberFigures], draw: tuple[float, float], now: float
) -> MemberFigures | None:
    """The member with the shorter expected wait, then more room, of two drawn at random.

    Members with fresh figures are drawn first. Of the others one is drawn blindly, as old figures
    would send everything to whoever was idle long ago.
    """
    fresh = [peer for peer in peers if peer.is_fresh(now)]
    if not fresh:
        return peers[int(draw[0] * len(peers))] if peers else None
    first = int(draw[0] * len(fresh))
    if len(fresh) == 1:
        return fresh[first]
    second = (first + 1 + int(draw[1] * (len(fresh) - 1))) % len(fresh)
    return min(fresh[first], fresh[second], key=lambda peer: (peer.expected_wait, -peer.room))


def expected_wait_here(question: RouteQuestion) -> float:
    """Seconds until one more request gets a slot of an own target; infinite without targets."""
    if not question.own or question.drain_per_second <= 0:
        return float("inf")
    return (question.queued + 1) / question.drain_per_second


def _queue_here(question: RouteQuestion) -> Route | None:
    if expected_wait_here(question) > question.time_left:
        return None
    return Route(RouteKind.QUEUE)


def _elsewhere(
    question: RouteQuestion, links: Mapping[RegionName, LinkBudget], now: float
) -> Route:
    """Another region if the link has bytes left, else a refusal."""
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
    """Refuse until the queue is expected to be short enough for the same deadline again."""
    if wait == float("inf"):
        return Route(RouteKind.REFUSE, retry_after=FRESH_SECONDS)
    return Route(RouteKind.REFUSE, retry_after=max(0.0, wait - max(0.0, time_left)))


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """One target that was seen leaving."""

    target_id: TargetId
    age_seconds: float
    """How long ago the instance list or an operator was last seen to say so."""


@dataclass(frozen=True, slots=True)
class LeavingTargets:
    """The targets that get nothing new, whoever learned of it first."""

    _seen_at: Mapping[TargetId, float] = field(default_factory=dict)

    def seen(self, targets: Iterable[TargetId], now: float) -> LeavingTargets:
        """The instance list or the configuration says that these leave or are gone."""
        return LeavingTargets({**self._seen_at, **dict.fromkeys(targets, now)})

    def heard(self, marks: Iterable[LeavingMark], now: float) -> LeavingTargets:
        """A peer says so. Only what was seen much later than what is known already counts.

        A mark grows younger by the time that it was under way. If any younger mark counted, two
        members would keep telling each other of a target that is back long since, and its slots
        would be lost for good. For the same reason marks are remembered for a while after they
        have expired.
        """
        newer = {
            mark.target_id: now - mark.age_seconds
            for mark in marks
            if now - mark.age_seconds > self._known(mark.target_id) + RENEWAL_SECONDS
        }
        return LeavingTargets({**self._seen_at, **newer}) if newer else self

    def includes(self, target_id: TargetId, now: float) -> bool:
        """Whether the target gets nothing new."""
        return now - self._known(target_id) < LEAVING_SECONDS

    def marks(self, now: float) -> tuple[LeavingMark, ...]:
        """What to tell peers."""
        return tuple(
            LeavingMark(target_id, now - seen_at)
            for target_id, seen_at in self._seen_at.items()
            if now - seen_at < LEAVING_SECONDS
        )

    def without_expired(self, now: float) -> LeavingTargets:
        """Forget marks that expired long ago."""
        oldest = now - 2 * LEAVING_SECONDS
        return LeavingTargets({t: at for t, at in self._seen_at.items() if at > oldest})

    def _known(self, target_id: TargetId) -> float:
        return self._seen_at.get(target_id, float("-inf"))
