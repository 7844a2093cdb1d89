"""The interface of the platform's key-value store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import Revision


@dataclass(frozen=True, slots=True)
class StoredValue:
    """The value of a key at a revision."""

    value: bytes
    revision: Revision


class Store(ABC):
    """Compare-and-swap and watches on single keys. Every call counts against the platform's rate limit."""

    @abstractmethod
    async def read(self, key: str) -> StoredValue | None:
        """Return the value, or None if the key is absent. Raises StoreUnavailableError."""

    @abstractmethod
    async def write(self, key: str, value: bytes, expected: Revision) -> Revision:
        """Replace the value at revision ``expected`` (0: create the key) and return the new revision.

        Raises StoreConflictError if the key is at another revision, and StoreUnavailableError if the
        store doesn't answer. The write may then have taken effect, so the caller must read the key again.
        """

    @abstractmethod
    async def delete(self, key: str, expected: Revision) -> None:
        """Remove the key at revision ``expected``. Raises the same errors as ``write``."""

    @abstractmethod
    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys that start with ``prefix``, sorted. Raises StoreUnavailableError."""

    @abstractmethod
    async def wait(self, key: str, after: Revision, seconds: float) -> StoredValue | None:
        """Wait for a value with a revision above ``after``, and return it, or None after ``seconds``.

        Raises StoreUnavailableError.
        """
