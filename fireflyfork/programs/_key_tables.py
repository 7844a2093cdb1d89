"""Hands the table of idempotency keys from a partition's last owner to its next."""

from __future__ import annotations

from dataclasses import dataclass

import trio
from loguru import logger

from .._errors import PeerError
from .._ids import MemberId, PartitionId
from ..adapters import Control, Peers, decode_content, encode_content
from ..decisions import KeyTable
from ._control_handler import ControlHandler
from ._key_home import KeyHome

KEY_TABLE_REQUEST = "key-table-request"
KEY_TABLE = "key-table"

FETCH_SECONDS = 0.5
"""A table that comes later is not waited for: its partition goes on as after a lost home."""


@dataclass(frozen=True, slots=True)
class _Request:
    partition: PartitionId


@dataclass(frozen=True, slots=True)
class _Handed:
    partition: PartitionId
    table: KeyTable | None


class KeyTableGiver(ControlHandler):
    """Answers the next owner of a partition that was owned here."""

    def __init__(self, home: KeyHome) -> None:
        """Take the tables from ``home``."""
        self._home = home

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """See ControlHandler."""
        partition = decode_content(content, _Request).partition
        return Control(
            KEY_TABLE, encode_content(_Handed(partition, self._home.hand_out(partition)))
        )


class KeyTableFetcher(ControlHandler):
    """Asks the last owners of partitions that were handed over to this entry."""

    def __init__(self, peers: Peers, home: KeyHome) -> None:
        """Give the tables to ``home``. Call ``attach`` before the first fetch."""
        self._peers = peers
        self._home = home
        self._nursery: trio.Nursery | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Fetch in ``nursery``."""
        self._nursery = nursery

    def fetch(self, last_owners: dict[PartitionId, MemberId | None]) -> None:
        """Fetch the tables of these partitions from their last owners, as far as known."""
        for partition, owner in last_owners.items():
            if owner is None or self._nursery is None:
                self._home.go_on_without(partition)
            else:
                self._nursery.start_soon(self._fetch, partition, owner)

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """See ControlHandler."""
        handed = decode_content(content, _Handed)
        if handed.table is not None:
            self._home.adopt(handed.partition, handed.table)
        else:
            self._home.go_on_without(handed.partition)
        return None

    async def _fetch(self, partition: PartitionId, owner: MemberId) -> None:
        try:
            with trio.move_on_after(FETCH_SECONDS):
                stream = await self._peers.stream(owner)
                stream.send(Control(KEY_TABLE_REQUEST, encode_content(_Request(partition))))
                await self._home.wait_ready(partition)
        except PeerError as error:
            logger.info("key table not fetched", partition=partition, error=str(error))
        self._home.go_on_without(partition)
