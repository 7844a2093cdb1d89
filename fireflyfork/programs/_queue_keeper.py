"""Keeps the newest configuration in force on this instance."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from .._errors import SettingsError, StoreError, StoreHistoryLostError
from .._ids import Revision
from ..adapters import CoordinationStore, StoredItem
from ..decisions.jobs import QueueTable
from ..platform import CONFIGURATION_KEY, OPERATOR_PREFIX, decode_configuration

WATCH_SECONDS = 1.5
"""A change has to be in force within 2.5 s. A connection that has gone silent is noticed this long
plus a call's timeout after it did."""
RETRY_SECONDS = 0.1


class QueueKeeper:
    """Reads the operator's configuration once, then follows it."""

    def __init__(self, store: CoordinationStore, changed: Callable[[QueueTable], None]) -> None:
        """``changed`` is called with each newer version."""
        self._store = store
        self._changed = changed
        self._table: QueueTable | None = None
        self.known = trio.Event()

    @property
    def table(self) -> QueueTable | None:
        """The queues in force; None before the first configuration."""
        return self._table

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            try:
                listing = await self._store.list(OPERATOR_PREFIX)
                for item in listing.items:
                    self._take(item)
                await self._follow(listing.as_of)
            except StoreHistoryLostError as error:
                logger.info("configuration is listed anew", reason=str(error))
            except StoreError as error:
                logger.debug("configuration not followed", error=str(error))
                await trio.sleep(RETRY_SECONDS)

    async def _follow(self, after: Revision) -> None:
        while True:
            try:
                answer = await self._store.changes(OPERATOR_PREFIX, after, WATCH_SECONDS)
            except StoreHistoryLostError:
                raise
            except StoreError as error:
                logger.debug("configuration not followed", error=str(error))
                await trio.sleep(RETRY_SECONDS)
                continue
            after = max(after, answer.as_of)
            for change in answer.changes:
                if change.item is not None:
                    self._take(change.item)

    def _take(self, item: StoredItem) -> None:
        if item.key != CONFIGURATION_KEY:
            return
        try:
            table = decode_configuration(item.value)
        except SettingsError as error:
            logger.error("configuration not usable", error=str(error))
            return
        # Pages of a listing and changes may tell of an older version after a newer one.
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        logger.info("configuration in force", version=table.version, queues=len(table.queues))
        self._changed(table)
        self.known.set()
