"""Builds HTTP clients whose connections are streams in memory."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from unittest.mock import patch

import trio
from trio.testing import MemoryReceiveStream, MemorySendStream, memory_stream_pair

from .._http_client import HttpClientConnection

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
