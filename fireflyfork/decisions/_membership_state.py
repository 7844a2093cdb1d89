"""The state of one member, and the queries that the request path makes of it."""

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
    """Phase of a member's life cycle."""

    JOINING = "joining"
    """The member is not yet in the record."""
    ACTIVE = "active"
    LEAVING = "leaving"
    """A planned stop was requested; dispatch continues until the hand-over is to be written."""
    LEFT = "left"
    """All partitions were handed over; the process ends after its requests in flight."""
    FENCED = "fenced"
    """The membership was lost; the process rejoins with a new member id."""


NON_MEMBER_PHASES = (MemberPhase.LEFT, MemberPhase.FENCED)


@dataclass(frozen=True, slots=True)
class OpenQuestion:
    """A question that was sent to a peer and may still be answered."""

    nonce: int
    peer: MemberId
    sent_at: float


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write of the record whose outcome is not known yet."""

    record: FleetRecord
    expected: Revision
    kind: ChangeKind
    subject_member: MemberId | None
    """The member to be fenced or taken over, or the new guard; None for other changes."""
    partitions: frozenset[PartitionId]
    """The partitions that are handed over."""
    sent_at: float
    in_flight: bool = True
    """Whether the current call may still be answered."""
    was_unknown: bool = False
    """Whether the outcome of an earlier call for this write is unknown."""


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A change of the record that this member should make."""

    kind: ChangeKind
    subject_member: MemberId | None = None
    receivers: Mapping[PartitionId, MemberId] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MembershipState:
    """The complete state of one member. Times are on the member's own clock."""

    me: Member
    timing: MembershipTiming = field(default_factory=MembershipTiming)
    rules: RightRules = field(default_factory=RightRules)
    phase: MemberPhase = MemberPhase.JOINING
    record: FleetRecord = field(default_factory=FleetRecord)
    revision: Revision = _NO_REVISION
    right_proved_at: float = NEVER
    """Time from which the latest proof of the right to dispatch counts. This is normally the time
    at which the question was sent."""
    open_questions: tuple[OpenQuestion, ...] = ()
    next_nonce: int = 1
    next_ask_at: float = NEVER
    next_compare_at: float = NEVER
    guard_acknowledged_at: float = NEVER
    """Time of the current guard's last acknowledgement, or when it became the guard."""
    guard_changed_at: float = NEVER
    guard_changes: int = 0
    """Number of times the guard was replaced since the last acknowledgement."""
    ward_asked_at: Mapping[MemberId, float] = field(default_factory=dict)
    """Time of the last question from each ward."""
    fence_learned_at: Mapping[MemberId, float] = field(default_factory=dict)
    """By fenced member: the time at which this member learned that it must take over the
    partitions of the fenced member."""
    terminated: frozenset[MemberId] = frozenset()
    """Members whose instances are known to be terminated."""
    write: PendingWrite | None = None
    pending_handover: PlannedChange | None = None
    """The hand-over that waits for the list of occupied slots."""
    next_change: int = 1
    reading_since: float | None = None
    read_sent_at: float = NEVER
    """Time at which the last answered read was sent."""
    store_failures: int = 0
    store_retry_at: float = NEVER
    ticked_at: float | None = None


def begin_membership(
    me: Member,
    timing: MembershipTiming,
    partitions_per_region: int = 32,
    rules: RightRules | None = None,
) -> MembershipState:
    """Return the state of a process that is about to join with a member id never used before.

    ``partitions_per_region`` is used only by the first member to join a fleet.
    """
    empty = FleetRecord(partitions_per_region=partitions_per_region)
    return MembershipState(me, timing, rules or RightRules(), record=empty)


def record_proof(state: MembershipState, valid_from: float) -> MembershipState:
    """Record a proof of the right to dispatch that counts from ``valid_from``."""
    return replace(state, right_proved_at=max(state.right_proved_at, valid_from))


def holds_right(state: MembershipState, now: float) -> bool:
    """Return whether the member currently holds the right to dispatch for its partitions."""
    if state.phase not in (MemberPhase.ACTIVE, MemberPhase.LEAVING):
        return False
    return now - state.right_proved_at < state.timing.right_seconds


def may_dispatch(state: MembershipState, partition: PartitionId, now: float) -> bool:
    """Return whether the member may dispatch for a partition now.

    Must be checked immediately before each dispatch, and again after any wait.
    """
    if state.record.owner_of(partition) != state.me.member_id:
        return False
    return holds_right(state, now) and partition not in partitions_in_handover(state)


def partitions_in_handover(state: MembershipState) -> frozenset[PartitionId]:
    """Return the partitions in a pending hand-over, whose next owner may already dispatch."""
    if state.pending_handover is not None:
        return frozenset(state.pending_handover.receivers)
    if state.write is not None:
        return state.write.partitions
    return frozenset()


def is_watcher(state: MembershipState) -> bool:
    """Return whether this member watches the store on behalf of its failure domain.

    The member with the lowest id does, and forwards the records that it receives.
    """
    zone = state.me.zone
    names = [name for name, member in state.record.members.items() if member.zone == zone]
    return state.me.member_id == min(names, default=None)


def zone_peers(state: MembershipState) -> tuple[MemberId, ...]:
    """Return the other members of this member's failure domain."""
    zone = state.me.zone
    return tuple(
        name
        for name, member in state.record.members.items()
        if member.zone == zone and name != state.me.member_id
    )
