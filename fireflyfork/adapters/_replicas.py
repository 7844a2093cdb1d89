"""Replicas of keys of the store that instances ask each other for."""

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
class ReplicaPlace:
    """Where an instance answers for its replica."""

    node: NodeName
    address: Address


@dataclass(frozen=True, slots=True)
class ReplicaQuestion:
    """What has changed since?"""

    after: Revision
    """All changes up to this one are known to whoever asks; 0: none."""
    mark: float | None = None
    """Of the last answer on this connection."""


@dataclass(frozen=True, slots=True)
class ReplicaAnswer:
    """What one instance knows of the keys."""

    as_of: Revision
    """All changes up to this one are known to whoever answers; 0: none."""
    age_seconds: float
    """How long ago it was certain that nothing newer was in the store; infinite while nothing is known."""
    waited_seconds: float
    """How long the question waited for something to tell."""
    mark: float
    """Rises when more becomes known; for the next question."""
    revisions: Mapping[str, Revision]
    """The last change of every key that there is."""
    changed: tuple[StoredItem, ...]
    """The keys that have changed after the revision that was asked about."""


class ReplicaSource(ABC):
    """Answers for a replica."""

    @abstractmethod
    async def answer(self, question: ReplicaQuestion) -> ReplicaAnswer:
        """Wait until there is something to tell, or until a waiting question wants to hear from a live instance."""


class ReplicaPeer(ABC):
    """Another instance's replica, over one connection."""

    @abstractmethod
    async def ask(self, question: ReplicaQuestion, patience: float = inf) -> ReplicaAnswer:
        """One question. Raises PeerError when no answer comes, or none begins to within ``patience`` seconds."""


class ReplicaPeers(ABC):
    """The replicas of other instances."""

    @abstractmethod
    def connect(self, place: ReplicaPlace) -> AbstractAsyncContextManager[ReplicaPeer]:
        """Hold a connection to one of them. Raises PeerError when there can be none."""
