"""The rules and timing of the right to dispatch.

A member holds the right for ``right_seconds`` on its own clock, counted from when it *sent* a
question whose answer proved that it was not fenced. The answer is a store read or its guard's
acknowledgement. Counted from the arrival of the answer, the right would last longer by the answer's
latency, and a successor could dispatch at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass

from .._ids import MemberId, Revision


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Timing parameters of the membership protocol, in seconds on the member's own clock."""

    right_seconds: float = 2.0
    """Duration of the right to dispatch after a proof that the member is not fenced."""
    ask_interval_seconds: float = 0.5
    """Interval between questions to the guard."""
    compare_interval_seconds: float = 2.0
    """Interval between questions to members other than the guard, which compare record
    revisions."""
    suspect_seconds: float = 2.0
    """A guard fences a ward that has not sent a question for this long."""
    replace_guard_seconds: float = 1.0
    """A member replaces a guard that has not acknowledged for this long."""
    improve_guard_seconds: float = 10.0
    """Minimum time before a guard that acknowledges is replaced by a better-ranked guard."""
    max_read_age_seconds: float = 1.0
    """Changes are written only if the last answered read was sent at most this long ago."""
    pause_seconds: float = 0.8
    """A gap between two ticks above this counts as a pause of the process."""
    drift: float = 0.01
    """Maximum relative error of the rate of any clock."""
    margin_seconds: float = 0.1
    """Added to the takeover wait to allow for the granularity of clocks."""
    store_retry_seconds: float = 0.5
    """Backoff after the first failed store call; doubled with each further failure."""
    max_store_retry_seconds: float = 5.0
    """Maximum backoff between store calls."""
    watch_seconds: float = 300.0
    """Timeout of one watch call in the store."""


@dataclass(frozen=True, slots=True)
class GuardAnswer:
    """The answer of a guard to a member's question."""

    acknowledged: bool
    """Whether the guard holds the right itself and has not begun to fence the asker."""
    if_you_guard_me: bool = False
    """Whether the asker is the answering member's guard, the only member that can fence it."""


class RightRules:
    """The rules that prevent two members from holding the right for the same partition.

    They are methods of a class so that a randomized search can replace one rule by a weaker one to
    show that it is necessary.
    """

    def answer(self, holds_right: bool, own_guard: MemberId | None, asker: MemberId) -> GuardAnswer:
        """Return the answer of a guard that has not begun to fence the asker.

        Only a guard that holds the right may acknowledge. A guard that was fenced without noticing
        may have been replaced, and the new guard may be fencing the asker. There is one exception:
        if the asker is the guard's own guard, no other member can have fenced the guard, and the
        asker knows whether it did so itself. This lets two members that guard each other recover
        from a pause without the store.
        """
        return GuardAnswer(holds_right, if_you_guard_me=own_guard == asker)

    def valid_from(self, sent_at: float, received_at: float) -> float:
        """Return the time from which a proof counts.

        What was true when the question was answered may have changed before the answer arrived.
        """
        del received_at
        return sent_at

    def takeover_wait(self, timing: MembershipTiming) -> float:
        """Return how long a taker waits after it has learned of the fence.

        The fenced member's clock may be slow and the taker's clock fast, by ``drift`` each.
        """
        drift = (1 + timing.drift) / (1 - timing.drift)
        return timing.right_seconds * drift + timing.margin_seconds

    def is_settled(self, expected: Revision, seen: Revision) -> bool:
        """Return whether a write without an answer can no longer take effect.

        A read of the old value doesn't settle the outcome: the write may still be in flight, and
        would take effect after its sender has continued as if it had failed. Only a revision
        higher than the expected one rules this out.
        """
        return seen > expected
