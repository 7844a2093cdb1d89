"""A server that answers the queries of instances that follow this instance's replica."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from .._errors import PeerError
from ._message_stream import MessageStream
from ._replica_messages import (
    DECODER,
    REPLICA_VERSION,
    AnyReplicaMessage,
    Ask,
    Hello,
    ItemEncoder,
)
from ._replicas import ReplicaSource

UNACKNOWLEDGED_SECONDS = 5.0
"""The limit for unacknowledged data, chosen long enough for a follower behind a saturated link."""
IDLE_SECONDS = 30.0
"""The time without a query after which the connection is closed. A follower sends its next query as soon as it gets
an answer, so a longer pause means that the follower has ended or that the connection is dead, which nothing else
would reveal."""


class ReplicaServer:
    """Serves a replica to its followers."""

    def __init__(
        self, source: ReplicaSource, on_error: Callable[[Exception], None] | None = None
    ) -> None:
        """``source`` answers the queries.

        ``on_error`` is called with an unexpected error, which ends the stream of one follower only.
        Without it, such an error ends the server.
        """
        self._source = source
        self._on_error = on_error
        self._encoder = ItemEncoder()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, socket_stream: trio.SocketStream) -> None:
        stream = MessageStream(socket_stream, DECODER, UNACKNOWLEDGED_SECONDS)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.run)
                stream.send(Hello(REPLICA_VERSION))
                while (received := await self._receive(stream)) is not None:
                    for message in received:
                        await self._handle_message(message, stream)
                nursery.cancel_scope.cancel()
        except* PeerError as errors:
            logger.debug("follower's stream ended", reason=str(errors.exceptions[0]))
        except* Exception as errors:
            if self._on_error is None:
                raise
            self._on_error(errors)
        finally:
            stream.close()

    @staticmethod
    async def _receive(
        stream: MessageStream[AnyReplicaMessage],
    ) -> list[AnyReplicaMessage] | None:
        try:
            with trio.fail_after(IDLE_SECONDS):
                return await stream.receive()
        except trio.TooSlowError as error:
            raise PeerError(f"no query for {IDLE_SECONDS} s") from error

    async def _handle_message(
        self, message: AnyReplicaMessage, stream: MessageStream[AnyReplicaMessage]
    ) -> None:
        match message:
            case Hello(version):
                if version != REPLICA_VERSION:
                    raise PeerError(f"the follower uses version {version}, not {REPLICA_VERSION}")
            case Ask():
                answer = await self._source.answer(message.query())
                stream.send(self._encoder.update(answer))
            case _:
                raise PeerError(f"unexpected {type(message).__name__} from a follower")
