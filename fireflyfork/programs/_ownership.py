"""The request path's interface to partition ownership."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import Epoch, MemberId, PartitionId, RegionName
from .._links import Address
from ..decisions import Ownership


@dataclass(frozen=True, slots=True)
class Guard:
    """The guard of this member."""

    member_id: MemberId
    since: Epoch
    """The epoch in which the guard was chosen."""


class OwnershipView(ABC):
    """Read access to the fleet record and to this member's right to act as an owner."""

    @property
    @abstractmethod
    def member_id(self) -> MemberId:
        """The id of this member."""

    @property
    @abstractmethod
    def partitions_per_region(self) -> int:
        """The number of partitions into which the targets and keys of a region are hashed."""

    @abstractmethod
    def ownership_of(self, partition: PartitionId) -> Ownership | None:
        """Return the partition's owner and how it was acquired, by the latest record known here."""

    @abstractmethod
    def may_dispatch(self, partition: PartitionId) -> bool:
        """Whether this member may act as the partition's owner now.

        Call it right before each dispatch.
        """

    @abstractmethod
    def region_of(self, member: MemberId) -> RegionName | None:
        """Return the region of a member, or None if the member is unknown."""

    @abstractmethod
    def address_of(self, member: MemberId) -> Address | None:
        """Return the address where peers reach a member, or None if the member is unknown."""

    @abstractmethod
    def other_members(self) -> tuple[MemberId, ...]:
        """Return the ids of all members except this one."""

    @abstractmethod
    def owners(self) -> dict[PartitionId, MemberId]:
        """Return the owner of each partition that has an owner."""

    def owned_partitions(self) -> tuple[PartitionId, ...]:
        """Return the partitions that this member owns."""
        member_id = self.member_id
        return tuple(partition for partition, owner in self.owners().items() if owner == member_id)

    @abstractmethod
    def guard(self) -> Guard | None:
        """Return the guard of this member, or None if it has no guard."""

    def owner_of(self, partition: PartitionId) -> MemberId | None:
        """Return the owner of the partition, or None if there is none."""
        ownership = self.ownership_of(partition)
        return ownership.owner if ownership is not None else None
