"""What an owner leaves undone while it is short of processor time.

An owner that falls behind renews leases late and takes ends in late, which costs more than what it could put
off. What can wait is left out in a fixed order, until the event loop is on time again.
"""

from __future__ import annotations

from enum import IntEnum

ARRANGEMENT_LAG_SECONDS = 0.15
LEARNING_LAG_SECONDS = 0.3
POLLS_LAG_SECONDS = 0.5
RESUMED_SHARE = 0.5
"""What was left out is taken up again below this share of the lag that stopped it."""


class Shed(IntEnum):
    """What is left out; each level includes those below it."""

    NOTHING = 0
    ARRANGEMENT = 1
    """No look for a better arrangement of services: it would only be of use later."""
    LEARNING = 2
    """Polls teach nothing about which images disturb which; paces go by what is known."""
    POLLS = 3
    """Executors are asked less often. They list ends at once all the same, and leases outlast it; paces follow
    the load of services later."""


_LAGS = {
    Shed.ARRANGEMENT: ARRANGEMENT_LAG_SECONDS,
    Shed.LEARNING: LEARNING_LAG_SECONDS,
    Shed.POLLS: POLLS_LAG_SECONDS,
}


def shed_at(lag: float, before: Shed) -> Shed:
    """What to leave out when the loop is so many seconds late, if ``before`` has been left out until now.

    Hysteresis keeps the level from changing with each lag, since what is left out ends the lag.
    """
    left_out = [level for level, bound in _LAGS.items() if lag > bound]
    kept = [
        level for level, bound in _LAGS.items() if level <= before and lag > RESUMED_SHARE * bound
    ]
    return max((*left_out, *kept), default=Shed.NOTHING)
