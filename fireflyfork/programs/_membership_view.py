"""Adapts a running membership to the ownership view of the request path."""

from __future__ import annotations

from .._ids import MemberId, PartitionId, RegionName
from .._links import Address
from .._zones import Zone
from ..decisions import Member, Ownership
from ._membership import Membership
from ._ownership import Guard, OwnershipView


class MembershipView(OwnershipView):
    """An ownership view that is backed by a membership."""

    def __init__(self, zone: Zone) -> None:
        """``zone`` is the zone of this process. Call ``attach`` before use."""
        self._zone = zone
        self._membership: Membership | None = None

    def attach(self, membership: Membership) -> None:
        """Set the membership that backs the view."""
        self._membership = membership

    @property
    def member_id(self) -> MemberId:
        """See OwnershipView."""
        return self._backing.member_id

    @property
    def partitions_per_region(self) -> int:
        """See OwnershipView."""
        return self._backing.record.partitions_per_region

    def ownership_of(self, partition: PartitionId) -> Ownership | None:
        """See OwnershipView."""
        return self._backing.record.owners.get(partition)

    def may_dispatch(self, partition: PartitionId) -> bool:
        """See OwnershipView."""
        return self._backing.may_dispatch(partition)

    def region_of(self, member: MemberId) -> RegionName | None:
        """See OwnershipView."""
        if member == self.member_id:
            return self._zone.region
        known = self._member(member)
        return known.zone.region if known is not None else None

    def address_of(self, member: MemberId) -> Address | None:
        """See OwnershipView."""
        known = self._member(member)
        return known.address if known is not None else None

    def other_members(self) -> tuple[MemberId, ...]:
        """See OwnershipView."""
        return tuple(member for member in self._backing.record.members if member != self.member_id)

    def owners(self) -> dict[PartitionId, MemberId]:
        """See OwnershipView."""
        owners = self._backing.record.owners.items()
        return {
            partition: ownership.owner
            for partition, ownership in owners
            if ownership.owner is not None
        }

    def guard(self) -> Guard | None:
        """See OwnershipView."""
        own = self._member(self.member_id)
        if own is None or own.guard is None:
            return None
        return Guard(own.guard, own.guarded_since)

    def _member(self, member: MemberId) -> Member | None:
        return self._backing.record.members.get(member)

    @property
    def _backing(self) -> Membership:
        assert self._membership is not None
        return self._membership
