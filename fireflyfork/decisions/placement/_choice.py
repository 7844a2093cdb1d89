"""Chooses a worker for a task among a few with room, by what it would do to services there."""

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

_CANDIDATES = 6
_CANDIDATES_WHEN_SLOWED = 16
"""How many are looked at when none of the first is good enough."""
_HARMLESS_COST = 0.002
"""A candidate this cheap is taken at once, without looking for a better one."""
_PENALTY_FROM_RATIO = 0.6
_NEGLIGIBLE_SLOWDOWN = 1.01


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker with room, and what the task would do to the services on it."""

    entry: WorkerEntry
    cost: float
    """Replicas times the growth of the penalty on their predicted latency."""
    slowdown: float
    """The largest factor by which a service's tail is expected to grow."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What a start may do to services."""

    ratio: float
    """The highest p99 over the objective to which it may push one."""
    harm: float = float("inf")
    """How much, at most, a worker full of the class may slow a service there (logarithm)."""


NO_LIMITS = Limits(float("inf"))


@dataclass(frozen=True, slots=True)
class Choice:
    """The outcome of a search."""

    best: Candidate | None
    compared: int
    """How many workers with room were seen; with none best, whether there was room at all."""


class WorkerChoice:
    """Compares workers for one task."""

    def __init__(self, fleet: Fleet, interference: InterferenceModel) -> None:
        """Shares the policy's index and model."""
        self._fleet = fleet
        self._interference = interference

    def choose(
        self,
        need: Resources,
        task_class: TaskClass,
        accepts: Callable[[WorkerEntry], bool],
        limits: Limits,
        now: float,
    ) -> Choice:
        """The best of a few workers within the limits."""
        best: Candidate | None = None
        compared = 0
        for entry in self._candidates(need, accepts):
            compared += 1
            candidate = self.rate(entry, need, task_class, limits, now)
            if candidate is None:
                continue
            if best is None or candidate.cost < best.cost:
                best = candidate
            if best.cost <= _HARMLESS_COST or compared >= _CANDIDATES:
                break
        return Choice(best, compared)

    def _candidates(
        self, need: Resources, accepts: Callable[[WorkerEntry], bool]
    ) -> Iterator[WorkerEntry]:
        accepted = filter(accepts, self._fleet.with_room(need))
        return islice(accepted, _CANDIDATES_WHEN_SLOWED)

    def rate(
        self,
        entry: WorkerEntry,
        need: Resources,
        task_class: TaskClass,
        limits: Limits,
        now: float,
    ) -> Candidate | None:
        """What a task would do to the services on a worker; None beyond the limits."""
        if not entry.replicas:
            return Candidate(entry, 0.0, 1.0)
        share = max(need.millicores, 1) / max(entry.worker.capacity.millicores, 1)
        # The first of a class beside a service shows what it does there; until reports tell, more
        # of it would only make the harm larger.
        is_first = task_class not in entry.pending_by_class
        cost = 0.0
        slowdown = 1.0
        load = entry.expected_load()
        now_there = self._forecasts(entry, load, now)
        with_task = self._forecasts(entry, load + share, now)
        for before, forecast in zip(now_there, with_task, strict=True):
            estimate = forecast.estimate
            feared = estimate.feared_slope(task_class, now)
            if (estimate.slope(task_class, now) if is_first else feared) > limits.harm:
                return None
            after = forecast.ratio * math.exp(feared * share)
            if after <= before.ratio * _NEGLIGIBLE_SLOWDOWN:
                continue
            if after > limits.ratio:
                return None
            slowdown = max(slowdown, after / before.ratio)
            cost += forecast.replicas * (_penalty(after) - _penalty(before.ratio))
        return Candidate(entry, cost, slowdown)

    def note_start(
        self, entry: WorkerEntry, need: Resources, task_class: TaskClass, now: float
    ) -> None:
        """Bring the forecasts up to date, which costs less than computing them anew."""
        share = need.millicores / max(entry.worker.capacity.millicores, 1)
        for band, forecasts in entry.forecasts.items():
            entry.forecasts[band] = [
                replace(item, ratio=item.ratio * math.exp(slope * share)) if slope else item
                for item in forecasts
                for slope in (item.estimate.slope(task_class, now),)
            ]

    def _forecasts(self, entry: WorkerEntry, load: float, now: float) -> list[ServiceForecast]:
        """What to expect of the services on a worker, computed again only after a change."""
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
    return max(ratio - _PENALTY_FROM_RATIO, 0.0) ** 2
