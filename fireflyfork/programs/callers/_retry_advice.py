"""When callers should come back after a refusal."""

from __future__ import annotations

SHORT_SECONDS = 1
"""The smallest value of the Retry-After header. A change of owner is over by then."""
LONG_SECONDS = 2
"""An outage of the store lasts up to five seconds, and callers try five times at most. With longer
pauses, their last tries come after the end of the outage."""
LONG_OUTAGE_SECONDS = 1.0
"""Age of an outage from which callers are asked for the longer pause."""


class RetryAdvice:
    """Chooses the pause before a caller's next try from the age of the store's outage."""

    def __init__(self) -> None:
        """Initialize without an outage."""
        self._refusing_since: float | None = None

    def note_answer(self) -> None:
        """Record that the store has answered."""
        self._refusing_since = None

    def note_refusal(self, now: float) -> int:
        """Record a refusal that the store caused. Returns the caller's pause in seconds."""
        if self._refusing_since is None:
            self._refusing_since = now
        is_long = now - self._refusing_since >= LONG_OUTAGE_SECONDS
        return LONG_SECONDS if is_long else SHORT_SECONDS
