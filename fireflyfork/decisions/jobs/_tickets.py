"""The tickets with which an advisor permits executors to run steps.

Some queues ask an external service which executors may run a step, and a start without its ticket
is refused. Asking takes time for each executor named, so one question names a few executors, and
its answer serves all tasks of the step until the tickets expire.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..._ids import ExecutorId, JobId

MOST_ASKED = 30
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
        known = self._steps.get(step)
        ticket = known.tickets.get(executor) if known is not None else None
        if ticket is None or ticket.incarnation != incarnation:
            return None
        return ticket.text if ticket.until - RENEW_MARGIN_SECONDS > now else None

    def to_ask(
        self, step: StepId, candidates: list[ExecutorId], now: float
    ) -> tuple[ExecutorId, ...]:
        """Return the executors to ask about now, best first. Empty while an answer is pending."""
        known = self._steps.setdefault(step, _StepTickets())
        if known.asked or now < known.ask_after:
            return ()
        names = tuple(one for one in candidates if one not in known.refused)[:MOST_ASKED]
        known.asked = bool(names)
        return names

    def answered(
        self,
        step: StepId,
        asked: tuple[ExecutorId, ...],
        good: dict[ExecutorId, Ticket],
        now: float,
    ) -> None:
        """Handle the advisor's answer about the executors asked for."""
        known = self._steps.setdefault(step, _StepTickets())
        known.asked = False
        known.tickets.update(good)
        known.refused.update(one for one in asked if one not in good)
        if not good:
            known.ask_after = now + ASK_AGAIN_SECONDS

    def not_answered(self, step: StepId, now: float) -> None:
        """Handle a question without an answer."""
        known = self._steps.setdefault(step, _StepTickets())
        known.asked = False
        known.ask_after = now + ASK_AGAIN_SECONDS

    def rejected(self, step: StepId, executor: ExecutorId) -> None:
        """Drop a ticket that its executor rejected."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(executor, None)

    def forget_job(self, job: JobId) -> None:
        """Forget the tickets of a job that is over."""
        for step in [one for one in self._steps if one[0] == job]:
            del self._steps[step]
