"""A stream of relay messages; what is sent while the last frame is on its way goes out together."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator

import trio

from .._errors import PeerError
from ._executor_calls import LONGEST_CALL_SECONDS
from ._relay_messages import AnyMessage, FrameDecoder, RelayMessage, encode_frame
from ._relay_traffic import StreamTraffic

_RECEIVE_BYTES = 65_536
_UNACKNOWLEDGED_MILLISECONDS = int(1000 * LONGEST_CALL_SECONDS)
"""On a full link bytes and their acknowledgements are under way for seconds, as the answers are."""


class RelayStream:
    """One end of a stream between an owner and a relay."""

    def __init__(self, stream: trio.SocketStream, traffic: StreamTraffic | None = None) -> None:
        """Take over a connected stream; its bytes are added to ``traffic``."""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS)
        self._stream = stream
        self._traffic = traffic if traffic is not None else StreamTraffic()
        self._decoder = FrameDecoder()
        self._waiting: list[RelayMessage] = []
        self._some_wait = trio.Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether ``close`` was called."""
        return self._closed

    def send(self, message: RelayMessage) -> None:
        """Have a message sent; ``run`` sends it."""
        self._waiting.append(message)
        self._some_wait.set()

    def withdraw(self, message: RelayMessage) -> None:
        """Don't send a message that still waits to be sent."""
        self._waiting = [one for one in self._waiting if one is not message]

    async def run(self) -> None:
        """Send what there is to send. Raises PeerError."""
        while True:
            await self._some_wait.wait()
            messages, self._waiting = self._waiting, []
            self._some_wait = trio.Event()
            if not messages:
                continue
            frame = encode_frame(messages)
            self._traffic.sent += len(frame)
            try:
                await self._stream.send_all(frame)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise PeerError(f"the relay stream broke: {error!r}") from error

    async def messages(self) -> AsyncIterator[AnyMessage]:
        """What the other side says, until it closes the stream. Raises PeerError."""
        while True:
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise PeerError(f"the relay stream broke: {error!r}") from error
            if not data:
                return
            self._traffic.received += len(data)
            for message in self._decoder.feed(data):
                yield message

    def close(self) -> None:
        """Close at once."""
        self._closed = True
        self._stream.socket.close()
