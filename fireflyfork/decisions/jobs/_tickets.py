"""Which executors a queue's policy lets run a step, as far as its advisor has told.

Some queues ask an outside service which executors may run a step, and a start without its ticket is
refused. Asking takes time for each executor named, so one question names a few, and its answer serves
all tasks of the step until the tickets run out.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..._ids import ExecutorId, JobId

MOST_ASKED = 30
"""Executors in one question; a step rarely needs more, and each costs the advisor time."""
RENEW_MARGIN_SECONDS = 0.3
"""A ticket that ends sooner may be over before the start that carries it arrives."""
ASK_AGAIN_SECONDS = 0.25
"""After a question without an answer, or with no executor that may run the step."""

StepId = tuple[JobId, int, int]
"""Job, occurrence and step."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """Leave to run a step on one executor."""

    text: str
    until: float
    """Seconds on the owner's clock."""
    incarnation: int
    """It holds for this life of the executor."""


@dataclass(slots=True)
class _StepTickets:
    tickets: dict[ExecutorId, Ticket] = field(default_factory=dict)
    refused: set[ExecutorId] = field(default_factory=set)
    """May not run the step; that doesn't change."""
    asked: bool = False
    ask_after: float = 0.0


class TicketBook:
    """The tickets of all steps that need some."""

    def __init__(self) -> None:
        """None yet."""
        self._steps: dict[StepId, _StepTickets] = {}

    def valid(self, step: StepId, executor: ExecutorId, incarnation: int, now: float) -> str | None:
        """The ticket to start with, or None."""
        known = self._steps.get(step)
        ticket = known.tickets.get(executor) if known is not None else None
        if ticket is None or ticket.incarnation != incarnation:
            return None
        return ticket.text if ticket.until - RENEW_MARGIN_SECONDS > now else None

    def to_ask(
        self, step: StepId, candidates: list[ExecutorId], now: float
    ) -> tuple[ExecutorId, ...]:
        """The executors to ask about now, best first; none while an answer is awaited."""
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
        """The advisor has answered about the executors asked for."""
        known = self._steps.setdefault(step, _StepTickets())
        known.asked = False
        known.tickets.update(good)
        known.refused.update(one for one in asked if one not in good)
        if not good:
            known.ask_after = now + ASK_AGAIN_SECONDS

    def not_answered(self, step: StepId, now: float) -> None:
        """A question got no answer."""
        known = self._steps.setdefault(step, _StepTickets())
        known.asked = False
        known.ask_after = now + ASK_AGAIN_SECONDS

    def rejected(self, step: StepId, executor: ExecutorId) -> None:
        """An executor did not take its ticket."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(executor, None)

    def forget_job(self, job: JobId) -> None:
        """A job is over."""
        for step in [one for one in self._steps if one[0] == job]:
            del self._steps[step]
