"""Answers other instances that follow this one's replica."""

from __future__ import annotations

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
"""A follower over a full link takes its time."""
IDLE_SECONDS = 30.0
"""A follower asks again as soon as it is answered, so one that doesn't for so long has gone, or its connection
has gone silent, which nothing else would tell."""


class ReplicaServer:
    """Serves one replica."""

    def __init__(self, source: ReplicaSource) -> None:
        """``source`` answers."""
        self._source = source
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
                        await self._take(message, stream)
                nursery.cancel_scope.cancel()
        except* PeerError as errors:
            logger.debug("follower's stream ended", reason=str(errors.exceptions[0]))
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
            raise PeerError(f"no question for {IDLE_SECONDS} s") from error

    async def _take(
        self, message: AnyReplicaMessage, stream: MessageStream[AnyReplicaMessage]
    ) -> None:
        match message:
            case Hello(version):
                if version != REPLICA_VERSION:
                    raise PeerError(f"the follower speaks version {version}")
            case Ask():
                answer = await self._source.answer(message.question())
                stream.send(self._encoder.update(answer))
            case _:
                raise PeerError(f"{type(message).__name__} from a follower")
