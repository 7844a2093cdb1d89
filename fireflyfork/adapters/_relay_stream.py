"""The message stream between an owner and a relay."""

from __future__ import annotations

import trio

from ._executor_calls import MAX_CALL_SECONDS
from ._message_stream import MessageStream, StreamTraffic
from ._relay_messages import DECODER, AnyRelayMessage


class RelayStream(MessageStream[AnyRelayMessage]):
    """One end of the stream between an owner and a relay.

    On a saturated link, data and acknowledgements are delayed by seconds, as replies are. The limit for
    unacknowledged data is therefore as long as the longest call.
    """

    def __init__(self, stream: trio.SocketStream, traffic: StreamTraffic | None = None) -> None:
        """Take ownership of a connected stream and count its bytes in ``traffic``."""
        super().__init__(stream, DECODER, MAX_CALL_SECONDS, traffic)
