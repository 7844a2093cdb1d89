"""Asks the advisor which executors may run the steps of a service."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..._errors import AdvisorBusyError, AdvisorError
from ...adapters import Advice, Advisor
from ...decisions.jobs import AskAdvice, OpenCall, Scheduler, step_name
from .._advisor_turns import AdvisorTurns
from .._clocks import Clock
from .._metrics import Metrics


class AdviceCalls:
    """Sends the scheduler's questions to the advisor and reports the answers to it."""

    def __init__(
        self,
        scheduler: Scheduler,
        advisor: Advisor,
        turns: AdvisorTurns,
        service: str,
        clock: Clock,
        metrics: Metrics,
        request_dispatch: Callable[[], None],
    ) -> None:
        """Set up the calls of one term of ownership.

        ``request_dispatch`` is called after each answer.
        """
        self._scheduler = scheduler
        self._advisor = advisor
        self._turns = turns
        self._service = service
        self._clock = clock
        self._metrics = metrics
        self._request_dispatch = request_dispatch
        self._woken = trio.Event()

    def wake(self) -> None:
        """Look for a question, if steps want advice."""
        if self._scheduler.wants_advice:
            self._woken.set()

    async def run(self) -> None:
        """Make calls until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                woken = self._woken
                if self._scheduler.wants_advice and await self._send_next(nursery):
                    continue
                await woken.wait()
                self._woken = trio.Event()

    async def _send_next(self, nursery: trio.Nursery) -> bool:
        """Send the next question when this owner's turn has come, if there still is one."""
        async with self._turns.wait_turn(self._clock):
            now = self._clock.now()
            question = self._scheduler.next_question(now, self._clock.unix_ms())
            if question is None:
                return False
            fresh = self._turns.any_overdue(now)
            call = self._turns.begin(now, question.cost_seconds)
            self._scheduler.question_sent(question, call.due_at)
            nursery.start_soon(self._make_call, question, call, fresh)
            return True

    async def _make_call(self, question: AskAdvice, call: OpenCall, fresh: bool) -> None:
        outcome, error_text, granted = "closed", "", 0
        with self._turns.keep_open(call):
            try:
                step = step_name(*question.step)
                advice = await self._advisor.advise(step, question.executors, fresh)
            except AdvisorError as error:
                outcome = "rejected" if isinstance(error, AdvisorBusyError) else "failed"
                error_text = str(error)
                self._turns.failed(call, self._clock.now())
                self._handle(question, None)
            else:
                now = self._clock.now()
                outcome, granted = "answered" if now < call.due_at else "late", len(advice.tickets)
                self._turns.answered(call, now)
                self._handle(question, advice)
        self._report(question, outcome, call, error_text, granted)
        self._request_dispatch()

    def _handle(self, question: AskAdvice, advice: Advice | None) -> None:
        now, now_ms = self._clock.now(), self._clock.unix_ms()
        if advice is None:
            self._scheduler.handle_advice(question, None, 0.0, now, now_ms)
            return
        seconds = advice.valid_seconds
        seconds = question.valid_seconds if seconds is None else seconds
        self._scheduler.handle_advice(question, advice.tickets, seconds, now, now_ms)

    def _report(
        self, question: AskAdvice, outcome: str, call: OpenCall, error: str, granted: int
    ) -> None:
        seconds = self._clock.now() - call.sent_at
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
            cost_seconds=round(question.cost_seconds, 3),
            open_calls=self._turns.open_calls,
            waiting_steps=self._scheduler.steps_without_advice,
            backlog_seconds=round(self._scheduler.advice_backlog_seconds, 1),
        )
