"""Who holds the right to dispatch, and for how long.

The rule: a member holds the right for ``right_seconds`` by its own clock, dated from when it *sent* a
question that showed it to be unfenced. A store read shows it, and so does its guard's acknowledgement.
Dated from the answer, it would last longer by the answer's time on the way, and a successor could
dispatch meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass

from .._ids import MemberId, Revision


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Periods of membership, in seconds by the member's own clock."""

    right_seconds: float = 2.0
    """How long one proof of not being fenced gives the right to dispatch."""
    ask_seconds: float = 0.5
    """Between two questions to the guard."""
    compare_seconds: float = 2.0
    """Between two questions to any other member, which only compare what both know."""
    suspect_seconds: float = 2.0
    """A guard fences a member that it did not hear for so long."""
    replace_guard_seconds: float = 1.0
    """A member takes another guard when its own did not acknowledge for so long."""
    improve_guard_seconds: float = 10.0
    """A guard that acknowledges is kept for so long before one in a better place replaces it."""
    fresh_seconds: float = 1.0
    """No change is written unless a read was answered so lately."""
    pause_seconds: float = 0.8
    """A gap between two ticks that counts as a pause of this process."""
    drift: float = 0.01
    """How far the rate of any clock may be off."""
    margin_seconds: float = 0.1
    """Added to the takeover wait for the granularity of clocks."""
    store_retry_seconds: float = 0.5
    """Before the first repetition of a failed call; doubled with each further failure."""
    longest_store_retry_seconds: float = 5.0
    """The most that a repetition waits."""
    watch_seconds: float = 300.0
    """How long one watch call waits in the store."""


@dataclass(frozen=True, slots=True)
class GuardAnswer:
    """What a guard answers to a member's question."""

    acknowledged: bool
    """The guard has not begun to fence the asker, and holds the right itself."""
    if_you_guard_me: bool = False
    """The guard holds no right, but knows that it could only have lost it to the asker."""


class RightRules:
    """The rules that keep two members from holding the right for one partition.

    A class, so that a search can replace one rule by a weaker one and show what breaks.
    """

    def answer(self, holds_right: bool, own_guard: MemberId | None, asker: MemberId) -> GuardAnswer:
        """The answer of a guard that has not begun to fence the asker.

        Only a guard that holds the right may acknowledge: one that was fenced unawares may have
        been replaced, and the new guard may be fencing the asker. With one exception: a guard whose
        own guard is the asker can have been fenced by nobody else, and the asker knows whether it
        did. So two members that guard each other recover from a pause without the store.
        """
        return GuardAnswer(holds_right, if_you_guard_me=own_guard == asker)

    def dated(self, sent_at: float, received_at: float) -> float:
        """From when a proof counts. What was true when it was answered may have ended since."""
        del received_at
        return sent_at

    def takeover_wait(self, timing: MembershipTiming) -> float:
        """How long after it knows of the fence a taker waits.

        The fenced member's clock may run slow and the taker's fast by ``drift`` each.
        """
        drift = (1 + timing.drift) / (1 - timing.drift)
        return timing.right_seconds * drift + timing.margin_seconds

    def settled(self, expected: Revision, seen: Revision) -> bool:
        """Whether a write without an answer can have no effect any more beyond what is seen.

        A read that shows the old value settles nothing: the write may still be on its way, and
        would then take effect after its sender went on as if it had failed. Only a higher revision
        makes it impossible.
        """
        return seen > expected
