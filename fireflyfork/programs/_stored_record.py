"""Reads and writes the fleet record in the store; results are events for the membership."""

from __future__ import annotations

import trio
from loguru import logger

from .._errors import SettingsError, StoreConflictError, StoreError
from .._ids import Revision
from ..adapters import Store, StoredValue
from ..decisions import (
    ReadFailed,
    RecordRead,
    WriteEnded,
    WriteOutcome,
    WriteRecord,
    decode_fleet,
    encode_fleet,
)

_WATCH_GRACE_SECONDS = 5.0
"""Time beyond the timeout of a watch call after which the call counts as unanswered."""


class StoredRecord:
    """The fleet record under one key of the store."""

    def __init__(self, store: Store, key: str, timeout_seconds: float) -> None:
        """A read or write counts as unanswered after ``timeout_seconds``."""
        self._store = store
        self._key = key
        self._timeout_seconds = timeout_seconds

    async def read(self) -> RecordRead | ReadFailed:
        """Read the record and return the result as an event."""
        with trio.move_on_after(self._timeout_seconds):
            try:
                return _as_read(await self._store.read(self._key))
            except (StoreError, SettingsError) as error:
                logger.debug("fleet record could not be read", error=str(error))
        return ReadFailed()

    async def write(self, command: WriteRecord) -> WriteEnded:
        """Replace the record if it is still at the expected revision."""
        value = encode_fleet(command.record)
        with trio.move_on_after(self._timeout_seconds):
            try:
                revision = await self._store.write(self._key, value, command.expected)
                return WriteEnded(WriteOutcome.WON, revision)
            except StoreConflictError:
                return WriteEnded(WriteOutcome.LOST)
            except StoreError as error:
                logger.debug("fleet record could not be written", error=str(error))
        return WriteEnded(WriteOutcome.UNKNOWN)

    async def wait(self, after: Revision, seconds: float) -> StoredValue | None:
        """Wait up to ``seconds`` for a value newer than the revision ``after``.

        Returns None if there was none in time or no answer. Raises StoreError.
        """
        with trio.move_on_after(seconds + _WATCH_GRACE_SECONDS):
            return await self._store.wait(self._key, after, seconds)
        return None


def _as_read(stored: StoredValue | None) -> RecordRead:
    if stored is None:
        return RecordRead(None, Revision(0))
    return RecordRead(decode_fleet(stored.value), stored.revision)
