"""The delay before something that has failed is tried again."""

from __future__ import annotations


class RetryDelay:
    """A delay that doubles with each failure, and starts anew after a time without one."""

    def __init__(self, shortest: float, longest: float, stable: float) -> None:
        """Set the limits of the delay, and the time without a failure, all in seconds."""
        self._shortest = shortest
        self._longest = longest
        self._stable = stable
        self._next = shortest

    def after_failure(self, worked_seconds: float) -> float:
        """Return the delay in seconds after a failure that came after ``worked_seconds``."""
        if worked_seconds >= self._stable:
            self._next = self._shortest
        delay = self._next
        self._next = min(2 * delay, self._longest)
        return delay
