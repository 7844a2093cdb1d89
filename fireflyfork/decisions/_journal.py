"""The durable form of a partition: one snapshot, and a ring of segments with what came after it.

Each commit writes one segment, holding only that commit's changes, into the next slot of the ring
by compare-and-swap. Segments are numbered without gaps, so two owners that both believe in their
right want the same slot next, and the store lets one of them have it. Nothing is ever deleted:
a slot is overwritten once the snapshot covers it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from .._errors import FireflyforkError
from .._ids import ChangeId, MemberId, PartitionId, Revision
from ._stored_bytes import StoredBytesError, pack, unpack
from ._task_changes import DurableChange

SLOTS = 256
"""Segments in the ring. More make snapshots rarer and recovery longer."""

LONGEST_VALUE_BYTES = 1_000_000
"""The platform takes a megabyte; a little less leaves room for the call around the value."""

_LEAST_BYTES_BETWEEN_SNAPSHOTS = 65_536
_SNAPSHOT_SIZES_BETWEEN_SNAPSHOTS = 2
_SLOTS_IN_RESERVE = 32
"""Slots left when a snapshot becomes due, so that commits go on while writing it fails."""


class JournalError(FireflyforkError):
    """The stored journal is not one that this program can have written."""


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """What one commit added."""

    sequence: int
    change_id: ChangeId
    owner: MemberId
    changes: tuple[DurableChange, ...]


@dataclass(frozen=True, slots=True)
class JournalPosition:
    """What the writer knows of the stored keys."""

    partition: PartitionId
    sequence: int
    """The last segment known to be stored; 0 before the first."""
    slot_revisions: Mapping[int, Revision]
    """The revision of each slot's key that exists."""
    snapshot_sequence: int
    """The last segment that the snapshot covers."""
    snapshot_revision: Revision
    snapshot_bytes: int
    bytes_since_snapshot: int

    @property
    def slot(self) -> int:
        """The slot for the next segment."""
        return slot_of(self.sequence + 1)

    @property
    def next_key(self) -> str:
        """The key for the next segment."""
        return segment_key(self.partition, self.sequence + 1)

    @property
    def next_expected(self) -> Revision:
        """The revision at which that key must be."""
        return self.slot_revisions.get(self.slot, Revision(0))

    @property
    def ring_is_full(self) -> bool:
        """Whether the next segment would overwrite one that no snapshot covers."""
        return self.sequence + 1 - self.snapshot_sequence > SLOTS

    @property
    def ring_nearly_full(self) -> bool:
        """Whether only the slots in reserve are left."""
        return self.sequence - self.snapshot_sequence >= SLOTS - _SLOTS_IN_RESERVE

    @property
    def snapshot_due(self) -> bool:
        """Whether a snapshot is worth its bytes by now, or the ring is about to fill."""
        least = max(
            _LEAST_BYTES_BETWEEN_SNAPSHOTS,
            _SNAPSHOT_SIZES_BETWEEN_SNAPSHOTS * self.snapshot_bytes,
        )
        return self.bytes_since_snapshot >= least or self.ring_nearly_full

    def after_segment(self, revision: Revision, length: int) -> JournalPosition:
        """The position once the next segment, ``length`` bytes long, is stored at ``revision``."""
        return replace(
            self,
            sequence=self.sequence + 1,
            slot_revisions={**self.slot_revisions, self.slot: revision},
            bytes_since_snapshot=self.bytes_since_snapshot + length,
        )

    def after_snapshot(self, sequence: int, revision: Revision, length: int) -> JournalPosition:
        """The position once a snapshot that covers ``sequence`` is stored at ``revision``."""
        return replace(
            self,
            snapshot_sequence=sequence,
            snapshot_revision=revision,
            snapshot_bytes=length,
            bytes_since_snapshot=0,
        )


class Settlement(Enum):
    """What reading back shows of a write whose answer was lost."""

    STORED = "stored"
    NOT_YET = "not-yet"
    """It may still arrive. The same write may be sent again: only one of the two can succeed."""
    LOST = "lost"
    """Another writer has the place."""


def settle(
    ours: ChangeId, expected: Revision, found: ChangeId | None, revision: Revision
) -> Settlement:
    """Judge a write by what its key holds now: ``found`` at ``revision``, or nothing at 0."""
    if found == ours:
        return Settlement.STORED
    return Settlement.NOT_YET if revision == expected else Settlement.LOST


def slot_of(sequence: int) -> int:
    """The slot of the ring that a segment goes into."""
    return sequence % SLOTS


def segment_key(partition: PartitionId, sequence: int) -> str:
    """The store's key for a segment."""
    return f"batch/{partition}/segment/{slot_of(sequence)}"


def snapshot_key(partition: PartitionId) -> str:
    """The store's key for a partition's snapshot."""
    return f"batch/{partition}/snapshot"


def encode_segment(segment: Segment) -> bytes:
    """The stored form."""
    return pack(msgspec.msgpack.encode(segment))


def decode_segment(value: bytes) -> Segment:
    """Read the stored form. Raises JournalError."""
    try:
        return msgspec.msgpack.decode(unpack(value), type=Segment)
    except (msgspec.DecodeError, StoredBytesError) as error:
        raise JournalError(f"a segment can't be read: {error}") from error
