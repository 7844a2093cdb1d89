"""Limits how long callers' requests may take once the instance is stopping.

A request that exceeds the limit is abandoned while its caller can still be answered.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable
from typing import TypeVar

import trio

from .._errors import StoppingError
from .._verdict import Verdict

_Result = TypeVar("_Result")


class StopDeadline:
    """A deadline for all waits; there is none until the instance stops."""

    def __init__(self) -> None:
        """Start without a deadline."""
        self._deadline = math.inf
        self._waits: set[trio.CancelScope] = set()

    @property
    def is_ending(self) -> bool:
        """Whether a deadline is set, so that no further work should be started."""
        return self._deadline < math.inf

    def expire_in(self, seconds: float) -> None:
        """Set the deadline of all current and later waits to ``seconds`` from now."""
        self._deadline = trio.current_time() + seconds
        for wait in self._waits:
            wait.deadline = self._deadline

    async def wait(self, operation: Awaitable[_Result], verdict: Verdict) -> _Result:
        """Await ``operation`` and return its result.

        Raises StoppingError if the deadline passes first. Its ``verdict`` tells whether the
        operation may have had effects.
        """
        scope = trio.CancelScope(deadline=self._deadline)
        self._waits.add(scope)
        try:
            with scope:
                return await operation
        finally:
            self._waits.discard(scope)
        raise StoppingError(verdict)
