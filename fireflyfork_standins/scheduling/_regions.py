"""Days with two regions: the placement of instances and executors, and configuration changes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import trio

from fireflyfork._ids import ExecutorId, FailureDomainName, NodeName, ServiceName
from fireflyfork._links import Address
from fireflyfork.adapters import CoordinationStore, ExecutorCalls
from fireflyfork.platform import CONFIGURATION_KEY, EVACUATION_PREFIX
from fireflyfork.programs._announcements import Announcements
from fireflyfork.programs._clocks import Clock

from ._configuration_sources import (
    ConfigurationSource,
    ReplicatedConfiguration,
    SourceFactory,
    TableListener,
    WaitAwake,
)
from ._history import History
from ._linked_executors import LinkedExecutorCalls
from ._linked_store import LinkedStoreClient, item_bytes
from ._region_link import Purpose, Region, RegionLink
from ._replicas import ReplicaNetwork
from ._store import StandInStore

NEAR_DOMAIN = FailureDomainName("suva")
INSTANCE_PREFIX = "n-"
REPLICA = Address("10.0.0.1", 81)
CALL_BYTES = 100
"""Size of the framing of a question or an answer between instances."""
HOSTS = 4
"""Number of different hosts of the added routes."""
PATH_BYTES = 130
"""Length of the path of an added route. A whole route takes some 280 bytes."""


@dataclass(frozen=True, slots=True)
class RouteChange:
    """A change of the configuration in which the operator adds or removes routes."""

    at: float
    """Time from the start of the traffic, in seconds."""
    added: int
    """Number of added routes; if negative, number of removed routes."""


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A request of the operator to evacuate a failure domain for some time."""

    at: float
    """Time from the start of the traffic, in seconds."""
    seconds: float
    failure_domain: FailureDomainName


@dataclass(frozen=True, slots=True)
class RegionProfile:
    """The settings of a day with two regions."""

    link_mbps: float = 8.0
    """Bandwidth of the link in Mbit/s. The share of each far instance, when all of them read at once,
    is that of a large deployment."""
    far_instances: int = 6
    """Number of instances in the far region, counted from the last; the others are near the store."""
    far_domains: int = 2
    """Number of failure domains of the far region, to which its instances and executors are assigned
    round-robin."""
    far_executors: int = 3
    """Number of executors in the far region, counted from the last."""
    first_added: int = 0
    """Number of added routes in the version that is written before the traffic starts."""
    changes: tuple[RouteChange, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()


@dataclass(frozen=True, slots=True)
class Site:
    """The location of an instance, and its access to the store, executors and configuration."""

    region: Region
    failure_domain: FailureDomainName
    link: RegionLink
    executor_regions: Mapping[ExecutorId, Region]
    make_source: SourceFactory
    replica: Address
    """The address that an instance announces for its replica of the configuration."""

    def store(self, local_store: CoordinationStore) -> CoordinationStore:
        """Return a store client for this region; ``local_store`` is one without a link."""
        if self.region is Region.NEAR:
            return local_store
        return LinkedStoreClient(local_store, self.link, self.region)

    def calls(self, local_calls: ExecutorCalls) -> ExecutorCalls:
        """Return the executor calls of this region; ``local_calls`` are calls without a link."""
        return LinkedExecutorCalls(local_calls, self.link, self.region, self.executor_regions)


class RegionMap:
    """Assigns the instances and executors of a day to regions and failure domains."""

    def __init__(self, profile: RegionProfile | None, instances: int, executors: int) -> None:
        """Create the map. Without a profile there is one region with one failure domain."""
        self._profile = profile
        self._instances = instances
        self._executors = executors
        self.link = RegionLink(profile.link_mbps) if profile is not None else None
        self._replicas = ReplicaNetwork(carry=self._carry)

    def executor_domain(self, number: int) -> FailureDomainName:
        """Return the failure domain of an executor."""
        if self._profile is None:
            return NEAR_DOMAIN
        return self._domain(number, self._executors - self._profile.far_executors)

    def operator(
        self, store: StandInStore, service: ServiceName, history: History
    ) -> Operator | None:
        """Return the operator that writes the configuration, or None if it never changes."""
        return Operator(store, service, self._profile, history) if self._profile else None

    def site(self, number: int, bound_seconds: float) -> Site | None:
        """Return the site of an instance, or None if there is one region.

        A change of the configuration must be in force within ``bound_seconds``.
        """
        if self._profile is None or self.link is None:
            return None
        domain = self._domain(number, self._instances - self._profile.far_instances)

        def make_source(
            store: CoordinationStore,
            clock: Clock,
            changed: TableListener,
            announcements: Announcements,
            awake: WaitAwake,
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
        """Transfer bytes between instances, which takes no time within a region."""
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
    """Return the name of an instance."""
    return NodeName(f"{INSTANCE_PREFIX}{number}")


def _region(domain: FailureDomainName) -> Region:
    return Region.NEAR if domain == NEAR_DOMAIN else Region.FAR


def encode_configuration(version: int, service: ServiceName, added: int) -> bytes:
    """Encode a configuration with the queue of the day's jobs and ``added`` further routes."""
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
    """Writes each version of the configuration as a whole, and requests evacuations."""

    def __init__(
        self, store: StandInStore, service: ServiceName, profile: RegionProfile, history: History
    ) -> None:
        """Prepare the changes of ``profile``; ``begin`` writes the first version."""
        self._store = store
        self._history = history
        self._evacuations = profile.evacuations
        self._service = service
        self._changes = profile.changes
        self._version = 0
        self._added = profile.first_added
        self.carried_bytes = 0
        """Number of bytes that all versions take if each crosses a link once."""

    def begin(self) -> None:
        """Write the first version, before the traffic starts."""
        self._write()

    async def run(self) -> None:
        """Make all changes at their times."""
        begun = trio.current_time()
        async with trio.open_nursery() as nursery:
            for evacuation in self._evacuations:
                nursery.start_soon(self._evacuate, evacuation)
            for change in self._changes:
                await trio.sleep_until(begun + change.at)
                self._added += change.added
                self._write()

    async def _evacuate(self, evacuation: Evacuation) -> None:
        domain = evacuation.failure_domain
        await trio.sleep(evacuation.at)
        self._store.put(f"{EVACUATION_PREFIX}{domain}", b"{}")
        self._history.evacuated_since[domain] = trio.current_time()
        await trio.sleep(evacuation.seconds)
        del self._history.evacuated_since[domain]
        self._store.remove(f"{EVACUATION_PREFIX}{domain}")

    def _write(self) -> None:
        self._version += 1
        value = encode_configuration(self._version, self._service, self._added)
        self.carried_bytes += item_bytes(value)
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
