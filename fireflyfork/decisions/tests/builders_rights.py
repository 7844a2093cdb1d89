"""Weakened rules of the right to dispatch, each of which lets two members own one partition."""

from __future__ import annotations

from ..._ids import MemberId, Revision
from .._rights import GuardAnswer, MembershipTiming, RightRules


class AcknowledgesWithoutRight(RightRules):
    """A guard acknowledges even if it doesn't hold the right itself."""

    def answer(self, holds_right: bool, own_guard: MemberId | None, asker: MemberId) -> GuardAnswer:
        """See ``RightRules``."""
        return GuardAnswer(True)


class DatedFromReceipt(RightRules):
    """A proof counts from the arrival of the answer."""

    def valid_from(self, sent_at: float, received_at: float) -> float:
        """See ``RightRules``."""
        return received_at


class NoWait(RightRules):
    """Partitions are taken over immediately after the fence."""

    def takeover_wait(self, timing: MembershipTiming) -> float:
        """See ``RightRules``."""
        return 0.0


class WaitWithoutDrift(RightRules):
    """The takeover wait ignores clock drift."""

    def takeover_wait(self, timing: MembershipTiming) -> float:
        """See ``RightRules``."""
        return timing.right_seconds


class OldValueSettles(RightRules):
    """A read of the old value is taken as proof that a write failed."""

    def is_settled(self, expected: Revision, seen: Revision) -> bool:
        """See ``RightRules``."""
        return seen >= expected
