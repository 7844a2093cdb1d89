"""What a partition of the planner knows, and what is said to it and by it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .._contracts import ServiceContract, TeamContract, Weights
from .._ids import JobId, RegionName, ServiceName, TeamName, WorkerId
from .._machines import Worker
from ._attempts import AttemptKey, LeaseRules, LeaseState, StaleRun
from ._placement_policy import AttemptStarted, FirstFitPolicy, PlacementPolicy
from ._task_changes import DurableChange, ThrottleOrdered
from ._task_table import TaskTable
from ._tasks import TaskShape, TaskState


@dataclass(frozen=True, slots=True)
class PlanningRules:
    """The limits of one partition."""

    leases: LeaseRules = field(default_factory=LeaseRules)
    most_open_tasks: int = 100_000
    """A job that would exceed it is refused for now."""
    most_starts: int = 500
    """Starts in one round of placement."""
    start_retry_seconds: float = 5.0
    """A start that nothing was heard of is sent again after so long."""
    keep_ended_seconds: float = 86_400.0
    """A job that ended is forgotten after so long."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as it is submitted."""

    job_id: JobId
    shape: TaskShape
    tasks: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job was not accepted."""

    reason: str
    permanent: bool
    """Whether the same job would be refused later, too."""


@dataclass(frozen=True, slots=True)
class Partition:
    """The state of one partition at its owner."""

    table: TaskTable
    leases: LeaseState
    policy: PlacementPolicy = field(default_factory=FirstFitPolicy)
    workers: Mapping[WorkerId, Worker] = field(default_factory=dict)
    teams: Mapping[TeamName, TeamContract] = field(default_factory=dict)
    services: Mapping[ServiceName, ServiceContract] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    rules: PlanningRules = field(default_factory=PlanningRules)
    ready: Mapping[AttemptKey, float] = field(default_factory=dict)
    """Starts with a stored intent that the platform has not confirmed, and when to send each."""
    dropped_commands: int = 0
    """Commands of the policy that no longer held when the table checked them."""

    @classmethod
    def at_takeover(
        cls, table: TaskTable, policy: PlacementPolicy, now: float, rules: PlanningRules
    ) -> Partition:
        """The state right after recovery: every stored attempt may be running."""
        for task in table.holding():
            policy = policy.observe(AttemptStarted(now, task))
        ready = {
            (task.task_id, task.attempt): now
            for task in table.holding()
            if task.state is TaskState.STARTING
        }
        return cls(table, LeaseState.at_takeover(now), policy, rules=rules, ready=ready)


@dataclass(frozen=True, slots=True)
class WholeReport:
    """That a report covers everything that changed in a region."""

    region: RegionName
    asked: float
    """When it was asked for, in seconds since 1970."""


@dataclass(frozen=True, slots=True)
class Step:
    """The next state, and what led to it."""

    partition: Partition
    changes: tuple[DurableChange, ...] = ()
    """To be stored, in order, after those of earlier steps."""
    stale: tuple[StaleRun, ...] = ()
    """Attempts to stop at once."""
    throttles: tuple[ThrottleOrdered, ...] = ()
    """Limits to set at once."""
