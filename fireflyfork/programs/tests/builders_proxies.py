"""TCP proxies between entries and executors whose connections can be silenced."""

from __future__ import annotations

from functools import partial

import trio

from ... import Address
from ...adapters import listen

_CHUNK_BYTES = 65_536


class TcpProxy:
    """Forwards TCP connections to one executor."""

    def __init__(self, upstream: Address) -> None:
        """``upstream`` is the address of the executor."""
        self._upstream = upstream
        self._silence_events: list[trio.Event] = []
        self.max_open = 0
        """The maximum number of connections that were open at the same time."""

    def silence(self) -> None:
        """Discard all data on the currently open connections permanently."""
        for silenced in self._silence_events:
            silenced.set()

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        silenced = trio.Event()
        self._silence_events.append(silenced)
        self.max_open = max(self.max_open, len(self._silence_events))
        try:
            server = await trio.open_tcp_stream(self._upstream.host, self._upstream.port)
            async with server, client, trio.open_nursery() as nursery:
                nursery.start_soon(_pump, client, server, silenced)
                nursery.start_soon(_pump, server, client, silenced)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._silence_events.remove(silenced)


async def _pump(source: trio.SocketStream, sink: trio.SocketStream, silenced: trio.Event) -> None:
    while data := await source.receive_some(_CHUNK_BYTES):
        if silenced.is_set():
            await trio.sleep_forever()
        await sink.send_all(data)
    if silenced.is_set():
        await trio.sleep_forever()
    await sink.aclose()


async def start_proxy(nursery: trio.Nursery, upstream: Address) -> tuple[TcpProxy, Address]:
    """Start a proxy on a new port and return it with its address."""
    proxy = TcpProxy(upstream)
    listeners = await listen("127.0.0.1", 0)
    nursery.start_soon(partial(proxy.run, listeners))
    host, port = listeners[0].socket.getsockname()[:2]
    return proxy, Address(host, port)
