"""Tests of the calls to the advisor."""

from __future__ import annotations

import unittest

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling._nodes import VirtualClock

from ...._errors import AdvisorBusyError, AdvisorError
from ...._ids import ExecutorId
from ....adapters import Advice
from ....decisions.jobs import AdviceTerms
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

        metrics = Metrics()
        calls = _calls(ScriptedAdvisor(answer), AdvisorTurns(), 1, metrics)
        _run(6.0, calls)
        return metrics.text()


class TurnsTest(unittest.TestCase):
    """The calls of several owners on one instance."""

    def test_owners_get_their_turns_one_after_the_other(self) -> None:
        """Guards against a service whose steps keep the advisor from those of another one."""
        open_calls = 0
        most_open_calls = 0

        async def answer(step: str, executors: tuple[str, ...]) -> Advice:
            nonlocal open_calls, most_open_calls
            open_calls += 1
            most_open_calls = max(most_open_calls, open_calls)
            await trio.sleep(0.1)
            open_calls -= 1
            return Advice({}, 3.0)

        turns, advisors = AdvisorTurns(), [ScriptedAdvisor(answer) for _ in range(2)]
        _run(1.0, *(_calls(advisor, turns, 20) for advisor in advisors))
        numbers = [len(advisor.calls) for advisor in advisors]
        self.assertLessEqual(abs(numbers[0] - numbers[1]), 1)
        self.assertGreater(sum(numbers), 8)
        self.assertLessEqual(most_open_calls, 2)

    def test_a_call_that_hangs_does_not_stop_the_others(self) -> None:
        """Guards against one lost answer that keeps all services from the advisor."""

        async def hang(step: str, executors: tuple[str, ...]) -> Advice:
            await trio.sleep_forever()
            raise AssertionError

        async def answer(step: str, executors: tuple[str, ...]) -> Advice:
            return Advice({}, 3.0)

        turns, advisor = AdvisorTurns(), ScriptedAdvisor(answer)
        hanging = _calls(ScriptedAdvisor(hang), turns, 1)
        _run(3.0, hanging, _calls(advisor, turns, 5))
        self.assertEqual(len(advisor.calls), 5)


def _calls(
    advisor: ScriptedAdvisor, turns: AdvisorTurns, jobs: int, metrics: Metrics | None = None
) -> AdviceCalls:
    """Return the calls of an owner that has some jobs which wait for advice."""
    owner = OwnerUnderTest("i-0")
    advice = AdviceTerms(decision_seconds=0.1)
    owner.scheduler.configure(table(queue(needs_tickets=True, advice=advice)))
    for number in range(jobs):
        owner.scheduler.accept(job(f"{number:016x}"), START_MS)
    owner.scheduler.place(owner.now, START_MS)
    clock = VirtualClock()
    return AdviceCalls(
        owner.scheduler, advisor, turns, SERVICE, clock, metrics or Metrics(), lambda: None
    )


def _run(seconds: float, *owners: AdviceCalls) -> None:
    """Run the calls of several owners on a virtual clock."""

    async def main() -> None:
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for calls in owners:
                    nursery.start_soon(calls.run)

    trio.run(main, clock=MockClock(autojump_threshold=0))
