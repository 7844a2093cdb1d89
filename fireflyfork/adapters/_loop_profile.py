"""What the event loop's processor time goes to.

Looking at each step of each task costs about as much as the loop itself does, so it is done for a while only,
now and then.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import trio

LOOP_ITSELF = "event loop"
"""The activity of choosing what runs next."""
_WAITING = "waiting"
"""Not reported: where the clock is the wall's, this is the time in which nothing is done."""


class LoopProfile(trio.abc.Instrument):
    """Adds up processor time by activity: the function that a task was started with.

    Synchronous parts of a task may be told apart by ``section``. It looks only inside of ``looking``.
    """

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        """``clock`` tells the processor time of the loop's thread in seconds."""
        self._clock = clock
        self._spent: defaultdict[str, float] = defaultdict(float)
        """By whole name: shortening it at each step would cost as much as the step."""
        self._activity = LOOP_ITSELF
        self._charged_at = clock()
        self._looking = False

    @property
    def spent(self) -> Mapping[str, float]:
        """Seconds by activity, of all the time that it has looked."""
        spent: defaultdict[str, float] = defaultdict(float)
        for name, seconds in self._spent.items():
            if name != _WAITING:
                spent[_short_name(name)] += seconds
        return spent

    @contextmanager
    def looking(self) -> Iterator[None]:
        """Look at what the loop does meanwhile."""
        self._charged_at = self._clock()
        self._activity = LOOP_ITSELF
        self._looking = True
        trio.lowlevel.add_instrument(self)
        try:
            yield
        finally:
            trio.lowlevel.remove_instrument(self)
            self._enter(LOOP_ITSELF)
            self._looking = False

    @contextmanager
    def section(self, activity: str) -> Iterator[None]:
        """Charge the block to ``activity``; nothing may be awaited in it."""
        if not self._looking:
            yield
            return
        outer = self._activity
        self._enter(activity)
        try:
            yield
        finally:
            self._enter(outer)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Called by trio."""
        self._enter(task.name)

    def after_task_step(self, _task: trio.lowlevel.Task) -> None:
        """Called by trio."""
        self._enter(LOOP_ITSELF)

    def before_io_wait(self, _timeout: float) -> None:
        """Called by trio."""
        self._enter(_WAITING)

    def after_io_wait(self, _timeout: float) -> None:
        """Called by trio."""
        self._enter(LOOP_ITSELF)

    def _enter(self, activity: str) -> None:
        now = self._clock()
        self._spent[self._activity] += now - self._charged_at
        self._charged_at = now
        self._activity = activity


def _short_name(name: str) -> str:
    """The class and method of a qualified name."""
    return ".".join(name.rsplit(".", 2)[-2:])
