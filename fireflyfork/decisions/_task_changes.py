"""The changes of a task table: durable changes, which the journal stores, and volatile changes.

Durable changes are stored as arrays, so new fields must be added at the end and have a default.
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
    """The attempt is known to have stopped, with a checkpoint."""
    LAPSED = 4
    """The lease must have lapsed; the last reported checkpoint is used."""
    REFUSED = 5
    """The platform refused to start the attempt."""


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A job with all of its tasks was accepted."""

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
    """The reservation in millicores, bytes and devices; None for the declared size."""


class EndRecorded(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An attempt is known to have ended, so that its reservation is released."""

    number: JobNumber
    index: int
    attempt: AttemptNumber
    outcome: AttemptOutcome
    time: float
    progress: float = 0.0
    reason: str = ""


class TaskGivenUp(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A waiting task failed permanently."""

    number: JobNumber
    index: int
    time: float
    reason: str


class CancelRequested(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A task was cancelled, or the whole job if ``index`` is None."""

    number: JobNumber
    index: int | None
    time: float


class JobForgotten(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A job that ended long ago was removed."""

    number: JobNumber


DurableChange = (
    JobAccepted | StartIntended | EndRecorded | TaskGivenUp | CancelRequested | JobForgotten
)


@dataclass(frozen=True, slots=True)
class StateObserved:
    """The reported or ordered state of an attempt; not stored, so lost with the planner process."""

    task_id: TaskId
    attempt: AttemptNumber
    state: TaskState
    """The new state, RUNNING or EVICTING."""
    time: float
    progress: float = 0.0
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ThrottleOrdered:
    """A limit on the processor time of an attempt was ordered."""

    task_id: TaskId
    attempt: AttemptNumber
    millicores: int | None
    """The limit in thousandths of a core; None removes the limit."""
    reason: str


VolatileChange = StateObserved | ThrottleOrdered
TableChange = DurableChange | VolatileChange


def to_triple(resources: Resources) -> ResourceTriple:
    """Return the stored form of resources: millicores, bytes and devices."""
    return (resources.millicores, resources.memory, resources.accelerators)
