"""Tests of the calls to the advisor."""

from __future__ import annotations

import unittest

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling._nodes import VirtualClock

from ...._errors import AdvisorBusyError, AdvisorError
from ...._ids import ExecutorId
from ....adapters import Advice
from ....decisions.jobs.tests.builders_jobs import (
    SERVICE,
    START_MS,
    OwnerUnderTest,
    job,
    queue,
    table,
)
from ..._advisor_turns import AdvisorTurns
from ..._metrics import Metrics
from .._advice_calls import AdviceCalls
from .builders_advice import ScriptedAdvisor


class OutcomesTest(unittest.TestCase):
    """What is recorded of a call."""

    def test_each_outcome_is_counted(self) -> None:
        """Guards against calls that are late or rejected and leave no trace."""
        for error, seconds, outcome in (
            (None, 0.1, "answered"),
            (None, 5.0, "late"),
            (AdvisorBusyError("busy"), 0.0, "rejected"),
            (AdvisorError("reset"), 0.0, "failed"),
        ):
            with self.subTest(outcome):
                self.assertIn(f'outcome="{outcome}"', self._metrics_after(error, seconds))

    @staticmethod
    def _metrics_after(error: AdvisorError | None, seconds: float) -> str:
        async def answer(step: str, executors: tuple[str, ...]) -> Advice:
            await trio.sleep(seconds)
            if error is not None:
                raise error
            return Advice({ExecutorId(executors[0]): "t"}, 3.0)

        async def main() -> None:
            owner.now = trio.current_time()
            with trio.move_on_after(6.0):
                await calls.run()

        owner, metrics = OwnerUnderTest("i-0"), Metrics()
        owner.scheduler.configure(table(queue(needs_tickets=True)))
        owner.scheduler.accept(job(), START_MS)
        owner.scheduler.place(owner.now, START_MS)
        calls = AdviceCalls(
            owner.scheduler,
            ScriptedAdvisor(answer),
            AdvisorTurns(),
            SERVICE,
            VirtualClock(),
            metrics,
            lambda: None,
        )
        trio.run(main, clock=MockClock(autojump_threshold=0))
        return metrics.text()
