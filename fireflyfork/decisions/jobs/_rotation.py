"""Takes turns among the items of a list, a few at a time."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

_Item = TypeVar("_Item")


class Rotation:
    """Bounds the work of one check while every item gets its turn in a later one."""

    def __init__(self, count: int) -> None:
        """Take at most ``count`` items at a time."""
        self._count = count
        self._first = 0

    def next_items(self, items: Sequence[_Item]) -> Sequence[_Item]:
        """Return the items that follow those of the last call; the list may change in between."""
        if len(items) <= self._count:
            return items
        first = self._first % len(items)
        self._first = first + self._count
        return [*items[first:], *items[:first]][: self._count]
