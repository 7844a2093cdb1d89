"""Jobs, their tasks, and the states that a task goes through.

A task waits, is started by an attempt, and ends finished, failed or cancelled. An attempt that may
still run holds its reservation; the next attempt begins only after the last is known to be over.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from .._contracts import Tolerance
from .._ids import AttemptNumber, JobId, ServiceName, TaskId, TeamName, WorkerId
from .._machines import Resources

JobNumber = NewType("JobNumber", int)
"""Counts the jobs of one partition from 1; it stands for the JobId in stored records."""

NO_ATTEMPT = AttemptNumber(0)
NO_RESOURCES = Resources()


class TaskState(Enum):
    """Where a task is in its life."""

    WAITING = "waiting"
    """Accepted, and no attempt has run yet or the last one failed."""
    STARTING = "starting"
    """The intent to start an attempt is recorded; whether it runs is not known yet."""
    RUNNING = "running"
    """The platform has reported the attempt running."""
    EVICTING = "evicting"
    """A checkpoint and stop was ordered; the attempt may still run."""
    EVICTED = "evicted"
    """The last attempt is over and its checkpoint waits to be resumed."""
    CANCELLING = "cancelling"
    """Cancelled while an attempt may still run."""
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"


HOLDING_STATES = frozenset(
    {TaskState.STARTING, TaskState.RUNNING, TaskState.EVICTING, TaskState.CANCELLING}
)
"""The states in which an attempt may run, so that its reservation counts."""

ENDED_STATES = frozenset({TaskState.FINISHED, TaskState.FAILED, TaskState.CANCELLED})


@dataclass(frozen=True, slots=True)
class TaskShape:
    """What all tasks of one job have in common."""

    team: TeamName
    task_class: str
    """Tasks of one class are alike: sizes and interference are learned by class."""
    resources: Resources
    """The declared size of one task."""
    run_seconds: float
    """The declared run time of one task when nothing disturbs it."""
    urgent: bool = False
    service: ServiceName | None = None
    """Set for the replicas of a latency-critical service, which never finish."""
    tolerance: Tolerance = Tolerance.EVICT


@dataclass(frozen=True, slots=True)
class Task:
    """One task that has not ended."""

    task_id: TaskId
    job_id: JobId
    number: JobNumber
    index: int
    """Its place in the job, from 0."""
    shape: TaskShape
    state: TaskState
    submitted: float
    """When the job was accepted, in seconds since 1970."""
    since: float
    """When this state began, in seconds since 1970."""
    attempt: AttemptNumber = NO_ATTEMPT
    """The latest attempt; 0 before the first."""
    worker_id: WorkerId | None = None
    """Where the attempt may run; None in the waiting states."""
    reservation: Resources = NO_RESOURCES
    progress: float = 0.0
    """The share of the work, 0 to 1, that the last checkpoint holds."""
    failed_on: tuple[WorkerId, ...] = ()
    """The workers on which attempts failed, in order."""
    refused_by: tuple[WorkerId, ...] = ()
    """The workers that would not start it since it last ran; a few of them."""
    evictions: int = 0
    millicores_limit: int | None = None
    """The throttle in force."""
    reason: str = ""
    """Why it is in this state, in words."""

    @property
    def holds_reservation(self) -> bool:
        """Whether an attempt may still run."""
        return self.state in HOLDING_STATES


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """How one task ended, kept for the answer to an operator."""

    index: int
    state: TaskState
    reason: str


@dataclass(frozen=True, slots=True)
class Job:
    """A batch of equal tasks, submitted together."""

    job_id: JobId
    number: JobNumber
    shape: TaskShape
    task_count: int
    submitted: float
    """Seconds since 1970."""
    cancelled: bool = False
    """Whether the whole job was cancelled."""
    finished_count: int = 0
    failed_count: int = 0
    cancelled_count: int = 0
    failures: tuple[TaskEnd, ...] = ()
    """The first few final failures, with reasons."""
    ended: float | None = None
    """When its last task ended, in seconds since 1970."""

    @property
    def open_count(self) -> int:
        """Tasks that have not ended."""
        ended = self.finished_count + self.failed_count + self.cancelled_count
        return self.task_count - ended


def task_id_of(job_id: JobId, index: int) -> TaskId:
    """The id of the task at ``index`` of a job."""
    return TaskId(f"{job_id}/{index}")


def job_of_task(task_id: TaskId) -> JobId:
    """The job that a task id names."""
    return JobId(task_id.rpartition("/")[0])
