"""Contracts of services, targets and teams, and the configuration that holds them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ._ids import (
    ChangeId,
    ConfigurationVersion,
    FailureDomainName,
    RegionName,
    ServiceName,
    TargetId,
    TeamName,
)
from ._links import RegionLink
from ._machines import Resources
from ._zones import Region


class Tolerance(Enum):
    """How the scheduler may slow or stop a team's work when it interferes with other work.

    Throttling is tried before eviction.
    """

    THROTTLE = "throttle"
    """The work may be throttled."""
    EVICT = "evict"
    """The work may be throttled, or checkpointed and evicted."""
    NONE = "none"
    """The work may be neither throttled nor evicted."""


@dataclass(frozen=True, slots=True)
class ServiceContract:
    """A latency-critical service: its request limits, its latency objective and its replicas."""

    name: ServiceName
    team: TeamName
    longest_run_seconds: float
    """The longest time in seconds that an executor can spend on a request. After it, the request
    has certainly ended and its slot is free again."""
    default_timeout_seconds: float | None = None
    """The timeout of a request that specifies none. If None, such a request is refused."""
    longest_timeout_seconds: float = 60.0
    """A request with a longer timeout is refused."""
    latency_objective_milliseconds: float = 250.0
    """The p99 latency that placement protects the service from exceeding."""
    longest_queue: int = 64
    """Requests that may wait for a slot at one owner. Further requests are refused immediately."""
    longest_body_bytes: int = 1 << 20
    """A request with a longer body is refused."""
    replicas: int = 0
    """How many replicas the planner keeps running; 0 if the platform places the replicas."""
    resources: Resources = field(default_factory=Resources)
    """The declared size of one replica."""
    tolerance: Tolerance = Tolerance.NONE


@dataclass(frozen=True, slots=True)
class TargetContract:
    """One executor of a service, as declared by the operators."""

    target_id: TargetId
    service: ServiceName
    address: str
    """IP address and port."""
    region: RegionName
    failure_domain: FailureDomainName
    slots: int
    """The number of requests that the executor runs at a time."""
    connections: int
    """The number of connections that the executor accepts."""


@dataclass(frozen=True, slots=True)
class TeamContract:
    """A team and its quota, the maximum that its running batch tasks may reserve in total."""

    name: TeamName
    quota: Resources
    tolerance: Tolerance = Tolerance.EVICT
    urgent: bool = False
    """Whether the team may submit urgent work."""


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers of one size that the operators expect in one failure domain.

    Only the checks of a configuration use these groups. The actual workers are listed by the
    platform.
    """

    failure_domain: FailureDomainName
    count: int
    """The number of workers."""
    workers_per_rack: int
    capacity: Resources
    """The capacity of one worker."""


@dataclass(frozen=True, slots=True)
class Weights:
    """The relative weights of the goals between which placement has to find a compromise."""

    tail_latency: float = 1.0
    evictions: float = 1.0
    throughput: float = 1.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All settings that operators can change, as one versioned value."""

    version: ConfigurationVersion
    """Starts at 1 and increases by 1 with each accepted change."""
    change_id: ChangeId
    """Identifies the change that created this version; unique to that change."""
    regions: tuple[Region, ...]
    services: tuple[ServiceContract, ...]
    targets: tuple[TargetContract, ...]
    teams: tuple[TeamContract, ...] = ()
    links: tuple[RegionLink, ...] = ()
    weights: Weights = field(default_factory=Weights)
    partitions_per_region: int = 32
    """The number of partitions into which each region's targets are hashed. It can't change while
    entries run."""
    workers: tuple[WorkerGroup, ...] = ()
    note: str = ""
    """The operator's description of the change, shown in the history."""

    def service(self, name: ServiceName) -> ServiceContract | None:
        """Return the service with the given name, or None if there is none."""
        return next((service for service in self.services if service.name == name), None)
