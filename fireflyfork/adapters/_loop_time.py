"""Timeouts that the event loop's own lag doesn't use up.

A process that is short of processor time reads answers late. Judged by the wall clock, these answers are
late by somebody else's fault; whoever then asks again makes the process later still. Loop time advances
only while the loop responds, and a timeout by it is settled only after the sockets were looked at once more.
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
"""For each tick: a lag shows for some five seconds, so that it is seen by whoever reads it that often."""
MOST_OF_A_TICK = 1.5
"""Loop time advances at most so many ticks from one tick to the next, however long that took."""


class Alarm:
    """Something that is due at a loop time, unless it is cancelled or put off before."""

    def __init__(self, due: float, action: Callable[[], object]) -> None:
        """``due`` is a loop time in seconds."""
        self._due = due
        self._action: Callable[[], object] | None = action
        self._overdue = False

    @property
    def due(self) -> float:
        """The loop time at which it goes off."""
        return self._due

    @property
    def pending(self) -> bool:
        """Whether it may still go off."""
        return self._action is not None

    def cancel(self) -> None:
        """It won't go off any more."""
        self._action = None

    def put_off(self, due: float) -> None:
        """It goes off at ``due`` at the earliest."""
        if due > self._due:
            self._due = due
            self._overdue = False

    def is_settled(self) -> bool:
        """Whether it has been due for a whole pass of the loop, which has delivered what had come."""
        was_overdue, self._overdue = self._overdue, True
        return was_overdue

    def go_off(self) -> None:
        """Do what it is for, once."""
        action, self._action = self._action, None
        if action is not None:
            action()


class LoopTime:
    """The loop time of one process, and the alarms that are set by it."""

    def __init__(self) -> None:
        """Time begins to run with the first alarm."""
        self._now = 0.0
        self._lag = 0.0
        self._alarms: list[tuple[float, int, Alarm]] = []
        self._numbers = count()
        self._ticking = False

    @property
    def lag(self) -> float:
        """How late the loop came to a tick of late, in seconds: the worst, which fades."""
        return self._lag

    def after(self, seconds: float, action: Callable[[], object]) -> Alarm:
        """Call ``action`` from the loop after so many seconds of loop time."""
        alarm = Alarm(self._now + seconds, action)
        self._push(alarm)
        if not self._ticking:
            self._ticking = True
            trio.lowlevel.spawn_system_task(self._tick)
        return alarm

    def put_off(self, alarm: Alarm, seconds: float) -> None:
        """Let an alarm go off so many seconds from now at the earliest."""
        alarm.put_off(self._now + seconds)

    @contextmanager
    def fail_after(self, seconds: float) -> Iterator[Callable[[float], None]]:
        """Raise trio.TooSlowError when the block takes longer.

        Yields a function that puts this off until at least so many seconds from its call.
        """
        with trio.CancelScope() as scope:
            alarm = self.after(seconds, scope.cancel)
            try:
                yield partial(self.put_off, alarm)
            finally:
                alarm.cancel()
        if scope.cancelled_caught:
            raise trio.TooSlowError

    def _push(self, alarm: Alarm) -> None:
        heapq.heappush(self._alarms, (alarm.due, next(self._numbers), alarm))

    async def _tick(self) -> None:
        try:
            while self._alarms:
                begun = trio.current_time()
                await trio.sleep(TICK_SECONDS)
                elapsed = trio.current_time() - begun
                self._lag = max(elapsed - TICK_SECONDS, LAG_DECAY * self._lag, 0.0)
                self._now += min(elapsed, MOST_OF_A_TICK * TICK_SECONDS)
                self._settle()
        finally:
            self._ticking = False

    def _settle(self) -> None:
        waiting = []
        while self._alarms and self._alarms[0][0] <= self._now:
            alarm = heapq.heappop(self._alarms)[-1]
            if not alarm.pending:
                continue
            if alarm.due <= self._now and alarm.is_settled():
                alarm.go_off()
            else:
                waiting.append(alarm)
        for alarm in waiting:
            self._push(alarm)
