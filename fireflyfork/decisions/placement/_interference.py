"""Interference learned from lagging tail latency, per pair of classes and band of load."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..._ids import ServiceName
from ._classes import TaskClass

LOAD_BAND_EDGES = (0.4, 0.6, 0.8)
"""Processor load, as a share of the worker, at which one band ends and the next begins."""
_LEARNING_RATE = 0.25
_INTERCEPT_INPUT = 0.3
"""The fixed input of the latency without neighbours; small, so that neighbours explain first."""
_SMALLEST_NORM = 0.02
"""Keeps a tiny neighbour from taking the whole blame for a noisy report."""
_LARGEST_ERROR = 1.0
"""One report, however bad, moves an estimate by no more than this (natural logarithm)."""
_HALF_LIFE_SECONDS = 6 * 3600.0
"""An estimate that nothing refreshes fades, so that a class that was mended gets a new trial."""
_SMALLEST_LATENCY_RATIO = 0.01


def load_band(load: float) -> int:
    """The band of a processor load."""
    return sum(load >= edge for edge in LOAD_BAND_EDGES)


@dataclass(slots=True)
class _PairEstimate:
    """By how much a worker full of the class raises the logarithm of the service's tail."""

    slope: float
    learned_at: float


@dataclass(slots=True)
class _BandEstimate:
    """What is known of one service in one band of load."""

    intercept: float
    reports: int = 0
    pairs: dict[TaskClass, _PairEstimate] = field(default_factory=dict)


class InterferenceModel:
    """Predicts a service's p99 over its objective from the classes beside it.

    The logarithm of the ratio is taken as an intercept plus, for each neighbouring class, a
    non-negative slope times the share of the worker's processors it holds. One report corrects
    all of them at once by normalized least mean squares, in proportion to their shares, so no
    report needs to tell which neighbour was at fault; reports of differing mixes do.
    """

    def __init__(self) -> None:
        """Start without any estimate: unknown pairs are held harmless until measured."""
        self._bands: dict[tuple[ServiceName, int], _BandEstimate] = {}

    def learn(
        self,
        service: ServiceName,
        load: float,
        shares: Mapping[TaskClass, float],
        latency_ratio: float,
        now: float,
    ) -> None:
        """Take in one report: p99 over objective, beside neighbours with these shares."""
        measured = math.log(max(latency_ratio, _SMALLEST_LATENCY_RATIO))
        band = self._band(service, load_band(load), measured)
        band.reports += 1
        error = measured - self._explain(band, shares, now)
        error = min(max(error, -_LARGEST_ERROR), _LARGEST_ERROR)
        norm = _INTERCEPT_INPUT**2 + sum(share * share for share in shares.values())
        step = _LEARNING_RATE * error / (norm + _SMALLEST_NORM)
        band.intercept += step * _INTERCEPT_INPUT
        for task_class, share in shares.items():
            self._correct(band, task_class, step * share, now)

    def added(
        self, service: ServiceName, load: float, task_class: TaskClass, share: float, now: float
    ) -> float:
        """What ``share`` of a worker for the class adds to the logarithm of the tail ratio."""
        band = self._nearest(service, load_band(load))
        if band is None:
            return 0.0
        pair = band.pairs.get(task_class)
        return 0.0 if pair is None else share * _faded(pair, now)

    def reports(self, service: ServiceName, load: float) -> int:
        """How many reports there were about the service in this band of load."""
        band = self._bands.get((service, load_band(load)))
        return 0 if band is None else band.reports

    def predicted_ratio(
        self, service: ServiceName, load: float, shares: Mapping[TaskClass, float], now: float
    ) -> float:
        """The p99 over the objective to expect; 0 when nothing is known of the service."""
        band = self._nearest(service, load_band(load))
        return 0.0 if band is None else math.exp(self._explain(band, shares, now))

    def _explain(self, band: _BandEstimate, shares: Mapping[TaskClass, float], now: float) -> float:
        pairs = band.pairs
        total = band.intercept
        for task_class, share in shares.items():
            pair = pairs.get(task_class)
            if pair is not None:
                total += share * _faded(pair, now)
        return total

    def _correct(
        self, band: _BandEstimate, task_class: TaskClass, change: float, now: float
    ) -> None:
        pair = band.pairs.get(task_class)
        if pair is None:
            if change > 0.0:
                band.pairs[task_class] = _PairEstimate(change, now)
            return
        pair.slope = max(_faded(pair, now) + change, 0.0)
        pair.learned_at = now

    def _band(self, service: ServiceName, band: int, measured: float) -> _BandEstimate:
        found = self._bands.get((service, band))
        if found is not None:
            return found
        neighbour = self._nearest(service, band)
        created = _BandEstimate(measured)
        if neighbour is not None:
            created.intercept = neighbour.intercept
            created.pairs = {
                name: _PairEstimate(pair.slope, pair.learned_at)
                for name, pair in neighbour.pairs.items()
            }
        self._bands[(service, band)] = created
        return created

    def _nearest(self, service: ServiceName, band: int) -> _BandEstimate | None:
        """The estimate of the band itself or of the nearest one that was ever measured."""
        for distance in range(len(LOAD_BAND_EDGES) + 1):
            for candidate in (band - distance, band + distance):
                found = self._bands.get((service, candidate))
                if found is not None:
                    return found
        return None


def _faded(pair: _PairEstimate, now: float) -> float:
    age = now - pair.learned_at
    if age < 60.0:
        return pair.slope
    return pair.slope * float(0.5 ** (age / _HALF_LIFE_SECONDS))
