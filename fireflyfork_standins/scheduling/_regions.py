"""A day with two regions: where instances and executors are, and what the operator does there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import trio

from fireflyfork._ids import ExecutorId, FailureDomainName, NodeName, ServiceName
from fireflyfork._links import Address
from fireflyfork.adapters import CoordinationStore, ExecutorCalls
from fireflyfork.platform import CONFIGURATION_KEY
from fireflyfork.programs._announcements import Announcements
from fireflyfork.programs._clocks import Clock

from ._configuration_sources import (
    Awake,
    Changed,
    ConfigurationSource,
    MakeSource,
    ReplicatedConfiguration,
)
from ._linked_executors import LinkedExecutorCalls
from ._linked_store import LinkedStoreClient, carried_bytes
from ._region_link import Purpose, Region, RegionLink
from ._replicas import ReplicaNetwork
from ._store import StandInStore

NEAR_DOMAIN = FailureDomainName("suva")
INSTANCE_PREFIX = "n-"
REPLICA = Address("10.0.0.1", 81)
CALL_BYTES = 100
"""Of what frames a question or an answer between instances."""
HOSTS = 4
"""Of added routes."""
PATH_BYTES = 130
"""Of an added route; a route takes some 280 bytes in all."""


@dataclass(frozen=True, slots=True)
class RouteChange:
    """The operator adds or removes routes."""

    at: float
    """Seconds from the start of traffic."""
    added: int
    """Below 0: that many are removed."""


@dataclass(frozen=True, slots=True)
class RegionProfile:
    """The regions of a day."""

    link_mbps: float = 8.0
    """The share of each far instance, when all read at once, is that of a large deployment."""
    far_instances: int = 6
    """The last ones; the others are near the store."""
    far_domains: int = 2
    """Failure domains of the far region, which its instances and executors fill by turns."""
    far_executors: int = 3
    """The last ones."""
    first_added: int = 0
    """Added routes of the version that precedes the traffic."""
    changes: tuple[RouteChange, ...] = ()


@dataclass(frozen=True, slots=True)
class Site:
    """Where an instance is, and how it reaches what is elsewhere."""

    region: Region
    failure_domain: FailureDomainName
    link: RegionLink
    executor_regions: Mapping[ExecutorId, Region]
    make_source: MakeSource
    replica: Address
    """Where an instance here announces that it answers for its replica."""

    def store(self, near: CoordinationStore) -> CoordinationStore:
        """The store as it is reached from here; ``near``: from next to it."""
        if self.region is Region.NEAR:
            return near
        return LinkedStoreClient(near, self.link, self.region)

    def calls(self, beside: ExecutorCalls) -> ExecutorCalls:
        """Executors as they are reached from here; ``beside``: each from next to it."""
        return LinkedExecutorCalls(beside, self.link, self.region, self.executor_regions)


class RegionMap:
    """Where everything of a day is."""

    def __init__(self, profile: RegionProfile | None, instances: int, executors: int) -> None:
        """Without a profile everything is in one place."""
        self._profile = profile
        self._instances = instances
        self._executors = executors
        self.link = RegionLink(profile.link_mbps) if profile is not None else None
        self._replicas = ReplicaNetwork(carry=self._carry)

    def executor_domain(self, number: int) -> FailureDomainName:
        """Where an executor is."""
        if self._profile is None:
            return NEAR_DOMAIN
        return self._domain(number, self._executors - self._profile.far_executors)

    def operator(self, store: StandInStore, service: ServiceName) -> Operator | None:
        """Who changes the configuration, if it changes."""
        return Operator(store, service, self._profile) if self._profile else None

    def site(self, number: int, bound_seconds: float) -> Site | None:
        """Where an instance is; a change has to be in force within ``bound_seconds``."""
        if self._profile is None or self.link is None:
            return None
        domain = self._domain(number, self._instances - self._profile.far_instances)

        def make_source(
            store: CoordinationStore,
            clock: Clock,
            changed: Changed,
            announcements: Announcements,
            awake: Awake,
        ) -> ConfigurationSource:
            return ReplicatedConfiguration(
                instance_name(number),
                store,
                clock,
                changed,
                bound_seconds,
                announcements,
                self._replicas,
                awake,
            )

        regions = {
            ExecutorId(f"i-{executor}"): _region(self.executor_domain(executor))
            for executor in range(self._executors)
        }
        return Site(_region(domain), domain, self.link, regions, make_source, REPLICA)

    async def _carry(self, sender: NodeName, receiver: NodeName, size: int) -> None:
        """Between instances of one region bytes take no time."""
        towards = self._region_of(receiver)
        if self.link is None or self._region_of(sender) is towards:
            await trio.lowlevel.checkpoint()
        else:
            await self.link.carry(towards, size + CALL_BYTES, Purpose.CONFIGURATION)

    def _region_of(self, node: NodeName) -> Region:
        far = self._profile.far_instances if self._profile is not None else 0
        number = int(node.removeprefix(INSTANCE_PREFIX))
        return _region(self._domain(number, self._instances - far))

    def _domain(self, number: int, first_far: int) -> FailureDomainName:
        if self._profile is None or number < first_far:
            return NEAR_DOMAIN
        return FailureDomainName(f"far-{(number - first_far) % self._profile.far_domains}")


def instance_name(number: int) -> NodeName:
    """The name of an instance."""
    return NodeName(f"{INSTANCE_PREFIX}{number}")


def _region(domain: FailureDomainName) -> Region:
    return Region.NEAR if domain == NEAR_DOMAIN else Region.FAR


def encode_configuration(version: int, service: ServiceName, added: int) -> bytes:
    """A configuration with the queue of the day's jobs and so many more routes."""
    own = _route("q", "h", "/q/", service)
    more = (
        _route(
            f"q-{number:06d}",
            f"h-{number % HOSTS}.example",
            f"/{number:06d}".ljust(PATH_BYTES, "p") + "/",
            service,
        )
        for number in range(added)
    )
    body = {"version": version, "routes": [own, *more], "services": [{"name": service}]}
    return msgspec.json.encode(body)


class Operator:
    """Writes each version of the configuration whole."""

    def __init__(self, store: StandInStore, service: ServiceName, profile: RegionProfile) -> None:
        """The first version is written by ``begin``."""
        self._store = store
        self._service = service
        self._changes = profile.changes
        self._version = 0
        self._added = profile.first_added
        self.carried_bytes = 0
        """What all versions take when each crosses a link once."""

    def begin(self) -> None:
        """Write the version that precedes the traffic."""
        self._write()

    async def run(self) -> None:
        """Make all changes."""
        begun = trio.current_time()
        for change in self._changes:
            await trio.sleep_until(begun + change.at)
            self._added += change.added
            self._write()

    def _write(self) -> None:
        self._version += 1
        value = encode_configuration(self._version, self._service, self._added)
        self.carried_bytes += carried_bytes(value)
        self._store.put(CONFIGURATION_KEY, value)


def _route(name: str, host: str, path_prefix: str, service: ServiceName) -> dict[str, object]:
    return {
        "name": name,
        "host": host,
        "path_prefix": path_prefix,
        "service": service,
        "priority": 0,
        "attempts": 3,
        "stretch_factor": 2.0,
        "target_latency_ms": 1000,
        "timeout_ms": 3000,
    }
