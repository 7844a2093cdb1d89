"""An HTTP/1.1 server with one task per connection, which handles one exchange at a time."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass

import h11
import msgspec
import trio

from ._http import (
    MAX_HEAD_BYTES,
    RECEIVE_BYTES,
    Header,
    HttpError,
    HttpEvent,
    RequestHead,
    abort,
    read_event,
)

_HEAD_TOO_LARGE = 431

LINGER_SECONDS = 1.0
"""The time during which the server still accepts, and discards, data before it closes a connection."""

JSON_HEADER: Header = (b"content-type", b"application/json")


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """How long the server waits for a client, in seconds."""

    head_timeout: float = 10.0
    """The timeout for the rest of a head once it has begun, and for each further part of a body."""
    idle_timeout: float = 75.0
    """The timeout for the next request on a persistent connection."""
    send_timeout: float = 10.0
    """The timeout for sending each part of a response."""


class Exchange:
    """A request and the response to it."""

    def __init__(self, connection: ServerConnection, head: RequestHead) -> None:
        """Called by ``ServerConnection`` for each request."""
        self._connection = connection
        self._head = head
        self._started = False

    @property
    def head(self) -> RequestHead:
        """The head of the request."""
        return self._head

    @property
    def answer_started(self) -> bool:
        """Whether sending the final status has begun."""
        return self._started

    def body(self) -> AsyncIterator[bytes]:
        """Yield the request body in parts. Raises HttpError if it is truncated."""
        return self._connection.receive_body()

    async def start(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of the response. Raises HttpError."""
        self._started = True
        await self._connection.send(h11.Response(status_code=status, headers=list(headers)))

    async def send(self, data: bytes) -> None:
        """Send a part of the response body. Raises HttpError."""
        await self._connection.send(h11.Data(data=data))

    async def end(self) -> None:
        """Finish the response. Raises HttpError."""
        await self._connection.send(h11.EndOfMessage())

    async def answer(self, status: int, body: bytes, headers: Iterable[Header] = ()) -> None:
        """Send a complete small response. Raises HttpError."""
        length = (b"content-length", str(len(body)).encode("ascii"))
        await self.start(status, (length, *headers))
        if body and self._head.method != "HEAD":
            await self.send(body)
        await self.end()

    async def answer_json(self, status: int, value: object, headers: Iterable[Header] = ()) -> None:
        """Send a complete response with ``value`` as JSON. Raises HttpError."""
        await self.answer(status, msgspec.json.encode(value), (JSON_HEADER, *headers))

    def abort(self) -> None:
        """Reset the connection so the client can't mistake a partial response for a complete one."""
        self._connection.abort()


class HttpHandler(ABC):
    """Handles the requests that an ``HttpServer`` receives."""

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer a request."""

    async def malformed(self, exchange: Exchange, status: int, reason: str) -> None:
        """Answer data that isn't a valid request with an error ``status`` and its ``reason``."""
        await exchange.answer_json(status, {"error": reason})


class ServerConnection:
    """An accepted connection."""

    def __init__(
        self, stream: trio.SocketStream, handler: HttpHandler, limits: ServerLimits
    ) -> None:
        """Take ownership of a connected stream."""
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._closing = False
        self._close_announced = False
        self._finishing = False
        self._idle_scope: trio.CancelScope | None = None
        self._buffered_events: deque[HttpEvent] = deque()
        """Events of the request body that arrived together with the head."""

    async def run(self) -> None:
        """Serve requests until either side ends the connection."""
        try:
            # A response without "connection: close" promises that the next request will be read.
            while await self._serve_exchange() and not self._close_announced:
                self._http.start_next_cycle()
        except (HttpError, h11.ProtocolError):
            abort(self._stream)
        except Exception:
            abort(self._stream)
            raise
        finally:
            self._stream.socket.close()

    def announce_end(self) -> None:
        """Close the connection after the next response, which announces this with "connection: close"."""
        self._closing = True

    def finish(self) -> None:
        """Close the connection after the current exchange, or immediately if it is idle."""
        self._closing = True
        self._finishing = True
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        abort(self._stream)

    async def send(self, event: h11.Event) -> None:
        """Send an event of a response. Raises HttpError."""
        # If the response is sent before the whole request body has arrived, the connection must be
        # closed. A client that isn't told would send its next request on it and never get an answer.
        overtakes = self._http.their_state is h11.SEND_BODY
        if (self._closing or overtakes) and isinstance(event, h11.Response):
            self._close_announced = True
            headers = [*event.headers, (b"connection", b"close")]
            event = h11.Response(status_code=event.status_code, headers=headers)
        try:
            data = self._http.send(event)
            if data:
                with trio.fail_after(self._limits.send_timeout):
                    await self._stream.send_all(data)
        except (
            h11.ProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ) as error:
            raise HttpError(f"sending failed: {error!r}") from error

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the current request in parts. Raises HttpError if it is truncated."""
        if self._http.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        while True:
            if self._buffered_events:
                event = self._buffered_events.popleft()
            else:
                event = await self._next_event(self._limits.head_timeout)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise HttpError("the connection ended inside a request")

    async def _serve_exchange(self) -> bool:
        try:
            event = await self._first_event()
            if isinstance(event, h11.Request):
                self._buffer_received_body()
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint, str(error))
            return False
        if not isinstance(event, h11.Request):
            return False
        if _head_bytes(event) > MAX_HEAD_BYTES:
            await self._refuse(_HEAD_TOO_LARGE, "the head of the request is too large")
            return False
        exchange = Exchange(self, self._head(event))
        await self._handler.handle(exchange)
        return await self._finish_cycle()

    def _buffer_received_body(self) -> None:
        """Buffer the part of the body that has arrived with the head, which usually is the whole body."""
        self._buffered_events.clear()
        while self._http.their_state is h11.SEND_BODY:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                return
            self._buffered_events.append(event)

    async def _finish_cycle(self) -> bool:
        # If a request was answered before its body was read, the connection must be closed: the next
        # request would be read from the middle of the body.
        while self._http.their_state is h11.SEND_BODY:
            if self._http.next_event() is h11.NEED_DATA:
                await self._linger()
                return False
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _linger(self) -> None:
        # Closing the connection while the client is still sending would reset it, and the client would
        # lose the response that explains the error.
        try:
            with trio.move_on_after(LINGER_SECONDS):
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_BYTES):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _first_event(self) -> HttpEvent | None:
        if not self._http.trailing_data[0] and not await self._wait_for_request():
            return None
        return await self._next_event(self._limits.head_timeout)

    async def _wait_for_request(self) -> bool:
        if self._finishing:
            return False
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            self._idle_scope = scope
            try:
                await trio.lowlevel.wait_readable(self._stream.socket)
            finally:
                self._idle_scope = None
        return not scope.cancelled_caught

    async def _next_event(self, seconds: float) -> HttpEvent:
        try:
            with trio.fail_after(seconds):
                return await read_event(self._http, self._stream)
        except trio.TooSlowError as error:
            raise HttpError("the client fell silent") from error

    async def _refuse(self, status: int, reason: str) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._closing = True
        exchange = Exchange(self, RequestHead("GET", "/", ()))
        await self._handler.malformed(exchange, status, reason)
        await self._linger()

    @staticmethod
    def _head(event: h11.Request) -> RequestHead:
        return RequestHead(
            event.method.decode("ascii"), event.target.decode("latin-1"), tuple(event.headers)
        )


def _head_bytes(event: h11.Request) -> int:
    # The limit in h11 applies only to heads that arrive in more than one read.
    headers = sum(len(name) + len(value) for name, value in event.headers)
    return headers + len(event.target)


class HttpServer:
    """Accepts connections, and closes them gracefully when it stops."""

    def __init__(
        self,
        handler: HttpHandler,
        limits: ServerLimits | None = None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        """Configure a server. ``limits`` defaults to the values of ``ServerLimits``.

        ``on_error`` is called with an error that the handler raises, which ends its connection only.
        Without it, such an error ends the server.
        """
        self._handler = handler
        self._on_error = on_error
        self._limits = limits or ServerLimits()
        self._connections: set[ServerConnection] = set()
        self._accepting = trio.CancelScope()
        self._stopping = False
        self._all_ended = trio.Event()

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until ``stop`` is called, and return when the last exchange has ended."""
        async with trio.open_nursery() as nursery:
            with self._accepting:
                await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)
        self._all_ended.set()

    async def wait_ended(self) -> None:
        """Wait until ``stop`` was called and the last exchange has ended."""
        await self._all_ended.wait()

    def announce_stop(self) -> None:
        """Keep accepting connections, but close each one after its next response.

        If an idle connection were closed instead, its client might be sending the next request at that
        moment, and couldn't tell whether the request was handled.
        """
        self._stopping = True
        for connection in self._connections:
            connection.announce_end()

    def stop(self) -> None:
        """Stop accepting connections; exchanges in progress are completed."""
        self._accepting.cancel()
        for connection in self._connections:
            connection.finish()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = ServerConnection(stream, self._handler, self._limits)
        self._connections.add(connection)
        if self._stopping:
            connection.announce_end()
        try:
            await connection.run()
        except Exception as error:
            if self._on_error is None:
                raise
            self._on_error(error)
        finally:
            self._connections.discard(connection)


async def listen(host: str, port: int) -> list[trio.SocketListener]:
    """Open listeners on one IP address. Raises OSError."""
    return await trio.open_tcp_listeners(port, host=host)
