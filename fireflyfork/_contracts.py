"""What services and teams are promised, and the configuration that holds all of it."""

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
    """What a team would rather give up when work interferes; the order is the order of steps."""

    THROTTLE = "throttle"
    """May be slowed down."""
    EVICT = "evict"
    """May be slowed down, or checkpointed and evicted."""
    NONE = "none"
    """Neither."""


@dataclass(frozen=True, slots=True)
class ServiceContract:
    """A latency-critical service: where it is, how it is called, what it is promised."""

    name: ServiceName
    team: TeamName
    longest_run_seconds: float
    """After this time an executor has surely ended a request, so its slot is free again."""
    default_timeout_seconds: float | None = None
    """The deadline of a request that names none. With None, such a request is refused."""
    longest_timeout_seconds: float = 60.0
    """A request that asks for more is refused."""
    latency_objective_milliseconds: float = 250.0
    """The p99 that placement defends."""
    longest_queue: int = 64
    """Requests that may wait for a slot at one owner; beyond it they are refused at once."""
    longest_body_bytes: int = 1 << 20
    """A longer request body is refused."""
    replicas: int = 0
    """How many placed replicas the planner keeps running; 0 when the platform places them."""
    resources: Resources = field(default_factory=Resources)
    """The declared size of one replica."""
    tolerance: Tolerance = Tolerance.NONE


@dataclass(frozen=True, slots=True)
class TargetContract:
    """One executor of a service, as the operators declare it."""

    target_id: TargetId
    service: ServiceName
    address: str
    """IP number and port."""
    region: RegionName
    failure_domain: FailureDomainName
    slots: int
    """Requests that it runs at a time."""
    connections: int
    """Connections that it accepts."""


@dataclass(frozen=True, slots=True)
class TeamContract:
    """A team and its quota, the most that its running batch tasks may reserve together."""

    name: TeamName
    quota: Resources
    tolerance: Tolerance = Tolerance.EVICT
    urgent: bool = False
    """Whether the team may submit urgent work."""


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers of one size in one failure domain, as the operators expect them.

    The platform says which workers there are; this is what the checks of a configuration use.
    """

    failure_domain: FailureDomainName
    count: int
    workers_per_rack: int
    capacity: Resources
    """Of one worker."""


@dataclass(frozen=True, slots=True)
class Weights:
    """How much a unit of each measure counts when placement must choose."""

    tail_latency: float = 1.0
    evictions: float = 1.0
    throughput: float = 1.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything operators decide, in one versioned value."""

    version: ConfigurationVersion
    """Starts at 1 and grows by 1 with each accepted change."""
    change_id: ChangeId
    """Unique to the change that made this version."""
    regions: tuple[Region, ...]
    services: tuple[ServiceContract, ...]
    targets: tuple[TargetContract, ...]
    teams: tuple[TeamContract, ...] = ()
    links: tuple[RegionLink, ...] = ()
    weights: Weights = field(default_factory=Weights)
    partitions_per_region: int = 32
    """Shares into which each region's targets are hashed; it can't change while entries run."""
    workers: tuple[WorkerGroup, ...] = ()
    note: str = ""
    """What the operator said of this change; the history shows it."""

    def service(self, name: ServiceName) -> ServiceContract | None:
        """The service of that name, if there is one."""
        return next((service for service in self.services if service.name == name), None)
