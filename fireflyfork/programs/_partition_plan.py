"""What a partition of the planner is and how it is run, and how its callers hear that it can't."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio
import xxhash

from .._contracts import Configuration, TeamContract
from .._errors import FireflyforkError
from .._ids import PartitionId, RegionName
from .._machines import Resources, Worker
from ..decisions import Partition, PlacementPolicy, PlanningRules


class NotReadyError(FireflyforkError):
    """The partition is still being recovered, or was just lost. Nothing was done."""


class OutcomeUnknownError(FireflyforkError):
    """The change may or may not have been stored; asking again with the same id is safe."""


@dataclass(frozen=True, slots=True)
class PlannerPace:
    """How often the planner does what, in seconds."""

    commit: float = 0.25
    """Between two commits: what comes in meanwhile is stored together."""
    tick: float = 0.25
    """Between two rounds of placement."""
    renew: float = 10.0
    """Between two renewals of all leases."""
    stop_retry: float = 1.0
    """Between two attempts to have an evicted or cancelled attempt stopped."""
    report_wait: float = 5.0
    """How long the platform may wait for news before it answers."""
    workers: float = 10.0
    """Between two looks at the list of workers."""


@dataclass(frozen=True, slots=True)
class PartitionPlan:
    """What a partition consists of and how it is run."""

    partition: PartitionId
    regions: tuple[RegionName, ...]
    """The regions whose workers belong to it."""
    new_policy: Callable[[], PlacementPolicy]
    """Makes the policy that each term of ownership begins with."""
    number: int = 0
    """This share of the workers, of ``count`` shares."""
    count: int = 1
    rules: PlanningRules = field(default_factory=PlanningRules)
    pace: PlannerPace = field(default_factory=PlannerPace)

    def has(self, worker: Worker) -> bool:
        """Whether a worker belongs to this share."""
        place = xxhash.xxh64_intdigest(worker.worker_id.encode()) % self.count
        return place == self.number

    def configured(self, state: Partition, configuration: Configuration) -> Partition:
        """A partition's state with a configuration in force."""
        return replace(
            state,
            teams={team.name: self._share_of(team) for team in configuration.teams},
            services={service.name: service for service in configuration.services},
            weights=configuration.weights,
        )

    def _share_of(self, team: TeamContract) -> TeamContract:
        # Each partition counts only what it reserves itself. If each allowed a team its whole
        # quota, the team would get it as often as there are partitions.
        quota = team.quota
        share = Resources(
            quota.millicores // self.count,
            quota.memory // self.count,
            quota.accelerators // self.count,
        )
        return replace(team, quota=share)


class PlannerClock:
    """Seconds since 1970 that never jump: the wall clock at the start plus the loop's own clock."""

    def __init__(self) -> None:
        """Start now."""
        self._offset = time.time() - trio.current_time()

    def now(self) -> float:
        """Seconds since 1970."""
        return trio.current_time() + self._offset
