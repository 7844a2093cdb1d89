"""All targets that this entry owns, updated with configuration, ownership and instance list."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

import trio

from .._contracts import Configuration, TargetContract
from .._ids import MemberId, PartitionId, ServiceName, TargetId
from ..decisions import (
    Acquisition,
    HandedOverSlot,
    LeavingTargets,
    OccupiedSlots,
    Ownership,
    SlotHandover,
    SlotLedger,
    SlotLimits,
    partition_of,
)
from ._ownership import OwnershipView
from ._slot_releases import SlotReleases, SlotsReleased
from ._target_group import OwnedTarget, TargetGroup


class TargetGroups:
    """The target groups by service, and the other members that own targets of each service."""

    def __init__(self, ownership: OwnershipView, releases: SlotReleases) -> None:
        """Start without groups. ``releases`` notifies new owners when handed-over slots are free."""
        self._ownership = ownership
        self._releases = releases
        self._groups: dict[ServiceName, TargetGroup] = {}
        self._owners: dict[ServiceName, tuple[MemberId, ...]] = {}
        self._leaving = LeavingTargets()
        self._partition_of: dict[TargetId, PartitionId] = {}

    @property
    def leaving(self) -> LeavingTargets:
        """The leaving targets, which get no new requests."""
        return self._leaving

    def group(self, service: ServiceName) -> TargetGroup | None:
        """Return the group of a service, or None if the configuration has no such service."""
        return self._groups.get(service)

    def groups(self) -> Iterator[TargetGroup]:
        """Yield the groups of all services."""
        yield from self._groups.values()

    def other_owners(self, service: ServiceName) -> tuple[MemberId, ...]:
        """Return the other members that own targets of the service."""
        return self._owners.get(service, ())

    def note_leaving(self, leaving: LeavingTargets) -> None:
        """Set the leaving targets, which get no new requests."""
        self._leaving = leaving
        now = trio.current_time()
        for group in self._groups.values():
            for target_id, target in group.targets.items():
                self._set_leaving(target, leaving.includes(target_id, now))
            group.assign_slots()

    def refresh(self, configuration: Configuration) -> None:
        """Apply a change of the configuration or of ownership."""
        owned = self._owned_contracts(configuration)
        for contract in configuration.services:
            if contract.name not in self._groups:
                self._groups[contract.name] = TargetGroup(contract, self._releases.note_ended)
            group = self._groups[contract.name]
            group.update_contract(contract)
            self._refresh_group(group, owned[contract.name])
        for name in self._groups.keys() - {contract.name for contract in configuration.services}:
            del self._groups[name]
        self.note_leaving(self._leaving)
        self._releases.send_pending()
        self._releases.apply_early()

    def occupied(
        self, partitions: frozenset[PartitionId]
    ) -> dict[PartitionId, tuple[OccupiedSlots, ...]]:
        """Return the slots of owned targets in ``partitions`` that may still be busy."""
        now = trio.current_time()
        occupied: dict[PartitionId, list[OccupiedSlots]] = defaultdict(list)
        for group in self._groups.values():
            for target in group.targets.values():
                if target.partition in partitions and target.ledger.busy(now):
                    occupied[target.partition].append(_occupied_slots(target, now))
                    attempts = target.ledger.attempts()
                    self._releases.note_handed_over(
                        target.contract.target_id, target.partition, attempts
                    )
        return {partition: tuple(slots) for partition, slots in occupied.items()}

    def release_inherited(self, notice: SlotsReleased) -> bool:
        """Free slots that the previous owner's requests occupied.

        Returns False if this entry has not owned the target since the notice's epoch.
        """
        for group in self._groups.values():
            target = group.targets.get(notice.target_id)
            if target is not None and target.since == notice.since:
                for _ in range(notice.count):
                    target.ledger = target.ledger.release_inherited()
                group.assign_slots()
                return True
        return False

    def _owned_contracts(
        self, configuration: Configuration
    ) -> dict[ServiceName, list[TargetContract]]:
        owned: dict[ServiceName, list[TargetContract]] = defaultdict(list)
        other_owners: dict[ServiceName, set[MemberId]] = defaultdict(set)
        for target in configuration.targets:
            partition = self._partition(target)
            owner = self._ownership.owner_of(partition)
            if owner == self._ownership.member_id:
                owned[target.service].append(target)
            elif owner is not None:
                other_owners[target.service].add(owner)
        self._owners = {
            service: tuple(sorted(members)) for service, members in other_owners.items()
        }
        return owned

    def _partition(self, target: TargetContract) -> PartitionId:
        count = self._ownership.partitions_per_region
        partition = partition_of(target.region, target.target_id, count)
        self._partition_of[target.target_id] = partition
        return partition

    def _refresh_group(self, group: TargetGroup, contracts: list[TargetContract]) -> None:
        by_id = {target.target_id: target for target in contracts}
        for target_id in group.targets.keys() - by_id.keys():
            group.remove(target_id)
        for target_id, contract in by_id.items():
            owned = group.targets.get(target_id)
            partition = self._partition_of[target_id]
            ownership = self._ownership.ownership_of(partition)
            assert ownership is not None
            if owned is not None and owned.since != ownership.since:
                group.remove(target_id)
                owned = None
            if owned is None:
                ledger = _new_ledger(group, contract, ownership)
                group.add(contract, partition, ownership, ledger)
            elif owned.contract != contract:
                owned.contract = contract
                terms = SlotLimits.from_contracts(contract, group.contract)
                owned.ledger = owned.ledger.with_limits(terms)

    @staticmethod
    def _set_leaving(target: OwnedTarget, leaving: bool) -> None:
        if leaving != target.ledger.leaving:
            target.ledger = target.ledger.leave() if leaving else target.ledger.rejoin()


def _new_ledger(group: TargetGroup, contract: TargetContract, ownership: Ownership) -> SlotLedger:
    terms = SlotLimits.from_contracts(contract, group.contract)
    now = trio.current_time()
    if ownership.acquired is Acquisition.FIRST:
        return SlotLedger(terms)
    if ownership.acquired is Acquisition.MOVED:
        handover = _handover(ownership.occupied, contract.target_id, terms)
        return SlotLedger.after_handover(terms, handover, now)
    return SlotLedger.after_fence(terms, now)


def _handover(
    occupied: tuple[OccupiedSlots, ...], target_id: TargetId, terms: SlotLimits
) -> SlotHandover:
    handed = tuple(
        HandedOverSlot(None, slots.seconds)
        for slots in occupied
        if slots.target_id == target_id
        for _ in range(slots.slots)
    )
    return SlotHandover(handed, terms.own_connections, leaving=False)


def _occupied_slots(target: OwnedTarget, now: float) -> OccupiedSlots:
    ledger = target.ledger
    last = max(slot.until for slot in ledger.occupied)
    return OccupiedSlots(target.contract.target_id, ledger.busy(now), last - now)
