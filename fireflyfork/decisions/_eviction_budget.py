"""Limits evictions to a share of the running tasks per hour, plus a small burst."""

from __future__ import annotations

_MIN_BURST = 2.0
_BURST_HOURS = 0.05
"""Tokens of this many hours can be saved up on top of the minimum burst."""


class EvictionBudget:
    """A token bucket that is refilled in proportion to running tasks and elapsed time."""

    def __init__(self, min_burst: float = _MIN_BURST, burst_hours: float = _BURST_HOURS) -> None:
        """Start with ``min_burst`` tokens, which can always be saved up, even by a small fleet.

        The tokens of ``burst_hours`` can be saved up on top of these.
        """
        self._min_burst = min_burst
        self._burst_hours = burst_hours
        self._tokens = min_burst
        self._refilled_at: float | None = None

    @property
    def tokens(self) -> float:
        """The number of evictions that are allowed now."""
        return self._tokens

    def refill(self, now: float, running: int, share_per_hour: float) -> None:
        """Add tokens for the time since the last call.

        Per hour, ``share_per_hour`` of the ``running`` tasks may be evicted.
        """
        rate = running * share_per_hour
        if self._refilled_at is not None and now > self._refilled_at:
            self._tokens += rate * (now - self._refilled_at) / 3600.0
        self._refilled_at = now
        self._tokens = min(self._tokens, self._min_burst + rate * self._burst_hours)

    def take(self) -> bool:
        """Consume one token. Return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
