"""Remembers recent searches that found no worker, so similar searches aren't repeated at once."""

from __future__ import annotations

from dataclasses import dataclass

from ..._machines import Resources
from ._choice import Limits
from ._classes import TaskClass

_REMEMBERED_SECONDS = 2.0
"""How long a failed search is remembered. Failed searches examine many workers, and this delay is
short compared to any batch task."""


@dataclass(frozen=True, slots=True)
class _Misfit:
    need: Resources
    harm: float
    """The slope limit of the search. A task that has waited longer has a higher limit, so it may
    find a worker nevertheless."""
    until: float


class Misfits:
    """The sizes for which no worker was found recently.

    If no worker had room, a size applies to tasks of all classes, otherwise only to tasks of the
    class that was searched for.
    """

    def __init__(self) -> None:
        """Start without failed searches."""
        self._sizes: dict[TaskClass | None, list[_Misfit]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """The number of searches that failed in this round."""
        return self._count

    def begin_round(self, now: float) -> None:
        """Reset the count and remove expired searches."""
        self._count = 0
        for key, sizes in list(self._sizes.items()):
            recent = [misfit for misfit in sizes if misfit.until > now]
            if recent:
                self._sizes[key] = recent
            else:
                del self._sizes[key]

    def add(
        self, need: Resources, task_class: TaskClass | None, limits: Limits, now: float
    ) -> None:
        """Add a failed search.

        ``task_class`` is None if no worker had room, or the class of the task if workers had room
        but the effect on their services was over the limits.
        """
        misfit = _Misfit(need, limits.harm, now + _REMEMBERED_SECONDS)
        self._sizes.setdefault(task_class, []).append(misfit)
        self._count += 1

    def cover(self, need: Resources, task_class: TaskClass, limits: Limits) -> bool:
        """Return whether a search for no more than ``need`` failed with limits at least as high."""
        if any(misfit.need.fits_in(need) for misfit in self._sizes.get(None, ())):
            return True
        return any(
            limits.harm <= misfit.harm and misfit.need.fits_in(need)
            for misfit in self._sizes.get(task_class, ())
        )
