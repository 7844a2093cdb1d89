"""What the scheduler wants done; the program sends it and reports the outcome."""

from __future__ import annotations

from dataclasses import dataclass

from ._runs import Run


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


Command = StartRun | StopRun | PaceRun
