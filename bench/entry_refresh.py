"""Measures how the cost of a change grows with the targets: ``python -m bench.entry_refresh``.

One entry owns all targets, the other owns none. Each applies a new configuration and then a change
of ownership that affects none of its targets.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import trio

from fireflyfork import Configuration, TargetId
from fireflyfork.programs.tests.builders_entries import RunningEntry, running_fleet

SIZES = (1_000, 5_000, 11_000)
REPEATS = 5


async def run() -> None:
    """Measure both entries at each number of targets and print the times."""
    async with running_fleet(entries=2) as fleet:
        for size in SIZES:
            configuration = _with_targets(fleet.configuration, size)
            for name, entry in zip(("owner of all", "owner of none"), fleet.entries, strict=True):
                first = _milliseconds(partial(entry.entry.configure, configuration))
                again = sorted(_refresh_milliseconds(entry) for _ in range(REPEATS))[REPEATS // 2]
                print(
                    f"{size:6} targets, {name}: first {first:.1f} ms, "
                    f"each further change {again:.1f} ms (median of {REPEATS})"
                )


def _refresh_milliseconds(entry: RunningEntry) -> float:
    return _milliseconds(entry.entry.refresh)


def _milliseconds(call: Callable[[], None]) -> float:
    begun = time.perf_counter()
    call()
    return (time.perf_counter() - begun) * 1000


def _with_targets(configuration: Configuration, count: int) -> Configuration:
    model = configuration.targets[0]
    targets = tuple(replace(model, target_id=TargetId(f"t{number}")) for number in range(count))
    return replace(configuration, targets=targets)


def main() -> None:
    """Run the measurement."""
    trio.run(run)


if __name__ == "__main__":
    main()
