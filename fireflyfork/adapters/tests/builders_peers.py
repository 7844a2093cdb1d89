"""Builds two peers on loopback sockets. Tests program the handler of the second one."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio
import trio.testing

from ... import Address, MemberId
from .. import (
    Control,
    Forward,
    IncomingCall,
    OutgoingCall,
    PeerConnection,
    PeerHandler,
    Peers,
    Pong,
    Role,
    ServiceFigures,
    listen,
)

KEY = b"a key of sixteen"
FIGURES = ServiceFigures(1, 0, 10.0)
ONE, TWO = MemberId("one"), MemberId("two")

Serve = Callable[[IncomingCall], Awaitable[None]]


@dataclass
class ProgrammedHandler(PeerHandler):
    """Serves calls with a function of the test."""

    serve: Serve | None = None
    pongs: list[MemberId] = field(default_factory=list)
    cancelled: int = 0

    async def handle_call(self, call: IncomingCall) -> None:
        """See PeerHandler."""
        assert self.serve is not None
        try:
            await self.serve(call)
        except trio.Cancelled:
            self.cancelled += 1
            raise

    def pong(self, member: MemberId, nonce: int) -> Pong:
        """See PeerHandler."""
        return Pong(nonce, {}, {})

    def handle_pong(self, member: MemberId, pong: Pong) -> None:
        """See PeerHandler."""
        self.pongs.append(member)

    def handle_control(self, member: MemberId, control: Control) -> Control | None:
        """See PeerHandler."""
        return None


@dataclass
class PeerPair:
    """Two peers; the first opens streams to the second."""

    one: Peers
    two: Peers
    handler: ProgrammedHandler
    address: Address

    async def call(self) -> tuple[PeerConnection, OutgoingCall]:
        """Start a call without a body, and return it with its stream."""
        stream = await self.one.stream(TWO)
        number, call = stream.open_call()
        stream.send(Forward(number, Role.OWNER, "r", "desk", "GET", "/", [], 1000, "", ""))
        await call.send(b"", end=True)
        return stream, call


@asynccontextmanager
async def peer_pair(serve: Serve, key_of_two: bytes = KEY) -> AsyncIterator[PeerPair]:
    """Run two peers. The second one serves calls with ``serve`` and uses the peer key ``key_of_two``."""
    handler = ProgrammedHandler(serve)
    addresses: dict[MemberId, Address] = {}
    one = Peers(lambda: ONE, KEY, ProgrammedHandler(), addresses.get)
    two = Peers(lambda: TWO, key_of_two, handler, addresses.get)
    async with trio.open_nursery() as nursery:
        for member, peers in ((ONE, one), (TWO, two)):
            listeners = await listen("127.0.0.1", 0)
            addresses[member] = Address(*listeners[0].socket.getsockname())
            nursery.start_soon(peers.run, listeners)
        await trio.testing.wait_all_tasks_blocked()
        yield PeerPair(one, two, handler, addresses[TWO])
        nursery.cancel_scope.cancel()


async def answer_ok(call: IncomingCall) -> None:
    """Answer with a short body."""
    call.start(200, (), FIGURES)
    await call.send(b"ok", end=True)
