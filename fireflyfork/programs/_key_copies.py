"""Replicates started idempotency keys to the guard of their home before requests are dispatched.

The home of a key is the member that owns the key's partition. When a home is lost, its guard
assigns the home's partitions to new owners and sends them the copies that it holds, so the new
homes have every key that may have run. Without the copies, each key of unknown age would have to be
treated as a key that may have run, and for the retention time callers would be refused although
their requests never reached an entry.

A copy is valid only for the epoch in which its holder became the guard. If a home changed its guard
and later returned to the first guard, an older copy there would lack the keys that were started in
between, and a repeated request with such a key would run a second time.
"""

from __future__ import annotations

import itertools
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio

from .._errors import PeerError, RequestError
from .._ids import Epoch, IdempotencyKey, MemberId, PartitionId
from .._verdict import Verdict
from ..adapters import Control, Peers, decode_content, encode_content
from ..decisions import Acquisition, FleetRecord, KeyTable, KeyTerms
from ._control_handler import ControlHandler, TypedHandler
from ._ownership import Guard, OwnershipView

KEY_SNAPSHOT = "key-snapshot"
KEY_STARTED = "key-started"
KEY_NOT_RUN = "key-not-run"
KEY_COPIED = "key-copied"

REPLY_SECONDS = 0.3
RETRY_SECONDS = 0.05
COPY_CHECK_SECONDS = 0.5
"""The interval between checks for partitions whose copies are missing."""


@dataclass(frozen=True, slots=True)
class CopyTerm:
    """Identifies the table that a copy replicates. Copies with different terms are unrelated."""

    partition: PartitionId
    since: Epoch
    """The epoch in which the home acquired the partition."""
    guarded_since: Epoch
    """The epoch in which the home's guard was chosen."""


@dataclass(frozen=True, slots=True)
class KeySnapshot:
    """A message with the whole key table of a partition."""

    sequence: int
    term: CopyTerm
    table: KeyTable


@dataclass(frozen=True, slots=True)
class KeyStarted:
    """A message that a request with this key is about to be dispatched."""

    sequence: int
    term: CopyTerm
    key: IdempotencyKey
    fingerprint: int


@dataclass(frozen=True, slots=True)
class KeyNotRun:
    """A message that a request announced by KeyStarted is proved not to have run."""

    sequence: int
    term: CopyTerm
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class KeyCopied:
    """The guard's reply to KeySnapshot or KeyStarted."""

    sequence: int
    held: bool
    """False if the guard holds no copy of that term, so a snapshot must be sent first."""


@dataclass(frozen=True, slots=True)
class HomeTable:
    """The current key table of a partition whose home is this entry."""

    since: Epoch
    table: KeyTable


ReadHomeTable = Callable[[PartitionId], HomeTable | None]


class KeyCopySender(ControlHandler):
    """Sends copies of key tables to this entry's guard; runs at the home."""

    def __init__(self, ownership: OwnershipView, peers: Peers) -> None:
        """Call ``attach`` before use."""
        self._ownership = ownership
        self._peers = peers
        self._read_table: ReadHomeTable = lambda partition: None
        self._sequence = itertools.count(1)
        self._guard_copies: dict[PartitionId, tuple[MemberId, CopyTerm]] = {}
        self._locks: defaultdict[PartitionId, trio.Lock] = defaultdict(trio.Lock)
        self._reply_events: dict[int, trio.Event] = {}
        self._replies: dict[int, KeyCopied] = {}

    def attach(self, read_table: ReadHomeTable) -> None:
        """``read_table`` returns a partition's current table, or None if its home isn't here."""
        self._read_table = read_table

    async def keep(self, partitions: Callable[[], tuple[PartitionId, ...]]) -> None:
        """Keep a copy of each partition at the guard until cancelled, also of empty tables.

        If the guard holds no copy of a partition when its home is lost, every earlier key of that
        partition may have run.
        """
        while True:
            guard = self._ownership.guard()
            for partition in partitions():
                home = self._read_table(partition)
                if guard is not None and home is not None:
                    term = CopyTerm(partition, home.since, guard.since)
                    async with self._locks[partition]:
                        if self._guard_copies.get(partition) != (guard.member_id, term):
                            await self._send_snapshot(guard, term)
            await trio.sleep(COPY_CHECK_SECONDS)

    async def announce_start(
        self, partition: PartitionId, key: IdempotencyKey, fingerprint: int, deadline: float
    ) -> None:
        """Return once the guard, if there is one, has acknowledged that the key is started.

        Raises RequestError if the guard does not acknowledge it before ``deadline``, in the event
        loop's time; the request must not be dispatched then.
        """
        with trio.move_on_at(deadline):
            while True:
                guard = self._ownership.guard()
                if guard is None:
                    return
                copied = await self._replicate_key(guard, partition, key, fingerprint)
                if copied and self._ownership.guard() == guard:
                    return
                if not copied:
                    await trio.sleep(RETRY_SECONDS)
        raise RequestError(503, "the guard of the key's home is silent", Verdict.NOT_RUN, 1.0)

    async def announce_not_run(self, partition: PartitionId, key: IdempotencyKey) -> None:
        """Notify the guard, if it is reachable, that the key may be used again."""
        held = self._guard_copies.get(partition)
        if held is None:
            return
        member, term = held
        try:
            stream = await self._peers.stream(member)
            message = KeyNotRun(next(self._sequence), term, key)
            stream.send(Control(KEY_NOT_RUN, encode_content(message)))
        except PeerError:
            return

    def handle(self, member: MemberId, content: bytes) -> Control | None:
        """Handle a guard's reply. A reply whose request has timed out is dropped."""
        reply = decode_content(content, KeyCopied)
        if reply.sequence in self._reply_events:
            self._replies[reply.sequence] = reply
            self._reply_events[reply.sequence].set()
        return None

    async def _replicate_key(
        self, guard: Guard, partition: PartitionId, key: IdempotencyKey, fingerprint: int
    ) -> bool:
        home = self._read_table(partition)
        if home is None:
            return True
        term = CopyTerm(partition, home.since, guard.since)
        async with self._locks[partition]:
            if self._guard_copies.get(partition) != (guard.member_id, term):
                return await self._send_snapshot(guard, term)
        sent = await self._ask(
            guard.member_id,
            KEY_STARTED,
            lambda sequence: KeyStarted(sequence, term, key, fingerprint),
        )
        if not sent:
            self._guard_copies.pop(partition, None)
        return sent

    async def _send_snapshot(self, guard: Guard, term: CopyTerm) -> bool:
        # The table is read when it is sent, so that it holds every key started until then.
        def message(sequence: int) -> KeySnapshot:
            home = self._read_table(term.partition)
            table = home.table if home is not None else KeyTable(KeyTerms())
            return KeySnapshot(sequence, term, table.without_answers())

        sent = await self._ask(guard.member_id, KEY_SNAPSHOT, message)
        if sent:
            self._guard_copies[term.partition] = (guard.member_id, term)
        return sent

    async def _ask(
        self, member: MemberId, topic: str, message: Callable[[int], KeySnapshot | KeyStarted]
    ) -> bool:
        arrived = trio.Event()
        sequence = 0
        try:
            with trio.move_on_after(REPLY_SECONDS):
                stream = await self._peers.stream(member)
                sequence = next(self._sequence)
                self._reply_events[sequence] = arrived
                stream.send(Control(topic, encode_content(message(sequence))))
                await arrived.wait()
        except PeerError:
            return False
        finally:
            self._reply_events.pop(sequence, None)
        reply = self._replies.pop(sequence, None)
        return reply is not None and reply.held


@dataclass(frozen=True, slots=True)
class _Copy:
    term: CopyTerm
    table: KeyTable
    sequence: int
    """The highest sequence number received. A message of an abandoned stream may arrive late."""


@dataclass(frozen=True, slots=True)
class LostTable:
    """A key table that the guard of a lost home sends to the new owner of the partition."""

    partition: PartitionId
    owner: MemberId
    since: Epoch
    table: KeyTable | None
    """None if the guard holds no valid copy."""


class KeyCopyHolder:
    """Holds copies of the key tables of the homes that this entry guards."""

    def __init__(self, ownership: OwnershipView) -> None:
        """Start without copies; ``ownership`` provides the members that this entry guards."""
        self._ownership = ownership
        self._copies: dict[tuple[MemberId, PartitionId], _Copy] = {}
        self._record: FleetRecord | None = None

    @property
    def keys(self) -> int:
        """The number of keys in all copies."""
        return sum(copy.table.keys for copy in self._copies.values())

    def store_snapshot(self, member: MemberId, message: KeySnapshot) -> KeyCopied:
        """Store a whole table as the copy, unless a newer message has arrived before."""
        key = (member, message.term.partition)
        copy = self._copies.get(key)
        if copy is None or copy.sequence < message.sequence:
            copy = _Copy(message.term, message.table, message.sequence)
            self._copies[key] = copy
        return KeyCopied(message.sequence, held=copy.term == message.term)

    def add_key(self, member: MemberId, message: KeyStarted) -> KeyCopied:
        """Add a started key to its copy."""
        copy = self._copies.get((member, message.term.partition))
        if copy is None or copy.term != message.term:
            return KeyCopied(message.sequence, held=False)
        table = copy.table.with_started_key(message.key, message.fingerprint, time.time())
        if table is None:
            return KeyCopied(message.sequence, held=False)
        latest = max(copy.sequence, message.sequence)
        self._copies[member, message.term.partition] = _Copy(copy.term, table, latest)
        return KeyCopied(message.sequence, held=True)

    def remove_key(self, member: MemberId, message: KeyNotRun) -> None:
        """Remove a key from its copy, unless the key may have been started again since."""
        copy = self._copies.get((member, message.term.partition))
        if copy is None or copy.term != message.term or message.sequence < copy.sequence:
            return
        table = copy.table.not_run(message.key)
        self._copies[member, message.term.partition] = _Copy(copy.term, table, message.sequence)

    def handlers(self) -> dict[str, ControlHandler]:
        """Return the handlers to subscribe, by topic."""
        return {
            KEY_SNAPSHOT: TypedHandler(KeySnapshot, self.store_snapshot, KEY_COPIED),
            KEY_STARTED: TypedHandler(KeyStarted, self.add_key, KEY_COPIED),
            KEY_NOT_RUN: TypedHandler(KeyNotRun, self.remove_key),
        }

    def apply_record(self, record: FleetRecord) -> tuple[LostTable, ...]:
        """Apply a new fleet record and return the tables to send to new owners.

        After a gap in the epochs no tables are returned.
        """
        before, self._record = self._record, record
        if before is None or before.epoch + 1 != record.epoch:
            self._forget_all_but(record)
            return ()
        lost_tables = tuple(self._lost_tables(before, record))
        self._forget_all_but(record)
        return lost_tables

    def _lost_tables(self, before: FleetRecord, record: FleetRecord) -> Iterator[LostTable]:
        for partition, ownership in record.owners.items():
            if ownership.since != record.epoch or ownership.acquired is not Acquisition.TAKEN_OVER:
                continue
            previous_ownership = before.owners.get(partition)
            if (
                previous_ownership is None
                or previous_ownership.owner is None
                or ownership.owner is None
            ):
                continue
            fenced_record = before.fenced.get(previous_ownership.owner)
            lost_member = (
                fenced_record.member
                if fenced_record is not None
                else before.members.get(previous_ownership.owner)
            )
            if lost_member is None or lost_member.guard != self._ownership.member_id:
                continue
            term = CopyTerm(partition, previous_ownership.since, lost_member.guarded_since)
            copy = self._copies.get((lost_member.member_id, partition))
            table = copy.table.handed_over() if copy is not None and copy.term == term else None
            yield LostTable(partition, ownership.owner, ownership.since, table)

    def _forget_all_but(self, record: FleetRecord) -> None:
        self._copies = {
            (member, partition): copy
            for (member, partition), copy in self._copies.items()
            if member in record.fenced or record.guard_of(member) == self._ownership.member_id
        }
