"""Notes on the scheduler's decisions, for the log."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..._ids import ExecutorId, JobId, TaskName
from ..._waits import WaitReason
from ._progress import JobState
from ._reports import EndReason
from ._run_end_evidence import RunEndEvidence
from ._stored_shares import ShareId


@dataclass(frozen=True, slots=True)
class TaskSent:
    """A task was sent to an executor."""

    task: TaskName
    attempt: int
    executor: ExecutorId
    incarnation: int
    """The executor's incarnation, as far as this owner knows."""
    job_age_ms: int
    """Time since the job was accepted, by the clocks of two instances."""
    polled_ms_ago: int
    """Age of the information about the executor: time since its last answered poll was sent."""
    strikes: int
    """The executor's number of failures in a row."""
    waited_for: WaitReason
    """Why no executor could run the task at the previous attempt to place it; ``NOTHING`` if it was
    placed at once."""
    after: RunEndEvidence
    """The evidence that the task's previous run was over."""


@dataclass(frozen=True, slots=True)
class RegistrationMissing:
    """An executor answers but gets no runs, as the registration of its incarnation is missing."""

    executor: ExecutorId
    incarnation: int
    registered_incarnation: int
    """The incarnation of the last registration that was read."""
    missing_ms: int


@dataclass(frozen=True, slots=True)
class RunEnded:
    """An executor listed the end of a run."""

    task: TaskName
    attempt: int
    executor: ExecutorId
    reason: EndReason
    lowest_pace: int
    """The slowest pace that the run was ordered to work at, in percent."""


@dataclass(frozen=True, slots=True)
class JobOver:
    """A job's state became final."""

    job: JobId
    state: JobState
    age_ms: int
    allowed_ms: int
    """How long the job may take to be of full use."""
    queue: str = ""
    work: int = 0
    """Estimated work of all tasks, in thousandths of a core times milliseconds."""


@dataclass(frozen=True, slots=True)
class ExecutorGivenUp:
    """An executor was given up: its runs are taken to be over."""

    executor: ExecutorId
    incarnation: int
    runs: int
    why: RunEndEvidence


class MoveReason(Enum):
    """Why a run was stopped so that its task continues on another executor."""

    EVACUATION = "evacuation"
    SLOW = "slowed down beside a service"
    ARRANGEMENT = "arrangement"
    PREEMPTION = "room for an urgent task"


@dataclass(frozen=True, slots=True)
class RunMoved:
    """A run was stopped so that its task continues on another executor."""

    task: TaskName
    attempt: int
    executor: ExecutorId
    reason: MoveReason
    progress_percent: int
    pace_percent: int


@dataclass(frozen=True, slots=True)
class FailureSuspicion:
    """An executor, or a group of executors, is avoided from now on, or no longer."""

    kind: str
    """``executor``, ``domain``, ``rack`` or ``version``."""
    name: str
    avoided: bool
    share: float
    """The estimated share of runs that fail there."""
    fleet_share: float
    """The estimated share of runs that fail in the whole fleet."""


@dataclass(frozen=True, slots=True)
class StepOnTrial:
    """A step whose tasks fail on good executors is tried by few tasks at a time."""

    job: JobId
    step: int
    failed_share: float
    """The estimated share of runs that fail by the step's fault."""


@dataclass(frozen=True, slots=True)
class RunStraggling:
    """A run takes much longer than others: it is copied to another executor, or stopped."""

    task: TaskName
    attempt: int
    executor: ExecutorId
    progress_percent: int
    expected_ms: int
    """How long tasks of its step take elsewhere; if too few show it, the caller's estimate."""
    by_peers: bool
    """Whether it was judged by other tasks of its step rather than by the estimate."""
    copied: bool
    """Whether it continues next to a copy; otherwise it is stopped."""
    executor_speed: float
    """The estimated speed of its executor; 1 is usual."""


class ReservationOutcome(Enum):
    """Why a reservation was dropped."""

    USED = "used"
    """The tasks that it was made for have started there."""
    NOT_NEEDED = "not needed"
    """The job's tasks have found another place."""
    JOB_OVER = "job over"
    EXECUTOR_LEFT = "executor left"
    OVERDUE = "overdue"
    """The room wasn't free in time."""


@dataclass(frozen=True, slots=True)
class ReservationMade:
    """Room on an executor is reserved for a job that has waited long."""

    job: JobId
    executor: ExecutorId
    tasks: int
    waited_ms: int
    expected_in_ms: int
    """Time until the room is expected to be free."""


@dataclass(frozen=True, slots=True)
class ReservationDropped:
    """The reservation of a job was dropped."""

    job: JobId
    executor: ExecutorId
    reason: ReservationOutcome


@dataclass(frozen=True, slots=True)
class ShareWaits:
    """Tasks of a share wait; noted every ten seconds."""

    share: ShareId
    use: float
    """The share's use by its weight: 0 for none, 1 for all room at a weight of 1."""
    tasks: int
    longest_wait_ms: int


@dataclass(frozen=True, slots=True)
class RoomMade:
    """Room was reserved for an urgent task that found none."""

    task: TaskName
    executor: ExecutorId
    stopped: int
    """Number of less urgent runs that are stopped."""
    paused: int
    """Number of less urgent runs that are paced to nothing while the task runs."""
    lost_core_seconds: float
    """Work that the stopped runs have done since their last checkpoint."""


@dataclass(frozen=True, slots=True)
class ReserveChanged:
    """The shares of all processors that are kept free have changed."""

    short_task_share: float
    """The share that long-running tasks leave free."""
    urgent_share: float
    """The share that less urgent short tasks leave free."""


Note = (
    TaskSent
    | RunEnded
    | RunMoved
    | RoomMade
    | ReserveChanged
    | JobOver
    | ExecutorGivenUp
    | RegistrationMissing
    | ReservationMade
    | ReservationDropped
    | ShareWaits
    | FailureSuspicion
    | StepOnTrial
    | RunStraggling
)
