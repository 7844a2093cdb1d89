"""The worker platform: it runs tasks on workers under leases and reports usage with a lag."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import AttemptNumber, RegionName, TaskId
from .._machines import Worker
from ..decisions import RunReport, RunState, StartOrder

__all__ = ["PlatformReport", "RunReport", "RunState", "StartOrder", "WorkerPlatform"]


@dataclass(frozen=True, slots=True)
class PlatformReport:
    """What changed since a cursor, and the cursor to ask from next."""

    cursor: int
    runs: tuple[RunReport, ...]


class WorkerPlatform(ABC):
    """Orders to workers. Every call raises PlatformError when no answer came.

    Attempt numbers fence: once an attempt of a task was stopped, or a higher one started, no order
    starts that attempt or a lower one, however late the order arrives. The platform remembers how
    an attempt ended for a day.
    """

    @abstractmethod
    async def workers(self, region: RegionName) -> tuple[Worker, ...]:
        """The workers of a region."""

    @abstractmethod
    async def start(self, orders: tuple[StartOrder, ...]) -> tuple[RunReport, ...]:
        """Start attempts; idempotent by task and attempt. A refused one comes back REFUSED
        and is fenced.

        Without an answer, each may have started.
        """

    @abstractmethod
    async def stop(self, task_id: TaskId, attempt: AttemptNumber, checkpoint: bool) -> RunReport:
        """Stop one attempt, after a checkpoint if asked; idempotent.

        An attempt that never started is thereby fenced and comes back STOPPED.
        """

    @abstractmethod
    async def throttle(
        self, task_id: TaskId, attempt: AttemptNumber, millicores: int | None
    ) -> None:
        """Limit the processor time of an attempt; None lifts the limit."""

    @abstractmethod
    async def renew(
        self, runs: tuple[tuple[TaskId, AttemptNumber], ...], seconds: float
    ) -> tuple[RunReport, ...]:
        """Renew the leases of many attempts in one call; the answer holds those that are over."""

    @abstractmethod
    async def report(self, region: RegionName, cursor: int, wait_seconds: float) -> PlatformReport:
        """What changed in a region since ``cursor``; waits for a change up to ``wait_seconds``.

        From cursor 0 it holds the latest state of every attempt that the platform remembers.
        """
