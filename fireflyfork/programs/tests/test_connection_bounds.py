"""Tests of how long the kernel keeps connections with unacknowledged bytes, for each kind.

The failure: a link between regions is saturated for seconds, so acknowledgements are delayed in its
queue, and the kernel ends connections that are still alive.
"""

import socket
import unittest
from unittest.mock import patch

import trio

from ..._ids import ExecutorId, FencingToken
from ..._links import Address
from ...adapters import (
    ANY_INCARNATION,
    MAX_CALL_SECONDS,
    ExecutorEndpoint,
    HttpClientConnection,
    LoopTime,
)
from ...adapters._relay_stream import RelayStream
from ...decisions._slots import START_WITHIN_SECONDS
from ...decisions.jobs import PollRequest
from ...platform import PlatformExecutors
from .._target_attempts import CONNECT_SECONDS, SEND_SECONDS

POLL = PollRequest(0, None, 0.0, 1.0)


def _bound(stream: trio.SocketStream) -> float:
    milliseconds: int = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    return milliseconds / 1000


async def _close(stream: trio.SocketStream) -> None:
    await stream.aclose()


async def _listening(nursery: trio.Nursery) -> Address:
    """Start a server that closes each connection immediately, and return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, _close, listeners)
    host, port = listeners[0].socket.getsockname()[:2]
    return Address(host, port)


async def _for_executors() -> list[float]:
    """Return the timeouts, in seconds, of the connections that a poll opens."""
    bounds: list[float] = []
    real_open = HttpClientConnection.open

    async def noted(*arguments: object, **options: object) -> HttpClientConnection:
        connection = await real_open(*arguments, **options)  # type: ignore[arg-type]
        bounds.append(_bound(connection._stream))
        return connection

    async with trio.open_nursery() as nursery:
        address = await _listening(nursery)
        place = ExecutorEndpoint(ExecutorId("i-0"), address, ANY_INCARNATION)
        with patch.object(HttpClientConnection, "open", noted):
            await PlatformExecutors(LoopTime()).poll(place, FencingToken(7), POLL)
        nursery.cancel_scope.cancel()
    return bounds


async def _for_relays() -> float:
    async with trio.open_nursery() as nursery:
        address = await _listening(nursery)
        stream = await trio.open_tcp_stream(address.host, address.port)
        RelayStream(stream)
        bound = _bound(stream)
        nursery.cancel_scope.cancel()
    return bound


async def _for_requests() -> float:
    async with trio.open_nursery() as nursery:
        connection = await HttpClientConnection.open(await _listening(nursery), 1.0)
        bound = _bound(connection._stream)
        connection.close()
        nursery.cancel_scope.cancel()
    return bound


class ConnectionBoundsTest(unittest.TestCase):
    """When the kernel ends connections to executors, to relays and for callers' requests."""

    def test_a_connection_to_an_executor_holds_for_as_long_as_its_polls_wait(self) -> None:
        """Guards against ends of runs that are lost because the kernel ended a connection early.

        The answer that reported the ends was delayed on a saturated link.
        """
        bounds = trio.run(_for_executors)
        self.assertEqual(len(bounds), 1)
        self.assertGreaterEqual(bounds[0], MAX_CALL_SECONDS)

    def test_a_stream_to_a_relay_holds_for_as_long_as_its_calls_wait(self) -> None:
        """Guards against a saturated link that ends all calls to a failure domain at the same time."""
        self.assertGreaterEqual(trio.run(_for_relays), MAX_CALL_SECONDS)

    def test_a_request_can_arrive_only_while_its_slot_is_held(self) -> None:
        """Guards against an executor that gets more requests than it has slots.

        This happens if bytes of a request arrive after its slot was assigned to another request.
        """
        self.assertLessEqual(
            CONNECT_SECONDS + SEND_SECONDS + trio.run(_for_requests), START_WITHIN_SECONDS
        )
