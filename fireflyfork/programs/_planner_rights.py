"""The ownership of partitions as the planner's own code sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod

import trio

from .._ids import MemberId, PartitionId
from .._links import Address
from ._membership import FleetView, Membership
from ._planner_peers import PlannerDirectory


class PartitionRights(ABC):
    """The right to act for partitions of workers under the fleet's fencing rule."""

    @property
    @abstractmethod
    def member(self) -> MemberId:
        """The member id of this process."""

    @abstractmethod
    def owned(self) -> frozenset[PartitionId]:
        """Return the partitions that the fleet record assigns to this member.

        The member may be unable to act for them at the moment; see ``holds``.
        """

    @abstractmethod
    def holds(self, partition: PartitionId) -> bool:
        """Return whether this member may act for ``partition`` at this moment.

        Check this immediately before each order to the platform and again after every await.
        """

    @abstractmethod
    def owner_address(self, partition: PartitionId) -> Address | None:
        """Return the operators' endpoint of the partition's owner, or None if it is not known."""

    @abstractmethod
    async def changed(self) -> None:
        """Wait until the result of ``owned`` may have changed."""


class MembershipRights(PartitionRights):
    """Partition rights that follow from membership in the planners' fleet."""

    def __init__(self, directory: PlannerDirectory) -> None:
        """``attach`` must be called before any other method."""
        self._directory = directory
        self._membership: Membership | None = None
        self._change = trio.Event()

    def attach(self, membership: Membership) -> None:
        """Set the membership, which must report its changes to ``note_change``."""
        self._membership = membership

    def note_change(self, view: FleetView) -> None:
        """Wake the callers of ``changed``: the fleet record or this member's phase changed."""
        self._change.set()
        self._change = trio.Event()

    @property
    def member(self) -> MemberId:
        """See PartitionRights."""
        return self._attached_membership.member_id

    def owned(self) -> frozenset[PartitionId]:
        """See PartitionRights."""
        return frozenset(self._attached_membership.owned_partitions)

    def holds(self, partition: PartitionId) -> bool:
        """See PartitionRights."""
        return self._attached_membership.may_dispatch(partition)

    def owner_address(self, partition: PartitionId) -> Address | None:
        """See PartitionRights."""
        owner = self._attached_membership.owner_of(partition)
        return None if owner is None else self._directory.address_of(owner.member_id)

    async def changed(self) -> None:
        """See PartitionRights."""
        await self._change.wait()

    @property
    def _attached_membership(self) -> Membership:
        assert self._membership is not None
        return self._membership
