"""One member's part in the fleet: a pure state machine.

``step`` takes the state, one event and the time by the member's own clock, and gives the new state
and the commands to carry out. The time must go on while the machine sleeps.
"""

from __future__ import annotations

from dataclasses import replace

import xxhash

from .._ids import MemberId, Revision
from . import _fleet_changes as changes
from ._fleet import FleetRecord
from ._membership_events import (
    AnswerAsker,
    AskGuard,
    ChangeKind,
    CollectOccupied,
    Commands,
    Event,
    GuardAnswered,
    GuardAsked,
    LeaveRequested,
    MemberGone,
    OccupiedCollected,
    OfferRecord,
    ReadFailed,
    ReadRecord,
    RecordHeard,
    RecordRead,
    Tick,
    WriteEnded,
    WriteOutcome,
    WriteRecord,
)
from ._membership_state import (
    NEVER,
    OUTSIDE,
    MemberPhase,
    MembershipState,
    OpenQuestion,
    PendingWrite,
    Wanted,
    holds_right,
)
from ._membership_wants import changed_record, wanted_change
from ._rights import GuardAnswer

_MOST_QUESTIONS = 12
"""Questions that are kept open; with the usual timing those of the last 4 s."""


def step(state: MembershipState, event: Event, now: float) -> tuple[MembershipState, Commands]:
    """One event."""
    if state.phase in OUTSIDE:
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
    if waiting or state.collecting is not None or state.phase in OUTSIDE:
        return state, ()
    if state.write is not None:
        return (state, ()) if state.write.in_flight else _read(state, now)
    wanted = wanted_change(state, now)
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


# Calls to the store


def _write(
    state: MembershipState, wanted: Wanted, occupied: changes.Occupied, now: float
) -> tuple[MembershipState, Commands]:
    changed = changed_record(state, wanted, occupied)
    state = replace(state, collecting=None, next_change=state.next_change + 1)
    if changed is None:
        return replace(state, read_sent_at=NEVER), ()
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
        state = replace(state, write=None, store_failures=0, store_retry_at=NEVER)
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
    state = replace(state, write=None, read_sent_at=NEVER)
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
        state, reading_since=None, read_sent_at=sent_at, store_failures=0, store_retry_at=NEVER
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
        next_ask_at=NEVER if new_guard else state.next_ask_at,
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
        right_dated=NEVER,
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
