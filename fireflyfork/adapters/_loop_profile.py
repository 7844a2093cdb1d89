"""What the event loop's processor time goes to."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType

import trio

LOOP_ITSELF = "event loop"
"""The activity of choosing what runs next and of asking the system what has come."""


class LoopProfile(trio.abc.Instrument):
    """Adds up processor time by activity: the function that a task was started with.

    Synchronous parts of a task may be told apart by ``section``.
    """

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        """``clock`` tells the processor time of the loop's thread in seconds."""
        self._clock = clock
        self._spent: defaultdict[str, float] = defaultdict(float)
        self._activity = LOOP_ITSELF
        self._charged_at = clock()

    @property
    def spent(self) -> Mapping[str, float]:
        """Seconds by activity since the start."""
        self._charge()
        return MappingProxyType(self._spent)

    @contextmanager
    def section(self, activity: str) -> Iterator[None]:
        """Charge the block to ``activity``; nothing may be awaited in it."""
        outer = self._enter(activity)
        try:
            yield
        finally:
            self._enter(outer)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Called by trio."""
        self._enter(_short_name(task.name))

    def after_task_step(self, _task: trio.lowlevel.Task) -> None:
        """Called by trio."""
        self._enter(LOOP_ITSELF)

    def _enter(self, activity: str) -> str:
        self._charge()
        outer, self._activity = self._activity, activity
        return outer

    def _charge(self) -> None:
        now = self._clock()
        self._spent[self._activity] += now - self._charged_at
        self._charged_at = now


def _short_name(name: str) -> str:
    """The class and method of a qualified name."""
    return ".".join(name.rsplit(".", 2)[-2:])
