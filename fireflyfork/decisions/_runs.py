"""Orders to the worker platform about attempts, and its reports on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .._ids import AttemptNumber, TaskId, WorkerId
from .._machines import Resources


class RunState(Enum):
    """What the platform says of one attempt of a task."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    """Stopped on request or because its lease lapsed; ``progress`` holds its checkpoint."""
    REFUSED = "refused"
    """The platform would not start it, and never will."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """The order to run one attempt of a task on one worker."""

    task_id: TaskId
    attempt: AttemptNumber
    worker_id: WorkerId
    resources: Resources
    """The reservation, which the platform enforces."""
    run_seconds: float
    """How long the whole task takes when nothing disturbs it. Stand-ins use it."""
    progress: float
    """The checkpoint to resume from: the share of the work already done, 0 to 1."""
    lease_seconds: float
    """The platform stops the attempt when its lease is not renewed for so long."""


@dataclass(frozen=True, slots=True)
class RunReport:
    """The lagging report on one attempt."""

    task_id: TaskId
    attempt: AttemptNumber
    worker_id: WorkerId
    state: RunState
    progress: float
    """The share of the work that the last checkpoint holds."""
    used: Resources
    """Usage, averaged over the reporting interval."""
    reason: str = ""
    """Why it failed or was stopped."""
    tail_milliseconds: float | None = None
    """The p99 of a service's replica over the interval."""
    age_seconds: float = 0.0
    """How long ago the interval ended."""
