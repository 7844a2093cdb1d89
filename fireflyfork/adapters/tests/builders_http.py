"""Builds HTTP clients whose connections are in-memory streams."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from unittest.mock import patch

import trio
from trio.testing import MemoryReceiveStream, MemorySendStream, memory_stream_pair

from .. import ConnectError
from .._http_client import HttpClientConnection

EMPTY_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"

ServerStream = trio.StapledStream[MemorySendStream, MemoryReceiveStream]
Server = Callable[[ServerStream], Awaitable[None]]


class NoSocket:
    """A stand-in for the socket of a connection, which prevents that the connection is reused."""

    def fileno(self) -> int:
        """Return -1: no descriptor can be polled."""
        return -1

    def close(self) -> None:
        """Do nothing."""


@asynccontextmanager
async def served_by(server: Server) -> AsyncIterator[None]:
    """Let all clients connect to ``server``, which is called for each connection after its first request."""
    async with trio.open_nursery() as nursery:

        async def opened(*_: object) -> HttpClientConnection:
            here, there = memory_stream_pair()
            here.socket = NoSocket()  # type: ignore[attr-defined]
            nursery.start_soon(_serve, server, there)
            return HttpClientConnection(here)  # type: ignore[arg-type]

        with patch.object(HttpClientConnection, "open", opened):
            yield
        nursery.cancel_scope.cancel()


async def _serve(server: Server, stream: ServerStream) -> None:
    await stream.receive_some()
    await server(stream)


class IdleSocket(NoSocket):
    """A stand-in for a socket with nothing to read, so the connection can be reused."""

    def __init__(self) -> None:
        """Open a pipe that is never written to."""
        self._ends = os.pipe()

    def fileno(self) -> int:
        """Return the reading end of the pipe, which never becomes readable."""
        return self._ends[0]

    def close(self) -> None:
        """Close the pipe."""
        for end in self._ends:
            os.close(end)


class SimulatedServer:
    """Connections to a server that answers each request immediately, unless it is silent or refuses connections."""

    def __init__(self) -> None:
        """Start with a server that works."""
        self.connect_count = 0
        self.silent = False
        self.refused = False

    async def open(self, nursery: trio.Nursery, *_: object) -> HttpClientConnection:
        """Connect; replaces HttpClientConnection.open. Raises ConnectError."""
        self.connect_count += 1
        if self.refused:
            raise ConnectError("refused")
        here, there = memory_stream_pair()
        here.socket = IdleSocket()  # type: ignore[attr-defined]
        nursery.start_soon(self._answer_all, there)
        return HttpClientConnection(here)  # type: ignore[arg-type]

    async def _answer_all(self, stream: ServerStream) -> None:
        while await stream.receive_some():
            if not self.silent:
                await stream.send_all(EMPTY_ANSWER)
