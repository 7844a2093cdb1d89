"""Learns how much room short tasks need, by queue, from the jobs that arrive."""

from __future__ import annotations

import math
from collections import defaultdict

from ...._ids import QueueName
from .._policies import SHORT_TASK_SHARE
from .._runs import Job

WINDOW_SECONDS = 28
"""Period over which demand is observed: two waves of 11 to 13 s, and the second that is counted at
present."""
MIN_OBSERVED_SECONDS = 6
"""A first arrival counts as one in this many seconds."""
SPREAD_WEIGHT = 2.0
"""Standard deviations of the demand of a second that are kept free above its mean: the peak of a
wave lies within."""
MIN_SHARE = 0.02
MAX_SHARE = 0.30
"""Bounds of the share of all processors."""
MIN_CHANGE = 0.01
"""Smallest change of the share."""
LOWER_AFTER_SECONDS = 13.0
"""The share is lowered only when less has been enough for a whole wave."""
MAX_OCCURRENCES = 64
"""Occurrences of one job that are counted."""


class ShortTaskDemand:
    """The work of short tasks with a reservation, by queue and second of arrival."""

    def __init__(self, urgent_only: bool = False) -> None:
        """Initialize without demand; with ``urgent_only`` only queues of priority 0 count."""
        self._urgent_only = urgent_only
        self._work: defaultdict[QueueName, dict[int, float]] = defaultdict(dict)
        """By queue and second since 1970: work that is due, in millicore-seconds."""
        self._observed_since: int | None = None
        self._share = 0.0 if urgent_only else SHORT_TASK_SHARE
        self._enough_since: float | None = None
        """Since when a lower share would have been enough; None if it wouldn't."""
        self._enough = 0.0
        """The highest share that was needed since then."""

    @property
    def share(self) -> float:
        """The share of all processors to keep free."""
        return self._share

    def add(self, job: Job) -> None:
        """Count the work of a job that was accepted."""
        if self._urgent_only and job.queue.priority:
            return
        work = sum(
            step.count * step.reserved_cpu_millis * step.estimate_ms / 1000
            for step in job.spec.steps
            if not step.long_running
        )
        if not work:
            return
        by_second = self._work[job.spec.queue]
        for occurrence in range(min(job.spec.occurrence_count, MAX_OCCURRENCES)):
            due_ms = max(job.spec.accepted_ms, job.spec.due_ms(occurrence))
            by_second[due_ms // 1000] = by_second.get(due_ms // 1000, 0.0) + work

    def update(self, total_millis: int, now: float, now_ms: int) -> None:
        """Set the share for a fleet of ``total_millis`` processors, in thousandths of a core.

        It rises at once, and falls when less has been enough for a while.
        """
        second = now_ms // 1000
        if self._observed_since is None:
            self._observed_since = second
        self._forget(second - WINDOW_SECONDS)
        if not total_millis:
            return
        observed = second - self._observed_since
        wanted = self._needed_millis(second, observed) / total_millis
        is_new = observed < WINDOW_SECONDS
        lowest = SHORT_TASK_SHARE if is_new and not self._urgent_only else MIN_SHARE
        if self._urgent_only and not self._work:
            lowest = 0.0
        self._move_towards(min(MAX_SHARE, max(lowest, wanted)), now)

    def _move_towards(self, wanted: float, now: float) -> None:
        if wanted > self._share + MIN_CHANGE:
            self._share, self._enough_since = wanted, None
        elif wanted > self._share - MIN_CHANGE:
            self._enough_since = None
        elif self._enough_since is None:
            self._enough_since, self._enough = now, wanted
        else:
            self._enough = max(self._enough, wanted)
            if now - self._enough_since >= LOWER_AFTER_SECONDS:
                self._share, self._enough_since = self._enough, None

    def _needed_millis(self, second: int, observed: int) -> float:
        """Return the processors that the queues need together, in thousandths of a core."""
        count = min(max(MIN_OBSERVED_SECONDS, observed), WINDOW_SECONDS - 1)
        return sum(_mean_and_spread(work, second, count) for work in self._work.values())

    def _forget(self, before: int) -> None:
        for queue, work in tuple(self._work.items()):
            for second in [key for key in work if key < before]:
                del work[second]
            if not work:
                del self._work[queue]


def _mean_and_spread(work: dict[int, float], second: int, count: int) -> float:
    """Return the mean work of the last ``count`` whole seconds, and its spread above the mean."""
    seen = [work.get(second - 1 - age, 0.0) for age in range(count)]
    mean = sum(seen) / count
    variance = sum((value - mean) ** 2 for value in seen) / count
    return mean + SPREAD_WEIGHT * math.sqrt(variance)
