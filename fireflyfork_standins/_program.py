"""What every stand-in program does: listen, serve, and end on a signal."""

from __future__ import annotations

import signal

import trio

from fireflyfork import Address
from fireflyfork.adapters import HttpHandler, HttpServer, listen


async def serve_until_stopped(handler: HttpHandler, address: Address) -> None:
    """Serve ``handler`` at ``address`` until SIGTERM or SIGINT; exchanges under way end first."""
    server = HttpServer(handler)
    listeners = await listen(address.host, address.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, [server])
        await server.run(listeners)
        nursery.cancel_scope.cancel()


async def stop_on_signal(servers: list[HttpServer]) -> None:
    """Stop all ``servers`` at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            for server in servers:
                server.stop()
            return
