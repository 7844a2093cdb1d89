"""Fixture that runs a whole scheduler instance with callers on real sockets and a stand-in store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from unittest.mock import patch

import msgspec
import trio

from fireflyfork_standins.scheduling import StandInExecutorCalls, StandInStore, WireLayout
from fireflyfork_standins.scheduling._nodes import VirtualClock

from ..._links import Address
from ...adapters import (
    Header,
    HttpClientConnection,
    LoopTime,
    NoAdvisor,
    NoMachines,
    RequestHead,
    ResponseHead,
    listen,
)
from ...platform import CONFIGURATION_KEY, parse_node_settings
from .. import _scheduler_node
from .._external_clients import ExternalClients
from .._scheduler_node import SchedulerNode
from ..callers.tests.builders_callers import HOST, stored_configuration
from ..containment._unexpected_errors import INTERNAL_ERRORS

QUEUE = "holds"
JOB = msgspec.json.encode({"spec": "work", "steps": [{"count": 1, "cpu": 500}]})
LOOPBACK = "127.0.0.1"
START_SECONDS = 3.3
"""Time until an instance has read the configuration and owns its service."""
LONGEST_ANSWER_BYTES = 10_000
CONNECT_SECONDS = 30.0


class RunningNode:
    """One instance, its store, and the event that stops it. Leases in the store never end."""

    def __init__(self, nursery: trio.Nursery) -> None:
        """Create the instance without starting it."""
        self.store = StandInStore(Random(1))
        self.stop = trio.Event()
        self.ended = trio.Event()
        settings = parse_node_settings(WireLayout(1).settings(0))
        self.grace_seconds = settings.bounds.termination_grace
        client = self.store.client(settings.node)
        executors = StandInExecutorCalls(settings.node, {}, nursery, Random(1))
        clients = ExternalClients(
            client, executors, NoAdvisor(), NoMachines(), LoopTime(), lambda: executors
        )
        self._node = SchedulerNode(settings, clients, VirtualClock(), Random(1))
        self._callers_port = settings.caller_address.port
        self._metrics_port = settings.metrics_address.port
        self._ports: dict[int, int] = {}

    async def run(self) -> None:
        """Run the instance to its end."""
        with patch.object(_scheduler_node, "listen", self._listen):
            await self._node.run(self.stop)
        self.ended.set()

    @property
    def internal_errors(self) -> int:
        """The number of unexpected errors that the instance has reported."""
        return self._node._metrics.total(INTERNAL_ERRORS)

    @property
    def metrics_address(self) -> Address:
        """The address at which the instance shows its metrics."""
        return Address(LOOPBACK, self._ports[self._metrics_port])

    @property
    def is_active_owner(self) -> bool:
        """Whether the instance owns its service and has finished its recovery from the store."""
        return any(owner.ready for owner in self._node._owners())

    def configure(self, version: int, queue: str) -> None:
        """Store a version of the configuration, as the operator does."""
        self.store.put(CONFIGURATION_KEY, stored_configuration(version, queue))

    async def connect(self) -> HttpClientConnection:
        """Open a connection as a caller."""
        address = Address(LOOPBACK, self._ports[self._callers_port])
        return await HttpClientConnection.open(address, CONNECT_SECONDS)

    async def _listen(self, host: str, port: int) -> list[trio.SocketListener]:
        """Listen on a free port instead of the port in the settings."""
        listeners = await listen(host, 0)
        self._ports[port] = listeners[0].socket.getsockname()[1]
        return listeners


@asynccontextmanager
async def running_node() -> AsyncIterator[RunningNode]:
    """Run an instance and yield it once it has read its configuration."""
    async with trio.open_nursery() as nursery:
        node = RunningNode(nursery)
        node.configure(3, QUEUE)
        nursery.start_soon(node.run)
        await trio.sleep(START_SECONDS)
        yield node
        nursery.cancel_scope.cancel()


def head(method: str, job: str, length: int = 0, queue: str = QUEUE) -> RequestHead:
    """Return the head of a caller's request about a job."""
    headers: tuple[Header, ...] = (
        (b"host", HOST.encode("ascii")),
        (b"content-length", str(length).encode("ascii")),
    )
    return RequestHead(method, f"/{queue}/{job}", headers)


async def ask(
    connection: HttpClientConnection, method: str, job: str, queue: str = QUEUE
) -> ResponseHead:
    """Send one request and return the head of its complete answer. Raises HttpError."""
    body = JOB if method == "POST" else b""
    request = head(method, job, len(body), queue)
    answer, _ = await connection.request(request, body, LONGEST_ANSWER_BYTES)
    return answer
