"""Which jobs have changes that are not stored yet."""

from __future__ import annotations

from collections import OrderedDict

from ..._ids import JobId


class ChangeLog:
    """Numbers the changes of jobs, and tells up to which number all are stored."""

    def __init__(self) -> None:
        """Nothing changed."""
        self._last = 0
        self._unstored: OrderedDict[JobId, int] = OrderedDict()
        self._in_flight: dict[JobId, int] = {}

    @property
    def last(self) -> int:
        """The number of the latest change."""
        return self._last

    @property
    def stored_to(self) -> int:
        """All changes up to this number are stored."""
        waiting = next(iter(self._unstored.values()), self._last + 1)
        flying = min(self._in_flight.values(), default=waiting)
        return min(waiting, flying) - 1

    def __len__(self) -> int:
        """How many jobs have changes to store."""
        return len(self._unstored)

    def __contains__(self, job: JobId) -> bool:
        """Whether a job has changes that may not be stored."""
        return job in self._unstored or job in self._in_flight

    def note(self, job: JobId) -> int:
        """A job has changed. Returns the number of the change."""
        self._last += 1
        self._unstored.setdefault(job, self._last)
        return self._last

    def take(self, most: int) -> tuple[JobId, ...]:
        """The jobs that wait longest; until ``stored`` or ``put_back`` they are on their way."""
        jobs = tuple(job for job, _ in zip(self._unstored, range(most), strict=False))
        for job in jobs:
            self._in_flight[job] = self._unstored.pop(job)
        return jobs

    def stored(self) -> None:
        """What was taken is stored."""
        self._in_flight.clear()

    def put_back(self) -> None:
        """What was taken may not be stored; it goes first next time."""
        for job in reversed(tuple(self._in_flight)):
            self._unstored[job] = self._in_flight[job]
            self._unstored.move_to_end(job, last=False)
        self._in_flight.clear()
