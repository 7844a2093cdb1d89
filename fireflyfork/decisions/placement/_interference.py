"""Learns interference from delayed tail latency reports, per service, task class and load band."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..._ids import ServiceName
from ._classes import TaskClass

LOAD_BAND_EDGES = (0.4, 0.6, 0.8)
"""Boundaries of the load bands, as shares of a worker's processors."""
_NOISE_VARIANCE = 0.04
"""Variance of the logarithm of one reported p99, which is measured over few requests."""
_INTERCEPT_VARIANCE = 0.25
"""Initial variance of an intercept."""
_MAX_INITIAL_INTERCEPT = math.log(0.7)
"""Upper bound of the initial intercept. A service is assumed to meet its objective when alone."""
_SLOPE_VARIANCE = 4.0
"""Variance of the slope of a pair without measurements."""
_BORROWED_VARIANCE = 1.0
"""Minimum initial variance of a slope that is copied from another load band."""
_MIN_INTERCEPT_VARIANCE = 0.0005
_MIN_SLOPE_VARIANCE = 0.05
"""Minimum variances. A filter without covariances would become overconfident too early."""
_VARIANCE_PER_SECOND = 2e-6
"""Growth of a slope's variance, since tasks and load change over time."""
_MAX_ERROR = 1.0
"""Bound on the prediction error of one report, which limits the effect of outliers."""
_MAX_PAIRS = 512
"""Maximum number of classes kept for each service and load band."""
_PESSIMISM_DEVIATIONS = 0.5
"""Standard deviations that are added to a slope before a task is placed next to a service."""
_PESSIMISTIC_SLOPE_WHEN_UNKNOWN = _PESSIMISM_DEVIATIONS * math.sqrt(_SLOPE_VARIANCE)
_HALF_LIFE_SECONDS = 6 * 3600.0
"""Half-life of a slope without new reports, so that a class that was improved is tried again."""
_MIN_LATENCY_RATIO = 0.01


def load_band(load: float) -> int:
    """Return the index of the band of a processor load."""
    return sum(load >= edge for edge in LOAD_BAND_EDGES)


@dataclass(slots=True)
class PairEstimate:
    """The estimated effect of a task class on the tail latency of a service."""

    slope: float
    """The increase of the logarithm of the tail latency by a worker full of tasks of the class."""
    variance: float
    learned_at: float
    """The time of the last report that the slope was updated with."""


@dataclass(slots=True)
class BandEstimate:
    """The estimates for one service in one load band."""

    intercept: float
    """The logarithm of the ratio of p99 latency to objective without neighbours."""
    intercept_variance: float = _INTERCEPT_VARIANCE
    reports: int = 0
    pairs: dict[TaskClass, PairEstimate] = field(default_factory=dict)

    def slope(self, task_class: TaskClass, now: float) -> float:
        """Return the increase of the log of the tail ratio by a worker full of the class."""
        pair = self.pairs.get(task_class)
        return 0.0 if pair is None else _decayed_slope(pair, now)

    def pessimistic_slope(self, task_class: TaskClass, now: float) -> float:
        """Return the slope plus a part of its standard deviation."""
        pair = self.pairs.get(task_class)
        if pair is None:
            return _PESSIMISTIC_SLOPE_WHEN_UNKNOWN
        return _decayed_slope(pair, now) + _PESSIMISM_DEVIATIONS * math.sqrt(pair.variance)


class InterferenceModel:
    """Predicts the ratio of a service's p99 latency to its objective from neighbouring classes.

    The logarithm of the ratio is modelled as an intercept plus, for each neighbouring class, a
    non-negative slope times the share of the worker's processors that the class uses. Each estimate
    has a variance, and a report corrects all estimates in proportion to share and variance (a
    Kalman filter that keeps only the diagonal of the covariance matrix). A single report doesn't
    show which neighbour interferes, but reports with different mixes do. Estimates with a low
    variance change little.
    """

    def __init__(self) -> None:
        """Start without estimates. The slope of a pair without measurements is 0."""
        self._bands: dict[tuple[ServiceName, int], BandEstimate] = {}

    def learn(
        self,
        service: ServiceName,
        load: float,
        shares: Mapping[TaskClass, float],
        latency_ratio: float,
        now: float,
    ) -> None:
        """Update the estimates with one report.

        ``latency_ratio`` is the ratio of p99 latency to objective; ``shares`` are the shares of the
        worker that the neighbouring classes used.
        """
        log_ratio = math.log(max(latency_ratio, _MIN_LATENCY_RATIO))
        band = self._band(service, load_band(load), log_ratio)
        band.reports += 1
        neighbours = [(self._pair(band, name, now), share) for name, share in shares.items()]
        expected = band.intercept + sum(pair.slope * share for pair, share in neighbours)
        error = min(max(log_ratio - expected, -_MAX_ERROR), _MAX_ERROR)
        total_variance = band.intercept_variance + _NOISE_VARIANCE
        total_variance += sum(pair.variance * share * share for pair, share in neighbours)
        gain = band.intercept_variance / total_variance
        band.intercept += gain * error
        band.intercept_variance = max(
            (1.0 - gain) * band.intercept_variance, _MIN_INTERCEPT_VARIANCE
        )
        for pair, share in neighbours:
            gain = pair.variance * share / total_variance
            pair.slope = max(pair.slope + gain * error, 0.0)
            pair.variance = max((1.0 - gain * share) * pair.variance, _MIN_SLOPE_VARIANCE)

    def added_log_ratio(
        self, service: ServiceName, load: float, task_class: TaskClass, share: float, now: float
    ) -> float:
        """Return the log increase of the tail ratio if the class uses ``share`` of a worker."""
        band = self._nearest_band(service, load_band(load))
        if band is None:
            return 0.0
        pair = band.pairs.get(task_class)
        return 0.0 if pair is None else share * _decayed_slope(pair, now)

    def estimate(self, service: ServiceName, load: float) -> BandEstimate | None:
        """Return the estimates for a service at a load, or None without any measurement."""
        return self._nearest_band(service, load_band(load))

    def reports(self, service: ServiceName, load: float) -> int:
        """Return the number of reports about the service in the band of ``load``."""
        band = self._bands.get((service, load_band(load)))
        return 0 if band is None else band.reports

    def predicted_ratio(
        self, service: ServiceName, load: float, shares: Mapping[TaskClass, float], now: float
    ) -> float:
        """Predict the ratio of p99 latency to objective; 0 if the service was never measured."""
        band = self._nearest_band(service, load_band(load))
        return 0.0 if band is None else math.exp(self._predicted_log_ratio(band, shares, now))

    def _predicted_log_ratio(
        self, band: BandEstimate, shares: Mapping[TaskClass, float], now: float
    ) -> float:
        pairs = band.pairs
        total = band.intercept
        for task_class, share in shares.items():
            pair = pairs.get(task_class)
            if pair is not None:
                total += share * _decayed_slope(pair, now)
        return total

    def _pair(self, band: BandEstimate, task_class: TaskClass, now: float) -> PairEstimate:
        pair = band.pairs.get(task_class)
        if pair is None:
            _drop_oldest(band.pairs)
            pair = band.pairs[task_class] = PairEstimate(0.0, _SLOPE_VARIANCE, now)
            return pair
        pair.slope = _decayed_slope(pair, now)
        pair.variance += (now - pair.learned_at) * _VARIANCE_PER_SECOND
        pair.learned_at = now
        return pair

    def _band(self, service: ServiceName, band: int, log_ratio: float) -> BandEstimate:
        existing = self._bands.get((service, band))
        if existing is not None:
            return existing
        nearest = self._nearest_band(service, band)
        # A service is assumed to meet its objective when alone. If the intercept were initialized
        # with the first report, the effect of a neighbour that is present from the start would be
        # attributed to the service itself forever.
        estimate = BandEstimate(min(log_ratio, _MAX_INITIAL_INTERCEPT))
        if nearest is not None:
            estimate.intercept = nearest.intercept
            estimate.pairs = {
                name: PairEstimate(
                    pair.slope, max(pair.variance, _BORROWED_VARIANCE), pair.learned_at
                )
                for name, pair in nearest.pairs.items()
            }
        self._bands[(service, band)] = estimate
        return estimate

    def _nearest_band(self, service: ServiceName, band: int) -> BandEstimate | None:
        """Return the estimates of the band, or else of the nearest band with measurements."""
        for distance in range(len(LOAD_BAND_EDGES) + 1):
            for candidate in (band - distance, band + distance):
                estimate = self._bands.get((service, candidate))
                if estimate is not None:
                    return estimate
        return None


def _drop_oldest(pairs: dict[TaskClass, PairEstimate]) -> None:
    """Bound memory when classes don't recur, as when each job has a class of its own."""
    if len(pairs) < _MAX_PAIRS:
        return
    by_age = sorted(pairs, key=lambda name: pairs[name].learned_at)
    for name in by_age[: _MAX_PAIRS // 2]:
        del pairs[name]


def _decayed_slope(pair: PairEstimate, now: float) -> float:
    age = now - pair.learned_at
    if age < 60.0:
        return pair.slope
    return pair.slope * float(0.5 ** (age / _HALF_LIFE_SECONDS))
