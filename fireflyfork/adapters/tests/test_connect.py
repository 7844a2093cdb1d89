"""Errors while a connection is opened."""

import unittest
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import trio

from ..._errors import FireflyforkError, PeerError, UnreachableError
from ..._ids import ExecutorId, FailureDomainName, FencingToken, MemberId, NodeName
from ..._links import Address
from ...decisions.jobs import CallOutcome, PollRequest
from ...platform import PlatformExecutors
from .. import (
    ConnectError,
    ExecutorEndpoint,
    HttpClientConnection,
    LoopTime,
    RelayEndpoint,
    ReplicaEndpoint,
    SocketReplicaPeers,
)
from .._connect import connect
from .._peers import Peers
from .._relay_client import Relay
from .._relay_traffic import RelayTraffic
from .builders_peers import ProgrammedHandler

ADDRESS = Address("127.0.0.1", 1)
"""No process listens on this port."""
ERRORS = (
    OSError("no route"),
    UnicodeError("label too long"),
    ValueError("embedded null byte"),
    trio.TooSlowError(),
)


async def _open_http() -> None:
    await HttpClientConnection.open(ADDRESS, 1.0)


async def _open_replica() -> None:
    endpoint = ReplicaEndpoint(NodeName("n-1"), ADDRESS)
    async with SocketReplicaPeers(LoopTime()).connect(endpoint):
        pass


async def _open_relay() -> None:
    endpoint = RelayEndpoint(NodeName("n-1"), FailureDomainName("d-1"), ADDRESS)
    traffic = RelayTraffic().of(endpoint.failure_domain)
    await Relay(endpoint, LoopTime(), traffic)._connect_and_receive()


async def _open_peer() -> None:
    member = MemberId("two")
    peers = Peers(lambda: MemberId("one"), b"", ProgrammedHandler(), {member: ADDRESS}.get)
    await peers.stream(member)


CLIENTS: dict[str, tuple[Callable[[], Awaitable[None]], type[FireflyforkError]]] = {
    "http": (_open_http, ConnectError),
    "replica": (_open_replica, PeerError),
    "relay": (_open_relay, PeerError),
    "peer": (_open_peer, PeerError),
}
"""By name: a function that opens a connection, and the error that it documents."""


class ConnectTest(unittest.TestCase):
    """A connection that can't be opened is a documented error, whatever the reason is."""

    def test_every_reason_is_the_same_error(self) -> None:
        """Guards against an error of the resolver that ends the process."""
        for error in ERRORS:
            with (
                self.subTest(error=error),
                patch.object(trio, "open_tcp_stream", side_effect=error),
                self.assertRaises(UnreachableError),
            ):
                trio.run(connect, ADDRESS, 1.0)

    def test_every_client_raises_its_own_error(self) -> None:
        """Guards against a client that knows fewer reasons than the others."""
        for name, (open_connection, expected) in CLIENTS.items():
            for error in ERRORS:
                with (
                    self.subTest(name, error=error),
                    patch.object(trio, "open_tcp_stream", side_effect=error),
                    self.assertRaises(expected),
                ):
                    trio.run(open_connection)

    def test_a_call_to_an_executor_reports_the_outcome(self) -> None:
        """Guards against a call that raises an error although its contract is to report it."""

        async def main() -> CallOutcome:
            calls = PlatformExecutors(LoopTime())
            endpoint = ExecutorEndpoint(ExecutorId("i-0"), ADDRESS, 1)
            answer = await calls.poll(endpoint, FencingToken(1), PollRequest(0, None, 0.0, 1.0))
            return answer.outcome

        for error in ERRORS:
            with (
                self.subTest(error=error),
                patch.object(trio, "open_tcp_stream", side_effect=error),
            ):
                self.assertIs(trio.run(main), CallOutcome.UNKNOWN)
