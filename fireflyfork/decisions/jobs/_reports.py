"""The orders to executors and the reports from them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..._ids import AttemptNumber, TaskName


class CallOutcome(Enum):
    """How an executor answered an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    """The executor has received a higher fencing token, from another owner."""
    STALE_ATTEMPT = "stale-attempt"
    """A run of the task with this or a higher attempt number was stopped or ended on the
    executor."""
    PAST_DEADLINE = "past-deadline"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    """The order was not carried out, since the executor is in a bad state."""
    OTHER_INCARNATION = "other-incarnation"
    """The process at the executor's address isn't the incarnation that the order is addressed
    to."""
    UNKNOWN = "unknown"
    """No answer: the order may have been carried out, or may still be in a few seconds."""


class EndReason(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The executor's lease expired."""
    GANG_BROKEN = "gang-broken"
    """Another task of the same gang ended."""
    GANG_INCOMPLETE = "gang-incomplete"
    """The other tasks of the same gang did not start in time."""


@dataclass(frozen=True, slots=True)
class RunningRow:
    """A run that an executor lists as running."""

    task: TaskName
    attempt: AttemptNumber
    checkpoint: str
    progress_percent: int
    """Completed share of the task's work in percent; for a long-running task, 100 once it
    serves."""
    figure: float
    """For a serving task, its tail latency in milliseconds; for other tasks, the CPU use in
    thousandths of a core. Approximate, over the last half second."""


@dataclass(frozen=True, slots=True)
class EndedRow:
    """A run that an executor lists as ended."""

    number: int
    """Number of the end; each incarnation counts its ends from 1."""
    task: TaskName
    attempt: AttemptNumber
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The answer to a start, stop or pace order."""

    outcome: CallOutcome
    clock_ms: int | None
    """The executor's steady clock, or None if the answer did not include it."""
    incarnation: int | None = None
    """When the answering process started, in Unix milliseconds."""


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """The answer to a poll: the executor's runs and ends."""

    outcome: CallOutcome
    clock_ms: int | None = None
    incarnation: int | None = None
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = ()
    ends_may_be_cut: bool = False
    """Whether ends may be missing because the list has reached its maximum length."""
    why: str = ""
    """For logs: the reason for a missing answer, and the route over which the executor was
    polled."""


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A poll of an executor's runs, which also renews its lease and lets it forget ends."""

    forget_ends_to: int
    """The executor stops listing ends up to this number."""
    lease_until_ms: int | None
    """The new end of the lease on the executor's clock; None leaves it unchanged."""
    wait_seconds: float
    """The executor answers when it has an end to list, or after this time."""
    patience_seconds: float
    """How long the answer may take to arrive."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """The order to start one run."""

    task: TaskName
    attempt: AttemptNumber
    payload: str
    deadline_ms: int
    """Time on the executor's clock after which the order is void."""
    checkpoint: str
    ticket: str = ""
