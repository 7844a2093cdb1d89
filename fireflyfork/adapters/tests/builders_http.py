"""Builds HTTP clients whose connections are streams in memory."""

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
    """What a connection asks of its socket; this one has none that could be used again."""

    def fileno(self) -> int:
        """None that could be polled."""
        return -1

    def close(self) -> None:
        """Nothing to close."""


@asynccontextmanager
async def served_by(server: Server) -> AsyncIterator[None]:
    """All clients connect to ``server``, which is called for each request of theirs."""
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
    """Has nothing to read, so its connection may be used again."""

    def __init__(self) -> None:
        """A pipe that nobody writes to."""
        self._ends = os.pipe()

    def fileno(self) -> int:
        """Never readable."""
        return self._ends[0]

    def close(self) -> None:
        """Close the pipe."""
        for end in self._ends:
            os.close(end)


class Links:
    """Connections to a server that answers each request at once, unless told otherwise."""

    def __init__(self) -> None:
        """All is well."""
        self.tried = 0
        self.silent = False
        self.refused = False

    async def open(self, nursery: trio.Nursery, *_: object) -> HttpClientConnection:
        """Connect, in place of HttpClientConnection.open. Raises ConnectError."""
        self.tried += 1
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
