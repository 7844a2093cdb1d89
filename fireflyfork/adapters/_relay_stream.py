"""A stream between an owner and a relay."""

from __future__ import annotations

import trio

from ._executor_calls import LONGEST_CALL_SECONDS
from ._message_stream import MessageStream, StreamTraffic
from ._relay_messages import DECODER, AnyMessage


class RelayStream(MessageStream[AnyMessage]):
    """One end of it.

    On a full link bytes and their acknowledgements are under way for seconds, as the answers are, so the kernel
    has to bear that for as long as calls wait.
    """

    def __init__(self, stream: trio.SocketStream, traffic: StreamTraffic | None = None) -> None:
        """Take over a connected stream; its bytes are added to ``traffic``."""
        super().__init__(stream, DECODER, LONGEST_CALL_SECONDS, traffic)
