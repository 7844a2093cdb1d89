"""The share of running batch tasks that may be evicted for tail latency."""

from __future__ import annotations

from ..._contracts import Weights

_MAX_SHARE_PER_HOUR = 0.3


def latency_share_per_hour(weights: Weights) -> float:
    """Return the share of running batch tasks that may be evicted per hour for tail latency."""
    total = weights.tail_latency + weights.evictions
    if total <= 0.0:
        return 0.0
    return _MAX_SHARE_PER_HOUR * weights.tail_latency / total
