"""Plans the next change of the fleet record that a member should make."""

from __future__ import annotations

from .._ids import ChangeId
from . import _fleet_changes as changes
from ._fleet import FleetRecord
from ._membership_events import ChangeKind
from ._membership_state import MemberPhase, MembershipState, PlannedChange


def plan_change(state: MembershipState, now: float) -> PlannedChange | None:
    name = state.me.member_id
    if state.phase is MemberPhase.JOINING:
        return PlannedChange(ChangeKind.JOIN)
    if state.phase is MemberPhase.LEAVING:
        receivers = dict.fromkeys(state.record.owned_by(name), name)
        return PlannedChange(ChangeKind.LEAVE, receivers=receivers)
    return (
        _plan_take_over(state, now)
        or _plan_fence(state, now)
        or _plan_guard(state, now)
        or _plan_move(state)
    )


def _plan_take_over(state: MembershipState, now: float) -> PlannedChange | None:
    wait = state.rules.takeover_wait(state.timing)
    ready = (name for name, known in state.fence_learned_at.items() if now - known >= wait)
    fenced = min(ready, default=None)
    return PlannedChange(ChangeKind.TAKE_OVER, fenced) if fenced is not None else None


def _plan_fence(state: MembershipState, now: float) -> PlannedChange | None:
    silent = (
        ward
        for ward, heard in state.ward_asked_at.items()
        if now - heard > state.timing.suspect_seconds
    )
    terminated = (name for name in state.terminated if name in state.record.members)
    subject = min((*silent, *terminated), default=None)
    return PlannedChange(ChangeKind.FENCE, subject) if subject is not None else None


def _plan_guard(state: MembershipState, now: float) -> PlannedChange | None:
    """Plan another guard if the current one is silent, fenced or not the best-ranked."""
    members = state.record.members
    me = members[state.me.member_id]
    guard = members.get(me.guard) if me.guard is not None else None
    timeout = state.timing.replace_guard_seconds * 2**state.guard_changes
    silent = me.guard is not None and now - state.guard_acknowledged_at > timeout
    avoid = (me.guard,) if silent and me.guard is not None else ()
    best = changes.choose_guard(members, me, avoid)
    if best is None:
        guard_removed = me.guard is not None and guard is None
        return PlannedChange(ChangeKind.CHANGE_GUARD) if guard_removed else None
    if guard is None or silent:
        return PlannedChange(ChangeKind.CHANGE_GUARD, best)
    if now - state.guard_changed_at < state.timing.improve_guard_seconds:
        # Hysteresis: otherwise a member that is cut off from its best guard would switch back to it
        # at once, and change the record several times a second for as long as the cut lasts.
        return None
    if changes.guard_rank(me, members[best]) >= changes.guard_rank(me, guard):
        best = changes.choose_mutual_guard(members, me)
    return PlannedChange(ChangeKind.CHANGE_GUARD, best) if best is not None else None


def _plan_move(state: MembershipState) -> PlannedChange | None:
    receivers = changes.planned_moves(state.record, state.me.member_id)
    return PlannedChange(ChangeKind.MOVE, receivers=receivers) if receivers else None


def apply_change(
    state: MembershipState, planned: PlannedChange, occupied: changes.OccupiedByPartition
) -> FleetRecord | None:
    record = state.record
    name = state.me.member_id
    change_id = ChangeId(f"{name}:{state.next_change}")
    subject = planned.subject_member
    match planned.kind:
        case ChangeKind.JOIN:
            return changes.join(record, state.me, change_id)
        case ChangeKind.CHANGE_GUARD:
            return changes.change_guard(record, name, subject, change_id)
        case ChangeKind.MOVE:
            return changes.move(record, name, planned.receivers, occupied, change_id)
        case ChangeKind.LEAVE:
            return changes.leave(record, name, occupied, change_id)
        case ChangeKind.FENCE if subject is not None:
            change = changes.fence_terminated if subject in state.terminated else changes.fence
            return change(record, subject, name, change_id)
        case ChangeKind.TAKE_OVER if subject is not None:
            return changes.take_over(record, subject, name, change_id)
    return None
