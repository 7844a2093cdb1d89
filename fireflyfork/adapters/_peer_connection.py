"""An authenticated stream between two entries that multiplexes many calls."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import trio

from .._errors import PeerError, RequestError
from .._ids import MemberId
from ._http import Header
from ._peer_messages import (
    AnswerHead,
    Cancel,
    Chunk,
    Control,
    Credit,
    Forward,
    Message,
    MessageDecoder,
    PeerMessage,
    Ping,
    Pong,
    Refusal,
    ServiceFigures,
    encode_message,
)

WINDOW_BYTES = 256 * 1024
"""The number of bytes of a call's body that may be sent before the receiver grants more."""
CHUNK_BYTES = 32 * 1024
"""The maximum size of one part of a body, which bounds how long it delays the messages of other calls."""
HEARTBEAT_SECONDS = 1.0
"""The interval of pings, which only the initiator of a stream sends."""
SILENCE_TIMEOUT_SECONDS = 2.5
"""The time without received data after which a stream is closed."""
RECEIVE_BYTES = 65536

CallEvent = Chunk | AnswerHead | Refusal


class PeerHandler(ABC):
    """Handles the messages that an entry receives from its peers."""

    @abstractmethod
    async def handle_call(self, call: IncomingCall) -> None:
        """Serve a forwarded request."""

    @abstractmethod
    def pong(self, member: MemberId, nonce: int) -> Pong:
        """Return the answer to a ping from ``member``, with the figures that it uses for routing."""

    @abstractmethod
    def handle_pong(self, member: MemberId, pong: Pong) -> None:
        """Record the figures that a peer has sent."""

    @abstractmethod
    def handle_control(self, member: MemberId, control: Control) -> Control | None:
        """Handle a membership message, and return the reply if there is one."""


class Call:
    """A request on a stream. A window in each direction limits the bytes in flight."""

    def __init__(self, connection: PeerConnection, number: int) -> None:
        """Called by ``PeerConnection``; ``number`` identifies the call in its messages."""
        self._connection = connection
        self._number = number
        self._window = WINDOW_BYTES
        self._window_grew = trio.Event()
        self._closed = False
        self._sender, self._receiver = trio.open_memory_channel[CallEvent](math.inf)

    @property
    def member(self) -> MemberId:
        """The member id of the peer."""
        return self._connection.member

    def deliver(self, event: CallEvent) -> None:
        """Queue an event for the reader. The window limits the size of the queue."""
        try:
            self._sender.send_nowait(event)
        except trio.BrokenResourceError:
            return

    def grant(self, size: int) -> None:
        """Enlarge the send window by ``size`` bytes."""
        self._window += size
        self._window_grew.set()
        self._window_grew = trio.Event()

    def abort(self) -> None:
        """Wake up the reader and the writer with an error: the call was given up or the stream has ended."""
        self._closed = True
        self._sender.close()
        self._window_grew.set()

    async def send(self, data: bytes, end: bool) -> None:
        """Send a part of the body. Raises PeerError if the call or the stream has ended."""
        pieces = range(0, len(data), CHUNK_BYTES) if data else range(1)
        last = pieces[-1]
        for start in pieces:
            piece = data[start : start + CHUNK_BYTES]
            await self._wait_for_window()
            if self._closed:
                raise PeerError("the call was given up")
            self._window -= len(piece)
            self._connection.send(Chunk(self._number, piece, end and start == last))

    async def receive(self) -> CallEvent:
        """Return the next event. Raises PeerError if the call or the stream has ended."""
        try:
            event = await self._receiver.receive()
        except trio.EndOfChannel as error:
            raise PeerError("the peer stream was lost") from error
        if isinstance(event, Chunk) and event.data:
            self._connection.send_if_open(Credit(self._number, len(event.data)))
        return event

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the remaining parts of the body.

        Raises RequestError if the peer refuses the call, and PeerError if the stream ends early.
        """
        while True:
            event = await self.receive()
            if isinstance(event, Refusal):
                raise refusal_error(event)
            if not isinstance(event, Chunk):
                raise PeerError(f"{type(event).__name__} inside a body")
            if event.data:
                yield event.data
            if event.end:
                return

    async def _wait_for_window(self) -> None:
        while self._window <= 0 and not self._closed:
            await self._window_grew.wait()


class OutgoingCall(Call):
    """The side of a call that sent the request."""

    def close(self, finished: bool) -> None:
        """Remove the call. If it hasn't ``finished``, tell the peer to cancel it."""
        self._connection.forget(self._number)
        if not finished:
            self._connection.send_if_open(Cancel(self._number))


class IncomingCall(Call):
    """The side of a call that serves the request."""

    def __init__(self, connection: PeerConnection, forward: Forward) -> None:
        """Called by ``PeerConnection`` for each Forward that it receives."""
        super().__init__(connection, forward.call)
        self._forward = forward
        self._scope = trio.CancelScope()

    @property
    def forward(self) -> Forward:
        """The head of the request."""
        return self._forward

    @property
    def scope(self) -> trio.CancelScope:
        """The scope of the handler, cancelled when the initiator cancels the call or the stream ends."""
        return self._scope

    def abort(self) -> None:
        """Also cancel the handler, since the answer is no longer needed."""
        super().abort()
        self._scope.cancel()

    def start(self, status: int, headers: tuple[Header, ...], figures: ServiceFigures) -> None:
        """Send the head of the answer. Raises PeerError if the stream has ended."""
        self._connection.send(AnswerHead(self._number, status, list(headers), figures))

    def refuse(self, error: RequestError) -> None:
        """End the call with an error instead of a complete answer."""
        refusal = Refusal(
            self._number, error.status, error.reason, error.verdict, error.retry_after
        )
        self._connection.send_if_open(refusal)


class PeerConnection:
    """A stream to one peer."""

    def __init__(
        self, stream: trio.SocketStream, member: MemberId, handler: PeerHandler, initiator: bool
    ) -> None:
        """Take ownership of a stream whose peer has proved that it is ``member``.

        Use ``connect_peer`` or ``accept_peer`` for the handshake. The ``initiator`` sends the pings.
        """
        self._stream = stream
        self._initiator = initiator
        self._member = member
        self._handler = handler
        self._calls: dict[int, Call] = {}
        self._next_number = 1
        self._outgoing: list[bytes] = []
        self._outgoing_added = trio.Event()
        self._closed = False
        self._last_received_at = trio.current_time()
        self._sent_bytes = 0

    @property
    def member(self) -> MemberId:
        """The member id of the peer."""
        return self._member

    @property
    def closed(self) -> bool:
        """Whether the stream has ended."""
        return self._closed

    @property
    def sent_bytes(self) -> int:
        """The number of bytes sent so far."""
        return self._sent_bytes

    def open_call(self) -> tuple[int, OutgoingCall]:
        """Register a new call and return it with its number. The caller must then send a Forward with that number."""
        number = self._next_number
        self._next_number += 1
        call = OutgoingCall(self, number)
        self._calls[number] = call
        return number, call

    def forget(self, number: int) -> None:
        """Remove a call; messages that still arrive for it are ignored."""
        call = self._calls.pop(number, None)
        if call is not None:
            call.abort()

    def send(self, message: Message) -> None:
        """Queue a message. Raises PeerError if the stream has ended."""
        if self._closed:
            raise PeerError(f"the stream to {self._member} was lost")
        self._outgoing.append(encode_message(message))
        self._outgoing_added.set()

    def send_if_open(self, message: Message) -> None:
        """Queue a message, or drop it if the stream has ended."""
        if not self._closed:
            self.send(message)

    async def run(self) -> None:
        """Send and receive messages until the stream ends or the peer stops responding; neither raises an error."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, nursery.cancel_scope)
                nursery.start_soon(self._watch, nursery.cancel_scope)
                await self._read(nursery)
                nursery.cancel_scope.cancel()
        finally:
            self.close()

    def close(self) -> None:
        """Close the stream and end all its calls."""
        self._closed = True
        self._stream.socket.close()
        calls, self._calls = self._calls, {}
        for call in calls.values():
            call.abort()

    async def _read(self, nursery: trio.Nursery) -> None:
        decoder = MessageDecoder()
        try:
            while data := await self._stream.receive_some(RECEIVE_BYTES):
                self._last_received_at = trio.current_time()
                for message in decoder.feed(data):
                    self._handle_message(message, nursery)
        except (PeerError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _handle_message(self, message: PeerMessage, nursery: trio.Nursery) -> None:
        match message:
            case Forward():
                self._accept_call(message, nursery)
            case Chunk() | AnswerHead() | Refusal():
                if (call := self._calls.get(message.call)) is not None:
                    call.deliver(message)
            case Credit():
                if (call := self._calls.get(message.call)) is not None:
                    call.grant(message.size)
            case Cancel():
                if isinstance(call := self._calls.get(message.call), IncomingCall):
                    call.scope.cancel()
            case Ping():
                self.send_if_open(self._handler.pong(self._member, message.nonce))
            case Pong():
                self._handler.handle_pong(self._member, message)
            case Control():
                reply = self._handler.handle_control(self._member, message)
                if reply is not None:
                    self.send_if_open(reply)
            case _:
                raise PeerError(f"unexpected {type(message).__name__}")

    def _accept_call(self, forward: Forward, nursery: trio.Nursery) -> None:
        if forward.call in self._calls:
            raise PeerError(f"call {forward.call} is open already")
        call = IncomingCall(self, forward)
        self._calls[forward.call] = call
        nursery.start_soon(self._serve_call, call)

    async def _serve_call(self, call: IncomingCall) -> None:
        try:
            with call.scope:
                await self._handler.handle_call(call)
        finally:
            self.forget(call.forward.call)

    async def _write(self, scope: trio.CancelScope) -> None:
        try:
            while True:
                await self._outgoing_added.wait()
                self._outgoing_added = trio.Event()
                batch, self._outgoing = b"".join(self._outgoing), []
                await self._stream.send_all(batch)
                self._sent_bytes += len(batch)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()

    async def _watch(self, scope: trio.CancelScope) -> None:
        # A network device between the two ends may lose the state of the connection, after which it drops
        # all packets without a reset. Requests on the stream would wait until their deadlines. Because of
        # the heartbeat, a silent stream is known to be dead; it is closed and a new one replaces it.
        nonce = 0
        while trio.current_time() - self._last_received_at < SILENCE_TIMEOUT_SECONDS:
            if self._initiator:
                nonce += 1
                self.send_if_open(Ping(nonce))
            await trio.sleep(HEARTBEAT_SECONDS)
        scope.cancel()


def refusal_error(refusal: Refusal) -> RequestError:
    """Return the error that a refusal carries."""
    return RequestError(refusal.status, refusal.reason, refusal.verdict, refusal.retry_after)
