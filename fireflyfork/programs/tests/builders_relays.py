"""TCP proxies between entries and executors whose connections can be silenced."""

from __future__ import annotations

from functools import partial

import trio

from ... import Address
from ...adapters import listen

_CHUNK_BYTES = 65_536


class Relay:
    """Forwards TCP connections to one executor."""

    def __init__(self, behind: Address) -> None:
        """``upstream`` is the address of the executor."""
        self._behind = behind
        self._lost: list[trio.Event] = []
        self.most_open = 0
        """The maximum number of connections that were open at the same time."""

    def lose_track(self) -> None:
        """Discard all data on the currently open connections permanently."""
        for lost in self._lost:
            lost.set()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        lost = trio.Event()
        self._lost.append(lost)
        self.most_open = max(self.most_open, len(self._lost))
        try:
            far = await trio.open_tcp_stream(self._behind.host, self._behind.port)
            async with far, near, trio.open_nursery() as nursery:
                nursery.start_soon(_pump, near, far, lost)
                nursery.start_soon(_pump, far, near, lost)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._lost.remove(lost)


async def _pump(source: trio.SocketStream, sink: trio.SocketStream, lost: trio.Event) -> None:
    while data := await source.receive_some(_CHUNK_BYTES):
        if lost.is_set():
            await trio.sleep_forever()
        await sink.send_all(data)
    if lost.is_set():
        await trio.sleep_forever()
    await sink.aclose()


async def start_relay(nursery: trio.Nursery, behind: Address) -> tuple[Relay, Address]:
    """Start a proxy on a new port and return it with its address."""
    relay = Relay(behind)
    listeners = await listen("127.0.0.1", 0)
    nursery.start_soon(partial(relay.run, listeners))
    host, port = listeners[0].socket.getsockname()[:2]
    return relay, Address(host, port)
