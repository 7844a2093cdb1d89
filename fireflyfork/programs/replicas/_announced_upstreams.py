"""Chooses the instances to follow from the announcements."""

from __future__ import annotations

from loguru import logger

from ..._errors import StoreError
from ..._ids import NodeName
from ...adapters import ReplicaEndpoint
from ...decisions.jobs import InstanceStanding, choose_upstreams
from .._announcements import Announcements
from ._replica_follower import Upstreams


class AnnouncedUpstreams(Upstreams):
    """Chooses upstreams among the announced instances."""

    def __init__(self, announcements: Announcements) -> None:
        """Start with an empty list of instances; ``choose`` reads the announcements."""
        self._announcements = announcements
        self._last_listed: list[InstanceStanding] = []

    @property
    def worth_waiting_for(self) -> bool:
        """See Upstreams. For an instance near the store, no upstream is better than the store."""
        return not self._announcements.own.near_store

    async def choose(self) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams. While the store doesn't answer, the previous announcements are used."""
        try:
            self._last_listed = await self._announcements.list_instances()
        except StoreError as error:
            logger.debug("other instances not listed", error=str(error))
        return self.alternatives(frozenset())

    def alternatives(self, excluded: frozenset[NodeName]) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams."""
        usable = (standing for standing in self._last_listed if standing.node not in excluded)
        chosen = choose_upstreams(self._announcements.own, usable)
        return tuple(
            ReplicaEndpoint(instance.node, instance.replica)
            for instance in chosen
            if instance.replica is not None
        )
