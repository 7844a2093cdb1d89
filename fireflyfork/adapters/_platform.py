"""The interface of the worker platform, which runs tasks on workers under leases and reports usage with a lag."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import AttemptNumber, RegionName, TaskId
from .._machines import Worker
from ..decisions import RunReport, RunState, StartOrder

__all__ = ["PlatformReport", "RunReport", "RunState", "StartOrder", "WorkerPlatform"]


@dataclass(frozen=True, slots=True)
class PlatformReport:
    """The runs that changed since a cursor, and the cursor for the next call."""

    cursor: int
    runs: tuple[RunReport, ...]


class WorkerPlatform(ABC):
    """Orders to workers. Every call raises PlatformError if the platform doesn't answer.

    Attempt numbers fence: once an attempt of a task was stopped, or a higher one was started, no order
    starts that attempt or a lower one, however late the order arrives. The platform keeps the outcome of
    an attempt for a day. Once it has answered an order to stop an attempt, it also forwards no more lease
    renewals of that attempt, even if the worker couldn't be reached to stop it.
    """

    @abstractmethod
    async def workers(self, region: RegionName) -> tuple[Worker, ...]:
        """Return the workers of a region."""

    @abstractmethod
    async def start(self, orders: tuple[StartOrder, ...]) -> tuple[RunReport, ...]:
        """Start attempts; idempotent by task and attempt.

        A refused attempt is reported as REFUSED and is fenced. After an error, each attempt may have started.
        """

    @abstractmethod
    async def stop(self, task_id: TaskId, attempt: AttemptNumber, checkpoint: bool) -> RunReport:
        """Stop an attempt, after a checkpoint if requested; idempotent.

        An attempt that never started is fenced and reported as STOPPED. An attempt whose worker can't be
        reached is reported as RUNNING; the worker stops it when the lease lapses.
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
        """Renew the leases of many attempts in one call, and return the attempts that have ended."""

    @abstractmethod
    async def report(self, region: RegionName, cursor: int, wait_seconds: float) -> PlatformReport:
        """Return the changes in a region since ``cursor``, waiting up to ``wait_seconds`` for a change.

        With cursor 0, the report contains the latest state of every attempt that the platform still keeps.
        """
