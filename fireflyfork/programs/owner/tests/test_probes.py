"""Probes during late polls, in a fleet where many executors hang at once.

A rack of executors accepts calls and answers none, while connections to other executors have
failed.
"""

import unittest
from collections.abc import Sequence
from unittest.mock import MagicMock, patch

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling._nodes import VirtualClock

from ...._ids import ExecutorId, FencingToken
from ....adapters import (
    MAX_CALL_SECONDS,
    ExecutorCalls,
    ExecutorEndpoint,
    LoopTime,
    RelayedExecutors,
)
from ....adapters.tests.builders_relays import RELAY_ENDPOINT, MutedRelay
from ....decisions.jobs import CallOutcome, PollAnswer, PollRequest
from ....decisions.jobs.tests.builders_jobs import OwnerUnderTest
from .._executor_polls import (
    LATE_ANSWER_SECONDS,
    MAX_CONCURRENT_PROBES,
    POLL_SECONDS,
    POLL_TIMEOUT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    SHED_POLL_SECONDS,
    ExecutorPolls,
)

HANGING_EXECUTORS = 2 * MAX_CONCURRENT_PROBES
SILENT_EXECUTOR = "i-silent"


def _calls(answered: list[float]) -> ExecutorCalls:
    """Return calls to executors that hang, except one that answers over a new connection."""

    async def poll(
        place: ExecutorEndpoint, _: FencingToken, request: PollRequest, fresh: bool = False
    ) -> PollAnswer:
        if place.executor == SILENT_EXECUTOR and fresh:
            answered.append(trio.current_time())
            return PollAnswer(CallOutcome.ACCEPTED, 1, 1)
        await trio.sleep(request.wait_seconds + request.patience_seconds)
        return PollAnswer(CallOutcome.UNKNOWN)

    calls = MagicMock(spec=ExecutorCalls)
    calls.poll = poll
    return calls


def _polls(owner: OwnerUnderTest, calls: ExecutorCalls) -> ExecutorPolls:
    return ExecutorPolls(
        owner.scheduler,
        calls,
        MagicMock(),
        MagicMock(token=FencingToken(7)),
        VirtualClock(),
        5.0,
        VirtualClock().now,
        lambda: None,
        LoopTime(),
    )


async def _silence_after_freeze(names: Sequence[str]) -> float:
    """Return how long the last executor goes without an answer after its relay has frozen."""
    answer = PollAnswer(CallOutcome.ACCEPTED, 1, 1)

    async def poll(
        _: ExecutorEndpoint, __: FencingToken, request: PollRequest, fresh: bool = False
    ) -> PollAnswer:
        await trio.sleep(request.wait_seconds)
        return answer

    relay, direct = MutedRelay(answer), MagicMock(spec=ExecutorCalls)
    direct.poll = poll
    owner = OwnerUnderTest(*names, polled=False)
    calls = RelayedExecutors(direct, LoopTime())
    polls = _polls(owner, calls)
    executors = [owner.scheduler.executors[ExecutorId(name)] for name in names]
    async with relay.reachable(), trio.open_nursery() as nursery:
        nursery.start_soon(calls.run)
        calls.set_relays([RELAY_ENDPOINT])
        await trio.sleep(0.5)
        for number, executor in enumerate(executors):
            nursery.start_soon(polls.run, executor)
            await trio.sleep(POLL_SECONDS * (number % 7) / len(names))
        await trio.sleep(3 * POLL_SECONDS)
        relay.mute()
        frozen_at = VirtualClock().now()
        while min(executor.last_answer_at for executor in executors) <= frozen_at:
            await trio.sleep(0.05)
        silence = VirtualClock().now() - frozen_at
        nursery.cancel_scope.cancel()
    return silence


class ProbesTest(unittest.TestCase):
    """Executors that are probed while a poll is late."""

    def test_executors_that_hang_do_not_keep_probes_from_others(self) -> None:
        """Guards against one failed connection that makes a healthy executor unusable for seconds."""
        answered: list[float] = []
        names = [*(f"i-{number}" for number in range(HANGING_EXECUTORS)), SILENT_EXECUTOR]

        async def main() -> None:
            owner = OwnerUnderTest(*names, polled=False)
            polls = _polls(owner, _calls(answered))
            with trio.move_on_after(30.0):
                async with trio.open_nursery() as nursery:
                    for name in names:
                        nursery.start_soon(polls.run, owner.scheduler.executors[ExecutorId(name)])

        trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertTrue(answered)
        rounds = HANGING_EXECUTORS / MAX_CONCURRENT_PROBES
        self.assertLess(answered[0], LATE_ANSWER_SECONDS + rounds * (PROBE_TIMEOUT_SECONDS + 0.5))

    def test_executors_behind_a_frozen_relay_are_found_directly(self) -> None:
        """Guards against executors that appear silent only because their relay is frozen."""
        names = [f"i-{number}" for number in range(HANGING_EXECUTORS)]

        async def main() -> float:
            with trio.fail_after(60.0):
                return await _silence_after_freeze(names)

        with patch.object(ExecutorPolls, "_idle", lambda *_: False):
            silence = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertLess(silence, 2 * POLL_SECONDS + LATE_ANSWER_SECONDS + 0.2)

    def test_no_poll_outlasts_the_bound_of_its_connection(self) -> None:
        """Guards against connections that are closed while an answer is still pending."""
        self.assertLessEqual(SHED_POLL_SECONDS + POLL_TIMEOUT_SECONDS, MAX_CALL_SECONDS)
