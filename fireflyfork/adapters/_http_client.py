"""The client side of HTTP/1.1: one connection, and a one-shot helper for small calls."""

from __future__ import annotations

import select
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from functools import partial

import h11
import trio

from .._links import Address
from ._http import (
    LONGEST_HEAD_BYTES,
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
"""Unless told otherwise. Slots of executors are held on the strength of it, and a watch whose way to the store
has gone finds that out by nothing else before its wait is over."""
_END = h11.EndOfMessage()


class HttpClientConnection:
    """One connection to a server. It carries one request at a time."""

    def __init__(self, stream: trio.SocketStream) -> None:
        """Use ``open``; this takes over a connected stream."""
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=LONGEST_HEAD_BYTES)
        self._sent_anything = False
        self.received: Callable[[], None] = lambda: None
        """Called whenever bytes have come."""

    @property
    def sent_anything(self) -> bool:
        """Whether any byte of the current request may have left this process."""
        return self._sent_anything

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and the server has not hung up since."""
        return self.ended_cleanly and not self._readable()

    @property
    def ended_cleanly(self) -> bool:
        """Whether no exchange is under way and none broke off."""
        idle = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        unused = self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE
        return idle or unused

    @classmethod
    async def open(
        cls, address: Address, timeout: float, unacknowledged: float = UNACKNOWLEDGED_SECONDS
    ) -> HttpClientConnection:
        """Connect within ``timeout`` seconds. Raises HttpError.

        The connection ends when bytes stay unacknowledged for so many seconds.
        """
        try:
            with trio.fail_after(timeout):
                stream = await trio.open_tcp_stream(address.host, address.port)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectError(f"can't connect to {address}: {error!r}") from error
        # A peer that vanished without a word is noticed only through data that stays
        # unacknowledged. Without this limit the kernel goes on resending for a quarter of an hour.
        milliseconds = int(unacknowledged * 1000)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        return cls(stream)

    async def send_head(self, head: RequestHead) -> None:
        """Send the head of a request. Raises HttpError."""
        await self._send(self._begin(head))

    async def send_body(self, data: bytes) -> None:
        """Send a part of the request's body. Raises HttpError."""
        await self._send(h11.Data(data=data))

    async def send_end(self) -> None:
        """End the request. Raises HttpError."""
        await self._send(h11.EndOfMessage())

    async def receive_head(self) -> ResponseHead:
        """The head of the final response. Raises HttpError."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise HttpError("the connection ended before a response")
            return ResponseHead(event.status_code, tuple(event.headers))

    async def receive_body(self) -> AsyncIterator[bytes]:
        """The response's body in parts. Raises HttpError when it breaks off before its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise HttpError("the connection ended inside a response")

    async def request(
        self, head: RequestHead, body: bytes, longest_answer: int
    ) -> tuple[ResponseHead, bytes]:
        """Send a small request at once and read its whole response. Raises HttpError."""
        content = (h11.Data(data=body),) if body else ()
        await self._send(self._begin(head), *content, _END)
        response = await self.receive_head()
        return response, await collect(self.receive_body(), longest_answer)

    def close(self) -> None:
        """Close at once."""
        self._stream.socket.close()

    def _begin(self, head: RequestHead) -> h11.Request:
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._sent_anything = False
        return h11.Request(method=head.method, target=head.target, headers=list(head.headers))

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
        # An idle connection becomes readable only when the server has closed it. Sending a
        # booking into it would end in "may have run" for a request that no executor ever saw.
        descriptor = self._stream.socket.fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))


ClientExchange = Callable[
    [str, str, tuple[Header, ...], bytes], Awaitable[tuple[ResponseHead, bytes]]
]
"""One exchange on one connection: method, target, headers and body; the answer's head and body."""


class HttpClient:
    """Small calls to one server over kept connections, reopened when they break."""

    def __init__(
        self,
        address: Address,
        timeout: float,
        longest_answer: int = 1 << 24,
        pause: float | None = None,
        greet: Callable[[ClientExchange], Awaitable[None]] | None = None,
        loop_time: LoopTime | None = None,
        unacknowledged: float = UNACKNOWLEDGED_SECONDS,
        connects_patiently: bool = False,
    ) -> None:
        """``timeout`` is in seconds without a byte, ``pause`` (by default the same) once an answer has
        begun to come; ``longest_answer`` is in bytes. Both are counted in ``loop_time`` if it is given.

        ``greet`` finds out on each new connection whether its other end is the one that is meant, and
        raises HttpError if not; nothing of a call is sent before.

        ``unacknowledged`` is for each connection. Where calls wait longer than it for answers over a full
        link, it ends them though nothing is lost. For the same reason ``connects_patiently`` lets a new
        connection take as long as the call that needs it may take; otherwise it has to be made within ``timeout``.
        """
        self._address = address
        self._timeout = timeout
        self._pause = timeout if pause is None else pause
        self._longest_answer = longest_answer
        self._greet = greet
        self._loop_time = loop_time
        self._unacknowledged = unacknowledged
        self._connects_patiently = connects_patiently
        self._idle: list[HttpClientConnection] = []
        self._doubtful = False
        """Whether the last call failed on its connection: the kept ones may have gone silent as well."""

    async def call(
        self,
        method: str,
        target: str,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        extra_seconds: float = 0.0,
        is_greeting: bool = False,
        fresh: bool = False,
    ) -> tuple[ResponseHead, bytes]:
        """One call. Raises HttpError.

        One that is a greeting by itself may go out on a connection that nobody has greeted on; one that
        is ``fresh`` goes out on a new connection.

        The answer must begin within the timeout plus ``extra_seconds``, and go on within the longest
        pause after each part. Were the whole call limited, an answer that is too long for the link in
        that time could never arrive, however often the call was repeated.

        A Host header among ``headers`` takes the place of the server's address.
        After an error the call may have taken effect, but for a ConnectError.
        """
        connection: HttpClientConnection | None = None
        fresh = fresh or self._doubtful
        try:
            with self._limit(self._timeout + extra_seconds) as put_off:
                patience = extra_seconds if self._connects_patiently else 0.0
                connection = await self._connection(is_greeting, fresh, self._timeout + patience)
                connection.received = lambda: put_off(self._pause)
                answer = await self._exchange(connection, method, target, headers, body)
        except trio.TooSlowError as error:
            if connection is None:
                raise ConnectError(f"can't connect to {self._address} in time") from error
            self._doubtful = True
            raise HttpError(f"no answer from {self._address} in time") from error
        except HttpError:
            # A refused connection says nothing of those that are kept.
            self._doubtful = self._doubtful or connection is not None
            raise
        else:
            if fresh:
                # A firewall that forgets its connections makes all of them silent at once, and new ones
                # work. Each kept one would cost a caller one more timeout.
                self.close()
            self._doubtful = False
            return answer
        finally:
            if connection is not None:
                self._keep(connection)

    def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            self._idle.pop().close()

    def _limit(self, seconds: float) -> AbstractContextManager[Callable[[float], None]]:
        if self._loop_time is not None:
            return self._loop_time.fail_after(seconds)
        return _fail_after(seconds)

    async def _connection(
        self, is_greeting: bool, fresh: bool, connect_seconds: float
    ) -> HttpClientConnection:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        connection = await HttpClientConnection.open(
            self._address, connect_seconds, self._unacknowledged
        )
        if self._greet is None or is_greeting:
            return connection
        try:
            await self._greet(partial(self._exchange, connection))
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
        return await connection.request(head, body, self._longest_answer)

    def _keep(self, connection: HttpClientConnection) -> None:
        if connection.ended_cleanly:
            self._idle.append(connection)
        else:
            connection.close()


@contextmanager
def _fail_after(seconds: float) -> Iterator[Callable[[float], None]]:
    """trio.fail_after; yields a function that puts the timeout off."""
    with trio.fail_after(seconds) as scope:

        def put_off(more: float) -> None:
            scope.deadline = max(scope.deadline, trio.current_time() + more)

        yield put_off
