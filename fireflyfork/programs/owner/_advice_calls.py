"""Asks the advisor which executors may run the steps of a service."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from ..._errors import AdvisorBusyError, AdvisorError, AdvisorTimeoutError
from ...adapters import Advice, Advisor
from ...decisions.jobs import AskAdvice, Scheduler, step_name
from .._clocks import Clock
from .._metrics import Metrics

_OUTCOMES = {AdvisorBusyError: "rejected", AdvisorTimeoutError: "timed out"}


class AdviceCalls:
    """Sends the scheduler's questions to the advisor and reports the answers to it."""

    def __init__(
        self,
        scheduler: Scheduler,
        advisor: Advisor,
        service: str,
        clock: Clock,
        metrics: Metrics,
        request_dispatch: Callable[[], None],
    ) -> None:
        """Set up the calls of one term of ownership; ``request_dispatch`` is called after each."""
        self._scheduler = scheduler
        self._advisor = advisor
        self._service = service
        self._clock = clock
        self._metrics = metrics
        self._request_dispatch = request_dispatch
        self._open = 0

    async def ask(self, question: AskAdvice) -> None:
        """Make one call."""
        sent_at = self._clock.now()
        self._open += 1
        try:
            advice = await self._advisor.advise(step_name(*question.step), question.executors)
        except AdvisorError as error:
            self._report(question, _OUTCOMES.get(type(error), "failed"), sent_at, str(error))
            self._handle(question, None)
        else:
            granted = len(advice.tickets)
            self._report(question, "answered", sent_at, granted=granted)
            self._handle(question, advice)
        finally:
            self._open -= 1
        self._request_dispatch()

    def _handle(self, question: AskAdvice, advice: Advice | None) -> None:
        now, now_ms = self._clock.now(), self._clock.unix_ms()
        tickets, seconds = (advice.tickets, advice.valid_seconds) if advice else (None, 0.0)
        self._scheduler.handle_advice(question, tickets, seconds, now, now_ms)

    def _report(
        self,
        question: AskAdvice,
        outcome: str,
        sent_at: float,
        error: str = "",
        granted: int = 0,
    ) -> None:
        seconds = self._clock.now() - sent_at
        self._metrics.count(
            "fireflyfork_advice_calls_total", service=self._service, outcome=outcome
        )
        self._metrics.observe(
            "fireflyfork_advice_call_seconds", seconds, service=self._service, outcome=outcome
        )
        logger.info(
            "advice call",
            service=self._service,
            step=step_name(*question.step),
            outcome=outcome,
            error=error,
            executors=len(question.executors),
            granted=granted,
            seconds=round(seconds, 3),
            open_calls=self._open,
            waiting_steps=self._scheduler.steps_without_advice,
        )
