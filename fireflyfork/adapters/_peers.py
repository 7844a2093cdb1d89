"""Maintains one outgoing stream to each peer, opened when needed and replaced when lost."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .._errors import PeerError, UnreachableError
from .._ids import MemberId
from .._links import Address
from ..decisions import ConnectionChoice, ConnectionLimits, ConnectionPool
from ._connect import connect
from ._peer_connection import PeerConnection, PeerHandler
from ._peer_handshake import HANDSHAKE_SECONDS, accept_peer, connect_peer

CONNECT_SECONDS = 2.0

PATH_LIMITS = ConnectionLimits(silence_seconds=CONNECT_SECONDS + HANDSHAKE_SECONDS)

AddressOf = Callable[[MemberId], Address | None]


class Peers:
    """The outgoing streams to peers, and the server for incoming ones."""

    def __init__(
        self,
        own_id: Callable[[], MemberId],
        key: bytes,
        handler: PeerHandler,
        address_of: AddressOf,
    ) -> None:
        """``own_id`` returns this member's current id, which may change.

        ``address_of`` returns the peer address of a member, or None if it is unknown.
        """
        self._own_id = own_id
        self._key = key
        self._handler = handler
        self._address_of = address_of
        self._streams: dict[MemberId, PeerConnection] = {}
        self._paths: dict[MemberId, ConnectionPool] = {}
        self._opening: dict[MemberId, trio.Event] = {}
        self._nursery: trio.Nursery | None = None
        self._stopped = trio.Event()

    @property
    def sent_bytes(self) -> int:
        """The number of bytes sent on the outgoing streams that are currently open."""
        return sum(stream.sent_bytes for stream in self._streams.values())

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Accept streams from peers and run the outgoing ones, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.serve_listeners(self._accept, listeners)

    async def stream(self, member: MemberId) -> PeerConnection:
        """Return an open stream to ``member``. Raises PeerError, in which case nothing has been sent."""
        while True:
            stream = self._streams.get(member)
            if stream is not None and not stream.closed:
                return stream
            self._raise_if_quarantined(member)
            if member in self._opening:
                await self._opening[member].wait()
                if member not in self._streams:
                    raise PeerError(f"{member} can't be reached")
                continue
            return await self._open(member)

    def keep_open(self, members: tuple[MemberId, ...]) -> None:
        """Open missing streams to these peers in the background, so the first request doesn't wait."""
        for member in members:
            if (
                self._nursery is not None
                and member != self._own_id()
                and member not in self._streams
            ):
                self._nursery.start_soon(self._try_open, member)

    def close_all(self) -> None:
        """Close all outgoing streams. Used when this member has a new id, which a handshake must announce."""
        for stream in tuple(self._streams.values()):
            stream.close()

    async def _try_open(self, member: MemberId) -> None:
        try:
            await self.stream(member)
        except PeerError:
            return

    def _raise_if_quarantined(self, member: MemberId) -> None:
        # The kernel of a paused peer still accepts connections, but the handshake never completes. Without
        # the quarantine each request would wait for it instead of failing or going elsewhere immediately.
        if member in self._opening:
            return
        now = trio.current_time()
        self._paths[member], decision = self._path(member).choose(True, now)
        if decision.choice is ConnectionChoice.QUARANTINED:
            raise PeerError(f"{member} did not answer lately")

    async def _open(self, member: MemberId) -> PeerConnection:
        opened = self._opening[member] = trio.Event()
        try:
            stream = await self._try_connect(member)
            self._streams[member] = stream
            if self._nursery is None:
                raise PeerError("not running")
            self._nursery.start_soon(self._carry, stream)
            return stream
        finally:
            del self._opening[member]
            opened.set()

    async def _try_connect(self, member: MemberId) -> PeerConnection:
        try:
            stream = await self._connect(member)
        except PeerError:
            self._paths[member] = self._path(member).open_failed(trio.current_time())
            raise
        self._paths[member] = self._path(member).opened()
        return stream

    def _path(self, member: MemberId) -> ConnectionPool:
        return self._paths.get(member) or ConnectionPool(PATH_LIMITS)

    async def _connect(self, member: MemberId) -> PeerConnection:
        address = self._address_of(member)
        if address is None:
            raise PeerError(f"{member} is not a member")
        try:
            socket_stream = await connect(address, CONNECT_SECONDS)
        except UnreachableError as error:
            raise PeerError(f"{member} can't be reached: {error}") from error
        try:
            return await connect_peer(
                socket_stream, self._own_id(), member, self._key, self._handler
            )
        except BaseException:
            socket_stream.socket.close()
            raise

    def forget_all_but(self, members: frozenset[MemberId]) -> None:
        """Remove the state of connections to members that have left."""
        self._paths = {member: path for member, path in self._paths.items() if member in members}

    async def _carry(self, stream: PeerConnection) -> None:
        try:
            await stream.run()
        finally:
            if self._streams.get(stream.member) is stream:
                del self._streams[stream.member]

    async def _accept(self, socket_stream: trio.SocketStream) -> None:
        try:
            stream = await accept_peer(socket_stream, self._own_id(), self._key, self._handler)
        except PeerError:
            return
        await stream.run()
