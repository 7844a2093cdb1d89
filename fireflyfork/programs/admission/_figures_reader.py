"""Reads the owners' figures of the work ahead while jobs arrive."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import trio
from loguru import logger

from ..._errors import StoreError
from ..._ids import ServiceName
from ...adapters import CoordinationStore
from ...decisions.jobs import StoredFormatError
from ...decisions.jobs.admission import WorkFigures, decode_figures
from .._clocks import Clock
from .._scheduling_keys import work_ahead_key

PRESSED_SECONDS = 1.0
"""Interval of reads while tasks wait for room. Each read costs a tenth of a call."""
IDLE_SECONDS = 3.0
"""Interval of reads otherwise. Jobs are refused a little later after a quiet time, which is safe."""
FORGOTTEN_SECONDS = 5.0
"""Time after which figures that were not renewed say nothing."""


@dataclass(frozen=True, slots=True)
class _Known:
    figures: WorkFigures
    seen_at: float
    """When this version was first read, in seconds."""


class FiguresReader:
    """The latest figures by service, read at most once a second and only while jobs arrive."""

    def __init__(self, store: CoordinationStore, clock: Clock) -> None:
        """Set up; ``run`` reads."""
        self._store = store
        self._clock = clock
        self._known: dict[ServiceName, _Known] = {}
        self._wanted: set[ServiceName] = set()
        self._requested = trio.Event()

    def latest(self, service: ServiceName) -> tuple[WorkFigures | None, float]:
        """Return the figures of a service and their age in ms, and request newer ones.

        The age is at least the time for which the version is known here: clocks may differ, and a
        read may return an old version again.
        """
        self._wanted.add(service)
        self._requested.set()
        known = self._known.get(service)
        if known is None:
            return None, 0.0
        known_ms = (self._clock.now() - known.seen_at) * 1000
        return known.figures, max(known_ms, self._clock.unix_ms() - known.figures.as_of_ms)

    def work_ahead_seconds(self) -> float:
        """Return how long the waiting work of the busiest service would take, as last read."""
        recent = self._recent_figures()
        return max(
            (each.waiting_work / each.rate / 1000 for each in recent if each.rate), default=0
        )

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            services, self._wanted = self._wanted, set()
            for service in sorted(services):
                await self._read(service)
            pressed = any(figures.is_pressed for figures in self._recent_figures())
            await trio.sleep(PRESSED_SECONDS if pressed else IDLE_SECONDS)

    def _recent_figures(self) -> Iterator[WorkFigures]:
        """Yield the figures that may still hold; an owner that is gone publishes no others."""
        oldest = self._clock.now() - FORGOTTEN_SECONDS
        return (known.figures for known in self._known.values() if known.seen_at >= oldest)

    async def _read(self, service: ServiceName) -> None:
        try:
            item = await self._store.read_stale(work_ahead_key(service))
            if item is not None:
                self._take(service, decode_figures(item.value))
        except (StoreError, StoredFormatError) as error:
            logger.debug("figures not read", service=service, error=str(error))

    def _take(self, service: ServiceName, figures: WorkFigures) -> None:
        known = self._known.get(service)
        if known is None or figures.version > known.figures.version:
            self._known[service] = _Known(figures, self._clock.now())
