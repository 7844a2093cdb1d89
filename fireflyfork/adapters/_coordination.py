"""The store as scheduling needs it: transactions over keys, ordered changes, leases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from .._ids import LeaseId, Revision


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A key with its value."""

    key: str
    value: bytes
    revision: Revision
    """Of its last change, on the counter that all keys share."""
    created: Revision
    """Of its creation, on the same counter."""


@dataclass(frozen=True, slots=True)
class StoreChange:
    """One change of one key."""

    key: str
    revision: Revision
    item: StoredItem | None
    """What was written, or None when the key was removed."""


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """All changes up to a revision."""

    changes: tuple[StoreChange, ...]
    as_of: Revision
    """Where the next call continues."""


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All items under a prefix."""

    items: tuple[StoredItem, ...]
    as_of: Revision
    """The earliest revision that any page was read at: following from here misses nothing."""


@dataclass(frozen=True, slots=True)
class Put:
    """One key to write in a transaction."""

    key: str
    value: bytes
    lease: LeaseId | None = None
    """The key is removed when this lease ends."""


class CoordinationStore(ABC):
    """Linearizable keys with transactions, watches and leases. Every call is paid for.

    Each method raises StoreRefusedError when nothing was done, and StoreUnavailableError when no
    answer came: a change may then have taken effect, or may still take effect seconds later.
    """

    @property
    @abstractmethod
    def answers(self) -> bool:
        """Whether the store has answered this instance lately."""

    @property
    def calls(self) -> Mapping[str, int]:
        """Calls made so far, by what they were for; empty where nobody counts them."""
        return {}

    @property
    def bytes_received(self) -> Mapping[str, int]:
        """The bodies of answers that came whole, by the same purposes as ``calls``."""
        return {}

    @property
    def bytes_sent(self) -> Mapping[str, int]:
        """The bodies of calls, by the same purposes as ``calls``."""
        return {}

    @abstractmethod
    async def read(self, key: str) -> StoredItem | None:
        """The item, or None when the key is absent."""

    @abstractmethod
    async def list(self, prefix: str) -> StoreListing:
        """All items whose keys start with ``prefix``."""

    @abstractmethod
    async def changes(self, prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
        """The changes after a revision; waits until there is one, or until the time is over.

        Raises StoreHistoryLostError when the store no longer knows that far back.
        """

    @abstractmethod
    async def commit(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Revision:
        """Apply all changes if every key in ``expected`` is at its revision (0: absent).

        Raises TransactionConflictError when one is not, and LeaseEndedError.
        """

    @abstractmethod
    async def grant_lease(self, seconds: float) -> LeaseId:
        """A new lease."""

    @abstractmethod
    async def keep_lease(self, lease: LeaseId) -> None:
        """Renew a lease. Raises LeaseEndedError."""

    @abstractmethod
    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease and remove its keys."""
