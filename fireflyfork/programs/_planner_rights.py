"""Which planner owns which partition, as the planner's own code sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod

import trio

from .._ids import MemberId, PartitionId
from .._links import Address
from ._membership import FleetView, Membership
from ._planner_peers import PlannerDirectory


class PartitionRights(ABC):
    """The right to act for partitions of workers, under the fleet's fencing rule."""

    @property
    @abstractmethod
    def member(self) -> MemberId:
        """This run of the process."""

    @abstractmethod
    def owned(self) -> frozenset[PartitionId]:
        """The partitions written down as this member's, whether it may act right now or not."""

    @abstractmethod
    def holds(self, partition: PartitionId) -> bool:
        """Whether this member may act for ``partition`` at this very moment.

        Checked right before each order to the platform, and again after any pause.
        """

    @abstractmethod
    def owner_address(self, partition: PartitionId) -> Address | None:
        """Where the operators' endpoint of the owner is, if one is known."""

    @abstractmethod
    async def changed(self) -> None:
        """Return when ``owned`` may have changed."""


class MembershipRights(PartitionRights):
    """The rights of a member of the planners' fleet."""

    def __init__(self, directory: PlannerDirectory) -> None:
        """Call ``attach`` before use."""
        self._directory = directory
        self._membership: Membership | None = None
        self._change = trio.Event()

    def attach(self, membership: Membership) -> None:
        """Give it the membership, whose changes go to ``note_change``."""
        self._membership = membership

    def note_change(self, view: FleetView) -> None:
        """The fleet record or this member's phase changed."""
        self._change.set()
        self._change = trio.Event()

    @property
    def member(self) -> MemberId:
        """See PartitionRights."""
        return self._running.member_id

    def owned(self) -> frozenset[PartitionId]:
        """See PartitionRights."""
        return frozenset(self._running.owned_partitions)

    def holds(self, partition: PartitionId) -> bool:
        """See PartitionRights."""
        return self._running.may_dispatch(partition)

    def owner_address(self, partition: PartitionId) -> Address | None:
        """See PartitionRights."""
        owner = self._running.owner_of(partition)
        return None if owner is None else self._directory.address_of(owner.member_id)

    async def changed(self) -> None:
        """See PartitionRights."""
        await self._change.wait()

    @property
    def _running(self) -> Membership:
        assert self._membership is not None
        return self._membership
