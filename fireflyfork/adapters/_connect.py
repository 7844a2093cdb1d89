"""Opens connections to other processes."""

from __future__ import annotations

import trio

from .._errors import UnreachableError
from .._links import Address


async def connect(address: Address, seconds: float) -> trio.SocketStream:
    """Open a connection within ``seconds``. Raises UnreachableError, whatever the reason is."""
    try:
        with trio.fail_after(seconds):
            return await trio.open_tcp_stream(address.host, address.port)
    except (OSError, ValueError, trio.TooSlowError) as error:
        # The resolver raises ValueError for hosts that it can't encode.
        raise UnreachableError(f"can't connect to {address}: {error!r}") from error
