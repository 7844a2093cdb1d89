"""The membership protocol of one member as a pure state machine.

``step`` takes the state, an event and the time on the member's own clock, and returns the new state
and the commands to execute. The clock must continue to advance while the machine is suspended.
"""

from __future__ import annotations

from dataclasses import replace

import xxhash

from .._ids import Revision
from . import _fleet_changes as changes
from ._fleet import FleetRecord
from ._membership_events import (
    AnswerAsker,
    ChangeKind,
    CollectOccupied,
    Commands,
    Event,
    GuardAnswered,
    GuardAsked,
    LeaveRequested,
    MemberTerminated,
    OccupiedCollected,
    ReadFailed,
    ReadRecord,
    RecordRead,
    RecordReceived,
    Tick,
    WriteEnded,
    WriteOutcome,
    WriteRecord,
)
from ._membership_guards import (
    ask_guard_if_due,
    compare_revisions_if_due,
    handle_answer,
    handle_question,
)
from ._membership_offers import offer_if_behind, offer_to_region
from ._membership_planning import apply_change, plan_change
from ._membership_state import (
    NEVER,
    NON_MEMBER_PHASES,
    MemberPhase,
    MembershipState,
    PendingWrite,
    PlannedChange,
    record_proof,
)
from ._rights import GuardAnswer


def step(state: MembershipState, event: Event, now: float) -> tuple[MembershipState, Commands]:
    """Return the state after an event, and the commands to execute."""
    if state.phase in NON_MEMBER_PHASES:
        return _step_outside(state, event)
    match event:
        case Tick():
            return _tick(state, now)
        case RecordRead():
            return _record_read(state, event, now)
        case ReadFailed():
            return _store_failed(replace(state, reading_since=None), now), ()
        case RecordReceived():
            return _adopt(state, event.record, event.revision, now), ()
        case GuardAsked():
            return handle_question(state, event, now)
        case GuardAnswered():
            return handle_answer(state, event, now)
        case WriteEnded():
            return _write_ended(state, event, now)
        case OccupiedCollected():
            return _occupied_collected(state, event, now)
        case LeaveRequested():
            return _leave_requested(state), ()
        case MemberTerminated():
            return replace(state, terminated=state.terminated | {event.member_id}), ()


def _step_outside(state: MembershipState, event: Event) -> tuple[MembershipState, Commands]:
    """Handle an event of a former member, which only replies to askers with its latest record."""
    if isinstance(event, GuardAsked):
        answer = AnswerAsker(event.asker, event.nonce, GuardAnswer(False), state.revision)
        return state, (answer, *offer_if_behind(state, event.asker, event.revision))
    if isinstance(event, RecordReceived) and event.revision > state.revision:
        return replace(state, record=event.record, revision=event.revision), ()
    return state, ()


def _leave_requested(state: MembershipState) -> MembershipState:
    never_joined = state.phase is MemberPhase.JOINING and state.write is None
    return replace(state, phase=MemberPhase.LEFT if never_joined else MemberPhase.LEAVING)


def _tick(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    state = _restart_timers_after_pause(state, now)
    state, asked = ask_guard_if_due(state, now)
    state, compared = compare_revisions_if_due(state, now)
    state, planned = _start_next_call(state, now)
    return state, asked + compared + planned


def _restart_timers_after_pause(state: MembershipState, now: float) -> MembershipState:
    """Restart the guard timers if this process was paused.

    A guard that was paused has not yet processed what its wards sent during the pause. Without
    this, a paused process would fence all of its healthy wards when it resumes.
    """
    last = state.ticked_at
    state = replace(state, ticked_at=now)
    if last is None or now - last <= state.timing.pause_seconds:
        return state
    return replace(
        state, ward_asked_at=dict.fromkeys(state.ward_asked_at, now), guard_acknowledged_at=now
    )


def _start_next_call(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    """Start the next call to the store, at most one at a time.

    No call is made while no change is needed and the guard's answers prove the right.
    """
    waiting = state.reading_since is not None or now < state.store_retry_at
    if waiting or state.pending_handover is not None or state.phase in NON_MEMBER_PHASES:
        return state, ()
    if state.write is not None:
        return (state, ()) if state.write.in_flight else _read(state, now)
    planned = plan_change(state, now)
    if planned is None:
        stale = now - state.right_proved_at > state.timing.right_seconds / 2
        return _read(state, now) if stale else (state, ())
    if now - state.read_sent_at > state.timing.max_read_age_seconds:
        # A write sent to a store that is down may take effect when the store recovers. Until then
        # it blocks the partitions being handed over or the ward, so a recent read must have shown
        # that the store is up.
        return _read(state, now)
    if planned.kind in (ChangeKind.MOVE, ChangeKind.LEAVE):
        collecting = replace(state, pending_handover=planned)
        return collecting, (CollectOccupied(tuple(planned.receivers)),)
    return _write(state, planned, {}, now)


def _read(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    return replace(state, reading_since=now), (ReadRecord(),)


def _write(
    state: MembershipState,
    planned: PlannedChange,
    occupied: changes.OccupiedByPartition,
    now: float,
) -> tuple[MembershipState, Commands]:
    changed = apply_change(state, planned, occupied)
    state = replace(state, pending_handover=None, next_change=state.next_change + 1)
    if changed is None:
        return replace(state, read_sent_at=NEVER), ()
    pending = PendingWrite(
        record=changed,
        expected=state.revision,
        kind=planned.kind,
        subject_member=planned.subject_member,
        partitions=frozenset(planned.receivers),
        sent_at=now,
    )
    written = replace(state, write=pending)
    return written, (WriteRecord(changed, pending.expected, pending.kind),)


def _occupied_collected(
    state: MembershipState, event: OccupiedCollected, now: float
) -> tuple[MembershipState, Commands]:
    planned = state.pending_handover
    if planned is None:
        return state, ()
    return _write(state, planned, event.occupied, now)


def _write_ended(
    state: MembershipState, event: WriteEnded, now: float
) -> tuple[MembershipState, Commands]:
    write = state.write
    if write is None:
        return state, ()
    if event.outcome is WriteOutcome.WON:
        state = replace(state, write=None, store_failures=0, store_retry_at=NEVER)
        state = _adopt(state, write.record, event.revision, now)
        state = record_proof(state, state.rules.valid_from(write.sent_at, now))
        return state, offer_to_region(state)
    # A retried write may have lost against its own first attempt, so the record always decides.
    unknown = write.was_unknown or event.outcome is WriteOutcome.UNKNOWN
    state = replace(state, write=replace(write, in_flight=False, was_unknown=unknown))
    if event.outcome is WriteOutcome.UNKNOWN:
        state = _store_failed(state, now)
    if state.rules.is_settled(write.expected, state.revision):
        return _resolve_write(state, now), ()
    return state, ()


def _resolve_write(state: MembershipState, now: float) -> MembershipState:
    """Resolve the pending write, whose outcome the record shows."""
    write = state.write
    state = replace(state, write=None, read_sent_at=NEVER)
    joined = state.me.member_id in state.record.members
    if write is not None and write.kind is ChangeKind.JOIN and write.was_unknown and not joined:
        # It may have joined and been removed without noticing, and a member id is never reused.
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
        state = record_proof(state, state.rules.valid_from(sent_at, now))
    write = state.write
    if write is None or write.in_flight:
        return _start_next_call(state, now)
    if state.rules.is_settled(write.expected, event.revision):
        return _start_next_call(_resolve_write(state, now), now)
    again = replace(state, write=replace(write, in_flight=True, sent_at=now))
    return again, (WriteRecord(write.record, write.expected, write.kind),)


def _store_failed(state: MembershipState, now: float) -> MembershipState:
    """Schedule the next call with exponential backoff and a jitter derived from the member id.

    Without the jitter all members would call at the same moment when the store recovers.
    """
    timing = state.timing
    delay = timing.store_retry_seconds * 2 ** min(state.store_failures, 16)
    delay = min(delay, timing.max_store_retry_seconds)
    spread = xxhash.xxh32_intdigest(f"{state.me.member_id}/{state.store_failures}".encode()) / 2**32
    return replace(
        state,
        store_failures=state.store_failures + 1,
        store_retry_at=now + delay * (0.5 + spread / 2),
    )


def _adopt(
    state: MembershipState, record: FleetRecord, revision: Revision, now: float
) -> MembershipState:
    """Adopt a record from any source if its revision is newer."""
    if revision <= state.revision:
        return state
    state = replace(state, record=record, revision=revision)
    write = state.write
    if write is None or write.in_flight:
        return _follow_record(state, now)
    if state.rules.is_settled(write.expected, revision):
        return _resolve_write(state, now)
    return _follow_record(state, now)


def _follow_record(state: MembershipState, now: float) -> MembershipState:
    name = state.me.member_id
    record = state.record
    if name not in record.members:
        if state.phase is MemberPhase.JOINING and name not in record.fenced:
            return state
        has_left = state.phase is MemberPhase.LEAVING and name not in record.fenced
        return _lose_membership(state, MemberPhase.LEFT if has_left else MemberPhase.FENCED)
    me = record.members[name]
    phase = MemberPhase.ACTIVE if state.phase is MemberPhase.JOINING else state.phase
    new_guard = me.guard != state.me.guard
    replaced = new_guard and state.me.guard is not None
    return replace(
        state,
        me=me,
        phase=phase,
        guard_acknowledged_at=now if new_guard else state.guard_acknowledged_at,
        guard_changed_at=now if new_guard else state.guard_changed_at,
        guard_changes=state.guard_changes + replaced,
        next_ask_at=NEVER if new_guard else state.next_ask_at,
        ward_asked_at={ward: state.ward_asked_at.get(ward, now) for ward in record.wards_of(name)},
        fence_learned_at={
            fenced: state.fence_learned_at.get(fenced, now)
            for fenced, entry in record.fenced.items()
            if entry.taker == name
        },
    )


def _lose_membership(state: MembershipState, phase: MemberPhase) -> MembershipState:
    return replace(
        state,
        phase=phase,
        right_proved_at=NEVER,
        open_questions=(),
        ward_asked_at={},
        fence_learned_at={},
        write=None,
        pending_handover=None,
    )
