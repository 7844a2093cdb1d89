"""A client that queries the replicas of other instances."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf

import trio

from .._errors import PeerError, UnreachableError
from ._connect import connect
from ._loop_time import LoopTime
from ._message_stream import MessageStream
from ._replica_messages import (
    DECODER,
    REPLICA_VERSION,
    AnyReplicaMessage,
    Ask,
    Hello,
    Update,
)
from ._replicas import ReplicaAnswer, ReplicaEndpoint, ReplicaPeer, ReplicaPeers, ReplicaQuery

CONNECT_SECONDS = 0.6
SILENT_SECONDS = 1.4
"""The maximum loop time without received data: the time that a query may wait at the peer, plus the round trip. A
large answer may take longer in total, as long as data keeps arriving."""
UNACKNOWLEDGED_SECONDS = 2.0


class SocketReplicaPeers(ReplicaPeers):
    """Connects to the replicas of other instances, each over a separate stream."""

    def __init__(self, loop_time: LoopTime) -> None:
        """Timeouts are measured in ``loop_time``."""
        self._loop_time = loop_time

    @asynccontextmanager
    async def connect(self, endpoint: ReplicaEndpoint) -> AsyncIterator[ReplicaPeer]:
        """See ReplicaPeers."""
        try:
            socket_stream = await connect(endpoint.address, CONNECT_SECONDS)
        except UnreachableError as error:
            raise PeerError(f"{endpoint.node} can't be reached: {error}") from error
        stream = MessageStream(socket_stream, DECODER, UNACKNOWLEDGED_SECONDS)
        try:
            stream.send(Hello(REPLICA_VERSION))
            yield _StreamPeer(stream, self._loop_time)
        finally:
            stream.close()


class _StreamPeer(ReplicaPeer):
    """Handles one query at a time: each is sent in full before its answer is awaited."""

    def __init__(self, stream: MessageStream[AnyReplicaMessage], loop_time: LoopTime) -> None:
        self._stream = stream
        self._loop_time = loop_time

    async def ask(self, query: ReplicaQuery, max_wait: float = inf) -> ReplicaAnswer:
        self._stream.send(Ask.of(query))
        silence = min(SILENT_SECONDS, max_wait)
        try:
            with self._loop_time.fail_after(silence) as postpone:
                await self._stream.flush()
                while (received := await self._stream.receive()) is not None:
                    # A chunk without a complete message is the beginning of a large answer and gets the usual
                    # timeout. A complete Hello is not, and leaves the limit for the beginning in force.
                    postpone(silence if received else SILENT_SECONDS)
                    for message in received:
                        if isinstance(message, Update):
                            return message.answer()
                        _check(message)
        except trio.TooSlowError as error:
            raise PeerError("silent for too long") from error
        raise PeerError("the stream was closed")


def _check(message: AnyReplicaMessage) -> None:
    match message:
        case Hello(version):
            if version != REPLICA_VERSION:
                raise PeerError(f"the upstream uses version {version}")
        case _:
            raise PeerError(f"unexpected {type(message).__name__} from an upstream")
