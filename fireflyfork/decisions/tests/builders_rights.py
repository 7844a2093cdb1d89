"""Weaker rules of the right to dispatch, which must let two members own one partition."""

from __future__ import annotations

from ..._ids import MemberId, Revision
from .._rights import GuardAnswer, MembershipTiming, RightRules


class AcknowledgesWithoutRight(RightRules):
    """A guard acknowledges whether or not it holds the right."""

    def answer(self, holds_right: bool, own_guard: MemberId | None, asker: MemberId) -> GuardAnswer:
        """See ``RightRules``."""
        return GuardAnswer(True)


class DatedFromReceipt(RightRules):
    """A proof counts from when its answer arrived."""

    def dated(self, sent_at: float, received_at: float) -> float:
        """See ``RightRules``."""
        return received_at


class NoWait(RightRules):
    """Partitions are taken over at once after the fence."""

    def takeover_wait(self, timing: MembershipTiming) -> float:
        """See ``RightRules``."""
        return 0.0


class WaitWithoutDrift(RightRules):
    """The takeover waits as if all clocks ran equally fast."""

    def takeover_wait(self, timing: MembershipTiming) -> float:
        """See ``RightRules``."""
        return timing.right_seconds


class OldValueSettles(RightRules):
    """A read of the old value counts as proof that a write failed."""

    def settled(self, expected: Revision, seen: Revision) -> bool:
        """See ``RightRules``."""
        return seen >= expected
