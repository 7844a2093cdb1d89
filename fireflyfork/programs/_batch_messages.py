"""What operators and the planner say to each other, as JSON."""

from __future__ import annotations

from dataclasses import dataclass, field

from .._contracts import Tolerance
from .._ids import JobId, TaskId, TeamName, WorkerId
from .._machines import Resources


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job to submit. Submitting it again under the same id changes nothing."""

    job_id: JobId
    team: TeamName
    task_class: str
    """Tasks of one class are alike; their true sizes are learned together."""
    resources: Resources
    """The declared size of one task."""
    run_seconds: float
    """The declared run time of one task."""
    tasks: int = 1
    urgent: bool = False
    tolerance: Tolerance = Tolerance.EVICT


@dataclass(frozen=True, slots=True)
class TaskFailure:
    """A task that failed for good."""

    task_id: TaskId
    reason: str


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Where a job stands."""

    job_id: JobId
    state: str
    """``open``, ``finished``, ``failed`` (at least one task) or ``cancelled``."""
    tasks: int
    states: dict[str, int]
    """How many tasks are in each state."""
    submitted: float
    """Seconds since 1970."""
    failures: tuple[TaskFailure, ...] = ()
    """The first few final failures."""


@dataclass(frozen=True, slots=True)
class TaskExplanation:
    """What one task is doing, and why."""

    task_id: TaskId
    state: str
    words: str
    """The same in a sentence."""
    attempt: int = 0
    worker_id: WorkerId | None = None
    progress: float = 0.0
    evictions: int = 0
    failed_on: tuple[WorkerId, ...] = ()
    reason: str = ""
    why: dict[str, object] | None = None
    """Why it waits, as values, when the placement policy can tell."""


@dataclass(frozen=True, slots=True)
class BatchProblem:
    """Why the planner did not do as asked."""

    error: str
    accepted: str = "no"
    """``no``, or ``unknown`` when it may have been stored; asking again is then safe."""


@dataclass(frozen=True, slots=True)
class PartitionMetrics:
    """The figures of one partition."""

    partition: str
    owned: bool
    open_tasks: int = 0
    holding: int = 0
    waiting: int = 0
    commits: int = 0
    changes: int = 0
    segment_bytes: int = 0
    snapshots: int = 0
    snapshot_bytes: int = 0
    dropped_commands: int = 0


@dataclass(frozen=True, slots=True)
class PlannerMetrics:
    """The figures of one planner."""

    member: str
    partitions: tuple[PartitionMetrics, ...] = field(default_factory=tuple)
