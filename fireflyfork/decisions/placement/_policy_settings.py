"""What of the policy can be switched, so that a measurement can tell what each part is worth."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Relief(Enum):
    """What is done for a service that batch work slows."""

    NONE = "none"
    EVICT_AT_ONCE = "evict-at-once"
    """Evict the largest neighbour at the first slow report, without a budget."""
    THROTTLE_FIRST = "throttle-first"
    """Throttle, then evict what pays for itself, under the budget."""


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """The parts of the policy that are in use."""

    learns_sizes: bool = True
    learns_interference: bool = True
    relief: Relief = Relief.THROTTLE_FIRST
    keeps_urgent_headroom: bool = True
