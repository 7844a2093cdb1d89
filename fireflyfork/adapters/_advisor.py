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
    valid_seconds: float | None
    """None if the answer doesn't say so."""


class Advisor(ABC):
    """A client of the advisor, which enforces the policies of queues."""

    @abstractmethod
    async def advise(
        self, step: str, executors: tuple[ExecutorId, ...], fresh: bool = False
    ) -> Advice:
        """Return which of the given executors may run the step, however long the answer takes.

        A ``fresh`` call uses a new connection. The caller limits the time of a call by cancelling
        it. Raises AdvisorBusyError if the advisor rejects the call, and AdvisorError if it fails in
        another way.
        """


class NoAdvisor(Advisor):
    """Used on platforms without an advisor; it never gives advice."""

    async def advise(
        self, step: str, executors: tuple[ExecutorId, ...], fresh: bool = False
    ) -> Advice:
        """Raise AdvisorError: no advisor exists."""
        raise AdvisorError("the platform has no advisor")
