"""Limits evictions to a share of the running batch tasks per hour, plus a small burst."""

from __future__ import annotations

from ..._contracts import Weights

_SHARE_PER_HOUR_WHEN_LATENCY_IS_ALL = 0.3
_LEAST_BURST = 2.0
_BURST_HOURS = 0.05
"""Tokens of this many hours can be saved up on top of the minimum burst."""


class EvictionBudget:
    """A token bucket that is refilled in proportion to running batch tasks and elapsed time."""

    def __init__(self, least_burst: float = _LEAST_BURST) -> None:
        """Start with ``min_burst`` tokens, which can always be saved up, even by a small fleet."""
        self._least_burst = least_burst
        self._tokens = least_burst
        self._filled_at: float | None = None

    @property
    def tokens(self) -> float:
        """The number of evictions that are allowed now."""
        return self._tokens

    def refill(self, now: float, running: int, share_per_hour: float) -> None:
        """Add tokens for the time since the last call.

        Per hour, ``share_per_hour`` of the ``running`` batch tasks may be evicted.
        """
        rate = running * share_per_hour
        if self._filled_at is not None and now > self._filled_at:
            self._tokens += rate * (now - self._filled_at) / 3600.0
        self._filled_at = now
        self._tokens = min(self._tokens, self._least_burst + rate * _BURST_HOURS)

    def take(self) -> bool:
        """Consume one token. Return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def latency_share_per_hour(weights: Weights) -> float:
    """Return the share of running batch tasks that may be evicted per hour for tail latency."""
    total = weights.tail_latency + weights.evictions
    if total <= 0.0:
        return 0.0
    return _SHARE_PER_HOUR_WHEN_LATENCY_IS_ALL * weights.tail_latency / total
