"""Limits concurrent calls on an event loop that is short of processor time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import trio

from ..adapters import LoopTime

SLOT_SECONDS = 0.2
"""Loop time after which a call no longer counts towards the limit.

A call that takes longer is waiting for its peer or its link, not for this process, so the next call
may start."""


class CallLimiter:
    """Limits the number of concurrent calls; waiting calls start in order.

    Concurrent calls all finish when the last one does. If there are many, each finishes too late,
    and the loop has long iterations during which nothing else runs.
    """

    def __init__(self, max_concurrent: int, loop_time: LoopTime) -> None:
        """Allow ``max_concurrent`` calls. ``loop_time`` excludes delays of the loop."""
        self._limiter = trio.CapacityLimiter(max_concurrent)
        self._loop_time = loop_time

    @asynccontextmanager
    async def acquire_slot(self) -> AsyncIterator[None]:
        """Wait for a slot, and release it at the end of the block or after ``SLOT_SECONDS``."""
        borrower = object()
        await self._limiter.acquire_on_behalf_of(borrower)
        release = partial(self._limiter.release_on_behalf_of, borrower)
        timer = self._loop_time.call_after(SLOT_SECONDS, release)
        try:
            yield
        finally:
            timer.fire()
