"""One log line for each decision, and a bound on how many a second."""

from __future__ import annotations

from dataclasses import fields
from enum import Enum

from loguru import logger

from ..decisions.jobs import ExecutorGivenUp, JobOver, Note, RunEnded, TaskSent
from ._clocks import Clock
from ._decision_metrics import count_decision
from ._metrics import Metrics

LINES_A_SECOND = 400
"""A line takes some 50 us of an instance's fraction of a core. The busiest instance decides about 260
times a second at the day's peak; beyond this, what is left out is counted."""

_MESSAGES = {
    TaskSent: "task sent",
    RunEnded: "run ended",
    JobOver: "job over",
    ExecutorGivenUp: "executor given up",
}


class DecisionLog:
    """Writes notes of the scheduler."""

    def __init__(self, clock: Clock, service: str, metrics: Metrics) -> None:
        """``service`` stands in each line; ``metrics`` count every decision, logged or not."""
        self._clock = clock
        self._service = service
        self._metrics = metrics
        self._second = 0
        self._written = 0
        self._left_out = 0

    def write(self, notes: list[Note]) -> None:
        """Log these, as far as the bound allows."""
        for note in notes:
            count_decision(self._metrics, note)
            if self._allowed():
                logger.info(_MESSAGES[type(note)], service=self._service, **_fields(note))
            else:
                self._left_out += 1

    def _allowed(self) -> bool:
        second = int(self._clock.now())
        if second != self._second:
            if self._left_out:
                logger.warning("decisions not logged", service=self._service, lines=self._left_out)
            self._second, self._written, self._left_out = second, 0, 0
        self._written += 1
        return self._written <= LINES_A_SECOND


def _fields(note: Note) -> dict[str, object]:
    values = {field.name: getattr(note, field.name) for field in fields(note)}
    return {name: one.value if isinstance(one, Enum) else one for name, one in values.items()}
