"""Learns how long tasks really run, relative to the estimates of their callers."""

from __future__ import annotations

from .._runs import Run, Task
from .._stored_shares import ShareId
from ._shares import share_of

NEW_WEIGHT = 0.05
"""Weight of one ended run in the learned ratio of its share."""
MIN_RATIO, MAX_RATIO = 0.25, 4.0
"""Bounds of one run's ratio, so that a run that hung for long doesn't outweigh hundreds."""
MIN_SECONDS = 0.1
"""Shortest expected run time, about that of an order and the report of the end."""


class Durations:
    """The ratio of actual to estimated run time, by share."""

    def __init__(self) -> None:
        """Initialize without observations: estimates are taken to be right."""
        self._ratios: dict[ShareId, float] = {}

    def ratio(self, share: ShareId) -> float:
        """Return the learned ratio of a share; 1 without observations."""
        return self._ratios.get(share, 1.0)

    def seconds(self, task: Task) -> float:
        """Return the expected run time of a task."""
        return task.spec.estimate_ms / 1000 * self.ratio(share_of(task.job))

    def end(self, run: Run, now: float) -> float:
        """Return when a run is expected to end; infinite for a long-running task.

        A run that has taken longer than expected is expected to take twice as long, and so on.
        """
        if not run.is_active:
            return now
        if run.task.spec.long_running:
            return float("inf")
        expected = max(MIN_SECONDS, self.seconds(run.task))
        while run.ordered_at + expected < now:
            expected *= 2
        return run.ordered_at + expected

    def observe(self, run: Run, now: float) -> None:
        """Learn from a run that ended successfully."""
        if run.checkpoint or run.task.spec.long_running or not run.task.spec.estimate_ms:
            return
        actual = (now - run.ordered_at) * 1000 / run.task.spec.estimate_ms
        bounded = min(MAX_RATIO, max(MIN_RATIO, actual))
        share = share_of(run.task.job)
        self._ratios[share] = self.ratio(share) + NEW_WEIGHT * (bounded - self.ratio(share))

    def adopt(self, share: ShareId, ratio: float) -> None:
        """Continue with a ratio that an earlier owner stored."""
        self._ratios[share] = min(MAX_RATIO, max(MIN_RATIO, ratio))
