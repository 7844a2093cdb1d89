"""The definition of a planner's partition, its timing, and the errors it raises to callers."""

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
    """The partition is not recovered yet or was just lost. The request had no effect."""


class OutcomeUnknownError(FireflyforkError):
    """The change may or may not be stored. Repeating the request with the same id is safe."""


@dataclass(frozen=True, slots=True)
class PlannerPace:
    """The intervals and wait times of a planner, in seconds."""

    commit: float = 0.25
    """Interval between commits. The changes that accumulate in between are stored together."""
    tick: float = 0.25
    """Interval between rounds of placement."""
    renew: float = 10.0
    """Interval between renewals of all leases."""
    stop_retry: float = 1.0
    """Interval between repeated stop orders for an evicted or cancelled task."""
    report_wait: float = 5.0
    """How long the platform may hold a request for reports while there is nothing to report."""
    workers: float = 10.0
    """Interval between reads of the list of workers."""


@dataclass(frozen=True, slots=True)
class PartitionPlan:
    """The workers of a partition and the parameters it runs with."""

    partition: PartitionId
    regions: tuple[RegionName, ...]
    """The regions whose workers the partitions divide among themselves."""
    new_policy: Callable[[], PlacementPolicy]
    """Creates a placement policy for each term of ownership."""
    share_index: int = 0
    """The index of this partition's share of the workers, from 0 to ``share_count`` - 1."""
    share_count: int = 1
    rules: PlanningRules = field(default_factory=PlanningRules)
    pace: PlannerPace = field(default_factory=PlannerPace)

    def includes(self, worker: Worker) -> bool:
        """Return whether a worker belongs to this share."""
        share = xxhash.xxh64_intdigest(worker.worker_id.encode()) % self.share_count
        return share == self.share_index

    def configured(self, state: Partition, configuration: Configuration) -> Partition:
        """Return the partition's state with ``configuration`` applied."""
        return replace(
            state,
            teams={team.name: self._share_of(team) for team in configuration.teams},
            services={service.name: service for service in configuration.services},
            weights=configuration.weights,
        )

    def _share_of(self, team: TeamContract) -> TeamContract:
        # Each partition counts only its own reservations. If each partition allowed a team its
        # whole quota, the team would get its quota once for every partition.
        quota = team.quota
        share = Resources(
            quota.millicores // self.share_count,
            quota.memory // self.share_count,
            quota.accelerators // self.share_count,
        )
        return replace(team, quota=share)


class PlannerClock:
    """A clock in seconds since 1970 that never jumps.

    It adds the monotonic time of the trio loop to the wall clock time at the start.
    """

    def __init__(self) -> None:
        """Read the wall clock. Needs a running trio loop."""
        self._offset = time.time() - trio.current_time()

    def now(self) -> float:
        """Return the current time in seconds since 1970."""
        return trio.current_time() + self._offset
