"""Reports an instance's processor time by activity, its store calls and its transferred bytes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

import trio
from loguru import logger

from ..adapters import CoordinationStore, LoopProfile, RelayTraffic
from ._metrics import Metrics

REPORT_SECONDS = 10.0
PROFILE_SECONDS = 1.0
"""How long the loop is profiled in each report interval."""
ACTIVITIES_REPORTED = 12
"""Number of busiest activities that a report lists; the time of the remaining ones is summed."""
OTHERS = "others"


class LoopReport:
    """Logs a line every ``REPORT_SECONDS`` with a profile of the loop, and registers counters.

    The profile covers the last second of the interval.
    """

    def __init__(
        self,
        profile: LoopProfile,
        lag: Callable[[], float],
        store: CoordinationStore,
        relays: RelayTraffic,
        metrics: Metrics,
    ) -> None:
        """Register the gauges and counters; ``run`` starts reporting.

        ``lag`` returns how late the loop is in seconds.
        """
        self._profile = profile
        self._lag = lag
        self._calls = _CounterGrowth(lambda: store.calls)
        self._received = _CounterGrowth(lambda: store.bytes_received)
        self._sent = _CounterGrowth(lambda: store.bytes_sent)
        self._relay_received = _CounterGrowth(lambda: relays.received)
        self._relay_sent = _CounterGrowth(lambda: relays.sent)
        self._reported_spent: Mapping[str, float] = {}
        metrics.gauge("fireflyfork_loop_lag_seconds", lag)
        metrics.counters(
            "fireflyfork_loop_seconds_total", "activity", lambda: profile.seconds_by_activity
        )
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
            await trio.sleep(REPORT_SECONDS - PROFILE_SECONDS)
            started_at = trio.current_time()
            with self._profile.recording():
                await trio.sleep(PROFILE_SECONDS)
            self.report(trio.current_time() - started_at)

    def report(self, profiled_seconds: float) -> None:
        """Log the resource use since the last report; ``profiled_seconds`` of it were profiled."""
        spent = dict(self._profile.seconds_by_activity)
        seconds = {name: spent[name] - self._reported_spent.get(name, 0.0) for name in spent}
        logger.info(
            "loop time",
            looked_ms=round(1000 * profiled_seconds),
            spent_ms={
                name: round(1000 * activity_seconds)
                for name, activity_seconds in _busiest(seconds).items()
            },
            store_calls=self._calls.take(),
            store_received=self._received.take(),
            store_sent=self._sent.take(),
            relay_received=self._relay_received.take(),
            relay_sent=self._relay_sent.take(),
            lag_ms=round(1000 * self._lag()),
        )
        self._reported_spent = spent


class _CounterGrowth:
    """Computes the growth of counters between reports."""

    def __init__(self, counted: Callable[[], Mapping[str, int]]) -> None:
        """Start at zero; ``counted`` returns the totals since the start of the process."""
        self._counted = counted
        self._taken: Counter[str] = Counter()

    def take(self) -> dict[str, int]:
        """Return the growth since the last call, without the counters that haven't grown."""
        counted = Counter(self._counted())
        grown = counted - self._taken
        self._taken = counted
        return dict(grown)


def _busiest(seconds: dict[str, float]) -> dict[str, float]:
    ordered = sorted(seconds.items(), key=lambda item: -item[1])
    busiest = dict(ordered[:ACTIVITIES_REPORTED])
    if len(ordered) > ACTIVITIES_REPORTED:
        busiest[OTHERS] = sum(
            activity_seconds for _, activity_seconds in ordered[ACTIVITIES_REPORTED:]
        )
    return busiest
