"""The state of a partition of the planner, and its inputs and outputs."""

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
    """Limits and intervals of one partition."""

    leases: LeaseRules = field(default_factory=LeaseRules)
    most_open_tasks: int = 100_000
    """Maximum number of open tasks; a job that would exceed it is refused temporarily."""
    most_starts: int = 500
    """Maximum number of attempts that one round of placement starts."""
    start_retry_seconds: float = 5.0
    """Interval after which a start that the platform has not confirmed is sent again."""
    keep_ended_seconds: float = 86_400.0
    """Time after which an ended job is forgotten."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A job submitted to the planner."""

    job_id: JobId
    shape: TaskShape
    tasks: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job was not accepted."""

    reason: str
    permanent: bool
    """Whether the same job would also be refused later."""


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
    ready_starts: Mapping[AttemptKey, float] = field(default_factory=dict)
    """Time at which to send each start whose intent is stored and that is not yet confirmed."""
    dropped_commands: int = 0
    """Number of policy commands that were dropped by the checks."""

    @classmethod
    def at_takeover(
        cls, table: TaskTable, policy: PlacementPolicy, now: float, rules: PlanningRules
    ) -> Partition:
        """Return the state right after recovery, in which every stored attempt may be running."""
        for task in table.tasks_holding_reservation():
            policy = policy.observe(AttemptStarted(now, task))
        ready = {
            (task.task_id, task.attempt): now
            for task in table.tasks_holding_reservation()
            if task.state is TaskState.STARTING
        }
        return cls(table, LeaseState.at_takeover(now), policy, rules=rules, ready_starts=ready)


@dataclass(frozen=True, slots=True)
class RegionReport:
    """States that a report covers all changes in a region."""

    region: RegionName
    requested_at: float
    """Time at which the report was requested, in seconds since 1970."""


@dataclass(frozen=True, slots=True)
class Step:
    """The next state, and the actions that follow from the transition."""

    partition: Partition
    changes: tuple[DurableChange, ...] = ()
    """Changes to store, in order, after the changes of earlier steps."""
    stale: tuple[StaleRun, ...] = ()
    """Attempts to stop immediately."""
    throttles: tuple[ThrottleOrdered, ...] = ()
    """Processor limits to set immediately."""
