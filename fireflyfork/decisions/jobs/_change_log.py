"""Tracks which jobs have changes that are not stored yet."""

from __future__ import annotations

from collections import OrderedDict

from ..._ids import JobId


class ChangeLog:
    """Numbers the changes of jobs and tells up to which number all changes are stored."""

    def __init__(self) -> None:
        """Initialize with no changes."""
        self._last = 0
        self._unstored: OrderedDict[JobId, int] = OrderedDict()
        self._in_flight: dict[JobId, int] = {}

    @property
    def last(self) -> int:
        """The number of the latest change."""
        return self._last

    @property
    def stored_to(self) -> int:
        """The highest number up to which all changes are stored."""
        first_unstored = next(iter(self._unstored.values()), self._last + 1)
        first_in_flight = min(self._in_flight.values(), default=first_unstored)
        return min(first_unstored, first_in_flight) - 1

    def __len__(self) -> int:
        """Return the number of jobs with changes to store."""
        return len(self._unstored)

    def __contains__(self, job: JobId) -> bool:
        """Whether a job has changes that may not be stored yet."""
        return job in self._unstored or job in self._in_flight

    def record(self, job: JobId) -> int:
        """Record a change of a job. Returns the number of the change."""
        self._last += 1
        self._unstored.setdefault(job, self._last)
        return self._last

    def take(self, max_jobs: int) -> tuple[JobId, ...]:
        """Return up to ``max_jobs`` of the jobs that have waited longest.

        They stay in flight until ``stored`` or ``put_back`` is called.
        """
        jobs = tuple(job for job, _ in zip(self._unstored, range(max_jobs), strict=False))
        for job in jobs:
            self._in_flight[job] = self._unstored.pop(job)
        return jobs

    def mark_stored(self) -> None:
        """Mark the jobs in flight as stored."""
        self._in_flight.clear()

    def put_back(self) -> None:
        """Return the jobs in flight, which may not be stored, to the head of the queue."""
        for job in reversed(tuple(self._in_flight)):
            self._unstored[job] = self._in_flight[job]
            self._unstored.move_to_end(job, last=False)
        self._in_flight.clear()
