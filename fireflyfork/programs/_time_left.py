"""How long callers' requests may still take; what runs out of time is given up while it can be answered."""

from __future__ import annotations

import math
from collections.abc import Awaitable
from typing import TypeVar

import trio

from .._errors import StoppingError
from .._verdict import Verdict

_Result = TypeVar("_Result")


class TimeLeft:
    """Without a limit until the instance stops."""

    def __init__(self) -> None:
        """No end is known yet."""
        self._until = math.inf
        self._waits: set[trio.CancelScope] = set()

    @property
    def is_ending(self) -> bool:
        """Whether nothing more should be begun."""
        return self._until < math.inf

    def end_in(self, seconds: float) -> None:
        """Let everything that is waited for end within ``seconds``."""
        self._until = trio.current_time() + seconds
        for wait in self._waits:
            wait.deadline = self._until

    async def wait(self, work: Awaitable[_Result], verdict: Verdict) -> _Result:
        """The result of ``work``.

        Raises StoppingError with ``verdict``, which says what the work may have done, when the time
        is over first.
        """
        scope = trio.CancelScope(deadline=self._until)
        self._waits.add(scope)
        try:
            with scope:
                return await work
        finally:
            self._waits.discard(scope)
        raise StoppingError(verdict)
