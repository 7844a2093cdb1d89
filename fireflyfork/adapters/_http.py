"""Shared parts of the HTTP/1.1 client and server, which run h11 on trio streams."""

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
MAX_HEAD_BYTES = 32768

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
    """The peer closed the connection early, timed out, or sent data that isn't valid HTTP."""


class BodyTooLargeError(HttpError):
    """A body is longer than the receiver accepts."""


class ConnectError(HttpError):
    """No connection could be made, so no part of the request has reached the server."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The method, target and headers of a request."""

    method: str
    target: str
    """The path and the query string."""
    headers: tuple[Header, ...]
    """The headers, with names in lower case."""

    def header(self, name: bytes) -> str | None:
        """Return the first value of header ``name`` (lower case), or None."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a final (not informational) response."""

    status: int
    headers: tuple[Header, ...]

    def header(self, name: bytes) -> str | None:
        """Return the first value of header ``name`` (lower case), or None."""
        return find_header(self.headers, name)


def find_header(headers: Iterable[Header], name: bytes) -> str | None:
    """Return the first value of header ``name`` (lower case), or None."""
    return next((value.decode("latin-1") for key, value in headers if key == name), None)


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers that a proxy forwards: all except the hop-by-hop headers."""
    headers = tuple(headers)
    connection = find_header(headers, b"connection") or ""
    named = {token.strip().lower().encode("latin-1") for token in connection.split(",")}
    return tuple(
        (name, value) for name, value in headers if name not in _HOP_BY_HOP and name not in named
    )


def abort(stream: trio.SocketStream) -> None:
    """Reset the connection so the peer can't mistake a truncated body for a complete one.

    A body without a content length ends when the connection closes. If the connection were closed
    normally in the middle of such a body, the peer would treat the received part as the whole.
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
    """Return the next event from the peer. ``received`` is called whenever bytes arrive.

    Raises HttpError if the connection breaks, and h11's error if the data isn't valid HTTP.
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


async def collect(chunks: AsyncIterator[bytes], max_bytes: int) -> bytes:
    """Return the whole body. Raises BodyTooLargeError if it is longer than ``max_bytes``."""
    parts: list[bytes] = []
    length = 0
    async for chunk in chunks:
        length += len(chunk)
        if length > max_bytes:
            raise BodyTooLargeError(f"body longer than {max_bytes} bytes")
        parts.append(chunk)
    return b"".join(parts)
