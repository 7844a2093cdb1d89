"""The outages of the store that an instance has seen, and when callers should return after them."""

from __future__ import annotations

import math
from collections import deque
from statistics import median

from ...._ids import JobId

MAX_OUTAGES = 16
"""Number of earlier outages whose lengths are remembered."""
MIN_RETRY_SECONDS = 1
"""The smallest value of Retry-After that makes a caller wait."""
SHORT_WAIT_SECONDS = 2.0
"""A wait that is allowed for every objective. Callers have few tries, and with waits of a second
all are used up in a short outage."""
MAX_WAIT_SHARE = 0.25
"""Longest wait as a share of the time within which a job should be done, so that a caller who returns
just before the end of an outage is served in time all the same."""
MAX_TIMEOUT_SHARE = 1 / 3
"""Longest wait as a share of the time for which callers go on trying, so that each has three tries."""
SPREAD = 0.5
"""Callers return within this share of the expected rest of the outage after its end."""
_ID_DIGITS = 8
_FRACTIONS = 1 << 4 * _ID_DIGITS


class OutageHistory:
    """The length of the present outage, and of earlier ones."""

    def __init__(self) -> None:
        """Start without outages."""
        self._lengths: deque[float] = deque(maxlen=MAX_OUTAGES)
        self._began_at: float | None = None
        self._is_general = False

    def observe(self, is_responsive: bool, others_reach_it: bool, now: float) -> None:
        """Record whether the store answers this instance at ``now``, in seconds.

        ``others_reach_it`` tells whether other instances are known to reach the store. Only outages
        for all instances are remembered.
        """
        if is_responsive:
            if self._began_at is not None and self._is_general:
                self._lengths.append(now - self._began_at)
            self._began_at = None
        elif self._began_at is None:
            self._began_at = now
        self._is_general = not (is_responsive or others_reach_it)

    def length(self, now: float) -> float:
        """Return how long the present outage has lasted in seconds; 0 if there is none."""
        return now - self._began_at if self._began_at is not None else 0.0

    def expected_rest(self, now: float) -> float:
        """Return the expected time in seconds until the outage ends.

        That is the median of the earlier outages that lasted longer than the present one so far.
        Without any, it is expected to last as long again as it has, as in an exponential backoff.
        """
        length = self.length(now)
        longer = [earlier for earlier in self._lengths if earlier > length]
        return median(longer) - length if longer else length

    def retry_seconds(
        self, job: JobId, allowed_seconds: float, now: float, timeout_seconds: float = math.inf
    ) -> int:
        """Return the value of Retry-After for a job that is refused during an outage.

        Callers return spread by the ids of their jobs. None waits longer than a quarter of
        ``allowed_seconds``, the time within which its job should be done, or than
        ``SHORT_WAIT_SECONDS`` of it if that is more, nor than a third of ``timeout_seconds``, after
        which callers give up. While other instances reach the store, callers return soon: they will
        reach another instance.
        """
        if not self._is_general:
            return MIN_RETRY_SECONDS
        longest = min(
            allowed_seconds,
            max(SHORT_WAIT_SECONDS, MAX_WAIT_SHARE * allowed_seconds),
            MAX_TIMEOUT_SHARE * timeout_seconds,
        )
        seconds = self.expected_rest(now) * (1 + SPREAD * _fraction(job))
        return max(MIN_RETRY_SECONDS, math.floor(min(seconds, longest)))


def _fraction(job: JobId) -> float:
    """Return a number from 0 to 1 that is the same for each attempt of a job."""
    return int(job[-_ID_DIGITS:], 16) / _FRACTIONS
