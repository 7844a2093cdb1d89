"""One member's part in the fleet: a pure state machine.

``step`` takes the state, one event and the time by the member's own clock, and gives the new state
and the commands to carry out. The time must go on while the machine sleeps.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

import xxhash

from .._ids import ChangeId, MemberId, PartitionId, Revision
from . import _fleet_changes as changes
from ._fleet import FleetRecord, Member, OccupiedSlots
from ._rights import GuardAnswer, MembershipTiming, RightRules

_NEVER = float("-inf")
_NO_REVISION = Revision(0)
_MOST_QUESTIONS = 12
"""Questions that are kept open; with the usual timing those of the last 4 s."""


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


_OUTSIDE = (MemberPhase.LEFT, MemberPhase.FENCED)


class ChangeKind(Enum):
    """What a write of the record is for."""

    JOIN = "join"
    FENCE = "fence"
    TAKE_OVER = "take-over"
    CHANGE_GUARD = "change-guard"
    MOVE = "move"
    LEAVE = "leave"


class WriteOutcome(Enum):
    """What is known of a compare-and-swap."""

    WON = "won"
    LOST = "lost"
    UNKNOWN = "unknown"
    """No answer came: it took effect, will yet, or never will."""


# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went on. Expected several times a second."""


@dataclass(frozen=True, slots=True)
class RecordRead:
    """The store answered a read."""

    record: FleetRecord | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The store did not answer a read in time."""


@dataclass(frozen=True, slots=True)
class RecordHeard:
    """A watch or a peer brought a record. It proves no right, only what has changed."""

    record: FleetRecord
    revision: Revision


@dataclass(frozen=True, slots=True)
class GuardAsked:
    """A member asks this one, as its guard."""

    asker: MemberId
    nonce: int
    revision: Revision
    """The asker's."""


@dataclass(frozen=True, slots=True)
class GuardAnswered:
    """The guard answered the question with this nonce."""

    nonce: int
    answer: GuardAnswer
    revision: Revision
    """The guard's."""


@dataclass(frozen=True, slots=True)
class WriteEnded:
    """The store answered a write, or did not."""

    outcome: WriteOutcome
    revision: Revision = _NO_REVISION
    """The new one, if won."""


@dataclass(frozen=True, slots=True)
class OccupiedCollected:
    """What may still be busy in the partitions about to be handed over."""

    occupied: Mapping[PartitionId, tuple[OccupiedSlots, ...]]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process is to stop."""


@dataclass(frozen=True, slots=True)
class MemberGone:
    """A member's instance is known to be terminated for good; see ``fence_gone``."""

    member_id: MemberId


Event = (
    Tick
    | RecordRead
    | ReadFailed
    | RecordHeard
    | GuardAsked
    | GuardAnswered
    | WriteEnded
    | OccupiedCollected
    | LeaveRequested
    | MemberGone
)

# Commands


@dataclass(frozen=True, slots=True)
class AskGuard:
    """Ask the guard, or another peer; what it answers comes back as ``GuardAnswered``."""

    peer: MemberId
    nonce: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class AnswerAsker:
    """Answer a member's question."""

    asker: MemberId
    nonce: int
    answer: GuardAnswer
    revision: Revision


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record from the store; ends in ``RecordRead`` or ``ReadFailed``."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Compare-and-swap the record; ends in ``WriteEnded``."""

    record: FleetRecord
    expected: Revision
    kind: ChangeKind


@dataclass(frozen=True, slots=True)
class CollectOccupied:
    """Dispatch for these partitions has stopped: answer with ``OccupiedCollected``."""

    partitions: tuple[PartitionId, ...]


@dataclass(frozen=True, slots=True)
class OfferRecord:
    """Send the record to these members."""

    members: tuple[MemberId, ...]
    record: FleetRecord
    revision: Revision


Command = AskGuard | AnswerAsker | ReadRecord | WriteRecord | CollectOccupied | OfferRecord
Commands = tuple[Command, ...]

# State


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
    right_dated: float = _NEVER
    """When the question was sent that last proved the right."""
    questions: tuple[OpenQuestion, ...] = ()
    next_nonce: int = 1
    next_ask_at: float = _NEVER
    next_compare_at: float = _NEVER
    guard_good_at: float = _NEVER
    """When the present guard last acknowledged, or became the guard."""
    guard_since: float = _NEVER
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
    read_sent_at: float = _NEVER
    """When the last answered read was sent."""
    store_failures: int = 0
    store_retry_at: float = _NEVER
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


def step(state: MembershipState, event: Event, now: float) -> tuple[MembershipState, Commands]:
    """One event."""
    if state.phase in _OUTSIDE:
        return _step_outside(state, event)
    match event:
        case Tick():
            return _tick(state, now)
        case RecordRead():
            return _record_read(state, event, now)
        case ReadFailed():
            return _store_failed(replace(state, reading_since=None), now), ()
        case RecordHeard():
            return _adopt(state, event.record, event.revision, now), ()
        case GuardAsked():
            return _guard_asked(state, event, now)
        case GuardAnswered():
            return _guard_answered(state, event, now)
        case WriteEnded():
            return _write_ended(state, event, now)
        case OccupiedCollected():
            return _occupied_collected(state, event, now)
        case LeaveRequested():
            return _leave_requested(state), ()
        case MemberGone():
            return replace(state, gone=state.gone | {event.member_id}), ()


def _step_outside(state: MembershipState, event: Event) -> tuple[MembershipState, Commands]:
    """No member any more: it only tells askers so, with the record that says it."""
    if isinstance(event, GuardAsked):
        answer = AnswerAsker(event.asker, event.nonce, GuardAnswer(False), state.revision)
        return state, (answer, *_offer_if_behind(state, event.asker, event.revision))
    if isinstance(event, RecordHeard) and event.revision > state.revision:
        return replace(state, record=event.record, revision=event.revision), ()
    return state, ()


def _leave_requested(state: MembershipState) -> MembershipState:
    never_joined = state.phase is MemberPhase.JOINING and state.write is None
    return replace(state, phase=MemberPhase.LEFT if never_joined else MemberPhase.LEAVING)


# Time


def _tick(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    state = _forgive_after_pause(state, now)
    state, asked = _ask_if_due(state, now)
    state, compared = _compare_if_due(state, now)
    state, planned = _plan(state, now)
    return state, asked + compared + planned


def _forgive_after_pause(state: MembershipState, now: float) -> MembershipState:
    """A guard that was paused itself has not yet read what its wards sent meanwhile.

    Without this a pause of one process would have it fence all its healthy wards.
    """
    last = state.ticked_at
    state = replace(state, ticked_at=now)
    if last is None or now - last <= state.timing.pause_seconds:
        return state
    return replace(state, heard=dict.fromkeys(state.heard, now), guard_good_at=now)


def _ask_if_due(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    guard = state.record.guard_of(state.me.member_id)
    if guard is None or now < state.next_ask_at:
        return state, ()
    return _ask(replace(state, next_ask_at=now + state.timing.ask_seconds), guard, now)


def _compare_if_due(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    """Compare revisions with one other member after the other, by the same question.

    Watches go silent for good without an error, and those who knew the news die. Then members that
    guard each other would keep their right and never hear of partitions that were moved to them.
    """
    if now < state.next_compare_at:
        return state, ()
    state = replace(state, next_compare_at=now + state.timing.compare_seconds)
    own = state.me.member_id
    others = [name for name in sorted(state.record.members) if name != own]
    if own not in state.record.members or not others:
        return state, ()
    pick = xxhash.xxh32_intdigest(f"{own}/{state.next_nonce}".encode())
    return _ask(state, others[pick % len(others)], now)


def _ask(state: MembershipState, peer: MemberId, now: float) -> tuple[MembershipState, Commands]:
    question = OpenQuestion(state.next_nonce, peer, now)
    asked = replace(
        state,
        questions=(*state.questions, question)[-_MOST_QUESTIONS:],
        next_nonce=state.next_nonce + 1,
    )
    return asked, (AskGuard(peer, question.nonce, state.revision),)


def _plan(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    """At most one call to the store at a time; none while all is well and the guard answers."""
    waiting = state.reading_since is not None or now < state.store_retry_at
    if waiting or state.collecting is not None or state.phase in _OUTSIDE:
        return state, ()
    if state.write is not None:
        return (state, ()) if state.write.in_flight else _read(state, now)
    wanted = _wanted(state, now)
    if wanted is None:
        stale = now - state.right_dated > state.timing.right_seconds / 2
        return _read(state, now) if stale else (state, ())
    if now - state.read_sent_at > state.timing.fresh_seconds:
        # A write into a store that is down may take effect when it returns, and until then blocks
        # what it touches: the hand-over's partitions, or the ward. So it must be seen up first.
        return _read(state, now)
    if wanted.kind in (ChangeKind.MOVE, ChangeKind.LEAVE):
        collecting = replace(state, collecting=wanted)
        return collecting, (CollectOccupied(tuple(wanted.receivers)),)
    return _write(state, wanted, {}, now)


def _read(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    return replace(state, reading_since=now), (ReadRecord(),)


# What the record needs from this member


def _wanted(state: MembershipState, now: float) -> Wanted | None:
    name = state.me.member_id
    if state.phase is MemberPhase.JOINING:
        return Wanted(ChangeKind.JOIN)
    if state.phase is MemberPhase.LEAVING:
        receivers = dict.fromkeys(state.record.owned_by(name), name)
        return Wanted(ChangeKind.LEAVE, receivers=receivers)
    return (
        _wanted_take_over(state, now)
        or _wanted_fence(state, now)
        or _wanted_guard(state, now)
        or _wanted_move(state)
    )


def _wanted_take_over(state: MembershipState, now: float) -> Wanted | None:
    wait = state.rules.takeover_wait(state.timing)
    ready = (name for name, known in state.fence_known.items() if now - known >= wait)
    fenced = min(ready, default=None)
    return Wanted(ChangeKind.TAKE_OVER, fenced) if fenced is not None else None


def _wanted_fence(state: MembershipState, now: float) -> Wanted | None:
    silent = (
        ward for ward, heard in state.heard.items() if now - heard > state.timing.suspect_seconds
    )
    gone = (name for name in state.gone if name in state.record.members)
    subject = min((*silent, *gone), default=None)
    return Wanted(ChangeKind.FENCE, subject) if subject is not None else None


def _wanted_guard(state: MembershipState, now: float) -> Wanted | None:
    """Another guard, when the present one is silent, fenced, or in a worse place than need be."""
    members = state.record.members
    me = members[state.me.member_id]
    present = members.get(me.guard) if me.guard is not None else None
    patience = state.timing.replace_guard_seconds * 2**state.guard_changes
    silent = me.guard is not None and now - state.guard_good_at > patience
    avoid = (me.guard,) if silent and me.guard is not None else ()
    best = changes.choose_guard(members, me, avoid)
    if best is None:
        lost = me.guard is not None and present is None
        return Wanted(ChangeKind.CHANGE_GUARD) if lost else None
    if present is None or silent:
        return Wanted(ChangeKind.CHANGE_GUARD, best)
    if now - state.guard_since < state.timing.improve_guard_seconds:
        # Otherwise a member that was cut off from its best guard would take it back at once, and
        # change the record several times a second for as long as the cut lasts.
        return None
    if changes.guard_rank(me, members[best]) >= changes.guard_rank(me, present):
        best = changes.choose_partner(members, me)
    return Wanted(ChangeKind.CHANGE_GUARD, best) if best is not None else None


def _wanted_move(state: MembershipState) -> Wanted | None:
    receivers = changes.planned_moves(state.record, state.me.member_id)
    return Wanted(ChangeKind.MOVE, receivers=receivers) if receivers else None


def _changed(
    state: MembershipState, wanted: Wanted, occupied: changes.Occupied
) -> FleetRecord | None:
    record = state.record
    name = state.me.member_id
    change_id = ChangeId(f"{name}:{state.next_change}")
    subject = wanted.subject
    match wanted.kind:
        case ChangeKind.JOIN:
            return changes.join(record, state.me, change_id)
        case ChangeKind.CHANGE_GUARD:
            return changes.change_guard(record, name, subject, change_id)
        case ChangeKind.MOVE:
            return changes.move(record, name, wanted.receivers, occupied, change_id)
        case ChangeKind.LEAVE:
            return changes.leave(record, name, occupied, change_id)
        case ChangeKind.FENCE if subject is not None:
            change = changes.fence_gone if subject in state.gone else changes.fence
            return change(record, subject, name, change_id)
        case ChangeKind.TAKE_OVER if subject is not None:
            return changes.take_over(record, subject, name, change_id)
    return None


# Calls to the store


def _write(
    state: MembershipState, wanted: Wanted, occupied: changes.Occupied, now: float
) -> tuple[MembershipState, Commands]:
    changed = _changed(state, wanted, occupied)
    state = replace(state, collecting=None, next_change=state.next_change + 1)
    if changed is None:
        return replace(state, read_sent_at=_NEVER), ()
    pending = PendingWrite(
        record=changed,
        expected=state.revision,
        kind=wanted.kind,
        subject=wanted.subject,
        partitions=frozenset(wanted.receivers),
        sent_at=now,
    )
    written = replace(state, write=pending)
    return written, (WriteRecord(changed, pending.expected, pending.kind),)


def _occupied_collected(
    state: MembershipState, event: OccupiedCollected, now: float
) -> tuple[MembershipState, Commands]:
    wanted = state.collecting
    if wanted is None:
        return state, ()
    return _write(state, wanted, event.occupied, now)


def _write_ended(
    state: MembershipState, event: WriteEnded, now: float
) -> tuple[MembershipState, Commands]:
    write = state.write
    if write is None:
        return state, ()
    if event.outcome is WriteOutcome.WON:
        state = replace(state, write=None, store_failures=0, store_retry_at=_NEVER)
        state = _adopt(state, write.record, event.revision, now)
        state = _prove(state, state.rules.dated(write.sent_at, now))
        return state, _offer_to_region(state)
    # A lost repetition may have lost to its own first try, so the record decides in every case.
    unknown = write.was_unknown or event.outcome is WriteOutcome.UNKNOWN
    state = replace(state, write=replace(write, in_flight=False, was_unknown=unknown))
    if event.outcome is WriteOutcome.UNKNOWN:
        state = _store_failed(state, now)
    if state.rules.settled(write.expected, state.revision):
        return _settle(state, now), ()
    return state, ()


def _settle(state: MembershipState, now: float) -> MembershipState:
    """The record shows what became of the pending write."""
    write = state.write
    state = replace(state, write=None, read_sent_at=_NEVER)
    joined = state.me.member_id in state.record.members
    if write is not None and write.kind is ChangeKind.JOIN and write.was_unknown and not joined:
        # It may have joined and been removed unawares, and a member id is never used twice.
        return _lose_membership(state, MemberPhase.FENCED)
    return _follow_record(state, now)


def _record_read(
    state: MembershipState, event: RecordRead, now: float
) -> tuple[MembershipState, Commands]:
    sent_at = state.reading_since
    if sent_at is None:
        return state, ()
    state = replace(
        state, reading_since=None, read_sent_at=sent_at, store_failures=0, store_retry_at=_NEVER
    )
    if event.record is not None:
        state = _adopt(state, event.record, event.revision, now)
    if event.revision >= state.revision and state.me.member_id in state.record.members:
        state = _prove(state, state.rules.dated(sent_at, now))
    write = state.write
    if write is None or write.in_flight:
        return _plan(state, now)
    if state.rules.settled(write.expected, event.revision):
        return _plan(_settle(state, now), now)
    again = replace(state, write=replace(write, in_flight=True, sent_at=now))
    return again, (WriteRecord(write.record, write.expected, write.kind),)


def _store_failed(state: MembershipState, now: float) -> MembershipState:
    """Wait before the next call, longer each time, and each member differently long.

    Otherwise all members would call at the same moment when the store returns.
    """
    timing = state.timing
    delay = timing.store_retry_seconds * 2 ** min(state.store_failures, 16)
    delay = min(delay, timing.longest_store_retry_seconds)
    spread = xxhash.xxh32_intdigest(f"{state.me.member_id}/{state.store_failures}".encode()) / 2**32
    return replace(
        state,
        store_failures=state.store_failures + 1,
        store_retry_at=now + delay * (0.5 + spread / 2),
    )


def _prove(state: MembershipState, dated: float) -> MembershipState:
    return replace(state, right_dated=max(state.right_dated, dated))


# The record


def _adopt(
    state: MembershipState, record: FleetRecord, revision: Revision, now: float
) -> MembershipState:
    """Take in a newer record, wherever it comes from."""
    if revision <= state.revision:
        return state
    state = replace(state, record=record, revision=revision)
    write = state.write
    if write is None or write.in_flight:
        return _follow_record(state, now)
    if state.rules.settled(write.expected, revision):
        return _settle(state, now)
    return _follow_record(state, now)


def _follow_record(state: MembershipState, now: float) -> MembershipState:
    name = state.me.member_id
    record = state.record
    if name not in record.members:
        if state.phase is MemberPhase.JOINING and name not in record.fenced:
            return state
        left = state.phase is MemberPhase.LEAVING and name not in record.fenced
        return _lose_membership(state, MemberPhase.LEFT if left else MemberPhase.FENCED)
    me = record.members[name]
    phase = MemberPhase.ACTIVE if state.phase is MemberPhase.JOINING else state.phase
    new_guard = me.guard != state.me.guard
    replaced = new_guard and state.me.guard is not None
    return replace(
        state,
        me=me,
        phase=phase,
        guard_good_at=now if new_guard else state.guard_good_at,
        guard_since=now if new_guard else state.guard_since,
        guard_changes=state.guard_changes + replaced,
        next_ask_at=_NEVER if new_guard else state.next_ask_at,
        heard={ward: state.heard.get(ward, now) for ward in record.wards_of(name)},
        fence_known={
            fenced: state.fence_known.get(fenced, now)
            for fenced, entry in record.fenced.items()
            if entry.taker == name
        },
    )


def _lose_membership(state: MembershipState, phase: MemberPhase) -> MembershipState:
    return replace(
        state,
        phase=phase,
        right_dated=_NEVER,
        questions=(),
        heard={},
        fence_known={},
        write=None,
        collecting=None,
    )


# Guards


def _guard_asked(
    state: MembershipState, event: GuardAsked, now: float
) -> tuple[MembershipState, Commands]:
    asker = event.asker
    if asker in state.heard:
        state = replace(state, heard={**state.heard, asker: now})
    answer = AnswerAsker(asker, event.nonce, _answer(state, asker, now), state.revision)
    return state, (answer, *_offer_if_behind(state, asker, event.revision))


def _answer(state: MembershipState, asker: MemberId, now: float) -> GuardAnswer:
    name = state.me.member_id
    if state.phase is MemberPhase.JOINING or state.record.guard_of(asker) != name:
        return GuardAnswer(False)
    if _may_be_fencing(state, asker) or _writes(state, ChangeKind.LEAVE):
        return GuardAnswer(False)
    own_guard = None if _writes(state, ChangeKind.CHANGE_GUARD) else state.me.guard
    return state.rules.answer(holds_right(state, now), own_guard, asker)


def _may_be_fencing(state: MembershipState, member_id: MemberId) -> bool:
    write = state.write
    return write is not None and write.kind is ChangeKind.FENCE and write.subject == member_id


def _writes(state: MembershipState, kind: ChangeKind) -> bool:
    return state.write is not None and state.write.kind is kind


def _guard_answered(
    state: MembershipState, event: GuardAnswered, now: float
) -> tuple[MembershipState, Commands]:
    question = next((open_ for open_ in state.questions if open_.nonce == event.nonce), None)
    if question is None:
        return state, ()
    others = tuple(open_ for open_ in state.questions if open_.nonce != event.nonce)
    state = replace(state, questions=others)
    offers = _offer_if_behind(state, question.peer, event.revision)
    if not _counts(state, question.peer, event.answer):
        return state, offers
    state = _prove(state, state.rules.dated(question.sent_at, now))
    return replace(state, guard_good_at=now, guard_changes=0), offers


def _counts(state: MembershipState, guard: MemberId, answer: GuardAnswer) -> bool:
    """Whether an answer proves the right.

    Not while this member replaces its guard: the new one may already be there and fencing it, and
    the old one does not know.
    """
    name = state.me.member_id
    if state.record.guard_of(name) != guard or _writes(state, ChangeKind.CHANGE_GUARD):
        return False
    if answer.acknowledged:
        return True
    unfenced_by_me = state.record.guard_of(guard) == name and not _may_be_fencing(state, guard)
    return answer.if_you_guard_me and unfenced_by_me


# Spreading the record


def _offer_if_behind(state: MembershipState, peer: MemberId, revision: Revision) -> Commands:
    if revision >= state.revision:
        return ()
    return (OfferRecord((peer,), state.record, state.revision),)


def _offer_to_region(state: MembershipState) -> Commands:
    """Whoever changed the record tells its region at once; other regions' watches tell theirs."""
    region = state.me.zone.region
    peers = tuple(
        name
        for name, member in state.record.members.items()
        if member.zone.region == region and name != state.me.member_id
    )
    if not peers:
        return ()
    return (OfferRecord(peers, state.record, state.revision),)
