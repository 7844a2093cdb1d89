"""Plans the next change of the fleet record that a member should make."""

from __future__ import annotations

from .._ids import ChangeId
from . import _fleet_changes as changes
from ._fleet import FleetRecord
from ._membership_events import ChangeKind
from ._membership_state import MemberPhase, MembershipState, Wanted


def wanted_change(state: MembershipState, now: float) -> Wanted | None:
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
    """Plan another guard if the current one is silent, fenced or not the best-ranked."""
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
        # Hysteresis: otherwise a member that is cut off from its best guard would switch back to it
        # at once, and change the record several times a second for as long as the cut lasts.
        return None
    if changes.guard_rank(me, members[best]) >= changes.guard_rank(me, present):
        best = changes.choose_partner(members, me)
    return Wanted(ChangeKind.CHANGE_GUARD, best) if best is not None else None


def _wanted_move(state: MembershipState) -> Wanted | None:
    receivers = changes.planned_moves(state.record, state.me.member_id)
    return Wanted(ChangeKind.MOVE, receivers=receivers) if receivers else None


def changed_record(
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
