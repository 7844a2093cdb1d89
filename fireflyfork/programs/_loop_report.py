"""Tells what an instance's processor time and its calls to the store went to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

import trio
from loguru import logger

from ..adapters import LoopProfile
from ._metrics import Metrics

REPORT_SECONDS = 10.0
LOOK_SECONDS = 1.0
"""Of each ten, the loop is looked at for so long."""
ACTIVITIES_REPORTED = 12
"""The busiest ones; what the others took is added up."""
OTHERS = "others"


class LoopReport:
    """A log line every few seconds, of what was seen in the last of them, and counters."""

    def __init__(
        self,
        profile: LoopProfile,
        lag: Callable[[], float],
        store_calls: Callable[[], Mapping[str, int]],
        metrics: Metrics,
    ) -> None:
        """``lag`` is the loop's in seconds; ``store_calls`` counts calls by purpose since the start."""
        self._profile = profile
        self._lag = lag
        self._store_calls = store_calls
        self._reported: Mapping[str, float] = {}
        self._calls_reported: Counter[str] = Counter()
        metrics.gauge("fireflyfork_loop_lag_seconds", lag)
        metrics.counters("fireflyfork_loop_seconds_total", "activity", lambda: profile.spent)
        metrics.counters("fireflyfork_store_calls_total", "purpose", store_calls)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await trio.sleep(REPORT_SECONDS - LOOK_SECONDS)
            begun = trio.current_time()
            with self._profile.looking():
                await trio.sleep(LOOK_SECONDS)
            self.report(trio.current_time() - begun)

    def report(self, looked_seconds: float) -> None:
        """Log what has been spent since the last report, while it looked for so long."""
        spent, calls = dict(self._profile.spent), Counter(self._store_calls())
        seconds = {name: spent[name] - self._reported.get(name, 0.0) for name in spent}
        logger.info(
            "loop time",
            looked_ms=round(1000 * looked_seconds),
            spent_ms={name: round(1000 * one) for name, one in _busiest(seconds).items()},
            store_calls=dict(calls - self._calls_reported),
            lag_ms=round(1000 * self._lag()),
        )
        self._reported, self._calls_reported = spent, calls


def _busiest(seconds: dict[str, float]) -> dict[str, float]:
    ordered = sorted(seconds.items(), key=lambda item: -item[1])
    busiest = dict(ordered[:ACTIVITIES_REPORTED])
    if len(ordered) > ACTIVITIES_REPORTED:
        busiest[OTHERS] = sum(one for _, one in ordered[ACTIVITIES_REPORTED:])
    return busiest
