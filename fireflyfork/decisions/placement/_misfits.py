"""What found no place lately, so that the like of it isn't searched for again at once."""

from __future__ import annotations

from dataclasses import dataclass

from ..._machines import Resources
from ._choice import Limits
from ._classes import TaskClass

_REMEMBERED_SECONDS = 2.0
"""A search in vain looks at many workers; the wait is short beside any batch task."""


@dataclass(frozen=True, slots=True)
class _Misfit:
    need: Resources
    harm: float
    """The limit it was held to; work that has waited longer may find a place all the same."""
    until: float


class Misfits:
    """Sizes without a place: for all work when there was no room, else for one class."""

    def __init__(self) -> None:
        """Start without any."""
        self._sizes: dict[TaskClass | None, list[_Misfit]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """How many searches of this round were in vain."""
        return self._count

    def begin_round(self, now: float) -> None:
        """Forget what was long ago."""
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
        """Note a size; ``task_class`` when only that class was kept away by services."""
        misfit = _Misfit(need, limits.harm, now + _REMEMBERED_SECONDS)
        self._sizes.setdefault(task_class, []).append(misfit)
        self._count += 1

    def cover(self, need: Resources, task_class: TaskClass, limits: Limits) -> bool:
        """Whether something no larger, and no more patient, has found no place."""
        if any(misfit.need.fits_in(need) for misfit in self._sizes.get(None, ())):
            return True
        return any(
            limits.harm <= misfit.harm and misfit.need.fits_in(need)
            for misfit in self._sizes.get(task_class, ())
        )
