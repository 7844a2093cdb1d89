"""Chooses the instances to follow from the announcements."""

from __future__ import annotations

from loguru import logger

from ..._errors import StoreError
from ..._ids import NodeName
from ...adapters import ReplicaEndpoint
from ...decisions.jobs import choose_upstreams
from .._announcements import Announcements
from ._replica_follower import Upstreams


class AnnouncedUpstreams(Upstreams):
    """Chooses upstreams among the announced instances."""

    def __init__(self, announcements: Announcements) -> None:
        """Start with an empty list of instances; ``choose`` reads the announcements."""
        self._announcements = announcements
        self._lost: frozenset[NodeName] = frozenset()
        """Instances that didn't answer since the announcements were last read."""

    @property
    def review_seconds(self) -> float:
        """See Upstreams."""
        return self._announcements.review_seconds

    @property
    def worth_waiting_for(self) -> bool:
        """See Upstreams. For an instance near the store, no upstream is better than the store."""
        return not self._announcements.own.near_store

    def note_lost(self, upstream: NodeName) -> None:
        """See Upstreams."""
        self._lost |= {upstream}

    async def choose(self) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams. While the store doesn't answer, the previous announcements are used.

        In a large fleet they are used for longer. All followers of an instance lose it at once, and
        would fill the link to the store with their listings.
        """
        if self._announcements.has_recent_listing and (known := self.alternatives(frozenset())):
            return known
        try:
            await self._announcements.list_instances()
            self._lost = frozenset()
        except StoreError as error:
            logger.debug("other instances not listed", error=str(error))
        return self.alternatives(frozenset())

    def alternatives(self, excluded: frozenset[NodeName]) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams."""
        unusable = excluded | self._lost
        usable = (
            standing
            for standing in self._announcements.last_listed
            if standing.node not in unusable
        )
        chosen = choose_upstreams(self._announcements.own, usable)
        return tuple(
            ReplicaEndpoint(instance.node, instance.replica)
            for instance in chosen
            if instance.replica is not None
        )
