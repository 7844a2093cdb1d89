"""What the scheduler wants done; the program sends it and reports the outcome."""

from __future__ import annotations

from dataclasses import dataclass

from ..._ids import ExecutorId
from ._runs import Run
from ._tickets import StepId


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send the order to start a run that already has its room."""

    run: Run


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, or bar one that may not be there yet."""

    run: Run


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at ``percent`` of its speed."""

    run: Run
    percent: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advisor which of these executors may run a step."""

    step: StepId
    executors: tuple[ExecutorId, ...]


RunCommand = StartRun | StopRun | PaceRun
Command = RunCommand | AskAdvice
