"""The fleet record: the members, the guard of each member, and the owner of each partition.

The record is a single value in the platform's store. Ownership is stored explicitly rather than
computed from the list of members, so a member doesn't need the history of the epochs it missed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgpack
import msgspec
import xxhash

from .._decoding import convert, guarded, unpack_msgpack
from .._errors import InvalidDataError, SettingsError
from .._ids import (
    ChangeId,
    Epoch,
    FailureDomainName,
    MemberId,
    PartitionId,
    RegionName,
    TargetId,
)
from .._links import Address
from .._zones import Zone

FLEET_KEY = "fleet"
"""The store key of the entries' fleet record."""

_NO_EPOCH = Epoch(0)
_NO_CHANGE = ChangeId("")


_NEVER = Epoch(0)


@dataclass(frozen=True, slots=True)
class Member:
    """A process, from its start to its end, that may own partitions."""

    member_id: MemberId
    address: Address
    """Address on which peers reach the process. No two live processes share an address."""
    zone: Zone
    guard: MemberId | None = None
    """The only member that may fence this member; None if it has no guard."""
    guarded_since: Epoch = _NEVER
    """Epoch in which the guard was chosen; what the guard was sent under another one is stale."""


@dataclass(frozen=True, slots=True)
class FencedMember:
    """A member whose right to dispatch has expired, or expires within the takeover wait."""

    member: Member
    taker: MemberId | None
    """The member that reassigns the partitions; None if no member remained after the fence.

    The next member to join becomes the taker then.
    """


class Acquisition(Enum):
    """How the owner acquired a partition, which determines which slots may still be occupied."""

    FIRST = "first"
    """The partition had no owner before, so all slots are free."""
    MOVED = "moved"
    """The previous owner handed the partition over and listed the slots that may be occupied."""
    TAKEN_OVER = "taken-over"
    """The previous owner was fenced.

    Every slot may be occupied for up to the longest run time in the contract.
    """


@dataclass(frozen=True, slots=True)
class OccupiedSlots:
    """Slots of one target that the previous owner's requests may still hold."""

    target_id: TargetId
    slots: int
    seconds: float
    """Maximum remaining time, counted from when the new owner receives the record."""


@dataclass(frozen=True, slots=True)
class Ownership:
    """The ownership of one partition."""

    owner: MemberId | None
    """The owner; None after the last member has left the fleet."""
    since: Epoch
    """The epoch in which the owner acquired the partition."""
    acquired: Acquisition = Acquisition.FIRST
    occupied: tuple[OccupiedSlots, ...] = ()
    """Slots that may still be occupied; set only after a planned move."""


@dataclass(frozen=True, slots=True)
class FleetRecord:
    """The fleet record. It is changed only by compare-and-swap."""

    epoch: Epoch = _NO_EPOCH
    """Number of changes so far; each change increments it by 1."""
    change_id: ChangeId = _NO_CHANGE
    """Unique id of the change that created this epoch."""
    partitions_per_region: int = 32
    """Number of partitions in each region, set by the change that created the first epoch."""
    members: Mapping[MemberId, Member] = field(default_factory=dict)
    """The members that are neither fenced nor removed."""
    fenced: Mapping[MemberId, FencedMember] = field(default_factory=dict)
    owners: Mapping[PartitionId, Ownership] = field(default_factory=dict)

    def owner_of(self, partition: PartitionId) -> MemberId | None:
        """Return the owner, or None if the partition is unknown or has no owner."""
        ownership = self.owners.get(partition)
        return ownership.owner if ownership is not None else None

    def owned_by(self, member_id: MemberId) -> tuple[PartitionId, ...]:
        """Return the partitions that a member owns, sorted."""
        return tuple(
            partition
            for partition, ownership in sorted(self.owners.items())
            if ownership.owner == member_id
        )

    def wards_of(self, member_id: MemberId) -> tuple[MemberId, ...]:
        """Return the members that a member guards, sorted."""
        return tuple(
            ward for ward, member in sorted(self.members.items()) if member.guard == member_id
        )

    def guard_of(self, member_id: MemberId) -> MemberId | None:
        """Return the guard of a member; None if it has none or is fenced or unknown."""
        member = self.members.get(member_id)
        return member.guard if member is not None else None


def partition_of(region: RegionName, key: str, partitions_per_region: int) -> PartitionId:
    """Return the partition of a target (given its id) or of an idempotency key."""
    number = xxhash.xxh3_64_intdigest(key.encode()) % partitions_per_region
    return partition_id(region, number)


def partition_id(region: RegionName, number: int) -> PartitionId:
    """Return the id of partition ``number`` of a region, counted from 0."""
    return PartitionId(f"{region}/{number}")


def region_of(partition: PartitionId) -> RegionName:
    """Return the region of a partition's targets."""
    return RegionName(partition.rpartition("/")[0])


_NO_OWNER = -1
_ACQUISITIONS = tuple(Acquisition)


class _StoredMember(msgspec.Struct, array_like=True):
    member_id: str
    host: str
    port: int
    region: str
    failure_domain: str
    guard: str | None
    guarded_since: int


class _StoredRecord(msgspec.Struct, array_like=True):
    """The stored form: arrays, with owners as indexes, since names would take up most of it."""

    epoch: int
    change_id: str
    partitions_per_region: int
    members: list[_StoredMember]
    fenced: list[tuple[_StoredMember, str | None]]
    owners: dict[str, list[tuple[int, int, int, list[tuple[str, int, float]]]]]
    """For each region, a row per partition number: owner, epoch, acquisition, occupied slots.

    The owner is an index into the members followed by the fenced members, or -1.
    """


def encode_fleet(record: FleetRecord) -> bytes:
    """Encode a record in the stored form."""
    names = [*record.members, *record.fenced]
    indexes: dict[MemberId | None, int] = {name: index for index, name in enumerate(names)}
    indexes[None] = _NO_OWNER
    owners: dict[str, list[tuple[int, int, int, list[tuple[str, int, float]]]]] = {}
    for region in dict.fromkeys(map(region_of, record.owners)):
        for number in range(record.partitions_per_region):
            ownership = record.owners[partition_id(region, number)]
            row = (
                indexes[ownership.owner],
                int(ownership.since),
                _ACQUISITIONS.index(ownership.acquired),
                [(str(busy.target_id), busy.slots, busy.seconds) for busy in ownership.occupied],
            )
            owners.setdefault(region, []).append(row)
    stored = _StoredRecord(
        epoch=record.epoch,
        change_id=record.change_id,
        partitions_per_region=record.partitions_per_region,
        members=[_store_member(member) for member in record.members.values()],
        fenced=[(_store_member(entry.member), entry.taker) for entry in record.fenced.values()],
        owners=owners,
    )
    encoded: bytes = msgpack.packb(msgspec.to_builtins(stored))
    return encoded


def decode_fleet(value: bytes) -> FleetRecord:
    """Decode the stored form. Raises SettingsError if the value is malformed."""
    try:
        stored = convert(unpack_msgpack(value), _StoredRecord)
        return guarded(lambda: _load_record(stored))
    except InvalidDataError as error:
        raise SettingsError(f"the fleet record is unreadable: {error}") from error


def _load_record(stored: _StoredRecord) -> FleetRecord:
    members = [_load_member(member) for member in stored.members]
    fenced = [
        FencedMember(_load_member(member), MemberId(taker) if taker is not None else None)
        for member, taker in stored.fenced
    ]
    names = [member.member_id for member in members]
    names += [entry.member.member_id for entry in fenced]
    owners = {
        partition_id(RegionName(region), number): Ownership(
            owner=None if index == _NO_OWNER else names[index],
            since=Epoch(since),
            acquired=_ACQUISITIONS[acquired],
            occupied=tuple(
                OccupiedSlots(TargetId(target), slots, seconds)
                for target, slots, seconds in occupied
            ),
        )
        for region, rows in stored.owners.items()
        for number, (index, since, acquired, occupied) in enumerate(rows)
    }
    return FleetRecord(
        epoch=Epoch(stored.epoch),
        change_id=ChangeId(stored.change_id),
        partitions_per_region=stored.partitions_per_region,
        members={member.member_id: member for member in members},
        fenced={entry.member.member_id: entry for entry in fenced},
        owners=owners,
    )


def _store_member(member: Member) -> _StoredMember:
    return _StoredMember(
        member.member_id,
        member.address.host,
        member.address.port,
        member.zone.region,
        member.zone.failure_domain,
        member.guard,
        member.guarded_since,
    )


def _load_member(stored: _StoredMember) -> Member:
    return Member(
        MemberId(stored.member_id),
        Address(stored.host, stored.port),
        Zone(RegionName(stored.region), FailureDomainName(stored.failure_domain)),
        MemberId(stored.guard) if stored.guard is not None else None,
        Epoch(stored.guarded_since),
    )
