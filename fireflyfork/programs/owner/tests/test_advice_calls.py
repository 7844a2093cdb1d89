"""Tests of the calls to the advisor."""

from __future__ import annotations

import unittest

import trio

from ...._errors import AdvisorBusyError, AdvisorError, AdvisorTimeoutError
from ...._ids import ExecutorId
from ....adapters import Advice
from ....decisions.jobs import AskAdvice
from ....decisions.jobs.tests.builders_jobs import (
    SERVICE,
    START_MS,
    OwnerUnderTest,
    job,
    queue,
    table,
)
from ..._clocks import SystemClock
from ..._metrics import Metrics
from .._advice_calls import AdviceCalls
from .builders_advice import ScriptedAdvisor


class OutcomesTest(unittest.TestCase):
    """What is recorded of a call."""

    def test_each_outcome_is_counted(self) -> None:
        """Guards against calls that time out or are rejected and leave no trace."""
        for error, outcome in (
            (None, "answered"),
            (AdvisorBusyError("busy"), "rejected"),
            (AdvisorTimeoutError("late"), "timed out"),
            (AdvisorError("reset"), "failed"),
        ):
            with self.subTest(outcome):
                self.assertIn(f'outcome="{outcome}"', self._metrics_after(error))

    def _metrics_after(self, error: AdvisorError | None) -> str:
        async def answer(step: str, executors: tuple[str, ...]) -> Advice:
            if error is not None:
                raise error
            return Advice({ExecutorId(executors[0]): "t"}, 3.0)

        owner, metrics = OwnerUnderTest("i-0"), Metrics()
        owner.scheduler.configure(table(queue(needs_tickets=True)))
        owner.scheduler.accept(job(), START_MS)
        owner.scheduler.place(owner.now, START_MS)
        (question,) = owner.scheduler.take_commands()
        assert isinstance(question, AskAdvice)
        self.assertEqual(owner.scheduler.steps_without_advice, 1)
        calls = AdviceCalls(
            owner.scheduler,
            ScriptedAdvisor(answer),
            SERVICE,
            SystemClock(),
            metrics,
            lambda: None,
        )
        trio.run(calls.ask, question)
        return metrics.text()
