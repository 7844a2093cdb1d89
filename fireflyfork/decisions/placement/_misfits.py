"""What found no place this round, so that larger work of the kind isn't tried again."""

from __future__ import annotations

from ..._machines import Resources
from ._classes import TaskClass


class Misfits:
    """Sizes without a place: for all work when there was no room, else for one class."""

    def __init__(self) -> None:
        """Start a round."""
        self._sizes: dict[TaskClass | None, list[Resources]] = {}
        self._count = 0

    @property
    def count(self) -> int:
        """How many searches were in vain."""
        return self._count

    def add(self, need: Resources, task_class: TaskClass | None) -> None:
        """Note a size; ``task_class`` when only that class was kept away by services."""
        self._sizes.setdefault(task_class, []).append(need)
        self._count += 1

    def cover(self, need: Resources, task_class: TaskClass) -> bool:
        """Whether something no larger has already found no place."""
        for key in (None, task_class):
            if any(size.fits_in(need) for size in self._sizes.get(key, ())):
                return True
        return False
