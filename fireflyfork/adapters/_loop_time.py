"""Timeouts that don't count the event loop's own lag.

A process that is short of processor time reads responses late. By the wall clock it would blame the peer for
the delay, and retrying such calls would increase the load and the lag further. Loop time advances only while the
event loop responds, and a loop-time timeout fires only after the sockets have been polled once more.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from itertools import count

import trio

TICK_SECONDS = 0.05
LAG_DECAY = 0.993
"""The factor by which the reported lag decays with each tick. A lag stays visible for about five seconds, long
enough for readers that poll it at this interval."""
MAX_TICK_ADVANCE = 1.5
"""The maximum that loop time advances between two ticks, in units of ``TICK_SECONDS``, however much time has
passed."""


class Timer:
    """A callback that is due at a loop time, unless it is cancelled or postponed before."""

    def __init__(self, due: float, action: Callable[[], object]) -> None:
        """Call ``action`` at loop time ``due``, in seconds."""
        self._due = due
        self._action: Callable[[], object] | None = action
        self._overdue = False

    @property
    def due(self) -> float:
        """The loop time in seconds at which the timer fires."""
        return self._due

    @property
    def pending(self) -> bool:
        """Whether the timer has neither fired nor been cancelled."""
        return self._action is not None

    def cancel(self) -> None:
        """Prevent the timer from firing."""
        self._action = None

    def postpone(self, due: float) -> None:
        """Postpone the timer to ``due``; an earlier time than the current one has no effect."""
        if due > self._due:
            self._due = due
            self._overdue = False

    def was_already_due(self) -> bool:
        """Whether the timer was already due at the previous call.

        Between two calls the event loop has completed a pass and delivered all data that had arrived.
        """
        was_overdue, self._overdue = self._overdue, True
        return was_overdue

    def fire(self) -> None:
        """Run the action, if it hasn't run yet and the timer isn't cancelled."""
        action, self._action = self._action, None
        if action is not None:
            action()


class LoopTime:
    """The loop time of one process, and the timers that use it."""

    def __init__(self) -> None:
        """Start at 0; the time advances only while timers are pending."""
        self._now = 0.0
        self._lag = 0.0
        self._timers: list[tuple[float, int, Timer]] = []
        self._numbers = count()
        self._ticking = False

    @property
    def lag(self) -> float:
        """The maximum delay of recent ticks in seconds, which decays over time."""
        return self._lag

    def call_after(self, seconds: float, action: Callable[[], object]) -> Timer:
        """Call ``action`` from the event loop after ``seconds`` of loop time."""
        timer = Timer(self._now + seconds, action)
        self._push(timer)
        if not self._ticking:
            self._ticking = True
            trio.lowlevel.spawn_system_task(self._tick)
        return timer

    def postpone(self, timer: Timer, seconds: float) -> None:
        """Postpone a timer to at least ``seconds`` from now."""
        timer.postpone(self._now + seconds)

    @contextmanager
    def fail_after(self, seconds: float) -> Iterator[Callable[[float], None]]:
        """Raise trio.TooSlowError if the block takes longer than ``seconds`` of loop time.

        Yields a function that postpones the timeout to at least the given number of seconds from its call.
        """
        with trio.CancelScope() as scope:
            timer = self.call_after(seconds, scope.cancel)
            try:
                yield partial(self.postpone, timer)
            finally:
                timer.cancel()
        if scope.cancelled_caught:
            raise trio.TooSlowError

    def _push(self, timer: Timer) -> None:
        heapq.heappush(self._timers, (timer.due, next(self._numbers), timer))

    async def _tick(self) -> None:
        try:
            while self._timers:
                begun = trio.current_time()
                await trio.sleep(TICK_SECONDS)
                elapsed = trio.current_time() - begun
                self._lag = max(elapsed - TICK_SECONDS, LAG_DECAY * self._lag, 0.0)
                self._now += min(elapsed, MAX_TICK_ADVANCE * TICK_SECONDS)
                self._fire_due_timers()
        finally:
            self._ticking = False

    def _fire_due_timers(self) -> None:
        waiting = []
        while self._timers and self._timers[0][0] <= self._now:
            timer = heapq.heappop(self._timers)[-1]
            if not timer.pending:
                continue
            if timer.due <= self._now and timer.was_already_due():
                timer.fire()
            else:
                waiting.append(timer)
        for timer in waiting:
            self._push(timer)
