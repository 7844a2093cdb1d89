"""The orders to the worker platform about attempts, and the platform's reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .._ids import AttemptNumber, TaskId, WorkerId
from .._machines import Resources


class RunState(Enum):
    """State of an attempt as reported by the platform."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    """Stopped on request or after its lease lapsed; ``progress`` is its checkpoint."""
    REFUSED = "refused"
    """The platform refused to start the attempt, and never will."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to run an attempt of a task on a worker."""

    task_id: TaskId
    attempt: AttemptNumber
    worker_id: WorkerId
    resources: Resources
    """The reservation of the attempt, enforced by the platform."""
    run_seconds: float
    """Duration of the whole task without interference; used only by the stand-ins."""
    progress: float
    """The checkpoint to resume from, as the share of the work already done, 0 to 1."""
    lease_seconds: float
    """The platform stops the attempt if its lease has not been renewed for this long."""


@dataclass(frozen=True, slots=True)
class RunReport:
    """A delayed report on one attempt."""

    task_id: TaskId
    attempt: AttemptNumber
    worker_id: WorkerId
    state: RunState
    progress: float
    """Share of the work that the last checkpoint covers, 0 to 1."""
    used: Resources
    """Average usage over the reporting interval."""
    reason: str = ""
    """Why the attempt failed or was stopped."""
    tail_milliseconds: float | None = None
    """p99 latency of a service's replica over the interval; None for batch tasks."""
    age_seconds: float = 0.0
    """Time since the end of the reporting interval."""
