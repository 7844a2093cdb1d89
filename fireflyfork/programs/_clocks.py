"""Clocks of the programs, which tests can replace."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Interface of the time sources that decisions use."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds on a monotonic clock that keeps running while the instance is suspended."""

    @abstractmethod
    def unix_ms(self) -> int:
        """Return milliseconds since 1970, according to this instance."""


class SystemClock(Clock):
    """The clocks of the operating system.

    The usual monotonic clock stops while an instance is suspended. Leases keep running, so a
    resumed owner would consider leases valid that lapsed long ago.
    """

    def now(self) -> float:
        """See Clock."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """See Clock."""
        return time.time_ns() // 1_000_000
