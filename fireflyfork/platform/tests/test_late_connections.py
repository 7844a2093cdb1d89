"""Polls that need a new connection over a link that is full.

The pattern: an owner that has just taken over has no connection yet to the executors of the other region.
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
    ExecutorPlace,
    HttpClientConnection,
    LoopTime,
)
from ...adapters.tests.builders_http import NoSocket, ServerStream
from ...decisions.jobs import CallOutcome, PollRequest
from .._executor_client import CALL_TIMEOUT_SECONDS, PlatformExecutors

PLACE = ExecutorPlace(ExecutorId("i-0"), Address("10.0.0.1", 80), ANY_INCARNATION)
POLL = PollRequest(0, None, 0.0, 5.0)
WAY_SECONDS = 2 * CALL_TIMEOUT_SECONDS
"""There and back; twice that is well within the patience of the poll."""
LISTED = b'{"clock_ms":1,"running":[],"ended":[]}'
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(LISTED) + LISTED


async def _answer(stream: ServerStream) -> None:
    await stream.receive_some()
    await trio.sleep(WAY_SECONDS)
    await stream.send_all(ANSWER)


async def _poll() -> CallOutcome:
    """The outcome of a first poll where everything takes its time."""
    async with trio.open_nursery() as nursery:

        async def opened(_: Address, timeout: float, *__: object) -> HttpClientConnection:
            await trio.sleep(min(timeout, WAY_SECONDS))
            if timeout < WAY_SECONDS:
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
    """A poll's patience and the time that its connection takes."""

    def test_a_poll_is_as_patient_with_its_connection_as_with_its_answer(self) -> None:
        """Guards against a new owner that hears no far executor while a link is full, and starts all anew."""
        self.assertIs(trio.run(_poll, clock=MockClock(autojump_threshold=0)), CallOutcome.ACCEPTED)
