"""Transfers the table of idempotency keys from a partition's previous owner to the next owner.

The previous owner sends the table, because it determines when it has stopped. The next owner may
have missed the records in between and could not determine which member to ask.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio
from loguru import logger

from .._errors import PeerError
from .._ids import Epoch, MemberId, PartitionId
from ..adapters import Control, Peers, decode_content, encode_content
from ..decisions import Acquisition, KeyTable
from ._control_handler import ControlHandler
from ._key_copies import LostTable
from ._key_home import KeyHome
from ._ownership import OwnershipView

KEY_TABLE = "key-table"

TABLE_WAIT_SECONDS = 3.0
"""How long a new owner waits for a table; then the partition is treated as after a lost home."""

SETTLE_SECONDS = 0.25
"""How long the previous owner waits for running requests, so that the table has their outcomes."""

SEND_ATTEMPTS = 8
SEND_PAUSE_SECONDS = 0.25

EARLY_TABLE_SECONDS = 10.0
"""How long a table is kept that arrives before the record that makes this member the owner."""


@dataclass(frozen=True, slots=True)
class TransferredTable:
    """A message with the key table of one partition, sent to its new owner."""

    partition: PartitionId
    since: Epoch
    """The epoch in which the receiver acquired the partition."""
    table: KeyTable | None
    """None if the sender has no valid table; the partition is treated as after a lost home."""


class KeyTableTransfer(ControlHandler):
    """Sends the key tables of lost partitions, and receives the tables of acquired partitions."""

    def __init__(self, ownership: OwnershipView, peers: Peers, home: KeyHome) -> None:
        """Call ``attach`` before the first change of ownership."""
        self._ownership = ownership
        self._peers = peers
        self._home = home
        self._early: dict[PartitionId, tuple[float, TransferredTable]] = {}
        self._pending_sends = 0
        self._sent = trio.Event()
        self._nursery: trio.Nursery | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Run transfers and timeouts in ``nursery``."""
        self._nursery = nursery

    def apply_ownership(self) -> None:
        """Apply a change of ownership: send tables of lost partitions, await acquired ones."""
        change = self._home.set_partitions(self._ownership.owned_partitions())
        for partition in change.lost:
            self._hand_over(partition)
        for partition in change.awaited:
            self._expect(partition)

    async def wait_sent(self) -> None:
        """Wait until no transfer to another member is in progress."""
        while self._pending_sends:
            await self._sent.wait()

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """See ControlHandler."""
        self._adopt_or_keep(decode_content(content, TransferredTable))
        return None

    def send_copies(self, copies: tuple[LostTable, ...]) -> None:
        """Send the copies that this member held as the guard of a lost home to the new owners."""
        for copy in copies:
            handed = TransferredTable(copy.partition, copy.since, copy.table)
            if copy.owner == self._ownership.member_id:
                self._adopt_or_keep(handed)
            elif self._nursery is not None:
                self._nursery.start_soon(self._try_to_send, copy.owner, handed)

    def _adopt_or_keep(self, handed: TransferredTable) -> None:
        if not self._home.adopt_table(handed.partition, handed.since, handed.table):
            self._early[handed.partition] = (trio.current_time(), handed)

    def _hand_over(self, partition: PartitionId) -> None:
        ownership = self._ownership.ownership_of(partition)
        if ownership is None or ownership.owner in (None, self._ownership.member_id):
            return
        if ownership.acquired is Acquisition.MOVED and self._nursery is not None:
            assert ownership.owner is not None
            self._pending_sends += 1
            self._nursery.start_soon(self._send, partition, ownership.since, ownership.owner)

    def _expect(self, partition: PartitionId) -> None:
        received_at, handed = self._early.pop(partition, (0.0, None))
        if handed is not None and trio.current_time() - received_at < EARLY_TABLE_SECONDS:
            self._home.adopt_table(partition, handed.since, handed.table)
        if self._nursery is not None:
            self._nursery.start_soon(self._give_up_later, partition)

    async def _give_up_later(self, partition: PartitionId) -> None:
        with trio.move_on_after(TABLE_WAIT_SECONDS):
            await self._home.wait_ready(partition)
        if self._home.proceed_without_table(partition):
            logger.warning("no key table received", partition=partition)

    async def _send(self, partition: PartitionId, since: Epoch, owner: MemberId) -> None:
        try:
            with trio.move_on_after(SETTLE_SECONDS):
                await self._home.wait_drained(partition)
            table = self._home.table_to_send(partition)
            if table is not None:
                await self._try_to_send(owner, TransferredTable(partition, since, table))
        finally:
            self._pending_sends -= 1
            self._sent.set()
            self._sent = trio.Event()

    async def _try_to_send(self, owner: MemberId, handed: TransferredTable) -> None:
        control = Control(KEY_TABLE, encode_content(handed))
        for _ in range(SEND_ATTEMPTS):
            try:
                stream = await self._peers.stream(owner)
                stream.send(control)
                return
            except PeerError as error:
                logger.info("key table not sent, retrying", peer=owner, error=str(error))
                await trio.sleep(SEND_PAUSE_SECONDS)
