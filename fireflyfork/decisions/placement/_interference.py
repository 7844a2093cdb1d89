"""Interference learned from lagging tail latency, per pair of classes and band of load."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..._ids import ServiceName
from ._classes import TaskClass

LOAD_BAND_EDGES = (0.4, 0.6, 0.8)
"""Processor load, as a share of the worker, at which one band ends and the next begins."""
_NOISE_VARIANCE = 0.04
"""Of the logarithm of one reported p99: it is measured over few requests."""
_INTERCEPT_VARIANCE = 0.25
_HIGHEST_FIRST_INTERCEPT = math.log(0.7)
_SLOPE_VARIANCE = 4.0
"""Of a pair never measured."""
_BORROWED_VARIANCE = 1.0
"""Of a pair measured in another band of load only."""
_LEAST_INTERCEPT_VARIANCE = 0.0005
_LEAST_SLOPE_VARIANCE = 0.05
"""Floors, since a filter that keeps no covariances believes itself too soon."""
_VARIANCE_PER_SECOND = 2e-6
"""What was learned is trusted less as time passes, since work and load change."""
_LARGEST_ERROR = 1.0
"""One report, however bad, moves estimates as if it were off by no more than this."""
_MOST_PAIRS = 512
"""Classes remembered for each service and band of load."""
_DOUBT = 0.5
"""Standard deviations added before work is started beside a service it may harm."""
_FEARED_WHEN_UNKNOWN = _DOUBT * math.sqrt(_SLOPE_VARIANCE)
_HALF_LIFE_SECONDS = 6 * 3600.0
"""An estimate that nothing refreshes fades, so that a class that was mended gets a new trial."""
_SMALLEST_LATENCY_RATIO = 0.01


def load_band(load: float) -> int:
    """The band of a processor load."""
    return sum(load >= edge for edge in LOAD_BAND_EDGES)


@dataclass(slots=True)
class PairEstimate:
    """By how much a worker full of the class raises the logarithm of the service's tail."""

    slope: float
    variance: float
    learned_at: float


@dataclass(slots=True)
class BandEstimate:
    """What is known of one service in one band of load."""

    intercept: float
    intercept_variance: float = _INTERCEPT_VARIANCE
    reports: int = 0
    pairs: dict[TaskClass, PairEstimate] = field(default_factory=dict)

    def slope(self, task_class: TaskClass, now: float) -> float:
        """What a worker full of the class would add to the logarithm of the tail ratio."""
        pair = self.pairs.get(task_class)
        return 0.0 if pair is None else _faded(pair, now)

    def feared_slope(self, task_class: TaskClass, now: float) -> float:
        """The same in doubt, with a part of its standard deviation."""
        pair = self.pairs.get(task_class)
        if pair is None:
            return _FEARED_WHEN_UNKNOWN
        return _faded(pair, now) + _DOUBT * math.sqrt(pair.variance)


class InterferenceModel:
    """Predicts a service's p99 over its objective from the classes beside it.

    The logarithm of the ratio is taken as an intercept plus, for each neighbouring class, a
    non-negative slope times the share of the worker's processors it holds. Each estimate has a
    variance, and one report corrects all of them at once, in proportion to share and variance (a
    Kalman filter that keeps only the diagonal). No report needs to tell which neighbour was at
    fault; reports of differing mixes do, and what is well known stays put.
    """

    def __init__(self) -> None:
        """Start without any estimate: unknown pairs are held harmless until measured."""
        self._bands: dict[tuple[ServiceName, int], BandEstimate] = {}

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
        neighbours = [(self._pair(band, name, now), share) for name, share in shares.items()]
        expected = band.intercept + sum(pair.slope * share for pair, share in neighbours)
        error = min(max(measured - expected, -_LARGEST_ERROR), _LARGEST_ERROR)
        spread = band.intercept_variance + _NOISE_VARIANCE
        spread += sum(pair.variance * share * share for pair, share in neighbours)
        gain = band.intercept_variance / spread
        band.intercept += gain * error
        band.intercept_variance = max(
            (1.0 - gain) * band.intercept_variance, _LEAST_INTERCEPT_VARIANCE
        )
        for pair, share in neighbours:
            gain = pair.variance * share / spread
            pair.slope = max(pair.slope + gain * error, 0.0)
            pair.variance = max((1.0 - gain * share) * pair.variance, _LEAST_SLOPE_VARIANCE)

    def added(
        self, service: ServiceName, load: float, task_class: TaskClass, share: float, now: float
    ) -> float:
        """What ``share`` of a worker for the class adds to the logarithm of the tail ratio."""
        band = self._nearest(service, load_band(load))
        if band is None:
            return 0.0
        pair = band.pairs.get(task_class)
        return 0.0 if pair is None else share * _faded(pair, now)

    def estimate(self, service: ServiceName, load: float) -> BandEstimate | None:
        """All that is known of a service at a load; None when nothing was measured."""
        return self._nearest(service, load_band(load))

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

    def _explain(self, band: BandEstimate, shares: Mapping[TaskClass, float], now: float) -> float:
        pairs = band.pairs
        total = band.intercept
        for task_class, share in shares.items():
            pair = pairs.get(task_class)
            if pair is not None:
                total += share * _faded(pair, now)
        return total

    def _pair(self, band: BandEstimate, task_class: TaskClass, now: float) -> PairEstimate:
        pair = band.pairs.get(task_class)
        if pair is None:
            _drop_oldest(band.pairs)
            pair = band.pairs[task_class] = PairEstimate(0.0, _SLOPE_VARIANCE, now)
            return pair
        pair.slope = _faded(pair, now)
        pair.variance += (now - pair.learned_at) * _VARIANCE_PER_SECOND
        pair.learned_at = now
        return pair

    def _band(self, service: ServiceName, band: int, measured: float) -> BandEstimate:
        found = self._bands.get((service, band))
        if found is not None:
            return found
        neighbour = self._nearest(service, band)
        # A service is taken to keep its objective alone. Were the first report taken as it stands,
        # a neighbour present from the first would pass for the service's own latency for good.
        created = BandEstimate(min(measured, _HIGHEST_FIRST_INTERCEPT))
        if neighbour is not None:
            created.intercept = neighbour.intercept
            created.pairs = {
                name: PairEstimate(
                    pair.slope, max(pair.variance, _BORROWED_VARIANCE), pair.learned_at
                )
                for name, pair in neighbour.pairs.items()
            }
        self._bands[(service, band)] = created
        return created

    def _nearest(self, service: ServiceName, band: int) -> BandEstimate | None:
        """The estimate of the band itself or of the nearest one that was ever measured."""
        for distance in range(len(LOAD_BAND_EDGES) + 1):
            for candidate in (band - distance, band + distance):
                found = self._bands.get((service, candidate))
                if found is not None:
                    return found
        return None


def _drop_oldest(pairs: dict[TaskClass, PairEstimate]) -> None:
    """Keep memory bounded where classes don't recur: each job of a day could be one."""
    if len(pairs) < _MOST_PAIRS:
        return
    by_age = sorted(pairs, key=lambda name: pairs[name].learned_at)
    for name in by_age[: _MOST_PAIRS // 2]:
        del pairs[name]


def _faded(pair: PairEstimate, now: float) -> float:
    age = now - pair.learned_at
    if age < 60.0:
        return pair.slope
    return pair.slope * float(0.5 ** (age / _HALF_LIFE_SECONDS))
