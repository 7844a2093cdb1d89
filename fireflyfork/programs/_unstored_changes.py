"""Changes of one term of ownership that wait for the store, and notification of their waiters."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from ..decisions import DurableChange


class UnstoredChanges:
    """Queue of the changes of one term that aren't stored yet, numbered from 1 in order."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: list[DurableChange] = []
        self._last = 0
        self._stored = 0
        self._progressed = trio.Event()

    @property
    def last(self) -> int:
        """Number of the last change."""
        return self._last

    @property
    def stored(self) -> int:
        """Number of the last change that is stored together with all changes before it."""
        return self._stored

    def __len__(self) -> int:
        """Return the number of waiting changes, without the changes taken to be stored."""
        return len(self._waiting)

    def append(self, changes: Iterable[DurableChange]) -> None:
        """Append changes to the queue."""
        previous_length = len(self._waiting)
        self._waiting.extend(changes)
        self._last += len(self._waiting) - previous_length

    def take(self, limit: int) -> tuple[DurableChange, ...]:
        """Remove and return the first ``limit`` changes, to be stored."""
        taken = tuple(self._waiting[:limit])
        del self._waiting[:limit]
        return taken

    def note_stored(self, count: int) -> None:
        """Record that ``count`` more changes have been stored, in order."""
        self._stored += count
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Wake all waiters to check again, also when the term has ended."""
        self._progressed.set()
        self._progressed = trio.Event()

    async def progressed(self) -> None:
        """Wait until more changes are stored or the term has ended."""
        await self._progressed.wait()
