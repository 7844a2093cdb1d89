"""Reasons for the policy's decisions, as sentences for operators and as JSON for programs."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum

from ..._ids import FailureDomainName, ServiceName, TaskId, TeamName, WorkerId
from ..._machines import Resources
from .._placement_policy import Reason


def describe(amount: Resources) -> str:
    """Format resources, for example ``1.5 cores, 2.00 GB, 1 accelerator``. Zeros are omitted."""
    parts = []
    if amount.millicores:
        parts.append(f"{amount.millicores / 1000:g} cores")
    if amount.memory:
        parts.append(f"{amount.memory / 1e9:.2f} GB")
    if amount.accelerators:
        plural = "" if amount.accelerators == 1 else "s"
        parts.append(f"{amount.accelerators} accelerator{plural}")
    return ", ".join(parts) or "nothing"


class PlacementReason(Reason):
    """Base class of reasons, which are dataclasses. The JSON form has class name and fields."""

    __slots__ = ()

    def as_json(self) -> dict[str, object]:
        """Return the class name as ``kind``, and all fields, with resources as objects."""
        fields = {
            field.name: _json_value(getattr(self, field.name))
            for field in dataclasses.fields(self)  # type: ignore[arg-type]
        }
        return {"kind": type(self).__name__, **fields}


def _json_value(value: object) -> object:
    if isinstance(value, Resources):
        return dataclasses.asdict(value)
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_json_value(item) for item in value]
    return value


@dataclass(frozen=True, slots=True)
class PlacedBatch(PlacementReason):
    """A batch task starts on the worker with room where it slows services least."""

    worker: WorkerId
    declared: Resources
    reserved: Resources
    candidates: int
    """The number of workers with room that were compared."""
    added_latency: float
    """The expected relative increase of tail latency of the service that is slowed most."""

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Placed on {self.worker}, the best of {self.candidates} with room: reserves"
            f" {describe(self.reserved)} (declared {describe(self.declared)}) and is expected to"
            f" slow the services there by {self.added_latency:.0%}."
        )


@dataclass(frozen=True, slots=True)
class PlacedUrgent(PlacementReason):
    """An urgent task starts; only replicas of services are placed before it."""

    worker: WorkerId
    waited_seconds: float

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return f"Urgent: placed on {self.worker} after waiting {self.waited_seconds:.2f} s."


@dataclass(frozen=True, slots=True)
class PlacedReplica(PlacementReason):
    """A replica starts where there are the fewest other replicas of its service."""

    service: ServiceName
    worker: WorkerId
    failure_domain: FailureDomainName
    others_in_failure_domain: int
    others_in_rack: int

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Replica of {self.service} placed on {self.worker}: {self.others_in_failure_domain}"
            f" others are in {self.failure_domain} and {self.others_in_rack} in its rack."
        )


@dataclass(frozen=True, slots=True)
class WaitsForRoom(PlacementReason):
    """No worker that may run the task has room now."""

    needed: Resources
    quarantined_workers: int

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        without = (
            f" ({self.quarantined_workers} workers are quarantined)"
            if self.quarantined_workers
            else ""
        )
        return f"Waits: no worker has {describe(self.needed)} free{without}."


@dataclass(frozen=True, slots=True)
class WaitsForQuota(PlacementReason):
    """The team's running tasks have reserved too much of its quota for another task."""

    team: TeamName
    needed: Resources
    reserved: Resources
    quota: Resources

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Waits: {self.team} has reserved {describe(self.reserved)} of its quota"
            f" {describe(self.quota)}, and the task needs {describe(self.needed)}."
        )


@dataclass(frozen=True, slots=True)
class WaitsForQuietWorker(PlacementReason):
    """Every worker with room runs a service that the task would slow too much."""

    needed: Resources

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Waits: each worker with {describe(self.needed)} free runs a service that the task"
            " would push over its latency objective."
        )


@dataclass(frozen=True, slots=True)
class WaitsForTurn(PlacementReason):
    """The task can be placed, but other tasks start before it in this round."""

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return "Waits for its turn: there is room, and tasks of other teams or jobs start first."


@dataclass(frozen=True, slots=True)
class WaitsForEvicted(PlacementReason):
    """Batch tasks were evicted from a worker for the task, and are still stopping."""

    worker: WorkerId

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return f"Waits for batch tasks on {self.worker} that were told to make room for it."


@dataclass(frozen=True, slots=True)
class ThrottledForLatency(PlacementReason):
    """A batch task is throttled because a service on the same worker is over its objective."""

    service: ServiceName
    worker: WorkerId
    latency_ratio: float
    """The smoothed ratio of p99 latency to objective."""
    millicores: int

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Throttled to {self.millicores / 1000:g} cores: {self.service} on {self.worker} has a"
            f" p99 of {self.latency_ratio:.2f} times its objective."
        )


@dataclass(frozen=True, slots=True)
class ThrottleLifted(PlacementReason):
    """A limit is raised because the worker's services have long been within their objectives."""

    worker: WorkerId
    latency_ratio: float

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"No longer throttled: the services on {self.worker} have a p99 of at most"
            f" {self.latency_ratio:.2f} times their objective."
        )


@dataclass(frozen=True, slots=True)
class EvictedForLatency(PlacementReason):
    """A batch task is evicted because throttling did not help and the gain exceeds the cost."""

    service: ServiceName
    worker: WorkerId
    latency_ratio: float
    lost_seconds: float
    gain: float
    """The weighted benefit to the service, in the same unit as ``cost``."""
    cost: float
    """The weighted cost of the eviction and of the lost work."""

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Evicted: {self.service} on {self.worker} stayed at {self.latency_ratio:.2f} times its"
            f" latency objective although batch work was throttled; about {self.lost_seconds:.0f} s"
            f" of work are lost (gain {self.gain:.1f}, cost {self.cost:.1f})."
        )


@dataclass(frozen=True, slots=True)
class EvictedForUrgent(PlacementReason):
    """A batch task is evicted to make room for an urgent task or a replica of a service."""

    task: TaskId
    worker: WorkerId
    lost_seconds: float

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Evicted from {self.worker} to make room for {self.task}, which must start at once;"
            f" about {self.lost_seconds:.0f} s of work are lost."
        )


@dataclass(frozen=True, slots=True)
class LargerThanAnyWorker(PlacementReason):
    """The task does not fit on any worker, even if the worker is empty."""

    needed: Resources
    workers: int

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return f"Refused: none of {self.workers} workers can ever hold {describe(self.needed)}."


@dataclass(frozen=True, slots=True)
class LargerThanQuota(PlacementReason):
    """A single task exceeds the whole quota of the team."""

    team: TeamName
    needed: Resources
    quota: Resources

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Refused: the task needs {describe(self.needed)}, more than the whole quota of"
            f" {self.team}, {describe(self.quota)}."
        )


@dataclass(frozen=True, slots=True)
class UnknownTeam(PlacementReason):
    """The team is not in the configuration."""

    team: TeamName

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return f"Refused: no team {self.team} in the configuration."


@dataclass(frozen=True, slots=True)
class UrgentNotAllowed(PlacementReason):
    """The team's contract does not allow urgent work."""

    team: TeamName

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return f"Refused: {self.team} may not submit urgent work."


@dataclass(frozen=True, slots=True)
class FailedOnManyWorkers(PlacementReason):
    """The task failed on several workers, so the task itself is at fault."""

    workers: tuple[WorkerId, ...]

    def sentence(self) -> str:
        """Return the sentence that is shown to operators."""
        return (
            f"Given up: it failed on {len(self.workers)} different workers"
            f" ({', '.join(self.workers)})."
        )
