"""HTTP/1.1 on trio streams with h11: the pieces that both sides of a connection share."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass

import h11
import trio

from .._errors import FireflyforkError

Header = tuple[bytes, bytes]
HttpEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

RECEIVE_BYTES = 65536
LONGEST_HEAD_BYTES = 32768

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class HttpError(FireflyforkError):
    """The other side broke off, fell silent, or sent something that is not HTTP."""


class ConnectError(HttpError):
    """No connection came about, so nothing of the call has reached the other side."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request."""

    method: str
    target: str
    """Path and query."""
    headers: tuple[Header, ...]
    """Names in lower case."""

    def header(self, name: bytes) -> str | None:
        """The first value of header ``name`` (lower case), or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a final response."""

    status: int
    headers: tuple[Header, ...]

    def header(self, name: bytes) -> str | None:
        """The first value of header ``name`` (lower case), or None."""
        return find_header(self.headers, name)


def find_header(headers: Iterable[Header], name: bytes) -> str | None:
    """The first value of header ``name`` (lower case), or None."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


def end_to_end(headers: Iterable[Header]) -> tuple[Header, ...]:
    """The headers that a proxy passes on: all but those that concern one connection only."""
    headers = tuple(headers)
    connection = find_header(headers, b"connection") or ""
    named = {token.strip().lower().encode("latin-1") for token in connection.split(",")}
    return tuple(
        (name, value) for name, value in headers if name not in _HOP_BY_HOP and name not in named
    )


def abort(stream: trio.SocketStream) -> None:
    """Reset the connection, so that the other side can't take what it has for a clean end.

    A body without a length ends with the connection. If an answer that broke off were closed in
    the ordinary way, the other side would take the part it has for the whole.
    """
    linger_zero = struct.pack("ii", 1, 0)
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_zero)
    except (OSError, trio.ClosedResourceError):
        return
    stream.socket.close()


async def read_event(
    http: h11.Connection, stream: trio.SocketStream, received: Callable[[], None] = lambda: None
) -> HttpEvent:
    """The next event from the other side; ``received`` is called whenever bytes have come.

    Raises HttpError, and h11's error on what isn't HTTP.
    """
    try:
        while True:
            event = http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await stream.receive_some(RECEIVE_BYTES)
            received()
            http.receive_data(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
        raise HttpError(f"receiving failed: {error!r}") from error


async def collect(chunks: AsyncIterator[bytes], longest: int) -> bytes:
    """The whole body. Raises HttpError when it is longer than ``longest`` bytes."""
    parts: list[bytes] = []
    length = 0
    async for chunk in chunks:
        length += len(chunk)
        if length > longest:
            raise HttpError(f"body longer than {longest} bytes")
        parts.append(chunk)
    return b"".join(parts)
