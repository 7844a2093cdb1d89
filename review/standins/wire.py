"""A small HTTP/1.1 server and client on asyncio, for JSON bodies on loopback connections."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"


@dataclass(frozen=True)
class Request:
    """A request that has been read completely."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    is_abandoned: Callable[[], bool]
    """Returns whether the caller has closed its connection."""

    def json(self) -> Any:
        """Return the decoded body; an empty body counts as an empty object."""
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, Any]
"""Status and body; the body None is sent as an empty one."""
Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """Serves one handler on one port; ``close`` also ends all open connections."""

    def __init__(self, handler: Handler, port: int) -> None:
        """Serve ``handler`` on ``port`` once ``start`` is called."""
        self._handler = handler
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on the port."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)

    def close(self) -> None:
        """Stop listening and reset all connections, as at the end of a process."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                status, value = await self._handler(request)
                body = b"" if value is None else json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            # The case ends. asyncio would report the cancelled task as an error.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body, reader.at_eof)


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    value: Any = None,
    seconds: float = 3.0,
) -> tuple[int, bytes]:
    """Make one call over a new connection. Return status 0 if there is no complete answer."""
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    lines += ["content-type: application/json", f"content-length: {len(body)}", "", ""]
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            answer = await reader.readexactly(int(fields.get("content-length", "0")))
            return int(head.split(" ", 2)[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()
