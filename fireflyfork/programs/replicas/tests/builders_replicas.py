"""Fixture of instances that follow each other's replicas of the operator's keys, on a virtual
clock.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import ReplicaNetwork, StandInReplicaPeers, StandInStore

from ...._ids import NodeName
from ...._links import Address
from ....adapters import ReplicaEndpoint
from ....platform import CONFIGURATION_KEY
from .._queue_keeper import QueueKeeper
from .._replica_follower import Upstreams

BOUND_SECONDS = 2.5
"""Maximum time until a change has to be in force."""
UNUSED_ADDRESS = Address("10.0.0.1", 1)


def node(number: int) -> NodeName:
    """Return the name of an instance."""
    return NodeName(f"n-{number}")


def configuration(version: int, routes: int = 0) -> bytes:
    """Return a configuration as the operator writes it, with ``routes`` routes."""
    route = {
        "service": "desk",
        "host": "h.example",
        "priority": 0,
        "attempts": 3,
        "stretch_factor": 2.0,
        "target_latency_ms": 1000,
        "timeout_ms": 3000,
    }
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [
                {"name": f"r{number}", "path_prefix": f"/r{number}/", **route}
                for number in range(routes)
            ],
            "services": [{"name": "desk"}],
        }
    )


class FixedUpstreams(Upstreams):
    """Upstreams that the test sets."""

    def __init__(self, *numbers: int) -> None:
        """Return the instances with these numbers as upstreams."""
        self.numbers = numbers
        self.seconds = 0.0
        """Duration of ``choose``, which is long over a full link, for example."""
        self.far_from_store = False

    @property
    def worth_waiting_for(self) -> bool:
        """See Upstreams."""
        return self.far_from_store

    def note_lost(self, upstream: NodeName) -> None:
        """See Upstreams."""

    async def choose(self) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams."""
        await trio.sleep(self.seconds)
        return self.alternatives(frozenset())

    def alternatives(self, excluded: frozenset[NodeName]) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams."""
        return tuple(
            ReplicaEndpoint(node(number), UNUSED_ADDRESS)
            for number in self.numbers
            if node(number) not in excluded
        )


class Follower:
    """One instance that follows the configuration."""

    def __init__(self, number: int, fleet: Fleet, upstreams: Upstreams) -> None:
        """Create the instance without starting it."""
        self.node = node(number)
        self.versions: list[int] = []
        """The versions that have come into force, in order."""
        self.keeper = QueueKeeper(
            self.node,
            fleet.store.client(self.node),
            lambda table: self.versions.append(table.version),
            BOUND_SECONDS,
            trio.current_time,
            upstreams,
            StandInReplicaPeers(self.node, fleet.network),
        )
        self._scope = trio.CancelScope()

    @property
    def upstream(self) -> NodeName | None:
        """The instance that is followed now; None if the store is followed."""
        return self.keeper.upstream

    def kill(self) -> None:
        """Stop the instance."""
        self._scope.cancel()

    async def run(self) -> None:
        """Follow the configuration until killed."""
        with self._scope:
            await self.keeper.run()


class Fleet:
    """The store and the instances of a test."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start the store without any instance."""
        self.store = StandInStore(Random(1))
        self.network = ReplicaNetwork()
        self._nursery = nursery
        self._followers: dict[NodeName, Follower] = {}
        nursery.start_soon(self.store.run)

    def start(self, number: int, upstreams: Upstreams) -> Follower:
        """Start an instance, whose replica is reachable at once."""
        follower = Follower(number, self, upstreams)
        self._followers[follower.node] = follower
        self.network.sources[follower.node] = follower.keeper.replica_source
        self._nursery.start_soon(follower.run)
        return follower

    def kill(self, follower: Follower) -> None:
        """Stop an instance and make its replica unreachable."""
        follower.kill()
        del self.network.sources[follower.node]

    def configure(self, version: int) -> None:
        """Write a version of the configuration as the operator."""
        self.store.put(CONFIGURATION_KEY, configuration(version))


def play(body: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run ``body`` with a fleet on a virtual clock."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await body(Fleet(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
