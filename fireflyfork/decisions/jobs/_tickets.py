"""The tickets with which an advisor permits executors to run steps.

Some queues ask an external service which executors may run a step, and a start without its ticket
is refused. Asking takes time for each executor named, so one question names a few executors, and
its answer serves all tasks of the step until the tickets expire.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..._ids import ExecutorId, JobId

MAX_EXECUTORS_PER_QUESTION = 30
"""Maximum number of executors in one question. A step rarely needs more, and each costs the advisor
time."""
RENEW_MARGIN_SECONDS = 0.3
"""A ticket that expires sooner than this may have expired when the start that carries it
arrives."""
ASK_AGAIN_SECONDS = 0.25
"""Delay before the next question after one without an answer, or with an answer that names no
executor."""

StepId = tuple[JobId, int, int]
"""Job, occurrence and step."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one executor."""

    text: str
    until: float
    """When the ticket expires, in seconds on the owner's clock."""
    incarnation: int
    """The incarnation of the executor that the ticket is valid for."""


@dataclass(slots=True)
class _StepTickets:
    tickets: dict[ExecutorId, Ticket] = field(default_factory=dict)
    refused: set[ExecutorId] = field(default_factory=set)
    """Executors that may not run the step; this doesn't change."""
    asked: bool = False
    ask_after: float = 0.0


class TicketBook:
    """The tickets of all steps that need them."""

    def __init__(self) -> None:
        """Initialize without tickets."""
        self._steps: dict[StepId, _StepTickets] = {}

    def valid(self, step: StepId, executor: ExecutorId, incarnation: int, now: float) -> str | None:
        """Return the ticket to start with, or None if there is no valid one."""
        tickets = self._steps.get(step)
        ticket = tickets.tickets.get(executor) if tickets is not None else None
        if ticket is None or ticket.incarnation != incarnation:
            return None
        return ticket.text if ticket.until - RENEW_MARGIN_SECONDS > now else None

    def holders(self, step: StepId) -> list[ExecutorId]:
        """Return the executors for which tickets were granted, also those that have expired."""
        tickets = self._steps.get(step)
        return list(tickets.tickets) if tickets is not None else []

    def may_ask(self, step: StepId, now: float) -> bool:
        """Whether a question about a step may be sent now."""
        tickets = self._steps.get(step)
        return tickets is None or not (tickets.asked or now < tickets.ask_after)

    def begin_question(
        self, step: StepId, candidates: list[ExecutorId], now: float
    ) -> tuple[ExecutorId, ...]:
        """Return the executors to ask about now, best first. Empty while an answer is pending."""
        tickets = self._steps.setdefault(step, _StepTickets())
        if tickets.asked or now < tickets.ask_after:
            return ()
        names = tuple(candidate for candidate in candidates if candidate not in tickets.refused)[
            :MAX_EXECUTORS_PER_QUESTION
        ]
        tickets.asked = bool(names)
        if not names:
            tickets.ask_after = now + ASK_AGAIN_SECONDS
        return names

    def answered(
        self,
        step: StepId,
        asked: tuple[ExecutorId, ...],
        granted: dict[ExecutorId, Ticket],
        now: float,
    ) -> None:
        """Handle the advisor's answer about the executors asked for."""
        tickets = self._steps.setdefault(step, _StepTickets())
        tickets.asked = False
        tickets.tickets.update(granted)
        tickets.refused.update(executor for executor in asked if executor not in granted)
        if not granted:
            tickets.ask_after = now + ASK_AGAIN_SECONDS

    def not_answered(self, step: StepId, now: float) -> None:
        """Handle a question without an answer."""
        tickets = self._steps.setdefault(step, _StepTickets())
        tickets.asked = False
        tickets.ask_after = now + ASK_AGAIN_SECONDS

    def rejected(self, step: StepId, executor: ExecutorId) -> None:
        """Drop a ticket that its executor rejected."""
        tickets = self._steps.get(step)
        if tickets is not None:
            tickets.tickets.pop(executor, None)

    def forget_job(self, job: JobId) -> None:
        """Forget the tickets of a job that is over."""
        for step in [step_id for step_id in self._steps if step_id[0] == job]:
            del self._steps[step]
