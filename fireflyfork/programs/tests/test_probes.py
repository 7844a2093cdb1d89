"""Probes beside late polls, in a fleet where many executors hang at once.

The pattern: a rack of executors takes calls and answers none, while connections to others have gone silent.
"""

import unittest
from unittest.mock import MagicMock

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling._nodes import VirtualClock

from ..._ids import ExecutorId, FencingToken
from ...adapters import ExecutorCalls, ExecutorPlace, LoopTime
from ...decisions.jobs import CallOutcome, PollAnswer, PollRequest
from ...decisions.jobs.tests.builders_jobs import OwnerUnderTest
from .._executor_polls import LATE_SECONDS, PROBE_PATIENCE_SECONDS, PROBES_AT_ONCE, ExecutorPolls

HANGING = 2 * PROBES_AT_ONCE
SILENT = "i-silent"


def _calls(answered: list[float]) -> ExecutorCalls:
    """Executors that hang, but for one that answers what comes over a new connection."""

    async def poll(
        place: ExecutorPlace, _: FencingToken, request: PollRequest, fresh: bool = False
    ) -> PollAnswer:
        if place.executor == SILENT and fresh:
            answered.append(trio.current_time())
            return PollAnswer(CallOutcome.ACCEPTED, 1, 1)
        await trio.sleep(request.wait_seconds + request.patience_seconds)
        return PollAnswer(CallOutcome.UNKNOWN)

    calls = MagicMock(spec=ExecutorCalls)
    calls.poll = poll
    return calls


class ProbesTest(unittest.TestCase):
    """Who is asked beside a late poll."""

    def test_executors_that_hang_do_not_keep_probes_from_others(self) -> None:
        """Guards against one silent connection that takes a sound executor out of use for seconds."""
        answered: list[float] = []
        names = [*(f"i-{number}" for number in range(HANGING)), SILENT]

        async def main() -> None:
            owner = OwnerUnderTest(*names, polled=False)
            polls = ExecutorPolls(
                owner.scheduler,
                _calls(answered),
                MagicMock(),
                MagicMock(token=FencingToken(7)),
                VirtualClock(),
                5.0,
                VirtualClock().now,
                lambda: None,
                LoopTime(),
            )
            with trio.move_on_after(30.0):
                async with trio.open_nursery() as nursery:
                    for name in names:
                        nursery.start_soon(polls.run, owner.scheduler.executors[ExecutorId(name)])

        trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertTrue(answered)
        rounds = HANGING / PROBES_AT_ONCE
        self.assertLess(answered[0], LATE_SECONDS + rounds * (PROBE_PATIENCE_SECONDS + 0.5))
