"""The interface of the platform's advisor, which decides which executors may run a step."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._errors import AdvisorError
from .._ids import ExecutorId


@dataclass(frozen=True, slots=True)
class Advice:
    """The executors that the advisor allows to run a step, and how long that holds."""

    tickets: dict[ExecutorId, str]
    """The ticket that a start on each allowed executor must carry."""
    valid_seconds: float


class Advisor(ABC):
    """A client of the advisor, which enforces the policies of queues."""

    @abstractmethod
    async def advise(self, step: str, executors: tuple[ExecutorId, ...]) -> Advice:
        """Return which of the given executors may run the step.

        Raises AdvisorBusyError if the advisor rejects the call, AdvisorTimeoutError if it doesn't
        answer in time, and AdvisorError if the call fails in another way.
        """


class NoAdvisor(Advisor):
    """Used on platforms without an advisor; it never gives advice."""

    async def advise(self, step: str, executors: tuple[ExecutorId, ...]) -> Advice:
        """Raise AdvisorError: no advisor exists."""
        raise AdvisorError("the platform has no advisor")
