"""What executors are ordered and what they report, as the scheduler sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..._ids import AttemptNumber, TaskName


class CallOutcome(Enum):
    """How an executor answered an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    """A higher fencing token has been used there: another owner is at work."""
    STALE_ATTEMPT = "stale-attempt"
    """A run with this number or a higher one was stopped or has ended there."""
    PAST_DEADLINE = "past-deadline"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    """Nothing was done; the executor does not feel well."""
    OTHER_INCARNATION = "other-incarnation"
    """The process at that address is not the one that was meant."""
    UNKNOWN = "unknown"
    """No answer: the order may have been carried out, or may be in a few seconds."""


class EndReason(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The executor's lease ran out."""
    GANG_BROKEN = "gang-broken"
    """Another member of its gang ended."""
    GANG_INCOMPLETE = "gang-incomplete"
    """The other members of its gang did not come in time."""


@dataclass(frozen=True, slots=True)
class RunningRow:
    """One run that an executor has."""

    task: TaskName
    attempt: AttemptNumber
    checkpoint: str
    progress_percent: int
    """Of its work; for a task that lasts, 100 once it is at work."""
    figure: float
    """Tail latency in milliseconds of a task that serves; for others the processor use, in
    thousandths of a core. Rough, over the last half second."""


@dataclass(frozen=True, slots=True)
class EndedRow:
    """One run that has ended."""

    number: int
    """Counts the ends of one incarnation from 1."""
    task: TaskName
    attempt: AttemptNumber
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The answer to a start, stop or pace."""

    outcome: CallOutcome
    clock_ms: int | None
    """The executor's steady clock, where the answer carried it."""
    incarnation: int | None = None
    """When the answering process started, in Unix milliseconds."""


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """What an executor has running and what has ended there."""

    outcome: CallOutcome
    clock_ms: int | None = None
    incarnation: int | None = None
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = ()
    ends_may_be_cut: bool = False
    """Whether more may have ended there than it lists: the list is as long as one can be."""
    why: str = ""
    """For logs: why there is no answer, and over which way it was asked for."""


@dataclass(frozen=True, slots=True)
class PollRequest:
    """The question what an executor runs, with what it may forget and how long it may go on."""

    forget_ends_to: int
    """It lists ends up to this one no more."""
    lease_until_ms: int | None
    """Until when what runs there may go on, on its clock; None leaves that as it is."""
    wait_seconds: float
    """It answers when there is an end to list, or after so long."""
    patience_seconds: float
    """How long its answer may be under way."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """The order to start one run."""

    task: TaskName
    attempt: AttemptNumber
    payload: str
    deadline_ms: int
    """On the executor's clock; the order is void after it."""
    checkpoint: str
    ticket: str = ""
