"""Changes of one term of ownership on their way to the store, and who waits for them."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from ..decisions import DurableChange


class UnstoredChanges:
    """The changes of one term that wait for the store, numbered from 1 in their order."""

    def __init__(self) -> None:
        """None yet."""
        self._waiting: list[DurableChange] = []
        self._last = 0
        self._stored = 0
        self._progressed = trio.Event()

    @property
    def last(self) -> int:
        """The number of the last change."""
        return self._last

    @property
    def stored(self) -> int:
        """The number of the last change that is stored, with all before it."""
        return self._stored

    def __len__(self) -> int:
        """How many wait and are not being stored."""
        return len(self._waiting)

    def append(self, changes: Iterable[DurableChange]) -> None:
        """Add changes behind the others."""
        before = len(self._waiting)
        self._waiting.extend(changes)
        self._last += len(self._waiting) - before

    def take(self, most: int) -> tuple[DurableChange, ...]:
        """The first of them, to be stored."""
        taken = tuple(self._waiting[:most])
        del self._waiting[:most]
        return taken

    def note_stored(self, count: int) -> None:
        """So many more have been stored, in their order."""
        self._stored += count
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Have all that wait look again, also where the term has ended."""
        self._progressed.set()
        self._progressed = trio.Event()

    async def progressed(self) -> None:
        """Return when more is stored or the term has ended."""
        await self._progressed.wait()
