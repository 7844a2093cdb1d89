"""The owner's side of relays: calls to executors through relays in their failure domains."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from typing import NoReturn

import trio
import xxhash
from loguru import logger

from .._errors import PeerError, UnreachableError
from .._ids import (
    AttemptNumber,
    ExecutorId,
    FailureDomainName,
    FencingToken,
    NodeName,
    Revision,
    ServiceName,
    TaskName,
)
from .._links import Address
from ..decisions.jobs import CallOutcome, OrderAnswer, PollAnswer, PollRequest, StartRequest
from ._connect import connect
from ._executor_calls import MAX_CALL_SECONDS, ExecutorCalls, ExecutorEndpoint
from ._loop_time import LoopTime, Timer
from ._message_stream import StreamTraffic
from ._relay_messages import (
    RELAY_VERSION,
    AnyRelayMessage,
    Call,
    EndpointFields,
    Forget,
    Goodbye,
    Hello,
    OrderReply,
    PaceCall,
    Ping,
    PollReply,
    Pong,
    ReleaseCall,
    ReleaseReply,
    Reply,
    StopCall,
    poll_call,
    start_call,
)
from ._relay_stream import RelayStream
from ._relay_traffic import RelayTraffic

CONNECT_SECONDS = 0.6
ORDER_SECONDS = 1.0
"""The loop time that an order may take: the timeout that the relay applies to the executor, plus the round trip."""
ROUND_TRIP_SECONDS = 0.4
"""The time allowed to send a call to the relay and to receive its reply, beyond the time of the call itself."""
PING_SECONDS = 0.4
SILENT_SECONDS = 1.0
"""The loop time without a message from a relay after which it gets no new calls: it may be frozen, or behind a
saturated link. Calls sent before may still be executed, and their replies may still arrive."""
MAX_SILENCE_SECONDS = SILENT_SECONDS + MAX_CALL_SECONDS + ROUND_TRIP_SECONDS
"""The loop time without a message after which the stream is closed. By then no call is pending, so closing the
stream loses no reply."""
MIN_RECONNECT_SECONDS = 0.2
"""Delay before a stream is opened again. The relay may have been restarted together with the owner that this one
succeeds, and calls that no relay takes cost this owner a connection each."""
MAX_RECONNECT_SECONDS = 1.0
"""Limit of the delay, which doubles with each attempt that fails."""
CONNECTED_CHECK_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class RelayEndpoint:
    """The address of an instance that relays calls for other instances."""

    node: NodeName
    failure_domain: FailureDomainName
    address: Address


class _State(Enum):
    """The state of the stream to a relay, which decides whether the relay gets new calls."""

    CLOSED = "closed"
    """Not connected, or no Hello received yet."""
    OPEN = "open"
    SILENT = "silent"
    """The relay gets no new calls until it sends a message. Pending calls are still awaited."""
    LEAVING = "leaving"
    """The relay is stopping and gets no new calls. Pending calls are still awaited."""


@dataclass(slots=True, eq=False)
class _PendingCall:
    done: trio.Event = field(default_factory=trio.Event)
    reply: Reply | None = None


class Relay:
    """A stream to one relay, which is reopened when it ends."""

    def __init__(
        self, endpoint: RelayEndpoint, loop_time: LoopTime, traffic: StreamTraffic
    ) -> None:
        """Start disconnected; ``run`` connects. The bytes of all streams to the relay are added to ``traffic``."""
        self.endpoint = endpoint
        self._traffic = traffic
        self._loop_time = loop_time
        self._stream: RelayStream | None = None
        self._state = _State.CLOSED
        self._silence_timer: Timer | None = None
        self._numbers = count()
        self._pending: dict[int, _PendingCall] = {}
        self._call_ended = trio.Event()
        self._replaced = False

    @property
    def usable(self) -> bool:
        """Whether new calls may be sent to the relay."""
        return self._state is _State.OPEN and not self._replaced

    def set_replaced(self) -> None:
        """Send no new calls, because the relay is no longer configured. Pending calls are still awaited."""
        self._replaced = True

    async def wait_idle(self) -> None:
        """Wait until no call is pending."""
        while self._pending:
            await self._call_ended.wait()

    async def run(self) -> None:
        """Connect, and reconnect with backoff after the stream has ended. Runs until cancelled."""
        delay = MIN_RECONNECT_SECONDS
        while True:
            try:
                await self._connect_and_receive()
            except* PeerError as errors:
                reason = str(errors.exceptions[0])
                logger.info("relay lost", relay=self.endpoint.node, reason=reason)
            finally:
                was_open = self._state is not _State.CLOSED
                self._disconnect()
            if was_open:
                delay = MIN_RECONNECT_SECONDS
            await trio.sleep(delay)
            delay = min(2 * delay, MAX_RECONNECT_SECONDS)

    async def call(
        self, make_call: Callable[[int], Call | ReleaseCall], seconds: float
    ) -> Reply | None:
        """Make a call and return the reply, or None if no reply arrives within ``seconds`` of loop time.

        Without a reply, the call may or may not have been executed.
        """
        if self._stream is None:
            return None
        stream, number = self._stream, next(self._numbers)
        call = make_call(number)
        pending = self._pending[number] = _PendingCall()
        timer = self._loop_time.call_after(seconds, pending.done.set)
        try:
            stream.send(call)
            await pending.done.wait()
        finally:
            # A message that is still queued behind a saturated link would arrive after the call that
            # replaces it.
            stream.withdraw(call)
            timer.cancel()
            del self._pending[number]
            self._call_ended.set()
            self._call_ended = trio.Event()
        return pending.reply

    def hash_weight(self, executor: ExecutorId) -> int:
        """Return the weight of this relay for an executor (rendezvous hashing): the highest one is chosen."""
        return xxhash.xxh32_intdigest(f"{self.endpoint.node} {executor}".encode())

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
        if self._stream is not None:
            self._stream.send(Forget(executor))

    async def _connect_and_receive(self) -> None:
        try:
            socket_stream = await connect(self.endpoint.address, CONNECT_SECONDS)
        except UnreachableError as error:
            raise PeerError(str(error)) from error
        self._stream = RelayStream(socket_stream, self._traffic)
        self._stream.send(Hello(RELAY_VERSION))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream.run)
            nursery.start_soon(self._ping, self._stream)
            await self._receive_messages(self._stream)

    async def _receive_messages(self, stream: RelayStream) -> NoReturn:
        """Handle the messages of the relay until the stream ends, then raise PeerError."""
        try:
            with self._loop_time.fail_after(MAX_SILENCE_SECONDS) as postpone:
                async for message in stream.messages():
                    postpone(MAX_SILENCE_SECONDS)
                    self._note_message()
                    self._handle_message(message)
        except trio.TooSlowError as error:
            raise PeerError(f"no message for {MAX_SILENCE_SECONDS} s") from error
        raise PeerError("the relay closed the stream")

    def _note_message(self) -> None:
        if self._silence_timer is not None and self._silence_timer.pending:
            self._loop_time.postpone(self._silence_timer, SILENT_SECONDS)
        else:
            self._silence_timer = self._loop_time.call_after(SILENT_SECONDS, self._note_silence)
        if self._state is _State.SILENT:
            self._state = _State.OPEN
            logger.info("relay heard again", relay=self.endpoint.node, pending=len(self._pending))

    def _note_silence(self) -> None:
        if self._state is _State.OPEN:
            self._state = _State.SILENT
            logger.info("relay silent", relay=self.endpoint.node, pending=len(self._pending))

    def _handle_message(self, message: AnyRelayMessage) -> None:
        match message:
            case OrderReply() | PollReply() | ReleaseReply():
                pending = self._pending.get(message.number)
                if pending is not None:
                    pending.reply = message
                    pending.done.set()
            case Hello(version):
                if version != RELAY_VERSION:
                    raise PeerError(f"the relay uses version {version}, not {RELAY_VERSION}")
                self._state = _State.OPEN
            case Goodbye():
                self._state = _State.LEAVING
            case Pong():
                pass
            case _:
                raise PeerError(f"unexpected {type(message).__name__} from a relay")

    @staticmethod
    async def _ping(stream: RelayStream) -> None:
        while True:
            await trio.sleep(PING_SECONDS)
            stream.send(Ping())

    def _disconnect(self) -> None:
        self._state = _State.CLOSED
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        for pending in self._pending.values():
            pending.done.set()


class RelayedExecutors(ExecutorCalls):
    """Calls executors through a relay in their failure domain if one is usable, and directly otherwise."""

    def __init__(
        self, direct: ExecutorCalls, loop_time: LoopTime, traffic: RelayTraffic | None = None
    ) -> None:
        """Start without relays: ``direct`` makes all calls until relays are set and ``run`` has connected to them.

        ``traffic`` counts the bytes of the streams to relays.
        """
        self._direct = direct
        self._traffic = traffic if traffic is not None else RelayTraffic()
        self._loop_time = loop_time
        self._relays: dict[RelayEndpoint, Relay] = {}
        self._scopes: dict[RelayEndpoint, trio.CancelScope] = {}
        self._by_domain: dict[FailureDomainName, list[Relay]] = {}
        self._configured: tuple[RelayEndpoint, ...] = ()
        self._changed = trio.Event()

    def set_relays(self, endpoints: Iterable[RelayEndpoint]) -> None:
        """Use exactly the given relays from now on."""
        self._configured = tuple(endpoints)
        self._changed.set()

    async def run(self) -> None:
        """Maintain the streams to the relays until cancelled. May be called again after an error."""
        self._relays.clear()
        self._scopes.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._update_relays(nursery)
                await self._changed.wait()
                self._changed = trio.Event()

    async def wait_connected(self) -> None:
        """Wait until a relay is usable in each failure domain that has relays."""
        while not self._is_connected:
            await trio.sleep(CONNECTED_CHECK_SECONDS)

    @property
    def _is_connected(self) -> bool:
        domains = {endpoint.failure_domain for endpoint in self._configured}
        return all(
            any(relay.usable for relay in self._by_domain.get(domain, ())) for domain in domains
        )

    async def start(
        self, endpoint: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        relay = self._relay_for(endpoint)
        if relay is None:
            return await self._direct.start(endpoint, token, order)
        return await _send_order(relay, lambda number: start_call(number, endpoint, token, order))

    async def stop(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        relay = self._relay_for(endpoint)
        if relay is None:
            return await self._direct.stop(endpoint, token, task, attempt)
        return await _send_order(
            relay,
            lambda number: StopCall(number, EndpointFields.of(endpoint), token, task, attempt),
        )

    async def pace(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """See ExecutorCalls."""
        relay = self._relay_for(endpoint)
        if relay is None:
            return await self._direct.pace(endpoint, token, task, attempt, percent)
        return await _send_order(
            relay,
            lambda number: PaceCall(
                number, EndpointFields.of(endpoint), token, task, attempt, percent
            ),
        )

    async def poll(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """See ExecutorCalls. A ``fresh`` poll is sent directly, to detect whether only the usual path is broken."""
        relay = None if fresh else self._relay_for(endpoint)
        if relay is None:
            return await self._direct.poll(endpoint, token, request, fresh)
        seconds = request.wait_seconds + request.patience_seconds + ROUND_TRIP_SECONDS
        reply = await relay.call(
            lambda number: poll_call(number, endpoint, token, request), seconds
        )
        if not isinstance(reply, PollReply):
            why = f"nothing from relay {relay.endpoint.node}"
            return PollAnswer(CallOutcome.UNKNOWN, why=why)
        try:
            return reply.answer()
        except ValueError as error:
            logger.warning("cannot decode relay reply", relay=relay.endpoint.node, error=str(error))
            return PollAnswer(CallOutcome.UNKNOWN, why="relay's answer not readable")

    @property
    def usable_relays(self) -> tuple[RelayEndpoint, ...]:
        """The relays that take calls now."""
        return tuple(endpoint for endpoint, relay in self._relays.items() if relay.usable)

    async def release(
        self,
        endpoint: RelayEndpoint,
        service: ServiceName,
        owner_revision: Revision,
        seconds: float,
    ) -> bool:
        """Ask a relay to release a service, for an owner that can't reach the store.

        Returns whether the relay has removed the owner key. Without an answer within ``seconds`` it may
        have done so, or may still do so.
        """
        relay = self._relays.get(endpoint)
        if relay is None:
            return False
        reply = await relay.call(
            lambda number: ReleaseCall(number, service, owner_revision), seconds
        )
        return isinstance(reply, ReleaseReply) and reply.released

    def forget(self, executor: ExecutorId) -> None:
        """See ExecutorCalls."""
        self._direct.forget(executor)
        for relay in self._relays.values():
            relay.forget(executor)

    def _relay_for(self, endpoint: ExecutorEndpoint) -> Relay | None:
        """Return the relay for an executor, or None to call it directly.

        The choice is stable while that relay is usable, so the relay's connection to the executor is reused.
        """
        usable = [relay for relay in self._relays_near(endpoint) if relay.usable]
        if not usable:
            return None
        return max(usable, key=lambda relay: relay.hash_weight(endpoint.executor))

    def _relays_near(self, endpoint: ExecutorEndpoint) -> list[Relay]:
        return self._by_domain.get(endpoint.failure_domain, []) if endpoint.failure_domain else []

    def _update_relays(self, nursery: trio.Nursery) -> None:
        for endpoint in self._relays.keys() - set(self._configured):
            nursery.start_soon(self._retire, self._relays.pop(endpoint), self._scopes.pop(endpoint))
        for endpoint in self._configured:
            if endpoint not in self._relays:
                traffic = self._traffic.of(endpoint.failure_domain)
                self._relays[endpoint] = Relay(endpoint, self._loop_time, traffic)
                self._scopes[endpoint] = trio.CancelScope()
                nursery.start_soon(self._hold, self._relays[endpoint], self._scopes[endpoint])
        self._by_domain = {}
        for endpoint, relay in self._relays.items():
            self._by_domain.setdefault(endpoint.failure_domain, []).append(relay)

    @staticmethod
    async def _retire(relay: Relay, scope: trio.CancelScope) -> None:
        """Close the stream to a relay once no call is pending, or after the time that any call may take."""
        relay.set_replaced()
        with trio.move_on_after(MAX_SILENCE_SECONDS):
            await relay.wait_idle()
        scope.cancel()

    @staticmethod
    async def _hold(relay: Relay, scope: trio.CancelScope) -> None:
        with scope:
            await relay.run()


async def _send_order(relay: Relay, make_call: Callable[[int], Call]) -> OrderAnswer:
    reply = await relay.call(make_call, ORDER_SECONDS)
    if not isinstance(reply, OrderReply):
        return OrderAnswer(CallOutcome.UNKNOWN, None)
    try:
        return reply.answer()
    except ValueError as error:
        logger.warning("cannot decode relay reply", relay=relay.endpoint.node, error=str(error))
        return OrderAnswer(CallOutcome.UNKNOWN, None)
