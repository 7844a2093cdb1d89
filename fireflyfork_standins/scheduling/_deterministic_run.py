"""Deterministic runs of trio programs on a virtual clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from trio.testing import MockClock

_Result = TypeVar("_Result")


def run_deterministically(seed: int, play: Callable[[], Awaitable[_Result]]) -> _Result:
    """Run ``play`` on a virtual clock. The same seed gives the same order of events."""
    # Trio shuffles the runnable tasks, so a seed alone doesn't make a run repeatable. This private
    # switch of trio sorts them before the shuffle.
    trio_run = vars(trio._core._run)
    trio_run["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    trio_run["_r"].seed(seed)

    async def main() -> _Result:
        return await play()

    return trio.run(main, clock=MockClock(autojump_threshold=0))
