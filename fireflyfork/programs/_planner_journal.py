"""Reads and writes the journal of one partition in the store."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from .._errors import FireflyforkError, StoreConflictError, StoreUnavailableError
from .._ids import ChangeId, MemberId, PartitionId, Revision
from ..adapters import Store, StoredValue
from ..decisions import (
    MAX_VALUE_BYTES,
    DurableChange,
    JournalError,
    JournalPosition,
    Segment,
    Settlement,
    TaskTable,
    decode_segment,
    decode_snapshot,
    encode_segment,
    encode_snapshot,
    segment_key,
    settle_write,
    slot_of,
    snapshot_key,
    table_of,
)

_RETRY_SECONDS = 0.5


class PartitionLostError(FireflyforkError):
    """Another planner has taken over the partition."""


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    """A compare-and-swap that is repeated until its outcome is known."""

    key: str
    value: bytes
    change_id: ChangeId
    expected: Revision


@dataclass(slots=True)
class JournalCounts:
    """The number and the total size of this journal's writes."""

    commits: int = 0
    changes: int = 0
    segment_bytes: int = 0
    snapshots: int = 0
    snapshot_bytes: int = 0


def random_change_id() -> ChangeId:
    """Return an id that no other write uses."""
    return ChangeId(uuid.uuid4().hex)


class PartitionJournal:
    """The journal of one partition. Calls must not overlap."""

    def __init__(
        self,
        store: Store,
        partition: PartitionId,
        new_change_id: Callable[[], ChangeId] = random_change_id,
    ) -> None:
        """``recover`` must be called before any other method."""
        self._store = store
        self._partition = partition
        self._owner = MemberId("")
        self._new_change_id = new_change_id
        self._position = JournalPosition(partition, 0, {}, 0, Revision(0), 0, 0)
        self.counts = JournalCounts()

    @property
    def position(self) -> JournalPosition:
        """The position in the ring of segments, with the last known revisions of its keys."""
        return self._position

    async def recover(self, owner: MemberId, may_take_over: Callable[[], bool]) -> TaskTable:
        """Read the journal, then take over the partition by storing an empty segment.

        From then on, every write by an earlier owner fails. ``may_take_over`` is called immediately
        before the write. Raises StoreUnavailableError and JournalError, after which the call may be
        repeated, and PartitionLostError when ``may_take_over`` returns False.
        """
        self._owner = owner
        table = await self._read_snapshot()
        while True:
            table = await self._read_segments(table)
            await self._free_ring_slots(table)
            # Without this check, a planner that was paused during recovery could resume long after
            # another planner took over the partition, and take it back from the rightful owner.
            if not may_take_over():
                raise PartitionLostError(f"this planner no longer owns {self._partition}")
            try:
                await self._store_segment(())
            except PartitionLostError:
                continue
            return table

    async def commit(self, changes: tuple[DurableChange, ...]) -> None:
        """Store ``changes`` and return once they are durable.

        Retries for as long as the store is unavailable.

        Raises PartitionLostError.
        """
        await self._store_segment(changes)
        self.counts.commits += 1
        self.counts.changes += len(changes)

    async def snapshot(self, value: bytes, change_id: ChangeId, sequence: int) -> None:
        """Store a snapshot of the journal up to ``sequence``. Raises PartitionLostError."""
        key = snapshot_key(self._partition)
        write = _PendingWrite(key, value, change_id, self._position.snapshot_revision)
        while (revision := await self._write_until_settled(write, _snapshot_change_id)) is None:
            stored = await self._read_with_retries(key)
            if stored is not None and decode_snapshot(stored.value).sequence > sequence:
                raise PartitionLostError(f"{self._partition} has a newer snapshot")
            # An earlier owner's snapshot arrived late. It covers fewer segments than this snapshot.
            write = replace(write, expected=stored.revision if stored else Revision(0))
        self._position = self._position.after_snapshot(sequence, revision, len(value))
        self.counts.snapshots += 1
        self.counts.snapshot_bytes += len(value)

    def encode_snapshot(self, table: TaskTable, sequence: int) -> tuple[bytes, ChangeId] | None:
        """Return the encoded snapshot of ``table``, or None if it is too long to store."""
        change_id = self._new_change_id()
        value = encode_snapshot(table, sequence, change_id, self._owner)
        return (value, change_id) if len(value) <= MAX_VALUE_BYTES else None

    async def _free_ring_slots(self, table: TaskTable) -> None:
        # If several owners in a row crash before their first snapshot, their takeover segments fill
        # the ring, and the next owner could not store its own takeover.
        if not self._position.ring_nearly_full:
            return
        sequence = self._position.sequence
        encoded = self.encode_snapshot(table, sequence)
        if encoded is not None:
            await self.snapshot(*encoded, sequence)

    async def _read_snapshot(self) -> TaskTable:
        stored = await self._store.read(snapshot_key(self._partition))
        if stored is None:
            self._position = JournalPosition(self._partition, 0, {}, 0, Revision(0), 0, 0)
            return TaskTable.empty()
        snapshot = decode_snapshot(stored.value)
        self._position = JournalPosition(
            self._partition,
            snapshot.sequence,
            {},
            snapshot.sequence,
            stored.revision,
            len(stored.value),
            0,
        )
        return table_of(snapshot)

    async def _read_segments(self, table: TaskTable) -> TaskTable:
        while True:
            sequence = self._position.sequence + 1
            stored = await self._store.read(segment_key(self._partition, sequence))
            if stored is None:
                self._record_slot_revision(sequence, Revision(0))
                return table
            segment = decode_segment(stored.value)
            if segment.sequence < sequence:
                self._record_slot_revision(sequence, stored.revision)
                return table
            if segment.sequence > sequence:
                # The owner wrote at least a whole ring of segments during this read.
                table = await self._read_snapshot()
                continue
            table = table.apply(segment.changes)
            self._position = self._position.after_segment(stored.revision, len(stored.value))

    def _record_slot_revision(self, sequence: int, revision: Revision) -> None:
        revisions = {**self._position.slot_revisions, slot_of(sequence): revision}
        self._position = replace(self._position, slot_revisions=revisions)

    async def _store_segment(self, changes: tuple[DurableChange, ...]) -> None:
        position = self._position
        if position.ring_is_full:
            raise JournalError(f"{self._partition} has no free slot; a snapshot must come first")
        segment = Segment(position.sequence + 1, self._new_change_id(), self._owner, changes)
        value = encode_segment(segment)
        expected = await self._expected_revision(segment.sequence)
        write = _PendingWrite(position.next_key, value, segment.change_id, expected)
        revision = await self._write_until_settled(write, _segment_change_id)
        if revision is None:
            self._forget_slot_revision(segment.sequence)
            raise PartitionLostError(f"{self._partition} has another owner")
        self._position = position.after_segment(revision, len(value))
        self.counts.segment_bytes += len(value)

    async def _expected_revision(self, sequence: int) -> Revision:
        known_revision = self._position.slot_revisions.get(slot_of(sequence))
        if known_revision is not None:
            return known_revision
        # The slot was last written before this owner's term. Its segment must be from the previous
        # round of the ring; a newer segment was written by a later owner.
        stored = await self._read_with_retries(segment_key(self._partition, sequence))
        if stored is None:
            return Revision(0)
        if decode_segment(stored.value).sequence >= sequence:
            raise PartitionLostError(f"{self._partition} has another owner")
        return stored.revision

    def _forget_slot_revision(self, sequence: int) -> None:
        revisions = dict(self._position.slot_revisions)
        revisions.pop(slot_of(sequence), None)
        self._position = replace(self._position, slot_revisions=revisions)

    async def _write_until_settled(
        self, write: _PendingWrite, change_id_of: Callable[[bytes], ChangeId]
    ) -> Revision | None:
        """Retry a write until its outcome is known.

        Return the new revision, or None if another writer holds the key. The store's answer may be
        lost after the write took effect. After a plain retry, the planner's own write would look
        like another owner's, and a healthy planner would give up its partition. Each write
        therefore carries a unique id that is read back.
        """
        while True:
            try:
                return await self._store.write(write.key, write.value, write.expected)
            except StoreUnavailableError:
                await trio.sleep(_RETRY_SECONDS)
            except StoreConflictError:
                pass
            stored = await self._read_with_retries(write.key)
            stored_id = change_id_of(stored.value) if stored else None
            revision = stored.revision if stored else Revision(0)
            match settle_write(write.change_id, write.expected, stored_id, revision):
                case Settlement.STORED:
                    return revision
                case Settlement.LOST:
                    return None
                case Settlement.NOT_YET:
                    continue

    async def _read_with_retries(self, key: str) -> StoredValue | None:
        while True:
            try:
                return await self._store.read(key)
            except StoreUnavailableError:
                await trio.sleep(_RETRY_SECONDS)


def _segment_change_id(value: bytes) -> ChangeId:
    return decode_segment(value).change_id


def _snapshot_change_id(value: bytes) -> ChangeId:
    return decode_snapshot(value).change_id
