"""The durable form of a partition: a snapshot, and a ring of segments with the later changes.

Each commit writes one segment, which contains only that commit's changes, to the next slot of the
ring by compare-and-swap. Segments are numbered without gaps, so if two processes both act as the
owner, they write to the same slot next, and the store lets only one of them succeed. Nothing is
ever deleted: a slot is overwritten once the snapshot covers its segment.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from .._decoding import decode_msgpack
from .._errors import FireflyforkError, InvalidDataError
from .._ids import ChangeId, MemberId, PartitionId, Revision
from ._stored_bytes import StoredBytesError, pack, unpack
from ._task_changes import DurableChange

RING_SLOTS = 256
"""Number of segments in the ring. A larger ring means fewer snapshots and a longer recovery."""

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value; the store accepts one megabyte including the framing of the call."""

_MIN_BYTES_BETWEEN_SNAPSHOTS = 65_536
_SNAPSHOT_SIZES_BETWEEN_SNAPSHOTS = 2
_RESERVED_SLOTS = 32
"""Number of free slots at which a snapshot is due, so that commits continue if writing it fails."""


class JournalError(FireflyforkError):
    """The stored journal is malformed or inconsistent."""


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """The changes of one commit."""

    sequence: int
    change_id: ChangeId
    owner: MemberId
    changes: tuple[DurableChange, ...]


@dataclass(frozen=True, slots=True)
class JournalPosition:
    """The writer's view of the stored journal."""

    partition: PartitionId
    sequence: int
    """Number of the last segment known to be stored; 0 before the first."""
    slot_revisions: Mapping[int, Revision]
    """Revision of the key of each slot that has been written."""
    snapshot_sequence: int
    """Number of the last segment that the snapshot covers."""
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
    def next_expected_revision(self) -> Revision:
        """The revision that the key for the next segment must have for the write to succeed."""
        return self.slot_revisions.get(self.slot, Revision(0))

    @property
    def ring_is_full(self) -> bool:
        """Whether the next segment would overwrite a segment that the snapshot doesn't cover."""
        return self.sequence + 1 - self.snapshot_sequence > RING_SLOTS

    @property
    def ring_nearly_full(self) -> bool:
        """Whether only the reserved slots are free."""
        return self.sequence - self.snapshot_sequence >= RING_SLOTS - _RESERVED_SLOTS

    @property
    def snapshot_due(self) -> bool:
        """Whether enough bytes were written to justify a snapshot, or the ring is nearly full."""
        threshold = max(
            _MIN_BYTES_BETWEEN_SNAPSHOTS,
            _SNAPSHOT_SIZES_BETWEEN_SNAPSHOTS * self.snapshot_bytes,
        )
        return self.bytes_since_snapshot >= threshold or self.ring_nearly_full

    def after_segment(self, revision: Revision, length: int) -> JournalPosition:
        """Return the position after storing a segment of ``length`` bytes at ``revision``."""
        return replace(
            self,
            sequence=self.sequence + 1,
            slot_revisions={**self.slot_revisions, self.slot: revision},
            bytes_since_snapshot=self.bytes_since_snapshot + length,
        )

    def after_snapshot(self, sequence: int, revision: Revision, length: int) -> JournalPosition:
        """Return the position after storing a snapshot up to segment ``sequence``.

        ``length`` is the size of the snapshot in bytes, ``revision`` the revision of its key.
        """
        return replace(
            self,
            snapshot_sequence=sequence,
            snapshot_revision=revision,
            snapshot_bytes=length,
            bytes_since_snapshot=0,
        )


class Settlement(Enum):
    """Outcome of a write without an answer, as determined by reading the key back."""

    STORED = "stored"
    NOT_YET = "not-yet"
    """The write may still be in flight. It may be resent: at most one of the two can succeed."""
    LOST = "lost"
    """Another writer has written the key."""


def settle_write(
    change_id: ChangeId, expected: Revision, stored_change_id: ChangeId | None, revision: Revision
) -> Settlement:
    """Determine the outcome of our write from the change id and revision that its key has now.

    The write was conditional on revision ``expected``. If the key doesn't exist,
    ``stored_change_id`` is None and ``revision`` is 0.
    """
    if stored_change_id == change_id:
        return Settlement.STORED
    return Settlement.NOT_YET if revision == expected else Settlement.LOST


def slot_of(sequence: int) -> int:
    """Return the slot of the ring for a segment."""
    return sequence % RING_SLOTS


def segment_key(partition: PartitionId, sequence: int) -> str:
    """Return the store's key for a segment."""
    return f"batch/{partition}/segment/{slot_of(sequence)}"


def snapshot_key(partition: PartitionId) -> str:
    """Return the store's key for a partition's snapshot."""
    return f"batch/{partition}/snapshot"


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment in the stored form."""
    return pack(msgspec.msgpack.encode(segment))


def decode_segment(value: bytes) -> Segment:
    """Decode the stored form. Raises JournalError if the value is malformed."""
    try:
        return decode_msgpack(unpack(value), Segment)
    except (InvalidDataError, StoredBytesError) as error:
        raise JournalError(f"a segment can't be read: {error}") from error
