"""Records an answer while it is passed on, so that repeats of the request can get it."""

from __future__ import annotations

import msgpack

from ..adapters import ResponseHead
from ._sinks import AnswerSink, DetachableSink


class RecordingSink(DetachableSink):
    """Passes an answer on and records it, also after the receiver has been detached."""

    def __init__(self, receiver: AnswerSink, max_bytes: int) -> None:
        """Pass on to ``receiver``; an answer of more than ``max_bytes`` is not recorded."""
        super().__init__(receiver)
        self._max_bytes = max_bytes
        self._head: ResponseHead | None = None
        self._body = b""
        self._too_long = False

    @property
    def answer(self) -> bytes | None:
        """The encoded answer, or None if it was incomplete or too long."""
        if self._head is None or self._too_long or not self._ended:
            return None
        return bytes(msgpack.packb([self._head.status, list(self._head.headers), self._body]))

    async def _start(self, head: ResponseHead) -> None:
        self._head = head
        await super()._start(head)

    async def _send(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._max_bytes:
            self._too_long = True
            self._body = b""
        elif not self._too_long:
            self._body += data
        await super()._send(data)
