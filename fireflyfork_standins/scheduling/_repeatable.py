"""Plays on a virtual clock that go the same way each time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from trio.testing import MockClock

_Result = TypeVar("_Result")


def run_repeatably(seed: int, play: Callable[[], Awaitable[_Result]]) -> _Result:
    """Run a play on a virtual clock. The same seed gives the same order of events."""
    # Trio shuffles the tasks that may run; without its own switch for that, a seed would not repeat.
    trio_run = vars(trio._core._run)
    trio_run["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    trio_run["_r"].seed(seed)

    async def main() -> _Result:
        return await play()

    return trio.run(main, clock=MockClock(autojump_threshold=0))
