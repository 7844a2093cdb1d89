"""The tickets with which an advisor permits executors to run steps.

Some queues ask an external service which executors may run a step, and a start without its ticket
is refused. An answer serves all tasks of the step until its tickets expire. Which executors may run
a step doesn't change, so it is remembered after that.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ..._ids import ExecutorId, JobId

RENEW_MARGIN_SECONDS = 0.3
RENEW_MARGIN_SHARE = 0.25
"""A ticket that expires within this time, or this share of its validity if that is shorter, may have
expired when the start that carries it arrives."""
ASK_AGAIN_SECONDS = 0.25
"""Delay before the next question about a step after one without an answer, or with an answer that
names no executor."""
NOTHING_TO_ASK_SECONDS = 1.0
"""Delay before the next attempt for a step about which no executor is left to ask. Others join or
become usable within seconds."""

StepId = tuple[JobId, int, int]
"""Job, occurrence and step."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one executor."""

    text: str
    until: float
    """When the ticket is too old to be used, in seconds on the owner's clock."""
    incarnation: int
    """The incarnation of the executor that the ticket is valid for."""

    @classmethod
    def received(cls, text: str, seconds: float, incarnation: int, now: float) -> Ticket:
        """Return a ticket that was received now and is valid for ``seconds``."""
        margin = min(RENEW_MARGIN_SECONDS, RENEW_MARGIN_SHARE * seconds)
        return cls(text, now + seconds - margin, incarnation)


@dataclass(slots=True)
class _StepTickets:
    tickets: dict[ExecutorId, Ticket] = field(default_factory=dict)
    permitted: set[ExecutorId] = field(default_factory=set)
    """Executors that may run the step, also without a valid ticket."""
    refused: set[ExecutorId] = field(default_factory=set)
    """Executors that may not run the step."""
    ask_after: float = 0.0
    """No further question is sent before this time, in seconds: one is open, or has just failed."""


class TicketBook:
    """The tickets of all steps that need them."""

    def __init__(self) -> None:
        """Initialize without tickets."""
        self._steps: dict[StepId, _StepTickets] = {}
        self._wanted: dict[StepId, None] = {}

    @property
    def wanted(self) -> Collection[StepId]:
        """The steps of which a task could not be placed with the tickets at hand."""
        return self._wanted

    def want(self, step: StepId) -> None:
        """Record that a task of a step could not be placed with the tickets at hand."""
        self._wanted[step] = None

    def satisfied(self, step: StepId) -> None:
        """Record that a step needs no further ticket for now."""
        self._wanted.pop(step, None)

    def valid(self, step: StepId, executor: ExecutorId, incarnation: int, now: float) -> str | None:
        """Return the ticket to start with, or None if there is no valid one."""
        tickets = self._steps.get(step)
        ticket = tickets.tickets.get(executor) if tickets is not None else None
        if ticket is None or ticket.incarnation != incarnation:
            return None
        return ticket.text if ticket.until > now else None

    def holders(self, step: StepId) -> list[ExecutorId]:
        """Return the executors for which tickets were granted, also those that have expired."""
        tickets = self._steps.get(step)
        return list(tickets.tickets) if tickets is not None else []

    def is_permitted(self, step: StepId, executor: ExecutorId) -> bool | None:
        """Whether an executor may run a step; None if that isn't known."""
        tickets = self._steps.get(step)
        if tickets is None:
            return None
        if executor in tickets.permitted:
            return True
        return False if executor in tickets.refused else None

    def may_ask(self, step: StepId, now: float) -> bool:
        """Whether a question about a step may be sent now."""
        tickets = self._steps.get(step)
        return tickets is None or now >= tickets.ask_after

    def postpone(self, step: StepId, until: float) -> None:
        """Send no question about a step before ``until``: one is open, or none can be sent."""
        self._wanted.pop(step, None)
        self._steps.setdefault(step, _StepTickets()).ask_after = until

    def answered(
        self,
        step: StepId,
        asked: Iterable[ExecutorId],
        permitted: Iterable[ExecutorId],
        granted: dict[ExecutorId, Ticket],
        now: float,
    ) -> None:
        """Handle the advisor's answer about the executors asked for.

        ``granted`` has the tickets of those of the ``permitted`` executors that are still known.
        """
        tickets = self._steps.setdefault(step, _StepTickets())
        tickets.tickets.update(granted)
        tickets.permitted.update(permitted)
        tickets.refused.update(set(asked) - tickets.permitted)
        tickets.ask_after = now if granted else now + ASK_AGAIN_SECONDS

    def not_answered(self, step: StepId, now: float) -> None:
        """Handle a question without an answer."""
        self._steps.setdefault(step, _StepTickets()).ask_after = now + ASK_AGAIN_SECONDS

    def rejected(self, step: StepId, executor: ExecutorId) -> None:
        """Drop a ticket that its executor rejected, and the others of the same answer.

        An answer that was on its way for long brings tickets that have all expired.
        """
        tickets = self._steps.get(step)
        ticket = tickets.tickets.get(executor) if tickets is not None else None
        if tickets is not None and ticket is not None:
            tickets.tickets = {
                name: other
                for name, other in tickets.tickets.items()
                if other.until != ticket.until
            }

    def forget_executor(self, executor: ExecutorId) -> None:
        """Forget what is known of an executor that has restarted, maybe as one of another kind."""
        for tickets in self._steps.values():
            tickets.tickets.pop(executor, None)
            tickets.permitted.discard(executor)
            tickets.refused.discard(executor)

    def forget_job(self, job: JobId) -> None:
        """Forget the tickets of a job that is over."""
        for step in [step_id for step_id in self._steps if step_id[0] == job]:
            del self._steps[step]
        for step in [step_id for step_id in self._wanted if step_id[0] == job]:
            del self._wanted[step]
