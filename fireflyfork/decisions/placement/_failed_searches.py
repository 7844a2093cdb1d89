"""Remembers recent searches that found no worker, so similar searches aren't repeated at once."""

from __future__ import annotations

from dataclasses import dataclass

from ..._machines import Resources
from ._classes import TaskClass
from ._worker_selection import InterferenceLimits

_RETENTION_SECONDS = 2.0
"""How long a failed search is remembered. Failed searches examine many workers, and this delay is
short compared to any batch task."""


@dataclass(frozen=True, slots=True)
class _FailedSearch:
    need: Resources
    max_slope: float
    """The slope limit of the search. A task that has waited longer has a higher limit, for which a
    new search may find a worker."""
    expires_at: float
    """Time at which the result of the search expires."""


class FailedSearches:
    """The sizes for which no worker was found recently.

    If no worker had room, a size applies to tasks of all classes, otherwise only to tasks of the
    class that was searched for.
    """

    def __init__(self) -> None:
        """Start without failed searches."""
        self._searches: dict[TaskClass | None, list[_FailedSearch]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """The number of searches that failed in this round."""
        return self._count

    def begin_round(self, now: float) -> None:
        """Reset the count and remove expired searches."""
        self._count = 0
        for key, searches in list(self._searches.items()):
            recent = [search for search in searches if search.expires_at > now]
            if recent:
                self._searches[key] = recent
            else:
                del self._searches[key]

    def add(
        self, need: Resources, task_class: TaskClass | None, limits: InterferenceLimits, now: float
    ) -> None:
        """Add a failed search.

        ``task_class`` is None if no worker had room, or the class of the task if workers had room
        but the effect on their services was over the limits.
        """
        search = _FailedSearch(need, limits.max_slope, now + _RETENTION_SECONDS)
        self._searches.setdefault(task_class, []).append(search)
        self._count += 1

    def covers(self, need: Resources, task_class: TaskClass, limits: InterferenceLimits) -> bool:
        """Return whether a recent search for at most ``need``, with no lower limits, failed."""
        if any(search.need.fits_in(need) for search in self._searches.get(None, ())):
            return True
        return any(
            limits.max_slope <= search.max_slope and search.need.fits_in(need)
            for search in self._searches.get(task_class, ())
        )
