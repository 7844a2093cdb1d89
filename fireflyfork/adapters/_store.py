"""The platform's key-value service, as the programs see it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import Revision


@dataclass(frozen=True, slots=True)
class StoredValue:
    """One key's value at one revision."""

    value: bytes
    revision: Revision


class Store(ABC):
    """Compare-and-swap and watches on single keys. Every call counts against the platform's rate."""

    @abstractmethod
    async def read(self, key: str) -> StoredValue | None:
        """The value, or None when absent. Raises StoreUnavailableError."""

    @abstractmethod
    async def write(self, key: str, value: bytes, expected: Revision) -> Revision:
        """Replace the value at revision ``expected`` (0: create) and return the new revision.

        Raises StoreConflictError when the key is at another revision, and StoreUnavailableError
        when no answer came: the write may then have taken effect, so the caller reads back.
        """

    @abstractmethod
    async def delete(self, key: str, expected: Revision) -> None:
        """Remove the key at revision ``expected``. Raises as ``write`` does."""

    @abstractmethod
    async def keys(self, prefix: str) -> tuple[str, ...]:
        """The keys that start with ``prefix``, sorted. Raises StoreUnavailableError."""

    @abstractmethod
    async def wait(self, key: str, after: Revision, seconds: float) -> StoredValue | None:
        """The first value with a revision above ``after``, or None when there was none in time.

        Raises StoreUnavailableError.
        """
