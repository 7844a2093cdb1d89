"""Which planner owns which partition, as the planner's own code sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping

import trio

from .._ids import MemberId, PartitionId
from .._links import Address


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


class SettledRights(PartitionRights):
    """Owners that the settings name, once and for all."""

    def __init__(
        self,
        member: MemberId,
        owned: frozenset[PartitionId],
        others: Mapping[PartitionId, Address],
    ) -> None:
        """``others`` are the owners of the partitions that are not this member's."""
        self._member = member
        self._owned = owned
        self._others = others

    @property
    def member(self) -> MemberId:
        """See PartitionRights."""
        return self._member

    def owned(self) -> frozenset[PartitionId]:
        """See PartitionRights."""
        return self._owned

    def holds(self, partition: PartitionId) -> bool:
        """See PartitionRights."""
        return partition in self._owned

    def owner_address(self, partition: PartitionId) -> Address | None:
        """See PartitionRights."""
        return self._others.get(partition)

    async def changed(self) -> None:
        """See PartitionRights; it never returns."""
        await trio.sleep_forever()
