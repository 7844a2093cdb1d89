"""Store clients whose writes are lost, delayed or repeated as the test chooses."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from contextlib import suppress
from enum import Enum
from random import Random

import trio

from fireflyfork_standins.scheduling import StandInStore

from ...._errors import (
    LeaseEndedError,
    StoreRefusedError,
    StoreUnavailableError,
    TransactionConflictError,
)
from ...._ids import LeaseId, Revision
from ....adapters import CoordinationStore, Put, StoreChanges, StoredItem, StoreListing


class WriteBehavior(Enum):
    """How the store handles a write."""

    DONE = "done"
    REFUSED = "refused"
    DONE_UNANSWERED = "done, without an answer"
    LATE = "no answer, and carried out later if its condition still holds"
    NEVER = "no answer, and never carried out"
    TWICE = "done, and once more later"
    CANCELLED = "done, and whoever waited is gone"


_DELAYED_WRITES = (WriteBehavior.LATE, WriteBehavior.TWICE)


class FaultyStore(CoordinationStore):
    """A client that handles writes as ``behavior`` says."""

    def __init__(self) -> None:
        """Create an empty store that executes all writes."""
        self.behavior = WriteBehavior.DONE
        self.backing = StandInStore(Random(1))
        self._delayed: deque[tuple[dict[str, Revision], tuple[Put, ...]]] = deque()

    @property
    def is_responsive(self) -> bool:
        """See CoordinationStore."""
        return True

    def execute_delayed(self) -> None:
        """Execute the oldest delayed write, if there is one."""
        if self._delayed:
            self._try(*self._delayed.popleft())

    async def read(self, key: str) -> StoredItem | None:
        """See CoordinationStore."""
        return self.backing.get(key)

    async def list(self, prefix: str) -> StoreListing:
        """See CoordinationStore."""
        return StoreListing(self.backing.items_under(prefix), self.backing.revision)

    async def changes(self, prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
        """See CoordinationStore."""
        return StoreChanges(self.backing.changes_after(prefix, after), self.backing.revision)

    async def commit(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Revision:
        """See CoordinationStore."""
        behavior = self.behavior
        if behavior is WriteBehavior.REFUSED:
            raise StoreRefusedError("refused by the test")
        if behavior in _DELAYED_WRITES:
            self._delayed.append((expected, puts))
        if behavior in (WriteBehavior.LATE, WriteBehavior.NEVER):
            raise StoreUnavailableError("no answer")
        if behavior is WriteBehavior.DONE_UNANSWERED:
            self._try(expected, puts)
            raise StoreUnavailableError("the answer was lost")
        revision = self.backing.apply(expected, puts, removals)
        if behavior is WriteBehavior.CANCELLED:
            await trio.sleep_forever()
        return revision

    async def grant_lease(self, seconds: float) -> LeaseId:
        """See CoordinationStore."""
        return self.backing.grant(seconds)

    async def keep_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""

    async def end_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""

    def _try(self, expected: dict[str, Revision], puts: tuple[Put, ...]) -> None:
        with suppress(TransactionConflictError, LeaseEndedError):
            self.backing.apply(expected, puts, ())


class FixedCountersStore(FaultyStore):
    """A client whose traffic counters are set by the test."""

    def __init__(self) -> None:
        """Start with all counters at zero."""
        super().__init__()
        self.counted_calls: Counter[str] = Counter()
        self.counted_received: Counter[str] = Counter()
        self.counted_sent: Counter[str] = Counter()

    @property
    def calls(self) -> Mapping[str, int]:
        """See CoordinationStore."""
        return self.counted_calls

    @property
    def bytes_received(self) -> Mapping[str, int]:
        """See CoordinationStore."""
        return self.counted_received

    @property
    def bytes_sent(self) -> Mapping[str, int]:
        """See CoordinationStore."""
        return self.counted_sent
