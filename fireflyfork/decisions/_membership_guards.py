"""The questions between members and their guards, and what the answers prove."""

from __future__ import annotations

from dataclasses import replace

import xxhash

from .._ids import MemberId
from ._membership_events import (
    AnswerAsker,
    AskGuard,
    ChangeKind,
    Commands,
    GuardAnswered,
    GuardAsked,
)
from ._membership_offers import offer_if_behind
from ._membership_state import MemberPhase, MembershipState, OpenQuestion, holds_right, record_proof
from ._rights import GuardAnswer

_MAX_OPEN_QUESTIONS = 12
"""Maximum number of open questions; with the default timing, those of the last 4 s."""


def ask_guard_if_due(state: MembershipState, now: float) -> tuple[MembershipState, Commands]:
    """Send the periodic question to the guard, whose answer proves the right to dispatch."""
    guard = state.record.guard_of(state.me.member_id)
    if guard is None or now < state.next_ask_at:
        return state, ()
    return _ask(replace(state, next_ask_at=now + state.timing.ask_interval_seconds), guard, now)


def compare_revisions_if_due(
    state: MembershipState, now: float
) -> tuple[MembershipState, Commands]:
    """Compare record revisions with a pseudo-randomly chosen member, using the same question.

    A watch can go silent permanently without an error, and the members that received a new record
    can die before they pass it on. Without this comparison, two members that guard each other would
    then keep their right and never learn of partitions that were moved to them.
    """
    if now < state.next_compare_at:
        return state, ()
    state = replace(state, next_compare_at=now + state.timing.compare_interval_seconds)
    own = state.me.member_id
    peers = [name for name in sorted(state.record.members) if name != own]
    if own not in state.record.members or not peers:
        return state, ()
    pick = xxhash.xxh32_intdigest(f"{own}/{state.next_nonce}".encode())
    return _ask(state, peers[pick % len(peers)], now)


def _ask(state: MembershipState, peer: MemberId, now: float) -> tuple[MembershipState, Commands]:
    question = OpenQuestion(state.next_nonce, peer, now)
    asked = replace(
        state,
        open_questions=(*state.open_questions, question)[-_MAX_OPEN_QUESTIONS:],
        next_nonce=state.next_nonce + 1,
    )
    return asked, (AskGuard(peer, question.nonce, state.revision),)


def handle_question(
    state: MembershipState, event: GuardAsked, now: float
) -> tuple[MembershipState, Commands]:
    """Answer a peer's question, and record that a ward is alive."""
    asker = event.asker
    if asker in state.ward_asked_at:
        state = replace(state, ward_asked_at={**state.ward_asked_at, asker: now})
    answer = AnswerAsker(asker, event.nonce, _answer(state, asker, now), state.revision)
    return state, (answer, *offer_if_behind(state, asker, event.revision))


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
    return (
        write is not None and write.kind is ChangeKind.FENCE and write.subject_member == member_id
    )


def _writes(state: MembershipState, kind: ChangeKind) -> bool:
    return state.write is not None and state.write.kind is kind


def handle_answer(
    state: MembershipState, event: GuardAnswered, now: float
) -> tuple[MembershipState, Commands]:
    """Process a peer's answer, which may renew the right to dispatch."""
    question = next((open_ for open_ in state.open_questions if open_.nonce == event.nonce), None)
    if question is None:
        return state, ()
    remaining = tuple(open_ for open_ in state.open_questions if open_.nonce != event.nonce)
    state = replace(state, open_questions=remaining)
    offers = offer_if_behind(state, question.peer, event.revision)
    if not _proves_right(state, question.peer, event.answer):
        return state, offers
    state = record_proof(state, state.rules.valid_from(question.sent_at, now))
    return replace(state, guard_acknowledged_at=now, guard_changes=0), offers


def _proves_right(state: MembershipState, guard: MemberId, answer: GuardAnswer) -> bool:
    """Return whether an answer proves the right to dispatch.

    It doesn't while this member replaces its guard: the new guard may already be in the record and
    be fencing this member without the old guard's knowledge.
    """
    name = state.me.member_id
    if state.record.guard_of(name) != guard or _writes(state, ChangeKind.CHANGE_GUARD):
        return False
    if answer.acknowledged:
        return True
    unfenced_by_me = state.record.guard_of(guard) == name and not _may_be_fencing(state, guard)
    return answer.if_you_guard_me and unfenced_by_me
