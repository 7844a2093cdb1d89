"""Tests of timeouts in a process whose event loop lags."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from .. import LoopTime

TIMEOUT_SECONDS = 0.6
STALL_SECONDS = 5.0


def _run(main: Callable[[MockClock], Awaitable[float]]) -> float:
    clock = MockClock(autojump_threshold=0)

    async def started() -> float:
        return await main(clock)

    return trio.run(started, clock=clock)


class LoopTimeTest(unittest.TestCase):
    """Timeouts with and without a lag of the event loop."""

    def test_a_call_to_a_silent_peer_times_out(self) -> None:
        """Guards against a timeout that never fires: callers would wait for a peer that is gone."""

        async def main(_: MockClock) -> float:
            with self.assertRaises(trio.TooSlowError), LoopTime().fail_after(TIMEOUT_SECONDS):
                await trio.sleep_forever()
            return trio.current_time()

        self.assertAlmostEqual(_run(main), TIMEOUT_SECONDS, delta=0.2)

    def test_an_answer_received_during_a_stall_is_accepted(self) -> None:
        """Guards against a timeout for a peer whose answer waited in the socket while the loop was stalled."""

        async def main(clock: MockClock) -> float:
            answer = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._stall, clock, answer)
                with LoopTime().fail_after(TIMEOUT_SECONDS):
                    await answer.wait()
            return trio.current_time()

        self.assertGreater(_run(main), STALL_SECONDS)

    def test_a_loop_that_is_always_late_gives_calls_of_several_steps_their_time(self) -> None:
        """Guards against an overloaded process that times out calls that are on time, and repeats them."""

        async def main(clock: MockClock) -> float:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._load, clock)
                with LoopTime().fail_after(TIMEOUT_SECONDS):
                    for step_seconds in (0.01,) * 5:
                        await trio.sleep(step_seconds)
                nursery.cancel_scope.cancel()
            return trio.current_time()

        self.assertGreater(_run(main), 2 * TIMEOUT_SECONDS)

    def test_received_bytes_postpone_the_timeout(self) -> None:
        """Guards against a timeout of a long answer that is still arriving."""

        async def main(_: MockClock) -> float:
            with LoopTime().fail_after(TIMEOUT_SECONDS) as postpone:
                for part_seconds in (0.8 * TIMEOUT_SECONDS,) * 10:
                    await trio.sleep(part_seconds)
                    postpone(TIMEOUT_SECONDS)
            return trio.current_time()

        self.assertGreater(_run(main), 4 * TIMEOUT_SECONDS)

    def test_the_lag_of_the_loop_is_measured(self) -> None:
        """Guards against an owner whose event loop lags without being reported."""

        async def main(clock: MockClock) -> float:
            loop_time = LoopTime()
            timer = loop_time.call_after(TIMEOUT_SECONDS, lambda: None)
            await trio.sleep(0.01)
            clock.jump(STALL_SECONDS)
            await trio.sleep(0.01)
            timer.cancel()
            return loop_time.lag

        self.assertGreater(_run(main), 0.9 * STALL_SECONDS)

    @staticmethod
    async def _stall(clock: MockClock, answer: trio.Event) -> None:
        await trio.sleep(0.3)
        clock.jump(STALL_SECONDS)
        # The event loop delivers data that waits in the sockets with its next pass.
        await trio.lowlevel.checkpoint()
        answer.set()

    @staticmethod
    async def _load(clock: MockClock) -> None:
        while True:
            clock.jump(0.3)
            await trio.lowlevel.checkpoint()
