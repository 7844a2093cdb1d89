"""Tells what an instance's processor time, its calls to the store and its bytes went to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

import trio
from loguru import logger

from ..adapters import CoordinationStore, LoopProfile, RelayTraffic
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
        store: CoordinationStore,
        relays: RelayTraffic,
        metrics: Metrics,
    ) -> None:
        """``lag`` is the loop's in seconds."""
        self._profile = profile
        self._lag = lag
        self._calls = _Growth(lambda: store.calls)
        self._received = _Growth(lambda: store.bytes_received)
        self._sent = _Growth(lambda: store.bytes_sent)
        self._relay_received = _Growth(lambda: relays.received)
        self._relay_sent = _Growth(lambda: relays.sent)
        self._reported: Mapping[str, float] = {}
        metrics.gauge("fireflyfork_loop_lag_seconds", lag)
        metrics.counters("fireflyfork_loop_seconds_total", "activity", lambda: profile.spent)
        metrics.counters("fireflyfork_store_calls_total", "purpose", lambda: store.calls)
        metrics.counters(
            "fireflyfork_store_received_bytes_total", "purpose", lambda: store.bytes_received
        )
        metrics.counters("fireflyfork_store_sent_bytes_total", "purpose", lambda: store.bytes_sent)
        metrics.counters(
            "fireflyfork_relay_received_bytes_total", "failure_domain", lambda: relays.received
        )
        metrics.counters(
            "fireflyfork_relay_sent_bytes_total", "failure_domain", lambda: relays.sent
        )

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
        spent = dict(self._profile.spent)
        seconds = {name: spent[name] - self._reported.get(name, 0.0) for name in spent}
        logger.info(
            "loop time",
            looked_ms=round(1000 * looked_seconds),
            spent_ms={name: round(1000 * one) for name, one in _busiest(seconds).items()},
            store_calls=self._calls.take(),
            store_received=self._received.take(),
            store_sent=self._sent.take(),
            relay_received=self._relay_received.take(),
            relay_sent=self._relay_sent.take(),
            lag_ms=round(1000 * self._lag()),
        )
        self._reported = spent


class _Growth:
    """What counters have grown by."""

    def __init__(self, counted: Callable[[], Mapping[str, int]]) -> None:
        """``counted`` tells the sums since the start."""
        self._counted = counted
        self._taken: Counter[str] = Counter()

    def take(self) -> dict[str, int]:
        """Since the last time; those that haven't grown are left out."""
        counted = Counter(self._counted())
        grown = counted - self._taken
        self._taken = counted
        return dict(grown)


def _busiest(seconds: dict[str, float]) -> dict[str, float]:
    ordered = sorted(seconds.items(), key=lambda item: -item[1])
    busiest = dict(ordered[:ACTIVITIES_REPORTED])
    if len(ordered) > ACTIVITIES_REPORTED:
        busiest[OTHERS] = sum(one for _, one in ordered[ACTIVITIES_REPORTED:])
    return busiest
