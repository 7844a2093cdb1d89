"""The relay: calls executors on behalf of owners on other instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from .._errors import PeerError
from .._ids import AttemptNumber, ExecutorId, FencingToken, Revision, ServiceName, TaskName
from ..decisions.jobs import PollRequest, StartRequest
from ._executor_calls import ExecutorCalls
from ._relay_messages import (
    RELAY_VERSION,
    AnyRelayMessage,
    Call,
    Forget,
    Goodbye,
    Hello,
    OrderReply,
    PaceCall,
    Ping,
    PollCall,
    PollReply,
    Pong,
    ReleaseCall,
    ReleaseReply,
    Reply,
    StartCall,
    StopCall,
)
from ._relay_stream import RelayStream

MAX_CALLS_PER_OWNER = 512
"""The maximum number of concurrent calls for one owner. Above it the relay stops reading from the owner's stream,
and TCP flow control slows the owner down."""
TICK_SECONDS = 0.25
MAX_STALL_SECONDS = 1.0
"""The length of a stall of this process after which its streams are closed. An owner that receives nothing for this
time uses another relay."""


class RelayServer:
    """Calls executors for any owner that connects.

    A relay is stateless and makes no decisions. Tokens, leases and deadlines are set by the owner, so an order
    that is delayed at the relay is rejected by them like an order that is delayed on the network.
    """

    def __init__(
        self,
        new_calls: Callable[[], ExecutorCalls],
        clock: Callable[[], float] = trio.current_time,
        release: Callable[[ServiceName, Revision], Awaitable[bool]] | None = None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        """``new_calls`` creates a client of executors for each owner, because each owner has its own token.

        ``release`` releases the service of an owner that can't reach the store, and returns whether it did.
        ``clock`` must continue to run while the process is suspended.
        ``on_error`` is called with an unexpected error, which ends the stream of one owner only. Without
        it, such an error ends the server.
        """
        self._on_error = on_error
        self._new_calls = new_calls
        self._clock = clock
        self._release = release
        self._last_tick_at = float("inf")
        self._streams: set[RelayStream] = set()
        self._stopping = False

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            await trio.serve_listeners(self._serve, listeners)

    def announce_stop(self) -> None:
        """Tell all owners to use another relay; calls in progress are completed."""
        self._stopping = True
        for stream in self._streams:
            stream.send(Goodbye())

    async def _tick(self) -> None:
        while True:
            self._end_streams_after_stall()
            await trio.sleep(TICK_SECONDS)

    def _end_streams_after_stall(self) -> None:
        """Close all streams if the process was stalled.

        Messages that arrived during the stall are outdated, and the owners have switched to other relays. An
        old order that changes the pace of a run would undo a newer one that the owner has sent since.
        """
        stalled = self._clock() - self._last_tick_at > MAX_STALL_SECONDS
        self._last_tick_at = self._clock()
        if stalled:
            for stream in self._streams:
                stream.close()

    async def _serve(self, socket_stream: trio.SocketStream) -> None:
        stream = RelayStream(socket_stream)
        self._streams.add(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.run)
                await self._serve_calls(stream, nursery)
                nursery.cancel_scope.cancel()
        except* PeerError as errors:
            logger.info("owner's stream ended", reason=str(errors.exceptions[0]))
        except* Exception as errors:
            if self._on_error is None:
                raise
            self._on_error(errors)
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _serve_calls(self, stream: RelayStream, nursery: trio.Nursery) -> None:
        calls = self._new_calls()
        limiter = trio.CapacityLimiter(MAX_CALLS_PER_OWNER)
        stream.send(Hello(RELAY_VERSION))
        if self._stopping:
            stream.send(Goodbye())
        async for message in stream.messages():
            self._end_streams_after_stall()
            if stream.closed:
                raise PeerError("the relay was stalled")
            if isinstance(message, Call):
                borrower = object()
                await limiter.acquire_on_behalf_of(borrower)
                nursery.start_soon(self._answer, calls, message, stream, limiter, borrower)
            elif isinstance(message, ReleaseCall):
                nursery.start_soon(self._answer_release, message, stream)
            else:
                self._handle_message(message, calls, stream)

    async def _answer_release(self, call: ReleaseCall, stream: RelayStream) -> None:
        released = False
        if self._release is not None:
            service = ServiceName(call.service)
            released = await self._release(service, Revision(call.owner_revision))
        stream.send(ReleaseReply(call.number, released))

    @staticmethod
    def _handle_message(
        message: AnyRelayMessage, calls: ExecutorCalls, stream: RelayStream
    ) -> None:
        match message:
            case Hello(version):
                if version != RELAY_VERSION:
                    raise PeerError(f"the owner uses version {version}, not {RELAY_VERSION}")
            case Forget(executor):
                calls.forget(ExecutorId(executor))
            case Ping():
                stream.send(Pong())
            case _:
                raise PeerError(f"unexpected {type(message).__name__} from an owner")

    @staticmethod
    async def _answer(
        calls: ExecutorCalls,
        call: Call,
        stream: RelayStream,
        limiter: trio.CapacityLimiter,
        borrower: object,
    ) -> None:
        try:
            stream.send(await _make_call(calls, call))
        finally:
            limiter.release_on_behalf_of(borrower)


async def _make_call(calls: ExecutorCalls, call: Call) -> Reply:
    endpoint, token = call.place.endpoint(), FencingToken(call.token)
    if isinstance(call, PollCall):
        request = PollRequest(
            call.forget_ends_to, call.lease_until_ms, call.wait_seconds, call.patience_seconds
        )
        answer = await calls.poll(endpoint, token, request)
        return PollReply.of(call.number, answer)
    task, attempt = TaskName(call.task), AttemptNumber(call.attempt)
    match call:
        case StartCall():
            order = StartRequest(
                task, attempt, call.payload, call.deadline_ms, call.checkpoint, call.ticket
            )
            return OrderReply.of(call.number, await calls.start(endpoint, token, order))
        case StopCall():
            return OrderReply.of(call.number, await calls.stop(endpoint, token, task, attempt))
        case PaceCall():
            paced = await calls.pace(endpoint, token, task, attempt, call.percent)
            return OrderReply.of(call.number, paced)
