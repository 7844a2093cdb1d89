"""The changes that a task table takes: durable ones, which the journal keeps, and volatile ones.

Durable changes are stored as arrays, so a field may only ever be added at the end, with a default.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from .._ids import AttemptNumber, JobId, TaskId, WorkerId
from .._machines import Resources
from ._tasks import JobNumber, TaskShape, TaskState

ResourceTriple = tuple[int, int, int]


class AttemptOutcome(Enum):
    """How an attempt ended."""

    FINISHED = 1
    FAILED = 2
    STOPPED = 3
    """Known stopped, with a checkpoint."""
    LAPSED = 4
    """Its lease has surely lapsed; the last reported checkpoint counts."""
    REFUSED = 5
    """The platform would not start it."""


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A job and all its tasks are accepted."""

    number: JobNumber
    job_id: JobId
    shape: TaskShape
    task_count: int
    time: float


class StartIntended(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An attempt is about to be started."""

    number: JobNumber
    index: int
    attempt: AttemptNumber
    worker_id: WorkerId
    time: float
    reservation: ResourceTriple | None = None
    """Millicores, bytes, devices; None for the declared size."""


class EndRecorded(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An attempt is known to be over; it holds nothing any more."""

    number: JobNumber
    index: int
    attempt: AttemptNumber
    outcome: AttemptOutcome
    time: float
    progress: float = 0.0
    reason: str = ""


class TaskGivenUp(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A waiting task ends in failure for good."""

    number: JobNumber
    index: int
    time: float
    reason: str


class CancelRequested(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A task, or with index None the whole job, is cancelled."""

    number: JobNumber
    index: int | None
    time: float


class JobForgotten(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A job that ended long ago is dropped."""

    number: JobNumber


DurableChange = (
    JobAccepted | StartIntended | EndRecorded | TaskGivenUp | CancelRequested | JobForgotten
)


@dataclass(frozen=True, slots=True)
class StateObserved:
    """What the platform shows of an attempt, or what was ordered of it; lost with the planner."""

    task_id: TaskId
    attempt: AttemptNumber
    state: TaskState
    """RUNNING or EVICTING."""
    time: float
    progress: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ThrottleOrdered:
    """A limit on the processor time of an attempt."""

    task_id: TaskId
    attempt: AttemptNumber
    millicores: int | None
    """None lifts the limit."""
    reason: str


VolatileChange = StateObserved | ThrottleOrdered
TableChange = DurableChange | VolatileChange


def to_triple(resources: Resources) -> ResourceTriple:
    """The stored form of an amount."""
    return (resources.millicores, resources.memory, resources.accelerators)
