"""Builds relays on in-memory streams that answer only as a test tells them to."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from unittest.mock import patch

import trio
from trio.testing import MemoryReceiveStream, MemorySendStream, memory_stream_pair

from ..._ids import FailureDomainName, NodeName
from ..._links import Address
from ...decisions.jobs import PollAnswer
from .. import RelayEndpoint
from .._message_stream import FrameDecoder, encode_frame
from .._relay_messages import (
    DECODER,
    RELAY_VERSION,
    AnyRelayMessage,
    Hello,
    Ping,
    PollCall,
    PollReply,
    Pong,
    RelayMessage,
)

RELAY_DOMAIN = FailureDomainName("suva")
RELAY_ENDPOINT = RelayEndpoint(NodeName("n-1"), RELAY_DOMAIN, Address("10.0.0.9", 80))

MemoryStream = trio.StapledStream[MemorySendStream, MemoryReceiveStream]


class _Socket:
    """A stand-in for a socket that closes an in-memory stream."""

    def __init__(self, stream: MemoryStream) -> None:
        """``stream`` is the stream to close."""
        self._stream = stream

    def close(self) -> None:
        """Close both directions."""
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


class MutedRelay:
    """A relay that sends only a Hello to each owner that connects, unless told otherwise."""

    def __init__(self, answer: PollAnswer | None = None) -> None:
        """With an ``answer``, the relay responds until ``mute`` is called: immediately to pings, and to polls after
        their wait."""
        self.connected = 0
        self.received: list[AnyRelayMessage] = []
        self.refuses_until = float("-inf")
        """Time before which connections are refused, as by a process that is being restarted."""
        self.link_full = False
        """While True, owners can't send anything after the message that they are currently sending."""
        self._answer = answer
        self._one_at_a_time = trio.Lock()
        self._stream: MemoryStream | None = None

    def mute(self) -> None:
        """Stop responding."""
        self._answer = None

    @property
    def polls(self) -> list[PollCall]:
        """The polls received so far, in order."""
        return [message for message in self.received if isinstance(message, PollCall)]

    @asynccontextmanager
    async def reachable(self) -> AsyncIterator[None]:
        """Let all streams that are opened lead to this relay."""
        async with trio.open_nursery() as nursery:

            async def opened(*_: object) -> MemoryStream:
                if trio.current_time() < self.refuses_until:
                    raise ConnectionRefusedError
                here, there = memory_stream_pair()
                here.socket = _Socket(here)  # type: ignore[attr-defined]
                self._narrow(here.send_stream)
                here.setsockopt = lambda *_: None  # type: ignore[attr-defined]
                self.connected += 1
                self._stream = there
                await self.send(Hello(RELAY_VERSION))
                nursery.start_soon(self._listen, there, nursery)
                return here

            with patch.object(trio, "open_tcp_stream", opened):
                yield
            nursery.cancel_scope.cancel()

    async def send(self, message: RelayMessage) -> None:
        """Send a message on the newest stream, unless the owner has closed it."""
        assert self._stream is not None
        async with self._one_at_a_time:
            with suppress(trio.BrokenResourceError):
                await self._stream.send_all(encode_frame([message]))

    async def answer_polls(self, answer: PollAnswer) -> None:
        """Send ``answer`` to each poll received so far."""
        for poll in self.polls:
            await self.send(PollReply.of(poll.number, answer))

    def _narrow(self, stream: MemorySendStream) -> None:
        deliver = stream.send_all_hook
        assert deliver is not None

        async def deliver_and_wait_for_room() -> None:
            await deliver()
            while self.link_full:
                await trio.sleep(0.05)

        stream.send_all_hook = deliver_and_wait_for_room

    async def _listen(self, stream: MemoryStream, nursery: trio.Nursery) -> None:
        decoder = FrameDecoder(DECODER)
        while data := await stream.receive_some():
            for message in decoder.feed(bytes(data)):
                self.received.append(message)
                nursery.start_soon(self._reply, message)

    async def _reply(self, message: AnyRelayMessage) -> None:
        if isinstance(message, PollCall):
            await trio.sleep(message.wait_seconds)
        if self._answer is None:
            return
        if isinstance(message, PollCall):
            await self.send(PollReply.of(message.number, self._answer))
        elif isinstance(message, Ping):
            await self.send(Pong())
