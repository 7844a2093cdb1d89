"""A stream of msgpack messages between two instances.

Messages that are queued while a frame is being sent are batched into the next frame.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Generic, TypeVar

import msgspec
import trio

from .._decoding import guarded
from .._errors import InvalidDataError, PeerError

MAX_FRAME_BYTES = 8 << 20
_LENGTH = struct.Struct(">I")
_RECEIVE_BYTES = 65_536
_ENCODER = msgspec.msgpack.Encoder()

_Message = TypeVar("_Message")


def encode_frame(messages: Sequence[object]) -> bytes:
    """Encode messages as one frame: a big-endian length of 4 bytes, then a msgpack list."""
    body = _ENCODER.encode(messages)
    return _LENGTH.pack(len(body)) + body


class FrameDecoder(Generic[_Message]):
    """Decodes received bytes into messages."""

    def __init__(self, decoder: msgspec.msgpack.Decoder[list[_Message]]) -> None:
        """``decoder`` decodes the body of a frame and defines the messages that are allowed."""
        self._decoder = decoder
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[_Message]:
        """Yield the messages that ``data`` completes. Raises PeerError if the data is invalid."""
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise PeerError(f"a frame of {length} bytes is too long")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            try:
                messages = guarded(partial(self._decoder.decode, body))
            except InvalidDataError as error:
                raise PeerError(f"not a frame of messages: {error}") from error
            yield from messages


@dataclass(slots=True)
class StreamTraffic:
    """The bytes of frames that one side has received and sent."""

    received: int = 0
    sent: int = 0


class MessageStream(Generic[_Message]):
    """One end of a message stream between two instances."""

    def __init__(
        self,
        stream: trio.SocketStream,
        decoder: msgspec.msgpack.Decoder[list[_Message]],
        unacknowledged_seconds: float,
        traffic: StreamTraffic | None = None,
    ) -> None:
        """Take ownership of a connected stream and count its bytes in ``traffic``.

        The kernel closes the connection if sent bytes stay unacknowledged for ``unacknowledged_seconds``.
        """
        milliseconds = int(unacknowledged_seconds * 1000)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        self._stream = stream
        self._traffic = traffic if traffic is not None else StreamTraffic()
        self._decoder = FrameDecoder(decoder)
        self._queued: list[_Message] = []
        self._queue_filled = trio.Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether ``close`` was called."""
        return self._closed

    def send(self, message: _Message) -> None:
        """Queue a message, to be sent by ``run`` or ``flush``."""
        self._queued.append(message)
        self._queue_filled.set()

    def withdraw(self, message: _Message) -> None:
        """Remove a message from the queue if it hasn't been sent yet."""
        self._queued = [queued for queued in self._queued if queued is not message]

    async def run(self) -> None:
        """Send queued messages until cancelled. Raises PeerError if the connection breaks."""
        while True:
            await self._queue_filled.wait()
            await self.flush()

    async def flush(self) -> None:
        """Send all queued messages as one frame. Raises PeerError if the connection breaks.

        A side that sends only in a request-response pattern uses this instead of ``run``.
        """
        messages, self._queued = self._queued, []
        self._queue_filled = trio.Event()
        if not messages:
            return
        frame = encode_frame(messages)
        self._traffic.sent += len(frame)
        try:
            await self._stream.send_all(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerError(f"the stream broke: {error!r}") from error

    async def receive(self) -> list[_Message] | None:
        """Return the messages that the next received data completes, often none, or None at the end of the stream.

        Raises PeerError if the connection breaks or the data is invalid.
        """
        try:
            data = await self._stream.receive_some(_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerError(f"the stream broke: {error!r}") from error
        self._traffic.received += len(data)
        return list(self._decoder.feed(data)) if data else None

    async def messages(self) -> AsyncIterator[_Message]:
        """Yield received messages until the peer closes the stream. Raises PeerError."""
        while (received := await self.receive()) is not None:
            for message in received:
                yield message

    def close(self) -> None:
        """Close the connection immediately."""
        self._closed = True
        self._stream.socket.close()
