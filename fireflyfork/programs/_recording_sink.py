"""Keeps a copy of an answer on its way, for repeats of the request."""

from __future__ import annotations

from collections.abc import Awaitable

import msgpack

from .._errors import PeerError
from ..adapters import HttpError, ResponseHead
from ._sinks import AnswerSink


class RecordingSink(AnswerSink):
    """Passes an answer on and keeps a copy of it, also when nobody takes it any more."""

    def __init__(self, waiting: AnswerSink, longest: int) -> None:
        """``longest`` is in bytes; of a longer answer nothing is kept."""
        super().__init__()
        self._waiting: AnswerSink | None = waiting
        self._longest = longest
        self._head: ResponseHead | None = None
        self._body = b""
        self._too_long = False

    @property
    def answer(self) -> bytes | None:
        """The encoded answer; None when it was not whole or too long."""
        if self._head is None or self._too_long or not self._ended:
            return None
        return bytes(msgpack.packb([self._head.status, list(self._head.headers), self._body]))

    async def _start(self, head: ResponseHead) -> None:
        self._head = head
        if self._waiting is not None:
            await self._pass(self._waiting.start(head))

    async def _send(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._longest:
            self._too_long = True
            self._body = b""
        elif not self._too_long:
            self._body += data
        if self._waiting is not None:
            await self._pass(self._waiting.send(data))

    async def _end(self) -> None:
        if self._waiting is not None:
            await self._pass(self._waiting.end())

    async def _pass(self, taking: Awaitable[None]) -> None:
        try:
            await taking
        except (HttpError, PeerError):
            self._waiting = None
