"""Jobs, their tasks, and the states of a task.

A task waits, is run by one or more attempts, and ends as finished, failed or cancelled. An attempt
that may still run holds its reservation, and the next attempt begins only when the previous one is
known to have ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from .._contracts import Tolerance
from .._ids import AttemptNumber, JobId, ServiceName, TaskId, TeamName, WorkerId
from .._machines import Resources

JobNumber = NewType("JobNumber", int)
"""Number of a job within its partition, counted from 1; replaces the JobId in stored records."""

NO_ATTEMPT = AttemptNumber(0)
NO_RESOURCES = Resources()


class TaskState(Enum):
    """State in the life cycle of a task."""

    WAITING = "waiting"
    """Accepted; no attempt has run yet, or the last attempt failed or was refused."""
    STARTING = "starting"
    """The intent to start an attempt is recorded, but whether it runs is not known yet."""
    RUNNING = "running"
    """The platform has reported that the attempt is running."""
    EVICTING = "evicting"
    """The attempt was ordered to checkpoint and stop, but may still run."""
    EVICTED = "evicted"
    """The last attempt has ended and its checkpoint is to be resumed."""
    CANCELLING = "cancelling"
    """The task was cancelled, but its attempt may still run."""
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


HOLDING_STATES = frozenset(
    {TaskState.STARTING, TaskState.RUNNING, TaskState.EVICTING, TaskState.CANCELLING}
)
"""The states in which an attempt may run and its reservation is counted."""

ENDED_STATES = frozenset({TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED})


@dataclass(frozen=True, slots=True)
class TaskShape:
    """The properties shared by all tasks of a job."""

    team: TeamName
    task_class: str
    """Class of similar tasks, by which resource sizes and interference are learned."""
    resources: Resources
    """Declared resources of one task."""
    run_seconds: float
    """Declared run time of one task without interference."""
    urgent: bool = False
    service: ServiceName | None = None
    """The latency-critical service that the tasks are replicas of, which never finish; or None."""
    tolerance: Tolerance = Tolerance.EVICT


@dataclass(frozen=True, slots=True)
class Task:
    """One task that has not ended."""

    task_id: TaskId
    job_id: JobId
    number: JobNumber
    index: int
    """Index of the task in its job, from 0."""
    shape: TaskShape
    state: TaskState
    submitted: float
    """Time at which the job was accepted, in seconds since 1970."""
    since: float
    """Time at which the current state began, in seconds since 1970."""
    attempt: AttemptNumber = NO_ATTEMPT
    """Number of the latest attempt; 0 before the first."""
    worker_id: WorkerId | None = None
    """The worker on which the attempt may run; None if no attempt may run."""
    reservation: Resources = NO_RESOURCES
    progress: float = 0.0
    """Share of the work that the last checkpoint covers, 0 to 1."""
    failed_on: tuple[WorkerId, ...] = ()
    """Worker of each failed attempt, in order."""
    refused_by: tuple[WorkerId, ...] = ()
    """Workers that refused to start the task since it last ran; only the latest few are kept."""
    evictions: int = 0
    millicores_limit: int | None = None
    """Limit on the attempt's processor time in thousandths of a core; None without a limit."""
    reason: str = ""
    """Why the task is in this state, as text for operators."""

    @property
    def holds_reservation(self) -> bool:
        """Whether an attempt may still run, so that its reservation counts."""
        return self.state in HOLDING_STATES


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """How a task ended, kept to be shown to operators."""

    index: int
    state: TaskState
    reason: str


@dataclass(frozen=True, slots=True)
class Job:
    """A batch of identical tasks submitted together."""

    job_id: JobId
    number: JobNumber
    shape: TaskShape
    task_count: int
    submitted: float
    """Time at which the job was accepted, in seconds since 1970."""
    cancelled: bool = False
    """Whether the whole job was cancelled."""
    finished_count: int = 0
    failed_count: int = 0
    cancelled_count: int = 0
    failures: tuple[TaskEnd, ...] = ()
    """The first few failed tasks, with reasons."""
    ended: float | None = None
    """Time at which the last task ended, in seconds since 1970; None while tasks are open."""

    @property
    def open_count(self) -> int:
        """The number of tasks that have not ended."""
        ended = self.finished_count + self.failed_count + self.cancelled_count
        return self.task_count - ended


def task_id_of(job_id: JobId, index: int) -> TaskId:
    """Return the id of the task at ``index`` of a job."""
    return TaskId(f"{job_id}/{index}")


def job_of_task(task_id: TaskId) -> JobId:
    """Return the id of the job that a task belongs to."""
    return JobId(task_id.rpartition("/")[0])
