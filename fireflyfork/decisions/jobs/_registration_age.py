"""Limits starts by the age of what an owner knows of the executors' registrations.

An executor that shuts down announces this in its registration. A start that reaches it later than
the notice would be lost with it. An owner whose watch of the registrations lags behind doesn't know
which executors are leaving, so its starts are valid for the rest of the notice only.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

START_VALID_MS = 1_000
"""Milliseconds for which a start is valid; carried out later, it is void. Answers take 1 to 45 ms.
A start that arrives seconds late could run at the same time as its replacement."""
MIN_START_VALID_MS = 250
"""A start that would be valid for less isn't sent: its answer takes up to 45 ms, and it may be
delayed by the event loops of the owner and a relay."""
NOTICE_MARGIN_MS = 200
"""Time that a watch's answer may take from the store. Its content is older by that much."""


@dataclass(frozen=True, slots=True)
class RegistrationAge:
    """How old an owner's knowledge of the registrations is."""

    known_at: float = inf
    """Time in seconds before which all changes are known."""
    is_behind: bool = False
    """Whether the store has more changes. False while the store doesn't answer: an outage of the
    store alone stops no service, and executors that leave during one can't announce it."""


def start_validity_ms(age: RegistrationAge, notice_seconds: float, now: float) -> int:
    """Return for how many milliseconds a start is valid; 0 if none must be sent.

    ``notice_seconds`` is the time for which a leaving executor still takes starts after its
    registration was changed.
    """
    if not age.is_behind:
        return START_VALID_MS
    left = (age.known_at + notice_seconds - now) * 1000 - NOTICE_MARGIN_MS
    if left < MIN_START_VALID_MS:
        return 0
    return int(min(START_VALID_MS, left))
