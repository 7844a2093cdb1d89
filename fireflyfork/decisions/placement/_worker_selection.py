"""Selects a worker for a task by the expected effect of the task on services."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import islice

from ..._machines import Resources
from ._classes import TaskClass
from ._fleet import Fleet
from ._interference import BandEstimate, InterferenceModel, load_band
from ._worker_entries import ServiceForecast, WorkerEntry

_ENOUGH_CANDIDATES = 6
"""The number of workers to examine if at least one of them is within the limits."""
_MAX_CANDIDATES = 16
"""The maximum number of workers to examine if none of them is within the limits."""
_NEGLIGIBLE_COST = 0.002
"""A candidate with at most this cost is selected without comparing further workers."""
_PENALTY_MIN_RATIO = 0.6
"""Ratios of p99 latency to objective up to this value have no cost."""
_NEGLIGIBLE_SLOWDOWN = 1.01
"""Services that the task slows by no more than this factor are ignored."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker with room, and the expected effect of the task on its services."""

    entry: WorkerEntry
    cost: float
    """The increase of the latency penalty, summed over the replicas on the worker."""
    slowdown: float
    """The largest factor by which the tail latency of a service is expected to grow."""


@dataclass(frozen=True, slots=True)
class InterferenceLimits:
    """Limits on the effect that a started task may have on services."""

    max_ratio: float
    """The maximum predicted ratio of a service's p99 latency to its objective."""
    max_slope: float = float("inf")
    """The maximum increase of the logarithm of a service's tail latency that a worker full of tasks
    of the class would cause."""


NO_LIMITS = InterferenceLimits(float("inf"))


@dataclass(frozen=True, slots=True)
class Selection:
    """The result of a search for a worker."""

    best: Candidate | None
    """The cheapest candidate within the limits, or None if there is none."""
    compared: int
    """The number of workers with room that were examined. If ``best`` is None, 0 means that no
    worker has room."""


class WorkerSelector:
    """Selects workers for tasks by the predicted latency of services."""

    def __init__(self, fleet: Fleet, interference: InterferenceModel) -> None:
        """Use the fleet index and the interference model of the policy, which change over time."""
        self._fleet = fleet
        self._interference = interference

    def choose(
        self,
        need: Resources,
        task_class: TaskClass,
        accepts: Callable[[WorkerEntry], bool],
        limits: InterferenceLimits,
        now: float,
    ) -> Selection:
        """Return the cheapest of a few accepted workers with room that are within the limits."""
        best: Candidate | None = None
        compared = 0
        for entry in self._candidates(need, accepts):
            compared += 1
            candidate = self.evaluate(entry, need, task_class, limits, now)
            if candidate is None:
                continue
            if best is None or candidate.cost < best.cost:
                best = candidate
            if best.cost <= _NEGLIGIBLE_COST or compared >= _ENOUGH_CANDIDATES:
                break
        return Selection(best, compared)

    def _candidates(
        self, need: Resources, accepts: Callable[[WorkerEntry], bool]
    ) -> Iterator[WorkerEntry]:
        accepted = filter(accepts, self._fleet.with_room(need))
        return islice(accepted, _MAX_CANDIDATES)

    def evaluate(
        self,
        entry: WorkerEntry,
        need: Resources,
        task_class: TaskClass,
        limits: InterferenceLimits,
        now: float,
    ) -> Candidate | None:
        """Predict the effect of a task on the services of a worker.

        Return None if the effect exceeds the limits.
        """
        if not entry.replicas:
            return Candidate(entry, 0.0, 1.0)
        share = max(need.millicores, 1) / max(entry.worker.capacity.millicores, 1)
        # The first task of a class next to a service shows the effect of the class there. Until it
        # has been reported, further tasks of the class could only increase the harm, so they are
        # judged by the pessimistic slope.
        is_first = task_class not in entry.pending_by_class
        cost = 0.0
        slowdown = 1.0
        load = entry.expected_load()
        current = self._forecasts(entry, load, now)
        with_task = self._forecasts(entry, load + share, now)
        for before, forecast in zip(current, with_task, strict=True):
            estimate = forecast.estimate
            pessimistic_slope = estimate.pessimistic_slope(task_class, now)
            if (
                estimate.slope(task_class, now) if is_first else pessimistic_slope
            ) > limits.max_slope:
                return None
            after = forecast.ratio * math.exp(pessimistic_slope * share)
            if after <= before.ratio * _NEGLIGIBLE_SLOWDOWN:
                continue
            if after > limits.max_ratio:
                return None
            slowdown = max(slowdown, after / before.ratio)
            cost += forecast.replicas * (_penalty(after) - _penalty(before.ratio))
        return Candidate(entry, cost, slowdown)

    def record_start(
        self, entry: WorkerEntry, need: Resources, task_class: TaskClass, now: float
    ) -> None:
        """Update a worker's forecasts for a start, which is cheaper than recomputing them."""
        share = need.millicores / max(entry.worker.capacity.millicores, 1)
        for band, forecasts in entry.forecasts.items():
            entry.forecasts[band] = [
                replace(item, ratio=item.ratio * math.exp(slope * share)) if slope else item
                for item in forecasts
                for slope in (item.estimate.slope(task_class, now),)
            ]

    def _forecasts(self, entry: WorkerEntry, load: float, now: float) -> list[ServiceForecast]:
        """Return the forecasts for a worker's services, cached until the worker changes."""
        band = load_band(load)
        if band not in entry.forecasts:
            entry.forecasts[band] = list(self._forecast(entry, load, now))
        return entry.forecasts[band]

    def _forecast(self, entry: WorkerEntry, load: float, now: float) -> Iterator[ServiceForecast]:
        shares = entry.expected_shares()
        for service, replicas in entry.replicas.items():
            estimate = self._interference.estimate(service, load)
            ratio = 0.0
            if estimate is None:
                estimate = BandEstimate(0.0)
            else:
                ratio = self._interference.predicted_ratio(service, load, shares, now)
            yield ServiceForecast(replicas, ratio, estimate)


def _penalty(ratio: float) -> float:
    return max(ratio - _PENALTY_MIN_RATIO, 0.0) ** 2
