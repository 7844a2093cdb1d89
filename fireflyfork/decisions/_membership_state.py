"""All that one member knows, and what follows from it for the request path."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from .._ids import MemberId, PartitionId, Revision
from ._fleet import FleetRecord, Member
from ._membership_events import ChangeKind
from ._rights import MembershipTiming, RightRules

NEVER = float("-inf")
_NO_REVISION = Revision(0)


class MemberPhase(Enum):
    """Where a member stands."""

    JOINING = "joining"
    """Not yet in the record."""
    ACTIVE = "active"
    LEAVING = "leaving"
    """Wants to hand over; it dispatches until the hand-over is about to be written."""
    LEFT = "left"
    """Handed everything over; requests in flight end, then the process."""
    FENCED = "fenced"
    """Lost its membership. The process joins again under a new member id."""


OUTSIDE = (MemberPhase.LEFT, MemberPhase.FENCED)


@dataclass(frozen=True, slots=True)
class OpenQuestion:
    """A question that may still be answered."""

    nonce: int
    peer: MemberId
    sent_at: float


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write whose effect is not known yet."""

    record: FleetRecord
    expected: Revision
    kind: ChangeKind
    subject: MemberId | None
    """The member that is fenced or taken over."""
    partitions: frozenset[PartitionId]
    """What is handed over."""
    sent_at: float
    in_flight: bool = True
    """The store may yet answer this very call."""
    was_unknown: bool = False
    """An answer was missing at least once."""


@dataclass(frozen=True, slots=True)
class Wanted:
    """A change that the record needs from this member."""

    kind: ChangeKind
    subject: MemberId | None = None
    receivers: Mapping[PartitionId, MemberId] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MembershipState:
    """All that a member knows."""

    me: Member
    timing: MembershipTiming = field(default_factory=MembershipTiming)
    rules: RightRules = field(default_factory=RightRules)
    phase: MemberPhase = MemberPhase.JOINING
    record: FleetRecord = field(default_factory=FleetRecord)
    revision: Revision = _NO_REVISION
    right_dated: float = NEVER
    """When the question was sent that last proved the right."""
    questions: tuple[OpenQuestion, ...] = ()
    next_nonce: int = 1
    next_ask_at: float = NEVER
    next_compare_at: float = NEVER
    guard_good_at: float = NEVER
    """When the present guard last acknowledged, or became the guard."""
    guard_since: float = NEVER
    guard_changes: int = 0
    """Guards tried since one acknowledged."""
    heard: Mapping[MemberId, float] = field(default_factory=dict)
    """When each ward was last heard."""
    fence_known: Mapping[MemberId, float] = field(default_factory=dict)
    """Since when this member knows of each fence whose taker it is."""
    gone: frozenset[MemberId] = frozenset()
    """Members said to be terminated."""
    write: PendingWrite | None = None
    collecting: Wanted | None = None
    """A hand-over that waits for what is occupied."""
    next_change: int = 1
    reading_since: float | None = None
    read_sent_at: float = NEVER
    """When the last answered read was sent."""
    store_failures: int = 0
    store_retry_at: float = NEVER
    ticked_at: float | None = None


def begin_membership(
    me: Member,
    timing: MembershipTiming,
    partitions_per_region: int = 32,
    rules: RightRules | None = None,
) -> MembershipState:
    """The state of a process that wants to join. Its member id was never used before.

    The number of partitions counts only if it is the first to join.
    """
    empty = FleetRecord(partitions_per_region=partitions_per_region)
    return MembershipState(me, timing, rules or RightRules(), record=empty)


def prove(state: MembershipState, dated: float) -> MembershipState:
    """The state once an answer has proved the right; ``dated`` is when its question counts from."""
    return replace(state, right_dated=max(state.right_dated, dated))


def holds_right(state: MembershipState, now: float) -> bool:
    """Whether the member may dispatch at all, for what it owns."""
    if state.phase not in (MemberPhase.ACTIVE, MemberPhase.LEAVING):
        return False
    return now - state.right_dated < state.timing.right_seconds


def may_dispatch(state: MembershipState, partition: PartitionId, now: float) -> bool:
    """Whether the member may dispatch for a partition now.

    Ask right before each dispatch, and again after anything that lets time pass.
    """
    if state.record.owner_of(partition) != state.me.member_id:
        return False
    return holds_right(state, now) and partition not in handing_over(state)


def handing_over(state: MembershipState) -> frozenset[PartitionId]:
    """Partitions whose hand-over is being written: their next owner may already dispatch."""
    if state.collecting is not None:
        return frozenset(state.collecting.receivers)
    if state.write is not None:
        return state.write.partitions
    return frozenset()


def is_watcher(state: MembershipState) -> bool:
    """Whether this member keeps the store's watch for its failure domain.

    The member with the least id does, and passes on what it hears.
    """
    zone = state.me.zone
    names = [name for name, other in state.record.members.items() if other.zone == zone]
    return state.me.member_id == min(names, default=None)


def zone_mates(state: MembershipState) -> tuple[MemberId, ...]:
    """The other members of this member's failure domain."""
    zone = state.me.zone
    return tuple(
        name
        for name, other in state.record.members.items()
        if other.zone == zone and name != state.me.member_id
    )
