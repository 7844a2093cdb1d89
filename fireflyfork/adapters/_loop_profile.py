"""Measures the processor time of the event loop by activity.

Recording each step of each task costs about as much as the loop itself, so it is done only for short periods
from time to time.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import trio

EVENT_LOOP = "event loop"
"""The activity for the event loop's own work, such as choosing the next task to run."""
_WAITING = "waiting"
"""The activity for waiting on I/O. It isn't reported: if ``clock`` is a wall clock, it is the idle time of the loop."""


class LoopProfile(trio.abc.Instrument):
    """Sums up processor time by activity, which is the function that a task was started with.

    Synchronous parts of a task can be recorded as separate activities with ``section``. Time is recorded
    only inside of ``recording``.
    """

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        """``clock`` returns the processor time of the event loop's thread in seconds."""
        self._clock = clock
        self._seconds_by_name: defaultdict[str, float] = defaultdict(float)
        """Seconds by qualified name: shortening the name at each step would cost as much as the step."""
        self._activity = EVENT_LOOP
        self._charged_at = clock()
        self._recording = False

    @property
    def seconds_by_activity(self) -> Mapping[str, float]:
        """The seconds spent so far, by activity, in all recorded periods."""
        spent: defaultdict[str, float] = defaultdict(float)
        for name, seconds in self._seconds_by_name.items():
            if name != _WAITING:
                spent[_short_name(name)] += seconds
        return spent

    @contextmanager
    def recording(self) -> Iterator[None]:
        """Record the processor time that the event loop uses during the block."""
        self._charged_at = self._clock()
        self._activity = EVENT_LOOP
        self._recording = True
        trio.lowlevel.add_instrument(self)
        try:
            yield
        finally:
            trio.lowlevel.remove_instrument(self)
            self._switch_to(EVENT_LOOP)
            self._recording = False

    @contextmanager
    def section(self, activity: str) -> Iterator[None]:
        """Charge the time of the block to ``activity``. The block must not await anything."""
        if not self._recording:
            yield
            return
        outer = self._activity
        self._switch_to(activity)
        try:
            yield
        finally:
            self._switch_to(outer)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Charge time to the task from now on. Called by trio."""
        self._switch_to(task.name)

    def after_task_step(self, _task: trio.lowlevel.Task) -> None:
        """Charge time to the event loop from now on. Called by trio."""
        self._switch_to(EVENT_LOOP)

    def before_io_wait(self, _timeout: float) -> None:
        """Charge time to waiting from now on. Called by trio."""
        self._switch_to(_WAITING)

    def after_io_wait(self, _timeout: float) -> None:
        """Charge time to the event loop from now on. Called by trio."""
        self._switch_to(EVENT_LOOP)

    def _switch_to(self, activity: str) -> None:
        now = self._clock()
        self._seconds_by_name[self._activity] += now - self._charged_at
        self._charged_at = now
        self._activity = activity


def _short_name(name: str) -> str:
    """Return the last two parts of a qualified name: the class and the method."""
    return ".".join(name.rsplit(".", 2)[-2:])
