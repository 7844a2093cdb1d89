"""The fleet record: who the members are, who guards whom, and who owns which partition.

It is one value of the platform's store. Ownership is written down and not computed from a list of
members, so that nobody needs to know the epochs that they missed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgpack
import msgspec
import xxhash

from .._errors import SettingsError
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
"""The store key of the entries' record."""

_NO_EPOCH = Epoch(0)
_NO_CHANGE = ChangeId("")


_NEVER = Epoch(0)


@dataclass(frozen=True, slots=True)
class Member:
    """One run of a process that may own partitions."""

    member_id: MemberId
    address: Address
    """Where peers reach it. Two living processes never share one."""
    zone: Zone
    guard: MemberId | None = None
    """The only member that may fence this one; None while it is alone."""
    guarded_since: Epoch = _NEVER
    """The epoch in which the guard was chosen. What the guard was told under another one is stale."""


@dataclass(frozen=True, slots=True)
class FencedMember:
    """A member that lost its right to dispatch, or loses it within the takeover wait."""

    member: Member
    taker: MemberId | None
    """Who gives its partitions to new owners; None when nobody was left, so the next to join."""


class Acquisition(Enum):
    """How an owner came by a partition, which tells what may still be busy there."""

    FIRST = "first"
    """Nobody owned it before: nothing is busy."""
    MOVED = "moved"
    """Handed over: what may be busy is listed."""
    TAKEN_OVER = "taken-over"
    """The owner was fenced: every slot may be busy for the contract's longest run time."""


@dataclass(frozen=True, slots=True)
class OccupiedSlots:
    """Slots of one target that the previous owner's requests may still hold."""

    target_id: TargetId
    slots: int
    seconds: float
    """For how long at most, counted from when the new owner learns of it."""


@dataclass(frozen=True, slots=True)
class Ownership:
    """Who owns one partition."""

    owner: MemberId | None
    """None after the last member of the fleet left."""
    since: Epoch
    """The epoch in which the owner acquired it."""
    acquired: Acquisition = Acquisition.FIRST
    occupied: tuple[OccupiedSlots, ...] = ()
    """Only after a planned move."""


@dataclass(frozen=True, slots=True)
class FleetRecord:
    """The whole record. It changes by compare-and-swap only."""

    epoch: Epoch = _NO_EPOCH
    """Grows by 1 with each change; 0 before the first."""
    change_id: ChangeId = _NO_CHANGE
    """Unique to the change that made this epoch."""
    partitions_per_region: int = 32
    """Fixed by the change that made the first epoch."""
    members: Mapping[MemberId, Member] = field(default_factory=dict)
    """The members that are not fenced."""
    fenced: Mapping[MemberId, FencedMember] = field(default_factory=dict)
    owners: Mapping[PartitionId, Ownership] = field(default_factory=dict)

    def owner_of(self, partition: PartitionId) -> MemberId | None:
        """The owner, or None when the partition is unknown or nobody's."""
        ownership = self.owners.get(partition)
        return ownership.owner if ownership is not None else None

    def owned_by(self, member_id: MemberId) -> tuple[PartitionId, ...]:
        """The partitions of one member, sorted."""
        return tuple(
            partition
            for partition, ownership in sorted(self.owners.items())
            if ownership.owner == member_id
        )

    def wards_of(self, member_id: MemberId) -> tuple[MemberId, ...]:
        """The members that this one guards, sorted."""
        return tuple(
            ward for ward, member in sorted(self.members.items()) if member.guard == member_id
        )

    def guard_of(self, member_id: MemberId) -> MemberId | None:
        """The guard of an unfenced member."""
        member = self.members.get(member_id)
        return member.guard if member is not None else None


def partition_of(region: RegionName, key: str, partitions_per_region: int) -> PartitionId:
    """The partition of a target (by its id) or of an idempotency key."""
    number = xxhash.xxh3_64_intdigest(key.encode()) % partitions_per_region
    return partition_id(region, number)


def partition_id(region: RegionName, number: int) -> PartitionId:
    """The name of a region's partition, counted from 0."""
    return PartitionId(f"{region}/{number}")


def region_of(partition: PartitionId) -> RegionName:
    """The region that a partition's targets are in."""
    return RegionName(partition.rpartition("/")[0])


_NOBODY = -1
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
    """The record as stored: arrays, and owners as indexes, since names would make most of it."""

    epoch: int
    change_id: str
    partitions_per_region: int
    members: list[_StoredMember]
    fenced: list[tuple[_StoredMember, str | None]]
    owners: dict[str, list[tuple[int, int, int, list[tuple[str, int, float]]]]]
    """By region and number: index among members then fenced, epoch, acquisition, busy slots."""


def encode_fleet(record: FleetRecord) -> bytes:
    """The stored form."""
    names = [*record.members, *record.fenced]
    indexes: dict[MemberId | None, int] = {name: index for index, name in enumerate(names)}
    indexes[None] = _NOBODY
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
    """Read the stored form. Raises SettingsError when it is none."""
    try:
        stored = msgspec.convert(msgpack.unpackb(value), _StoredRecord)
    except (ValueError, msgspec.ValidationError, msgpack.UnpackException) as error:
        raise SettingsError(f"the fleet record is unreadable: {error}") from error
    members = [_load_member(member) for member in stored.members]
    fenced = [
        FencedMember(_load_member(member), MemberId(taker) if taker is not None else None)
        for member, taker in stored.fenced
    ]
    names = [member.member_id for member in members]
    names += [entry.member.member_id for entry in fenced]
    owners = {
        partition_id(RegionName(region), number): Ownership(
            owner=None if index == _NOBODY else names[index],
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
