"""Who owns what, as the request path sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import Epoch, MemberId, PartitionId, RegionName
from .._links import Address
from ..decisions import Ownership


@dataclass(frozen=True, slots=True)
class Guard:
    """The member that guards this one."""

    member_id: MemberId
    since: Epoch
    """The epoch in which it was chosen."""


class OwnershipView(ABC):
    """The fleet record, and this member's right to act on it."""

    @property
    @abstractmethod
    def own(self) -> MemberId:
        """This member."""

    @property
    @abstractmethod
    def partitions_per_region(self) -> int:
        """Into how many partitions each region's targets and keys are hashed."""

    @abstractmethod
    def ownership_of(self, partition: PartitionId) -> Ownership | None:
        """Who owns the partition by the latest record known here, and how that came about."""

    @abstractmethod
    def may_dispatch(self, partition: PartitionId) -> bool:
        """Whether this member may act as its owner now. Ask right before each dispatch."""

    @abstractmethod
    def region_of(self, member: MemberId) -> RegionName | None:
        """The region of a member, or None when it is unknown."""

    @abstractmethod
    def address_of(self, member: MemberId) -> Address | None:
        """Where peers reach a member, or None when it is unknown."""

    @abstractmethod
    def other_members(self) -> tuple[MemberId, ...]:
        """All members but this one."""

    @abstractmethod
    def owners(self) -> dict[PartitionId, MemberId]:
        """The owners of all partitions that have one."""

    def owned_partitions(self) -> tuple[PartitionId, ...]:
        """The partitions that this member owns."""
        own = self.own
        return tuple(one for one, owner in self.owners().items() if owner == own)

    @abstractmethod
    def guard(self) -> Guard | None:
        """The guard of this member; None while it is alone."""

    def owner_of(self, partition: PartitionId) -> MemberId | None:
        """The owner of the partition, or None when there is none."""
        ownership = self.ownership_of(partition)
        return ownership.owner if ownership is not None else None
