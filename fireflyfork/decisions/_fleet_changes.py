"""The permitted changes of the fleet record.

Each function returns the changed record, or None if the change no longer applies to the record.
Three rules keep the changes safe; for each of them, a randomized search found faults in a fleet
without it (``docs/design/ownership.md``):

- Only the guard fences a member, and a partition is never taken from an owner that is not fenced.
- A member's guard is changed by the member itself, by the guard when it leaves, or by the member
  that removes the fenced guard. No other member may change it, since the old guard would continue
  to acknowledge the member.
- Any member may assign a guard to a member that has none.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace

from .._ids import ChangeId, Epoch, MemberId, PartitionId, RegionName
from ._fleet import (
    Acquisition,
    FencedMember,
    FleetRecord,
    Member,
    OccupiedSlots,
    Ownership,
    partition_id,
    region_of,
)

OccupiedByPartition = Mapping[PartitionId, tuple[OccupiedSlots, ...]]
"""The slots that may still be occupied in each partition that is handed over."""

_SAME_REGION, _SAME_FAILURE_DOMAIN, _OTHER_REGION = range(3)


def guard_rank(member: Member, guard: Member) -> int:
    """Return the rank of a guard's location for a member; lower is better."""
    if guard.zone.region != member.zone.region:
        return _OTHER_REGION
    if guard.zone.failure_domain == member.zone.failure_domain:
        return _SAME_FAILURE_DOMAIN
    return _SAME_REGION


def choose_guard(
    members: Mapping[MemberId, Member], member: Member, avoid: Collection[MemberId] = ()
) -> MemberId | None:
    """Return the best guard for a member, or None if there is no candidate.

    Among candidates of equal rank, a member that this member guards is preferred: two members that
    guard each other can renew each other's right after a pause during a store outage, which longer
    cycles of guards can't always do.
    """
    wards = Counter(peer.guard for peer in members.values())

    def preference(candidate: Member) -> tuple[int, bool, int, MemberId]:
        return (
            guard_rank(member, candidate),
            candidate.guard != member.member_id,
            wards[candidate.member_id],
            candidate.member_id,
        )

    candidates = (
        peer for name, peer in members.items() if name != member.member_id and name not in avoid
    )
    best = min(candidates, key=preference, default=None)
    return best.member_id if best is not None else None


def choose_mutual_guard(members: Mapping[MemberId, Member], member: Member) -> MemberId | None:
    """Return a ward that should replace the member's guard, or None if there is none.

    The ward ranks at least as well as the current guard, which is not itself a ward. After the
    change the member and the ward guard each other. If a member dies during a store outage, every
    member whose chain of guards leads to it loses its right, so chains should be short.
    """
    guard = members.get(member.guard) if member.guard is not None else None
    if guard is None or guard.guard == member.member_id:
        return None
    wards = (
        name
        for name, ward in members.items()
        if ward.guard == member.member_id and guard_rank(member, ward) <= guard_rank(member, guard)
    )
    return min(wards, default=None)


def join(record: FleetRecord, newcomer: Member, change_id: ChangeId) -> FleetRecord | None:
    """Add a member.

    It becomes the owner of partitions without an owner; others reach it by planned moves. A member
    that is registered at the same address must be dead, since two processes can't listen at one
    address, so its partitions are reassigned at once. Without this, two processes that guard each
    other and die together would remain owners until an operator intervenes.
    """
    name = newcomer.member_id
    if name in record.members or name in record.fenced:
        return None
    members = {**record.members, name: newcomer}
    changed = replace(record, members=members)
    for predecessor in _members_at_address(record, newcomer):
        changed = _with_removed(changed, predecessor, newcomer)
    members = dict(changed.members)
    for member in list(members.values()):
        if member.guard is None and member.member_id != name:
            members[member.member_id] = _with_guard(record, member, name)
    members[name] = _with_guard(record, newcomer, choose_guard(members, newcomer))
    fenced = {
        member_id: replace(entry, taker=name) if entry.taker is None else entry
        for member_id, entry in changed.fenced.items()
    }
    owners = dict(changed.owners)
    epoch = Epoch(record.epoch + 1)
    region = newcomer.zone.region
    for number in range(record.partitions_per_region):
        owners.setdefault(partition_id(region, number), Ownership(None, epoch))
    for partition, ownership in owners.items():
        if ownership.owner is None:
            owners[partition] = replace(ownership, owner=name, since=epoch)
    return _next_epoch(replace(changed, members=members, fenced=fenced, owners=owners), change_id)


def fence(
    record: FleetRecord, ward: MemberId, by: MemberId, change_id: ChangeId
) -> FleetRecord | None:
    """Mark a member as fenced. Only its guard may do this."""
    if by not in record.members or record.guard_of(ward) != by:
        return None
    return _next_epoch(_with_fenced(record, ward, by), change_id)


def fence_terminated(
    record: FleetRecord, terminated: MemberId, by: MemberId, change_id: ChangeId
) -> FleetRecord | None:
    """Mark a terminated member as fenced, even if ``by`` is not its guard.

    This is safe only if the instance has really been terminated and its member id is never reused.
    The source must be an operator, or an instance list that never omits a live instance.
    """
    if by not in record.members or terminated not in record.members or terminated == by:
        return None
    return _next_epoch(_with_fenced(record, terminated, by), change_id)


def take_over(
    record: FleetRecord, fenced: MemberId, by: MemberId, change_id: ChangeId
) -> FleetRecord | None:
    """Reassign the partitions of a fenced member. The taker must have waited the takeover wait."""
    entry = record.fenced.get(fenced)
    taker = record.members.get(by)
    if entry is None or taker is None or entry.taker != by:
        return None
    return _next_epoch(_with_removed(record, fenced, taker), change_id)


def change_guard(
    record: FleetRecord, member_id: MemberId, guard: MemberId | None, change_id: ChangeId
) -> FleetRecord | None:
    """Replace a member's guard. Only the member itself may do this."""
    member = record.members.get(member_id)
    if member is None or member.guard == guard:
        return None
    members = {**record.members, member_id: _with_guard(record, member, guard)}
    return _next_epoch(replace(record, members=members), change_id)


def move(
    record: FleetRecord,
    giver: MemberId,
    receivers: Mapping[PartitionId, MemberId],
    occupied: OccupiedByPartition,
    change_id: ChangeId,
) -> FleetRecord | None:
    """Transfer partitions from their owner, with the slots that its requests still occupy."""
    epoch = Epoch(record.epoch + 1)
    owners = dict(record.owners)
    for partition, receiver in receivers.items():
        if record.owner_of(partition) != giver or receiver not in record.members:
            return None
        busy = occupied.get(partition, ())
        owners[partition] = Ownership(receiver, epoch, Acquisition.MOVED, busy)
    if giver not in record.members or not receivers:
        return None
    return _next_epoch(replace(record, owners=owners), change_id)


def leave(
    record: FleetRecord, leaver: MemberId, occupied: OccupiedByPartition, change_id: ChangeId
) -> FleetRecord | None:
    """Remove a member that hands over all of its partitions."""
    member = record.members.get(leaver)
    if member is None:
        return None
    members = {name: remaining for name, remaining in record.members.items() if name != leaver}
    guard = members.get(member.guard) if member.guard is not None else None
    fallback = guard or next(iter(members.values()), None)
    changed = _with_duties_reassigned(replace(record, members=members), leaver, fallback)
    owners = dict(changed.owners)
    epoch = Epoch(record.epoch + 1)
    for partition, receiver in _assign_evenly(changed, record.owned_by(leaver), fallback).items():
        busy = occupied.get(partition, ())
        owners[partition] = Ownership(receiver, epoch, Acquisition.MOVED, busy)
    return _next_epoch(replace(changed, owners=owners), change_id)


def planned_moves(record: FleetRecord, giver: MemberId) -> dict[PartitionId, MemberId]:
    """Return the partitions that an owner has beyond its even share, with their new owners.

    Partitions are shared among the members of their own region. A region without a member is served
    by members of another region until a member joins there, which then receives all of it.
    """
    moves: dict[PartitionId, MemberId] = {}
    by_region: dict[RegionName, list[PartitionId]] = {}
    for partition in record.owned_by(giver):
        by_region.setdefault(region_of(partition), []).append(partition)
    for region, owned in by_region.items():
        moves.update(_surplus_moves(record, giver, region, owned))
    return moves


def _surplus_moves(
    record: FleetRecord, giver: MemberId, region: RegionName, owned: list[PartitionId]
) -> Iterable[tuple[PartitionId, MemberId]]:
    region_members = _members_in_region(record, region)
    if not region_members:
        return
    counts = Counter(
        ownership.owner
        for partition, ownership in record.owners.items()
        if region_of(partition) == region
    )
    base, extra = divmod(counts.total(), len(region_members))
    largest_first = sorted(region_members, key=lambda name: (-counts[name], name))
    shares = {name: base + (rank < extra) for rank, name in enumerate(largest_first)}
    surplus = max(0, len(owned) - shares.get(giver, 0))
    room = {name: shares[name] - counts[name] for name in region_members if name != giver}
    for partition in owned[len(owned) - surplus :]:
        receiver = max(room, key=lambda name: (room[name], name), default=None)
        if receiver is None or room[receiver] <= 0:
            return
        room[receiver] -= 1
        yield partition, receiver


def _members_in_region(record: FleetRecord, region: RegionName) -> list[MemberId]:
    return sorted(name for name, member in record.members.items() if member.zone.region == region)


def _members_at_address(record: FleetRecord, newcomer: Member) -> list[MemberId]:
    present = [*record.members.values(), *(entry.member for entry in record.fenced.values())]
    return [member.member_id for member in present if member.address == newcomer.address]


def _with_fenced(record: FleetRecord, ward: MemberId, by: MemberId) -> FleetRecord:
    members = dict(record.members)
    member = members.pop(ward)
    fenced = {**record.fenced, ward: FencedMember(member, by)}
    return replace(record, members=members, fenced=fenced)


def _with_removed(record: FleetRecord, removed: MemberId, fallback: Member) -> FleetRecord:
    """Remove a member whose right has expired, and reassign its partitions, wards and takeovers."""
    members = {name: member for name, member in record.members.items() if name != removed}
    fenced = {name: entry for name, entry in record.fenced.items() if name != removed}
    changed = _with_duties_reassigned(
        replace(record, members=members, fenced=fenced), removed, fallback
    )
    owners = dict(changed.owners)
    epoch = Epoch(record.epoch + 1)
    for partition, receiver in _assign_evenly(changed, record.owned_by(removed), fallback).items():
        owners[partition] = Ownership(receiver, epoch, Acquisition.TAKEN_OVER)
    return replace(changed, owners=owners)


def _with_duties_reassigned(
    record: FleetRecord, removed: MemberId, fallback: Member | None
) -> FleetRecord:
    """Choose new guards for a removed member's wards, and a new taker for members it fenced."""
    members = dict(record.members)
    for name, member in record.members.items():
        if member.guard == removed:
            guard = choose_guard(members, member, (removed,))
            members[name] = _with_guard(record, member, guard)
    taker = fallback.member_id if fallback is not None else None
    fenced = {
        name: replace(entry, taker=taker) if entry.taker == removed else entry
        for name, entry in record.fenced.items()
    }
    return replace(record, members=members, fenced=fenced)


def _with_guard(record: FleetRecord, member: Member, guard: MemberId | None) -> Member:
    """Return the member with a guard chosen in the next epoch."""
    return replace(member, guard=guard, guarded_since=Epoch(record.epoch + 1))


def _assign_evenly(
    record: FleetRecord, partitions: Iterable[PartitionId], fallback: Member | None
) -> dict[PartitionId, MemberId | None]:
    """Distribute partitions evenly among the members of their region.

    If the region has no members, those of the region of ``fallback`` are used.
    """
    counts = Counter(ownership.owner for ownership in record.owners.values())
    receivers: dict[PartitionId, MemberId | None] = {}
    for partition in partitions:
        region_members = _members_in_region(record, region_of(partition))
        if not region_members and fallback is not None:
            region_members = _members_in_region(record, fallback.zone.region)
        receiver = min(region_members, key=lambda name: (counts[name], name), default=None)
        counts[receiver] += 1
        receivers[partition] = receiver
    return receivers


def _next_epoch(record: FleetRecord, change_id: ChangeId) -> FleetRecord:
    return replace(record, epoch=Epoch(record.epoch + 1), change_id=change_id)
