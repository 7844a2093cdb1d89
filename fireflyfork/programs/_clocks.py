"""The clocks that programs read, so that tests can put their own in place."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Time for decisions."""

    @abstractmethod
    def now(self) -> float:
        """Seconds on a clock that never jumps and goes on while the instance is suspended."""

    @abstractmethod
    def unix_ms(self) -> int:
        """Milliseconds since 1970, as far as this instance knows."""


class SystemClock(Clock):
    """The clocks of the operating system.

    The ordinary steady clock stands still while an instance is suspended. Leases go on meanwhile, so
    an owner that woke up would take leases for valid that have long lapsed.
    """

    def now(self) -> float:
        """See Clock."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """See Clock."""
        return time.time_ns() // 1_000_000
