"""Serving HTTP until a signal arrives, as all stand-in programs do."""

from __future__ import annotations

import signal

import trio

from fireflyfork import Address
from fireflyfork.adapters import HttpHandler, HttpServer, listen

STOP_GRACE_SECONDS = 0.5


async def serve_until_stopped(handler: HttpHandler, address: Address) -> None:
    """Serve ``handler`` at ``address`` until SIGTERM or SIGINT."""
    server = HttpServer(handler)
    listeners = await listen(address.host, address.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, [server], nursery.cancel_scope)
        await server.run(listeners)
        nursery.cancel_scope.cancel()


async def stop_on_signal(servers: list[HttpServer], scope: trio.CancelScope) -> None:
    """Stop all ``servers`` at the first SIGTERM or SIGINT, and cancel ``scope`` shortly after.

    Without the cancellation, open watch requests would keep the process running until their wait
    time is over.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
    for server in servers:
        server.stop()
    await trio.sleep(STOP_GRACE_SECONDS)
    scope.cancel()
