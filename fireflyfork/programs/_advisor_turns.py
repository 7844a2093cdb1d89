"""Shares the one turn that an instance has at the advisor among the owners on it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

import trio

from .._ids import CallNumber
from ..decisions.jobs import CallWindow, OpenCall
from ._clocks import Clock


class AdvisorTurns:
    """Tells the owners on an instance when one of them may send the next call.

    The advisor handles the calls of an instance one at a time, whichever service they are about.
    """

    def __init__(self) -> None:
        """Initialize without calls."""
        self._window = CallWindow()
        self._scopes: dict[CallNumber, trio.CancelScope] = {}
        self._queue = trio.StrictFIFOLock()
        self._changed = trio.Event()

    @property
    def open_calls(self) -> int:
        """The number of open calls of all owners."""
        return self._window.open_calls

    def any_overdue(self, now: float) -> bool:
        """Whether a call is overdue, so that idle connections may be dead as well."""
        return self._window.overdue_calls(now) > 0

    @asynccontextmanager
    async def wait_turn(self, clock: Clock) -> AsyncIterator[None]:
        """Wait until the next call may be sent. Owners that wait get their turns in order."""
        async with self._queue:
            while (seconds := self._window.may_send_at(clock.now()) - clock.now()) > 0:
                with trio.move_on_after(seconds):
                    await self._changed.wait()
            yield

    def begin(self, now: float, cost_seconds: float) -> OpenCall:
        """Record a call that is sent in this turn; if too many are open, another one is closed."""
        call = self._window.begin(now, cost_seconds)
        self._scopes[call.number] = trio.CancelScope()
        surplus = self._window.surplus_call()
        if surplus is not None:
            self._scopes[surplus].cancel()
        return call

    @contextmanager
    def keep_open(self, call: OpenCall) -> Iterator[trio.CancelScope]:
        """Return the scope in which a call is made; it is cancelled when the call is closed."""
        try:
            with self._scopes[call.number] as scope:
                yield scope
        finally:
            del self._scopes[call.number]
            self._window.closed(call.number)
            self._notify()

    def answered(self, call: OpenCall, now: float) -> None:
        """Record the answer to a call."""
        self._window.answered(call.number, now)

    def failed(self, call: OpenCall, now: float) -> None:
        """Record that a call was rejected, or ended without an answer."""
        self._window.failed(call.number, now)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
