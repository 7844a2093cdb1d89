"""Logs one line for each decision, with a limit per second.

On a busy owner, all lines of some jobs are left out rather than some lines of every job: the log
explains a job only if it contains all of the job's lines.
"""

from __future__ import annotations

from dataclasses import fields
from enum import Enum

from loguru import logger

from ..._job_samples import in_sample, job_of_task
from ...decisions.jobs import (
    ExecutorGivenUp,
    FailureSuspicion,
    JobOver,
    Note,
    RegistrationMissing,
    ReservationDropped,
    ReservationMade,
    ReserveChanged,
    RoomMade,
    RunEnded,
    RunMoved,
    RunStraggling,
    ShareWaits,
    StepOnTrial,
    TaskSent,
)
from .._clocks import Clock
from .._metrics import Metrics
from ._decision_metrics import count_decision
from ._size_classes import SizeClasses

MAX_LINES_PER_SECOND = 400
"""A line takes about 50 us of an instance's fraction of a core."""
MIN_SHARE = 1 / 64
GROWTH_SECONDS = 20.0
"""Minimum time between a change of the sample and its next growth.

Jobs that started outside of the sample would be logged without their start."""

_MESSAGES = {
    TaskSent: "task sent",
    RunEnded: "run ended",
    RunMoved: "run moved",
    RoomMade: "room made",
    ReserveChanged: "reserve changed",
    JobOver: "job over",
    ExecutorGivenUp: "executor given up",
    RegistrationMissing: "registration missing",
    FailureSuspicion: "avoided for failures",
    StepOnTrial: "step on trial",
    RunStraggling: "run straggling",
    ReservationMade: "room reserved",
    ReservationDropped: "reservation dropped",
    ShareWaits: "share waits",
}


class DecisionLog:
    """Writes the scheduler's notes to the log and the metrics."""

    def __init__(self, clock: Clock, service: str, metrics: Metrics) -> None:
        """Start with all jobs in the sample.

        ``service`` is included in each line. ``metrics`` count every decision, logged or not.
        """
        self._clock = clock
        self._service = service
        self._metrics = metrics
        self._sizes = SizeClasses()
        self._sampled_share = 1.0
        self._share_changed_at = clock.now()
        self._second = 0
        self._decided = 0
        """Decisions in this second, logged or not."""
        self._written = 0
        self._skipped = 0

    def write(self, notes: list[Note]) -> None:
        """Count all notes, and log the sampled notes up to the limit."""
        for note in notes:
            count_decision(self._metrics, note, self._sizes)
            self._begin_second()
            self._decided += 1
            if self._is_sampled(note) and self._written < MAX_LINES_PER_SECOND:
                self._written += 1
                logger.info(_MESSAGES[type(note)], service=self._service, **_fields(note))
            else:
                self._skipped += 1

    def _is_sampled(self, note: Note) -> bool:
        match note:
            case TaskSent() | RunEnded() | RunMoved() | RoomMade() | RunStraggling():
                return in_sample(job_of_task(note.task), self._sampled_share)
            case JobOver() | ReservationMade() | ReservationDropped() | StepOnTrial():
                return in_sample(note.job, self._sampled_share)
            case ReserveChanged() | ExecutorGivenUp() | RegistrationMissing():
                return True
            case ShareWaits() | FailureSuspicion():
                return True

    def _begin_second(self) -> None:
        second = int(self._clock.now())
        if second == self._second:
            return
        if self._skipped:
            self._adjust_share()
            logger.warning(
                "decisions not logged",
                service=self._service,
                lines=self._skipped,
                share=self._sampled_share,
            )
        self._second, self._decided, self._written, self._skipped = second, 0, 0, 0

    def _adjust_share(self) -> None:
        """Adjust the share of jobs whose decisions are logged from now on."""
        now = self._clock.now()
        if self._decided * self._sampled_share > MAX_LINES_PER_SECOND:
            self._sampled_share = max(MIN_SHARE, self._sampled_share / 2)
            self._share_changed_at = now
        elif (
            2 * self._sampled_share * self._decided < MAX_LINES_PER_SECOND
            and now - self._share_changed_at >= GROWTH_SECONDS
        ):
            self._sampled_share = min(1.0, 2 * self._sampled_share)
            self._share_changed_at = now


def _fields(note: Note) -> dict[str, object]:
    values = {field.name: getattr(note, field.name) for field in fields(note)}
    return {
        name: value.value if isinstance(value, Enum) else value for name, value in values.items()
    }
