"""The interface of the store that scheduling uses: transactions over keys, watches and leases."""

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
    """The revision of the last change of the key. All keys share one counter of revisions."""
    created: Revision
    """The revision at which the key was created."""


@dataclass(frozen=True, slots=True)
class StoreChange:
    """One change of one key."""

    key: str
    revision: Revision
    item: StoredItem | None
    """The item as written, or None if the key was removed."""


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """All changes up to a revision."""

    changes: tuple[StoreChange, ...]
    as_of: Revision
    """The revision after which the next call continues."""
    may_be_partial: bool = False
    """Whether the store may have had more changes when it answered, which it left for the next call."""


@dataclass(frozen=True, slots=True)
class StoreListing:
    """All items under a prefix."""

    items: tuple[StoredItem, ...]
    as_of: Revision
    """The lowest revision at which any page was read. A watch that starts here misses no change."""


@dataclass(frozen=True, slots=True)
class Put:
    """One key to write in a transaction."""

    key: str
    value: bytes
    lease: LeaseId | None = None
    """The lease that the key is bound to: the key is removed when the lease ends. None: not bound."""


class CoordinationStore(ABC):
    """Linearizable keys with transactions, watches and leases. The platform charges for every call.

    Each method raises StoreRefusedError if the store did nothing, and StoreUnavailableError if it
    didn't answer: a change may then have taken effect, or may still take effect seconds later.
    """

    @property
    @abstractmethod
    def is_responsive(self) -> bool:
        """Whether the store has answered recent calls of this instance."""

    @property
    def calls(self) -> Mapping[str, int]:
        """The number of calls made so far, by purpose; empty if the implementation doesn't count them."""
        return {}

    @property
    def bytes_received(self) -> Mapping[str, int]:
        """The bytes of complete response bodies, by the same purposes as ``calls``."""
        return {}

    @property
    def bytes_sent(self) -> Mapping[str, int]:
        """The bytes of request bodies, by the same purposes as ``calls``."""
        return {}

    @abstractmethod
    async def read(self, key: str) -> StoredItem | None:
        """Return the item, or None if the key is absent."""

    async def read_stale(self, key: str) -> StoredItem | None:
        """Return the item as it was up to seconds ago, at a lower price than ``read``."""
        return await self.read(key)

    @abstractmethod
    async def list(self, prefix: str) -> StoreListing:
        """Return all items whose keys start with ``prefix``."""

    @abstractmethod
    async def changes(self, prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
        """Return the changes after a revision, waiting up to ``wait_seconds`` for the first one.

        Raises StoreHistoryLostError if the store no longer keeps changes from that revision on.
        """

    @abstractmethod
    async def commit(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Revision:
        """Apply all changes if every key in ``expected`` is at its revision (0: absent).

        Returns the revision of the transaction. Raises TransactionConflictError if a key is at another
        revision, and LeaseEndedError if the lease of a put has ended.
        """

    @abstractmethod
    async def grant_lease(self, seconds: float) -> LeaseId:
        """Create a lease that ends ``seconds`` after its last renewal."""

    @abstractmethod
    async def keep_lease(self, lease: LeaseId) -> None:
        """Renew a lease. Raises LeaseEndedError if it has ended."""

    @abstractmethod
    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease and remove the keys that are bound to it."""
