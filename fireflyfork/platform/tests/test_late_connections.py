"""Tests of polls that need a new connection over a saturated link.

An owner that has just taken over has no connections yet to the executors of the other region.
"""

import unittest
from unittest.mock import patch

import trio
from trio.testing import MockClock, memory_stream_pair

from ..._ids import ExecutorId, FencingToken
from ..._links import Address
from ...adapters import (
    ANY_INCARNATION,
    ConnectError,
    ExecutorEndpoint,
    HttpClientConnection,
    LoopTime,
)
from ...adapters.tests.builders_http import NoSocket, ServerStream
from ...decisions.jobs import CallOutcome, PollRequest
from .._executor_client import CALL_TIMEOUT_SECONDS, PlatformExecutors

PLACE = ExecutorEndpoint(ExecutorId("i-0"), Address("10.0.0.1", 80), ANY_INCARNATION)
POLL = PollRequest(0, None, 0.0, 5.0)
ROUND_TRIP_SECONDS = 2 * CALL_TIMEOUT_SECONDS
"""The round-trip time. Twice this is well within the timeout of the poll."""
LISTED = b'{"clock_ms":1,"running":[],"ended":[]}'
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(LISTED) + LISTED


async def _answer(stream: ServerStream) -> None:
    await stream.receive_some()
    await trio.sleep(ROUND_TRIP_SECONDS)
    await stream.send_all(ANSWER)


async def _poll() -> CallOutcome:
    """Return the outcome of a first poll when connecting and answering each take ``ROUND_TRIP_SECONDS``."""
    async with trio.open_nursery() as nursery:

        async def opened(_: Address, timeout: float, *__: object) -> HttpClientConnection:
            await trio.sleep(min(timeout, ROUND_TRIP_SECONDS))
            if timeout < ROUND_TRIP_SECONDS:
                raise ConnectError("not in time")
            here, there = memory_stream_pair()
            here.socket = NoSocket()  # type: ignore[attr-defined]
            nursery.start_soon(_answer, there)
            return HttpClientConnection(here)  # type: ignore[arg-type]

        with patch.object(HttpClientConnection, "open", opened):
            answer = await PlatformExecutors(LoopTime()).poll(PLACE, FencingToken(7), POLL)
        nursery.cancel_scope.cancel()
    return answer.outcome


class LateConnectionTest(unittest.TestCase):
    """The timeout of a poll that needs a new connection."""

    def test_a_poll_allows_its_connection_as_much_time_as_its_answer(self) -> None:
        """Guards against a new owner that reaches no executor of the other region while the link is saturated.

        It would start all their tasks a second time.
        """
        self.assertIs(trio.run(_poll, clock=MockClock(autojump_threshold=0)), CallOutcome.ACCEPTED)
