"""A small HTTP/1.1 server and client on asyncio streams, for loopback addresses only."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 11_000, 31_000
"""Ports below those that the system gives to outgoing connections, so that a process finds its port
free when it is started again."""
_given: set[int] = set()


def free_port(count: int = 1) -> int:
    """Return a free port, of which the next ``count - 1`` ones are free as well."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT)
        ports = set(range(first, first + count))
        if not ports & _given and all(map(_is_free, ports)):
            _given.update(ports)
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class DroppedError(Exception):
    """Raised by a handler that closes the connection without an answer."""


@dataclass(frozen=True)
class Request:
    """A request as a stand-in received it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    port: int
    """The port of the caller's socket."""

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


@dataclass(frozen=True)
class Answer:
    """A complete answer; ``value`` is sent as JSON."""

    status: int
    value: Any = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """Serves one address; connections stay open until either side closes them."""

    def __init__(self, handler: Handler) -> None:
        """Answer requests with ``handler``."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self, port: int = 0) -> int:
        """Listen on ``port``, or on a free one, and return it."""
        self._server = await asyncio.start_server(self._serve, HOST, port or free_port())
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def close(self) -> None:
        """Stop listening and reset all connections, as when the process is killed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader, writer)) is not None:
                answer = await self._handler(request)
                body = json.dumps(answer.value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%s" % (answer.status, len(body), body)
                )
                await writer.drain()
        except DroppedError:
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            # Also when the run ends: there is nobody left to answer.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body, writer.get_extra_info("peername")[1])


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers: dict[str, str] = {}
    while (line := (await reader.readline()).decode("latin-1").strip()) != "":
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def call(
    port: int,
    method: str,
    path: str,
    value: Any = None,
    host: str = HOST,
    timeout: float = 3.0,
) -> tuple[int, Any]:
    """Make one call over a new connection. Returns status 0 if there was no complete answer."""
    try:
        return await asyncio.wait_for(_call(port, method, path, value, host), timeout)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}


async def _call(port: int, method: str, path: str, value: Any, host: str) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        body = b"" if value is None else json.dumps(value).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n"
            f"x-fireflyfork-deadline-ms: 3000\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode("latin-1") + body)
        await writer.drain()
        status = int((await reader.readline()).split(b" ")[1])
        headers = await _read_headers(reader)
        content = await reader.readexactly(int(headers.get("content-length", "0")))
        try:
            return status, json.loads(content) if content else {}
        except json.JSONDecodeError:
            return status, {"text": content.decode("utf-8", "replace")}
    finally:
        writer.close()
