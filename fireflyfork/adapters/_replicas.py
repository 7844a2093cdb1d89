"""The interfaces through which instances replicate keys of the store from each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from math import inf

from .._ids import NodeName, Revision
from .._links import Address
from ._coordination import StoredItem


@dataclass(frozen=True, slots=True)
class ReplicaEndpoint:
    """The address at which an instance serves its replica."""

    node: NodeName
    address: Address


@dataclass(frozen=True, slots=True)
class Route:
    """The instances through which changes of the store reach a replica, as in a path vector.

    Each instance prepends itself to the route of its upstream, so an instance that finds itself in
    the route of an upstream would follow itself.
    """

    hops: tuple[NodeName, ...] = ()
    """The instance with the replica first, then its upstream, and so on."""
    reaches_store: bool = False
    """Whether the last hop follows the store. False while it waits for an upstream."""

    def via(self, node: NodeName) -> Route:
        """Return the route of an instance that follows the first hop."""
        return Route((node, *self.hops), self.reaches_store)


@dataclass(frozen=True, slots=True)
class ReplicaQuery:
    """A query for all changes after a revision."""

    after: Revision
    """The revision up to which the follower has all changes; 0: it has none."""
    mark: float | None = None
    """The ``mark`` of the last answer on this connection, or None for the first query."""


@dataclass(frozen=True, slots=True)
class ReplicaAnswer:
    """The state of an instance's replica, with the changes that the follower lacks."""

    as_of: Revision
    """The revision up to which the replica has all changes; 0: it has none."""
    age_seconds: float
    """The time since the replica was last known to be up to date with the store; infinite if it never was."""
    waited_seconds: float
    """How long the query waited for an update."""
    mark: float
    """A value that rises when the replica learns more. The follower sends it in its next query."""
    revisions: Mapping[str, Revision]
    """The revision of the last change of every existing key."""
    changed: tuple[StoredItem, ...]
    """The items that have changed after the revision of the query."""
    route: Route = Route()


class ReplicaSource(ABC):
    """Answers queries about a replica."""

    @abstractmethod
    async def answer(self, query: ReplicaQuery) -> ReplicaAnswer:
        """Return the answer to a query.

        Waits for an update, but no longer than a waiting follower takes to conclude that this instance is dead.
        """


class ReplicaPeer(ABC):
    """A connection to another instance's replica."""

    @abstractmethod
    async def ask(self, query: ReplicaQuery, max_wait: float = inf) -> ReplicaAnswer:
        """Send a query and return the answer.

        Raises PeerError if no answer arrives, or if none begins to arrive within ``max_wait`` seconds.
        """


class ReplicaPeers(ABC):
    """Connects to the replicas of other instances."""

    @abstractmethod
    def connect(self, endpoint: ReplicaEndpoint) -> AbstractAsyncContextManager[ReplicaPeer]:
        """Hold a connection to a replica during the block. Raises PeerError if it can't be made."""
