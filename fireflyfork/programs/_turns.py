"""Turns of calls on the event loop of an instance that is short of processor time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import trio

from ..adapters import LoopTime

TURN_SECONDS = 0.2
"""Of loop time. A call that is under way for longer waits for its other end or its link, not for this process,
and makes room for the next one."""


class Turns:
    """Lets so many calls go out at once, in the order in which they ask.

    Calls that progress side by side all end when the last one does: each of many then comes too late, and the loop
    has long passes in which nothing else has its turn.
    """

    def __init__(self, at_once: int, loop_time: LoopTime) -> None:
        """``loop_time`` tells a late loop from a late answer."""
        self._limit = trio.CapacityLimiter(at_once)
        self._loop_time = loop_time

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Wait for a turn; it ends with the block, or earlier if that takes long."""
        borrower = object()
        await self._limit.acquire_on_behalf_of(borrower)
        give_back = partial(self._limit.release_on_behalf_of, borrower)
        end = self._loop_time.after(TURN_SECONDS, give_back)
        try:
            yield
        finally:
            end.go_off()
