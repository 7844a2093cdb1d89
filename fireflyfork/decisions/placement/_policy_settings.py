"""Switches for the parts of the policy, which allow measuring the benefit of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Relief(Enum):
    """How a service that is slowed by batch tasks is relieved."""

    NONE = "none"
    EVICT_AT_ONCE = "evict-at-once"
    """Evict the largest neighbour after the first report of high latency, without a budget."""
    THROTTLE_FIRST = "throttle-first"
    """Throttle first, then evict if the gain exceeds the cost, within the budget."""


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """Selects the parts of the policy that are enabled."""

    learns_sizes: bool = True
    learns_interference: bool = True
    relief: Relief = Relief.THROTTLE_FIRST
    keeps_urgent_headroom: bool = True
