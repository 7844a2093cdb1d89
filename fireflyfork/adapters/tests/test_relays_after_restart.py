"""Streams to relays that are restarted together with the owner.

Pattern of the load: most instances of a fleet of hundreds are killed at once, the owner among them.
The next owner has thousands of executors to reach before the leases of their runs end, and making
a connection to each of them takes it longer than that.
"""

import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from ...decisions.jobs import CallOutcome, PollAnswer
from .. import LoopTime, RelayedExecutors
from .builders_executor_calls import AcceptingExecutors
from .builders_relays import RELAY_ENDPOINT, MutedRelay

RESTART_SECONDS = 1.5
USABLE_AGAIN_SECONDS = 1.0


def _play(restart_seconds: float, body: Callable[[RelayedExecutors], Awaitable[None]]) -> None:
    async def main() -> None:
        relay = MutedRelay(PollAnswer(CallOutcome.ACCEPTED, 1))
        relay.refuses_until = trio.current_time() + restart_seconds
        owner = RelayedExecutors(AcceptingExecutors(), LoopTime())
        async with relay.reachable(), trio.open_nursery() as nursery:
            nursery.start_soon(owner.run)
            owner.set_relays([RELAY_ENDPOINT])
            await body(owner)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class RestartedRelayTest(unittest.TestCase):
    """An owner waits for its relays, and finds those that come back."""

    def test_a_relay_is_used_soon_after_its_restart(self) -> None:
        """Guards against an owner that calls its whole fleet directly for seconds."""

        async def body(owner: RelayedExecutors) -> None:
            with trio.fail_after(RESTART_SECONDS + USABLE_AGAIN_SECONDS):
                await owner.wait_connected()

        _play(RESTART_SECONDS, body)

    def test_waiting_ends_as_soon_as_the_relays_are_connected(self) -> None:
        """Guards against first calls that are held back although their relay is usable."""

        async def body(owner: RelayedExecutors) -> None:
            started_at = trio.current_time()
            await owner.wait_connected()
            self.assertLess(trio.current_time() - started_at, 0.1)

        _play(0.0, body)
