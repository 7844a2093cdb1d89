"""Sorts ended jobs into size classes by their rank among recent jobs of their queue."""

from __future__ import annotations

from collections import deque

MAX_RECENT = 200
"""Number of recent jobs of a queue among which a job is ranked."""


class SizeClasses:
    """The estimated work of recent jobs, by queue."""

    def __init__(self) -> None:
        """Initialize without jobs."""
        self._recent: dict[str, deque[int]] = {}

    def classify(self, queue: str, work: int) -> str:
        """Add a job and return its class: ``largest_tenth``, ``fifth_below`` or ``rest``."""
        recent = self._recent.setdefault(queue, deque(maxlen=MAX_RECENT))
        larger = sum(other > work for other in recent)
        recent.append(work)
        if larger < 0.1 * len(recent):
            return "largest_tenth"
        return "fifth_below" if larger < 0.3 * len(recent) else "rest"
