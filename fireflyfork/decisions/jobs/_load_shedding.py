"""Load shedding: which work an owner skips while it is short of CPU time.

An owner that falls behind renews leases late and processes ends late, which costs more than the
work that it could postpone. Work that can wait is skipped in a fixed order until the event loop is
on time again.
"""

from __future__ import annotations

from enum import IntEnum

ARRANGEMENT_LAG_SECONDS = 0.15
LEARNING_LAG_SECONDS = 0.3
POLLS_LAG_SECONDS = 0.5
RESUME_SHARE = 0.5
"""Skipped work is resumed when the lag falls below this share of the lag at which it was
skipped."""


class Shed(IntEnum):
    """The work that is skipped; each level includes the levels below it."""

    NOTHING = 0
    ARRANGEMENT = 1
    """Skip the search for a better arrangement of serving tasks, which would only pay off later."""
    LEARNING = 2
    """Don't learn from polls which images disturb which; paces follow what is already known."""
    POLLS = 3
    """Poll executors less often. They still list ends at once, and leases outlast the longer
    interval; paces follow the load of services with more delay."""


_LAGS = {
    Shed.ARRANGEMENT: ARRANGEMENT_LAG_SECONDS,
    Shed.LEARNING: LEARNING_LAG_SECONDS,
    Shed.POLLS: POLLS_LAG_SECONDS,
}


def shed_level(lag: float, previous: Shed) -> Shed:
    """Return the level for an event loop that is ``lag`` seconds late, given the level until now.

    Hysteresis keeps the level from changing with each lag, since skipping work ends the lag.
    """
    newly_skipped = [level for level, bound in _LAGS.items() if lag > bound]
    still_skipped = [
        level for level, bound in _LAGS.items() if level <= previous and lag > RESUME_SHARE * bound
    ]
    return max((*newly_skipped, *still_skipped), default=Shed.NOTHING)
