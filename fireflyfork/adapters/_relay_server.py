"""The relay's side: makes calls to executors for an owner on another instance."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from .._errors import PeerError
from .._ids import AttemptNumber, ExecutorId, FencingToken, TaskName
from ..decisions.jobs import PollRequest, StartRequest
from ._executor_calls import ExecutorCalls
from ._relay_messages import (
    RELAY_VERSION,
    AnyMessage,
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
    Reply,
    StartCall,
    StopCall,
)
from ._relay_stream import RelayStream

CALLS_AT_ONCE = 512
"""For one owner. Above that its messages are left unread, which its stream passes on to it."""
TICK_SECONDS = 0.25
STOOD_STILL_SECONDS = 1.0
"""An owner that hears nothing for so long uses another relay."""


class RelayServer:
    """Makes calls for any owner that connects.

    It decides nothing and remembers nothing: tokens, leases and deadlines are the owner's, and an order that
    is delayed here is as void as one that is delayed on the network.
    """

    def __init__(
        self,
        new_calls: Callable[[], ExecutorCalls],
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        """``new_calls`` makes a client of executors for each owner: each comes with a token of its own.

        ``clock`` goes on while the process stands still.
        """
        self._new_calls = new_calls
        self._clock = clock
        self._awake_at = float("inf")
        self._streams: set[RelayStream] = set()
        self._stopping = False

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            await trio.serve_listeners(self._serve, listeners)

    def say_goodbye(self) -> None:
        """Tell all owners to use another relay; what is under way goes on."""
        self._stopping = True
        for stream in self._streams:
            stream.send(Goodbye())

    async def _tick(self) -> None:
        while True:
            self._end_streams_after_stall()
            await trio.sleep(TICK_SECONDS)

    def _end_streams_after_stall(self) -> None:
        """End all streams if the process has stood still.

        What has come on them meanwhile is old, and their owners have turned to other relays: an order to
        change a run's pace would undo the one that they sent since.
        """
        stood_still = self._clock() - self._awake_at > STOOD_STILL_SECONDS
        self._awake_at = self._clock()
        if stood_still:
            for stream in self._streams:
                stream.close()

    async def _serve(self, socket_stream: trio.SocketStream) -> None:
        stream = RelayStream(socket_stream)
        self._streams.add(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.run)
                await self._answer_all(stream, nursery)
                nursery.cancel_scope.cancel()
        except* PeerError as errors:
            logger.info("owner's stream ended", reason=str(errors.exceptions[0]))
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _answer_all(self, stream: RelayStream, nursery: trio.Nursery) -> None:
        calls = self._new_calls()
        limit = trio.CapacityLimiter(CALLS_AT_ONCE)
        stream.send(Hello(RELAY_VERSION))
        if self._stopping:
            stream.send(Goodbye())
        async for message in stream.messages():
            self._end_streams_after_stall()
            if stream.closed:
                raise PeerError("the relay stood still")
            if isinstance(message, Call):
                borrower = object()
                await limit.acquire_on_behalf_of(borrower)
                nursery.start_soon(self._answer, calls, message, stream, limit, borrower)
            else:
                self._take(message, calls, stream)

    @staticmethod
    def _take(message: AnyMessage, calls: ExecutorCalls, stream: RelayStream) -> None:
        match message:
            case Hello(version):
                if version != RELAY_VERSION:
                    raise PeerError(f"the owner speaks version {version}, not {RELAY_VERSION}")
            case Forget(executor):
                calls.forget(ExecutorId(executor))
            case Ping():
                stream.send(Pong())
            case _:
                raise PeerError(f"{type(message).__name__} from an owner")

    @staticmethod
    async def _answer(
        calls: ExecutorCalls,
        call: Call,
        stream: RelayStream,
        limit: trio.CapacityLimiter,
        borrower: object,
    ) -> None:
        try:
            stream.send(await _make(calls, call))
        finally:
            limit.release_on_behalf_of(borrower)


async def _make(calls: ExecutorCalls, call: Call) -> Reply:
    place, token = call.place.place(), FencingToken(call.token)
    if isinstance(call, PollCall):
        request = PollRequest(
            call.forget_ends_to, call.lease_until_ms, call.wait_seconds, call.patience_seconds
        )
        answer = await calls.poll(place, token, request)
        return PollReply.of(call.number, answer)
    task, attempt = TaskName(call.task), AttemptNumber(call.attempt)
    match call:
        case StartCall():
            order = StartRequest(
                task, attempt, call.payload, call.deadline_ms, call.checkpoint, call.ticket
            )
            return OrderReply.of(call.number, await calls.start(place, token, order))
        case StopCall():
            return OrderReply.of(call.number, await calls.stop(place, token, task, attempt))
        case PaceCall():
            paced = await calls.pace(place, token, task, attempt, call.percent)
            return OrderReply.of(call.number, paced)
