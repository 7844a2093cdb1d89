"""The worker platform: it runs tasks on workers under leases and reports usage with a lag."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from .._ids import AttemptNumber, TaskId, WorkerId
from .._machines import Resources, Worker


class RunState(Enum):
    """What the platform says of one attempt of a task."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    """Stopped on request or because its lease lapsed; ``progress`` holds its checkpoint."""


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


@dataclass(frozen=True, slots=True)
class PlatformReport:
    """What changed since a cursor, and the cursor to ask from next."""

    cursor: int
    runs: tuple[RunReport, ...]


class WorkerPlatform(ABC):
    """Orders to workers. A higher attempt number fences a lower one of the same task."""

    @abstractmethod
    async def workers(self) -> tuple[Worker, ...]:
        """The workers there are. Raises PlatformError."""

    @abstractmethod
    async def start(self, orders: tuple[StartOrder, ...]) -> tuple[RunReport, ...]:
        """Start attempts; idempotent by task and attempt. A refused one comes back FAILED.

        Raises PlatformError when no answer came: each may then have started.
        """

    @abstractmethod
    async def stop(self, task_id: TaskId, attempt: AttemptNumber, checkpoint: bool) -> RunReport:
        """Stop one attempt, after a checkpoint if asked; idempotent. Raises PlatformError."""

    @abstractmethod
    async def throttle(self, task_id: TaskId, attempt: AttemptNumber, millicores: int) -> None:
        """Limit the processor time of an attempt. Raises PlatformError."""

    @abstractmethod
    async def renew(self, runs: tuple[tuple[TaskId, AttemptNumber], ...], seconds: float) -> None:
        """Renew the leases of many attempts in one call. Raises PlatformError."""

    @abstractmethod
    async def report(self, cursor: int, wait_seconds: float) -> PlatformReport:
        """What changed since ``cursor``; waits for a change up to ``wait_seconds``."""
