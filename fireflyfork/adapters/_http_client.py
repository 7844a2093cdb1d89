"""An HTTP/1.1 client connection, and a client for small calls to one server."""

from __future__ import annotations

import select
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from functools import partial

import h11
import trio

from .._errors import UnreachableError
from .._links import Address
from ._connect import connect
from ._http import (
    MAX_HEAD_BYTES,
    ConnectError,
    Header,
    HttpError,
    HttpEvent,
    RequestHead,
    ResponseHead,
    collect,
    find_header,
    read_event,
)
from ._loop_time import LoopTime

UNACKNOWLEDGED_SECONDS = 2.0
"""The default time after which a connection with unacknowledged data is closed. Reserved executor slots are kept
in reliance on this limit, and without it a watch wouldn't notice a lost connection to the store before its wait
ends."""
_END = h11.EndOfMessage()


class HttpClientConnection:
    """A connection to a server that carries one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Take ownership of a connected stream. Use ``open`` to connect."""
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._sent_anything = False
        self.received: Callable[[], None] = lambda: None
        """A callback that is called whenever bytes arrive."""

    @property
    def sent_anything(self) -> bool:
        """Whether any byte of the current request may have been sent."""
        return self._sent_anything

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and the server hasn't closed the connection since."""
        return self.ended_cleanly and not self._readable()

    @property
    def ended_cleanly(self) -> bool:
        """Whether no exchange is in progress and the last one, if any, was completed."""
        idle = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        unused = self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE
        return idle or unused

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout: float,
        unacknowledged_seconds: float = UNACKNOWLEDGED_SECONDS,
    ) -> HttpClientConnection:
        """Connect within ``timeout`` seconds. Raises ConnectError.

        The kernel closes the connection if sent bytes stay unacknowledged for ``unacknowledged_seconds``.
        """
        try:
            stream = await connect(address, timeout)
        except UnreachableError as error:
            raise ConnectError(str(error)) from error
        # A peer that disappears without closing the connection is noticed only because sent data stays
        # unacknowledged. Without this limit the kernel retransmits for a quarter of an hour.
        milliseconds = int(unacknowledged_seconds * 1000)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        return cls(stream)

    async def send_head(self, head: RequestHead) -> None:
        """Send the head of a request. Raises HttpError."""
        await self._send(self._begin(head))

    async def send_body(self, data: bytes) -> None:
        """Send a part of the request body. Raises HttpError."""
        await self._send(h11.Data(data=data))

    async def send_end(self) -> None:
        """Finish the request body. Raises HttpError."""
        await self._send(h11.EndOfMessage())

    async def receive_head(self) -> ResponseHead:
        """Return the head of the final response, skipping informational ones. Raises HttpError."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise HttpError("the connection ended before a response")
            return ResponseHead(event.status_code, tuple(event.headers))

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the response body in parts. Raises HttpError if it is truncated."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise HttpError("the connection ended inside a response")

    async def request(
        self, head: RequestHead, body: bytes, max_response_bytes: int
    ) -> tuple[ResponseHead, bytes]:
        """Send a small request in one write and read its whole response. Raises HttpError."""
        content = (h11.Data(data=body),) if body else ()
        await self._send(self._begin(head), *content, _END)
        response = await self.receive_head()
        return response, await collect(self.receive_body(), max_response_bytes)

    def close(self) -> None:
        """Close the connection immediately."""
        self._stream.socket.close()

    def _begin(self, head: RequestHead) -> h11.Request:
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._sent_anything = False
        try:
            return h11.Request(method=head.method, target=head.target, headers=list(head.headers))
        except h11.ProtocolError as error:
            raise HttpError(f"not a valid request head: {error}") from error

    async def _send(self, *events: h11.Event) -> None:
        try:
            data = b"".join(self._http.send(event) or b"" for event in events)
            if data:
                self._sent_anything = True
                await self._stream.send_all(data)
        except (h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise HttpError(f"sending failed: {error!r}") from error

    async def _next_event(self) -> HttpEvent:
        try:
            return await read_event(self._http, self._stream, self.received)
        except h11.ProtocolError as error:
            raise HttpError(f"receiving failed: {error!r}") from error

    def _readable(self) -> bool:
        # An idle connection becomes readable only when the server has closed it. A request sent on it
        # would be reported as "may have run" although no executor ever received it.
        descriptor = self._stream.socket.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))


ClientExchange = Callable[
    [str, str, tuple[Header, ...], bytes], Awaitable[tuple[ResponseHead, bytes]]
]
"""Sends one request (method, target, headers, body) on a given connection and returns the response's head and body."""


class HttpClient:
    """Makes small calls to one server over pooled connections, which are reopened when they break."""

    def __init__(
        self,
        address: Address,
        timeout: float,
        max_response_bytes: int = 1 << 24,
        read_timeout: float | None = None,
        verify: Callable[[ClientExchange], Awaitable[None]] | None = None,
        loop_time: LoopTime | None = None,
        unacknowledged_seconds: float = UNACKNOWLEDGED_SECONDS,
        connect_within_call: bool = False,
    ) -> None:
        """Configure a client; connections are opened when needed.

        ``timeout`` is the maximum number of seconds until the first byte of a response, and
        ``read_timeout`` (by default the same) the maximum between two reads after that. Both are measured
        in ``loop_time`` if it is given. ``max_response_bytes`` limits the size of a response body.

        ``verify`` checks on each new connection that it leads to the intended process, and raises
        HttpError if not. No call is sent on the connection before that.

        ``unacknowledged_seconds`` applies to each connection. If calls wait longer than this for answers
        over a saturated link, it breaks connections although no data is lost. For the same reason
        ``connect_within_call`` lets a new connection take as long as the call that needs it; otherwise it
        must be made within ``timeout``.
        """
        self._address = address
        self._timeout = timeout
        self._read_timeout = timeout if read_timeout is None else read_timeout
        self._max_response_bytes = max_response_bytes
        self._verify = verify
        self._loop_time = loop_time
        self._unacknowledged_seconds = unacknowledged_seconds
        self._connect_within_call = connect_within_call
        self._idle: list[HttpClientConnection] = []
        self._last_call_failed = False
        """Whether the last call failed on its connection: the idle connections may be dead as well."""

    async def call(
        self,
        method: str,
        target: str,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        extra_seconds: float = 0.0,
        is_verification: bool = False,
        fresh: bool = False,
    ) -> tuple[ResponseHead, bytes]:
        """Make one call. Raises HttpError.

        A call that verifies the connection itself (``is_verification``) may use a new connection without
        the check by ``verify``. A ``fresh`` call always uses a new connection.

        The response must begin within the timeout plus ``extra_seconds``, and each further part must
        arrive within the read timeout. If the duration of the whole call were limited, a response too
        large for the link in that time could never arrive, however often the call was repeated.

        A Host header in ``headers`` replaces the server's address.
        After any error except ConnectError, the call may have taken effect.
        """
        connection: HttpClientConnection | None = None
        fresh = fresh or self._last_call_failed
        try:
            with self._limit(self._timeout + extra_seconds) as postpone:
                extra_connect_seconds = extra_seconds if self._connect_within_call else 0.0
                connection = await self._acquire(
                    is_verification, fresh, self._timeout + extra_connect_seconds
                )
                connection.received = lambda: postpone(self._read_timeout)
                answer = await self._exchange(connection, method, target, headers, body)
        except trio.TooSlowError as error:
            if connection is None:
                raise ConnectError(f"can't connect to {self._address} in time") from error
            self._last_call_failed = True
            raise HttpError(f"no answer from {self._address} in time") from error
        except HttpError:
            # A refused connection says nothing about the state of the idle connections.
            self._last_call_failed = self._last_call_failed or connection is not None
            raise
        else:
            if fresh:
                # A firewall that loses its connection table drops all existing connections at once, while
                # new ones work. Each idle connection that is kept would cost a caller another timeout.
                self.close()
            self._last_call_failed = False
            return answer
        finally:
            if connection is not None:
                self._release(connection)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _limit(self, seconds: float) -> AbstractContextManager[Callable[[float], None]]:
        if self._loop_time is not None:
            return self._loop_time.fail_after(seconds)
        return _fail_after(seconds)

    async def _acquire(
        self, is_verification: bool, fresh: bool, connect_seconds: float
    ) -> HttpClientConnection:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        connection = await HttpClientConnection.open(
            self._address, connect_seconds, self._unacknowledged_seconds
        )
        if self._verify is None or is_verification:
            return connection
        try:
            await self._verify(partial(self._exchange, connection))
        except BaseException:
            connection.close()
            raise
        return connection

    async def _exchange(
        self,
        connection: HttpClientConnection,
        method: str,
        target: str,
        headers: tuple[Header, ...],
        body: bytes,
    ) -> tuple[ResponseHead, bytes]:
        if find_header(headers, b"host") is None:
            headers = ((b"host", str(self._address).encode("ascii")), *headers)
        all_headers = (*headers, (b"content-length", str(len(body)).encode("ascii")))
        head = RequestHead(method, target, all_headers)
        return await connection.request(head, body, self._max_response_bytes)

    def _release(self, connection: HttpClientConnection) -> None:
        if connection.ended_cleanly:
            self._idle.append(connection)
        else:
            connection.close()


@contextmanager
def _fail_after(seconds: float) -> Iterator[Callable[[float], None]]:
    """Like trio.fail_after, but yield a function that postpones the timeout."""
    with trio.fail_after(seconds) as scope:

        def postpone(more: float) -> None:
            scope.deadline = max(scope.deadline, trio.current_time() + more)

        yield postpone
