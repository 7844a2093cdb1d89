"""An outside service that tells which executors may run a step."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .._ids import ExecutorId


@dataclass(frozen=True, slots=True)
class Advice:
    """The executors that may run a step."""

    tickets: dict[ExecutorId, str]
    """What a start there has to carry."""
    valid_seconds: float


class Advisor(ABC):
    """The service that knows a queue's policy."""

    @abstractmethod
    async def advise(self, step: str, executors: tuple[ExecutorId, ...]) -> Advice | None:
        """Which of these executors may run the step; None when there was no answer."""


class NoAdvisor(Advisor):
    """Where the platform has none."""

    async def advise(self, step: str, executors: tuple[ExecutorId, ...]) -> Advice | None:
        """No answer."""
        return None
