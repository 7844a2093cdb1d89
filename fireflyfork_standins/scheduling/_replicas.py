"""Replicas of other instances without sockets, with late answers and instances that end or freeze."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from math import inf

import msgspec
import trio

from fireflyfork._errors import PeerError
from fireflyfork._ids import NodeName
from fireflyfork.adapters import (
    ReplicaAnswer,
    ReplicaEndpoint,
    ReplicaPeer,
    ReplicaPeers,
    ReplicaQuery,
    ReplicaSource,
)
from fireflyfork.adapters._replica_client import SILENT_SECONDS
from fireflyfork.adapters._replica_messages import Ask, ItemEncoder

Transfer = Callable[[NodeName, NodeName, int], Awaitable[None]]
"""Transfers a number of bytes from the first instance to the second."""


async def _at_once(_sender: NodeName, _receiver: NodeName, _size: int) -> None:
    await trio.lowlevel.checkpoint()


@dataclass(slots=True)
class ReplicaNetwork:
    """All instances that answer questions from their replicas."""

    sources: dict[NodeName, ReplicaSource] = field(default_factory=dict)
    frozen: set[NodeName] = field(default_factory=set)
    """Instances that accept connections but answer nothing."""
    carry: Transfer = _at_once


class StandInReplicaPeers(ReplicaPeers):
    """Connections of one instance to the replicas of others."""

    def __init__(
        self,
        node: NodeName,
        network: ReplicaNetwork,
        wait_awake: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
    ) -> None:
        """Connect from ``node``; ``wait_awake`` waits while ``node`` is frozen."""
        self._node = node
        self._network = network
        self._awake = wait_awake

    @asynccontextmanager
    async def connect(self, place: ReplicaEndpoint) -> AsyncIterator[ReplicaPeer]:
        """See ReplicaPeers."""
        if place.node not in self._network.sources:
            raise PeerError(f"can't connect to {place.node}")
        yield _Peer(self._node, place.node, self._network, self._awake)


class _Peer(ReplicaPeer):
    def __init__(
        self,
        node: NodeName,
        other: NodeName,
        network: ReplicaNetwork,
        awake: Callable[[], Awaitable[None]],
    ) -> None:
        self._awake = awake
        self._node = node
        self._other = other
        self._network = network
        self._source = network.sources[other]
        self._encoder = ItemEncoder()

    async def ask(self, question: ReplicaQuery, patience: float = inf) -> ReplicaAnswer:
        """See ReplicaPeer. Once an answer arrives, its transfer may exceed the limit of silence."""
        carry = self._network.carry
        await carry(self._node, self._other, _size(Ask.of(question)))
        silent_at = trio.current_time() + min(SILENT_SECONDS, patience)
        await self._fail_if_gone(silent_at)
        with trio.CancelScope(deadline=silent_at) as scope:
            answer = await self._source.answer(question)
        if scope.cancelled_caught:
            raise PeerError(f"{self._other} is silent")
        # The other instance may have ended or been frozen while it answered.
        await self._fail_if_gone(silent_at)
        update = self._encoder.update(answer)
        await carry(self._other, self._node, _size(update))
        await self._awake()
        return update.answer()

    async def _fail_if_gone(self, silent_at: float) -> None:
        if self._other in self._network.frozen:
            await trio.sleep_until(silent_at)
            raise PeerError(f"{self._other} is silent")
        if self._network.sources.get(self._other) is not self._source:
            raise PeerError(f"{self._other} has closed the stream")


def _size(message: object) -> int:
    return len(msgspec.msgpack.encode(message))
