"""How many of a target's slots are worth using at a time.

The contract's slots are the ceiling. Where a target shares its processors with other work, the
last slots may add waiting inside the executor and no throughput; a request is better off in the
owner's queue then, where it can still be refused or sent elsewhere.

The entry does not use it yet: docs/design/overload.md tells what it gets wrong when the kinds of
requests change.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW = 32
"""Answers that are averaged before the limit moves by one."""

SLOW_FACTOR = 2.0
"""Lower the limit when answers take so many times as long as the best known average."""

QUICK_FACTOR = 1.5
"""Raise it again below this; the gap to SLOW_FACTOR keeps it from swinging."""

BASELINE_DRIFT = 1.02
"""The best known average ages by this with each window, so that a lasting change is accepted."""

SMALLEST_SHARE = 4
"""The limit does not fall below one in so many of the slots."""


@dataclass(frozen=True, slots=True)
class ConcurrencyLimit:
    """The learned limit of one target."""

    slots: int
    limit: int
    baseline_seconds: float = 0.0
    """The best known average; 0 before the first window ends."""
    sum_seconds: float = 0.0
    answers: int = 0
    """Answers in the present window."""

    @classmethod
    def initial(cls, slots: int) -> ConcurrencyLimit:
        """All slots, until answers say otherwise."""
        return cls(slots, slots)

    def answered(self, seconds: float) -> ConcurrencyLimit:
        """Learn from one answer that took so long."""
        total, answers = self.sum_seconds + seconds, self.answers + 1
        if answers < WINDOW:
            return ConcurrencyLimit(self.slots, self.limit, self.baseline_seconds, total, answers)
        return self._after_window(total / answers)

    def _after_window(self, average: float) -> ConcurrencyLimit:
        aged = self.baseline_seconds * BASELINE_DRIFT
        baseline = min(average, aged) if aged > 0 else average
        limit = self.limit
        if average > SLOW_FACTOR * baseline:
            limit = max(limit - 1, 1, self.slots // SMALLEST_SHARE)
        elif average < QUICK_FACTOR * baseline:
            limit = min(limit + 1, self.slots)
        return ConcurrencyLimit(self.slots, limit, baseline)
