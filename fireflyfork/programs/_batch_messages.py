"""The JSON messages between operators and planners."""

from __future__ import annotations

from dataclasses import dataclass, field

from .._contracts import Tolerance
from .._ids import JobId, TaskId, TeamName, WorkerId
from .._machines import Resources


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A job to submit. Submitting it again under the same id has no effect."""

    job_id: JobId
    team: TeamName
    task_class: str
    """The tasks of one class are alike, so their actual sizes are learned together."""
    resources: Resources
    """The declared resources of one task."""
    run_seconds: float
    """The declared run time of one task, in seconds."""
    tasks: int = 1
    urgent: bool = False
    tolerance: Tolerance = Tolerance.EVICT


@dataclass(frozen=True, slots=True)
class TaskFailure:
    """A task that failed permanently."""

    task_id: TaskId
    reason: str


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The status of a job."""

    job_id: JobId
    state: str
    """``open``, ``finished``, ``failed`` (at least one task) or ``cancelled``."""
    tasks: int
    states: dict[str, int]
    """The number of tasks in each state."""
    submitted: float
    """When the job was accepted, in seconds since 1970."""
    failures: tuple[TaskFailure, ...] = ()
    """The first few permanent failures."""


@dataclass(frozen=True, slots=True)
class TaskExplanation:
    """The state of one task and the reason for it."""

    task_id: TaskId
    state: str
    words: str
    """The state and its reason as a sentence."""
    attempt: int = 0
    worker_id: WorkerId | None = None
    progress: float = 0.0
    evictions: int = 0
    failed_on: tuple[WorkerId, ...] = ()
    reason: str = ""
    why: dict[str, object] | None = None
    """Structured data on why the task waits, or None when the placement policy gives no reason."""


@dataclass(frozen=True, slots=True)
class BatchProblem:
    """Why the planner did not carry out a request."""

    error: str
    accepted: str = "no"
    """``no``, or ``unknown`` if the change may have been stored and can safely be repeated."""


@dataclass(frozen=True, slots=True)
class PartitionMetrics:
    """The metrics of one partition. Each field but ``partition`` is exported as a gauge."""

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
    """The metrics of one planner."""

    member: str
    partitions: tuple[PartitionMetrics, ...] = field(default_factory=tuple)
