"""Tests of the HTTP client, with an in-memory stream and a virtual clock."""

import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from unittest.mock import patch

import trio
from trio.testing import MemoryReceiveStream, MemorySendStream, MockClock, memory_stream_pair

from ..._links import Address
from .. import HttpClient, HttpError
from .._http_client import HttpClientConnection
from .builders_http import NoSocket, SimulatedServer

TIMEOUT_SECONDS = 0.9
PARTS = 10
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"

Server = Callable[[trio.StapledStream[MemorySendStream, MemoryReceiveStream]], Awaitable[None]]


def _call(server: Server) -> bytes:
    """Return the answer of a call to a server that runs ``server`` after it has received the request."""

    async def main() -> bytes:
        here, there = memory_stream_pair()
        here.socket = NoSocket()  # type: ignore[attr-defined]

        async def opened(*_: object) -> HttpClientConnection:
            return HttpClientConnection(here)  # type: ignore[arg-type]

        async def serve() -> None:
            await there.receive_some()
            await server(there)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            with patch.object(HttpClientConnection, "open", opened):
                client = HttpClient(Address("10.0.0.1", 80), TIMEOUT_SECONDS)
                return (await client.call("GET", "/"))[1]

    return trio.run(main, clock=MockClock(autojump_threshold=0))


class SlowAnswersTest(unittest.TestCase):
    """Answers that take longer than the timeout."""

    def test_a_slow_answer_is_read_to_its_end(self) -> None:
        """Guards against a limit on the duration of a whole response.

        A page of a listing is a megabyte, which takes two seconds on a slow link. With a limit of 0.9
        seconds it never arrived, and a new owner that needed it placed no task.
        """

        async def server(
            stream: trio.StapledStream[MemorySendStream, MemoryReceiveStream],
        ) -> None:
            await stream.send_all(HEAD)
            for _ in range(PARTS):
                await trio.sleep(0.6 * TIMEOUT_SECONDS)
                await stream.send_all(b"x")

        self.assertEqual(_call(server), b"x" * PARTS)

    def test_an_answer_that_stalls_times_out(self) -> None:
        """Guards against a call that waits forever in the middle of a response.

        A firewall loses the state of a connection and drops the rest of the response without a reset. The
        caller must get an error, so it can retry.
        """

        async def server(
            stream: trio.StapledStream[MemorySendStream, MemoryReceiveStream],
        ) -> None:
            await stream.send_all(HEAD + b"x")
            await trio.sleep_forever()

        with self.assertRaises(BaseExceptionGroup) as raised:
            _call(server)
        self.assertIsNotNone(raised.exception.subgroup(HttpError))


class DoubtTest(unittest.TestCase):
    """The use of idle connections after a failed call."""

    def test_a_refused_connection_does_not_end_the_doubt(self) -> None:
        """Guards against calls on idle connections that died together with the one that failed."""
        self.assertEqual(trio.run(_opened_after_doubt, clock=MockClock(autojump_threshold=0)), 4)


async def _opened_after_doubt() -> int:
    """Return how often a client connects for two concurrent calls, an unanswered, a refused and a successful one."""
    server = SimulatedServer()
    async with trio.open_nursery() as nursery:
        with patch.object(HttpClientConnection, "open", partial(server.open, nursery)):
            client = HttpClient(Address("10.0.0.1", 80), TIMEOUT_SECONDS)
            async with trio.open_nursery() as calls:
                calls.start_soon(client.call, "GET", "/")
                calls.start_soon(client.call, "GET", "/")
            server.silent = True
            with suppress(HttpError):
                await client.call("GET", "/")
            server.refused = True
            with suppress(HttpError):
                await client.call("GET", "/")
            server.silent = server.refused = False
            await client.call("GET", "/")
        nursery.cancel_scope.cancel()
    return server.connect_count
