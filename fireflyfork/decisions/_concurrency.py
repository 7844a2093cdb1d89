"""An adaptive limit on the number of a target's slots in use at the same time.

The number of slots in the contract is the upper bound. If a target shares its processors with other
work, its last slots may add queueing inside the executor without adding throughput. A request is
better kept in the owner's queue then, where it can still be refused or sent to another target.

Entries don't use this limit yet; docs/design/overload.md describes how it misjudges a change in the
mix of requests.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_ANSWERS = 32
"""Number of answers averaged before each adjustment of the limit by one."""

SLOW_FACTOR = 2.0
"""The limit is lowered if the average latency exceeds the baseline by this factor."""

FAST_FACTOR = 1.5
"""The limit is raised if the average latency is below the baseline times this factor.

The gap to ``SLOW_FACTOR`` is the hysteresis that prevents oscillation.
"""

BASELINE_DRIFT = 1.02
"""The baseline grows by this factor with each window, so that it adapts to a lasting change."""

MIN_LIMIT_DIVISOR = 4
"""The limit never falls below the number of slots divided by this."""


@dataclass(frozen=True, slots=True)
class ConcurrencyLimit:
    """The concurrency limit of one target, adjusted after each window of answers."""

    slots: int
    limit: int
    baseline_seconds: float = 0.0
    """Lowest average latency of a window, slowly aged; 0 before the first window ends."""
    sum_seconds: float = 0.0
    answers: int = 0
    """Number of answers in the current window."""

    @classmethod
    def initial(cls, slots: int) -> ConcurrencyLimit:
        """Return a limit that allows all slots."""
        return cls(slots, slots)

    def answered(self, seconds: float) -> ConcurrencyLimit:
        """Record an answer that took ``seconds``."""
        total, answers = self.sum_seconds + seconds, self.answers + 1
        if answers < WINDOW_ANSWERS:
            return ConcurrencyLimit(self.slots, self.limit, self.baseline_seconds, total, answers)
        return self._after_window(total / answers)

    def _after_window(self, average: float) -> ConcurrencyLimit:
        aged = self.baseline_seconds * BASELINE_DRIFT
        baseline = min(average, aged) if aged > 0 else average
        limit = self.limit
        if average > SLOW_FACTOR * baseline:
            limit = max(limit - 1, 1, self.slots // MIN_LIMIT_DIVISOR)
        elif average < FAST_FACTOR * baseline:
            limit = min(limit + 1, self.slots)
        return ConcurrencyLimit(self.slots, limit, baseline)
