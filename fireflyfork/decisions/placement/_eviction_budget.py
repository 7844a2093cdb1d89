"""How many evictions are allowed: a share of the running work each hour, with a small burst."""

from __future__ import annotations

from ..._contracts import Weights

_SHARE_PER_HOUR_WHEN_LATENCY_IS_ALL = 0.3
_LEAST_BURST = 2.0
_BURST_HOURS = 0.05


class EvictionBudget:
    """A token bucket. Tokens come with the running batch tasks and the time that passes."""

    def __init__(self, least_burst: float = _LEAST_BURST) -> None:
        """Start with ``least_burst`` evictions, which a small fleet may always save up."""
        self._least_burst = least_burst
        self._tokens = least_burst
        self._filled_at: float | None = None

    @property
    def tokens(self) -> float:
        """Evictions allowed now."""
        return self._tokens

    def refill(self, now: float, running: int, share_per_hour: float) -> None:
        """Add that share of ``running`` batch tasks for each hour since the last call."""
        rate = running * share_per_hour
        if self._filled_at is not None and now > self._filled_at:
            self._tokens += rate * (now - self._filled_at) / 3600.0
        self._filled_at = now
        self._tokens = min(self._tokens, self._least_burst + rate * _BURST_HOURS)

    def take(self) -> bool:
        """Use one eviction if one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def latency_share_per_hour(weights: Weights) -> float:
    """The share of running batch tasks that may be evicted for latency in an hour."""
    total = weights.tail_latency + weights.evictions
    if total <= 0.0:
        return 0.0
    return _SHARE_PER_HOUR_WHEN_LATENCY_IS_ALL * weights.tail_latency / total
