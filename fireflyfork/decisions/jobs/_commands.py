"""Commands of the scheduler. The program sends them and reports their outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from ..._ids import ExecutorId, QueueName
from ._runs import Run
from ._tickets import StepId


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send the order to start a run whose resources are already allocated."""

    run: Run


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, or bar its attempt if the start may not have arrived yet."""

    run: Run


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Set the pace of a run to ``percent`` of full speed."""

    run: Run
    percent: int


RunCommand = StartRun | StopRun | PaceRun


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advisor which of these executors may run a step."""

    step: StepId
    executors: tuple[ExecutorId, ...]
    queue: QueueName
    cost_seconds: float
    """The time that the advisor is said to take for the answer."""
    valid_seconds: float
    """How long tickets are valid if the answer doesn't say so."""
