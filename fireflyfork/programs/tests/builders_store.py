"""A store in memory that fails as a test asks it to."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum

import trio

from ... import Revision, StoreConflictError, StoreUnavailableError
from ...adapters import Store, StoredValue


class Fault(Enum):
    """A fault of one call to the store."""

    NONE = "none"
    REFUSED = "refused"
    """The call has no effect and no answer."""
    ANSWER_LOST = "answer lost"
    """The call takes effect, and its answer is lost."""


class MemoryStore(Store):
    """Compare-and-swap on a dictionary. Each call takes the next of ``faults``."""

    def __init__(
        self, faults: Iterable[Fault] = (), latency: Callable[[], float] = lambda: 0.0
    ) -> None:
        """Once ``faults`` are used up, nothing fails. ``latency`` gives one-way seconds."""
        self._latency = latency
        self.faults = deque(faults)
        self.values: dict[str, StoredValue] = {}
        self.after_next_call: Callable[[], Awaitable[None]] | None = None
        """Called once, right after the next call took effect, to simulate another operator."""
        self._revision = 0

    async def read(self, key: str) -> StoredValue | None:
        """See Store."""
        results: list[StoredValue | None] = []
        await self._call(lambda: results.append(self.values.get(key)))
        return results[0]

    async def write(self, key: str, value: bytes, expected: Revision) -> Revision:
        """See Store."""

        revisions: list[Revision] = []

        def put() -> None:
            self._compare(key, expected)
            self._revision += 1
            revisions.append(Revision(self._revision))
            self.values[key] = StoredValue(value, revisions[0])

        await self._call(put)
        return revisions[0]

    async def delete(self, key: str, expected: Revision) -> None:
        """See Store."""

        def remove() -> None:
            self._compare(key, expected)
            del self.values[key]

        await self._call(remove)

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """See Store."""
        results: list[str] = []
        await self._call(lambda: results.extend(sorted(self.values)))
        return tuple(key for key in results if key.startswith(prefix))

    async def wait(self, key: str, after: Revision, seconds: float) -> StoredValue | None:
        """See Store; this one never waits."""
        stored = await self.read(key)
        return stored if stored is not None and stored.revision > after else None

    def _compare(self, key: str, expected: Revision) -> None:
        stored = self.values.get(key)
        if expected != (stored.revision if stored is not None else 0):
            raise StoreConflictError(key)

    async def _call(self, effect: Callable[[], None]) -> None:
        await trio.sleep(self._latency())
        fault = self.faults.popleft() if self.faults else Fault.NONE
        if fault is Fault.REFUSED:
            raise StoreUnavailableError("switched down")
        effect()
        await self._interfere()
        await trio.sleep(self._latency())
        if fault is Fault.ANSWER_LOST:
            raise StoreUnavailableError("the answer was lost")

    async def _interfere(self) -> None:
        if self.after_next_call is not None:
            action, self.after_next_call = self.after_next_call, None
            await action()
