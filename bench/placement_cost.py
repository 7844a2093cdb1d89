"""Measures how the cost of the placement policy grows with the fleet.

``python -m bench.placement_cost`` prints processor time per start, report and round, and memory.
Only calls of the policy are timed.
"""

from __future__ import annotations

import gc
import math
import random
import time
import tracemalloc
from collections import Counter, defaultdict

import defopt

from fireflyfork import Weights
from fireflyfork.decisions._placement_policy import (
    Observation,
    PlacementCommand,
    PlacementPolicy,
    PlacementView,
    SamplesTaken,
    Start,
)
from fireflyfork.decisions._task_changes import AttemptOutcome
from fireflyfork.decisions.placement import InterferenceAwarePolicy

from ._worker_model import Site, WorkerModel

_SIZES = (24, 33, 400, 1600)
_BATCH_PER_WORKER = 19
_REPLICAS_PER_WORKER = 7
_STARTS_PER_WORKER_AND_SECOND = 1.0
_ROUND_SECONDS = 0.1
_ROUNDS = 100
_REPORT_ROUNDS = 50
_MAX_FILL_ROUNDS = 80
_FILL_ROUND_SECONDS = 5.0
_SEED = 11


class TimedPolicy(PlacementPolicy):
    """Forwards all calls to another policy and records their processor time by kind of call."""

    def __init__(self, inner: PlacementPolicy) -> None:
        """Record the processor time of ``inner``."""
        self._inner = inner
        self.seconds: defaultdict[str, float] = defaultdict(float)
        self.calls: Counter[str] = Counter()

    def observe(self, observation: Observation) -> TimedPolicy:
        """Forward the observation and record its processor time."""
        kind = type(observation).__name__
        began = time.process_time()
        self._inner = self._inner.observe(observation)
        self.seconds[kind] += time.process_time() - began
        self.calls[kind] += len(observation.samples) if isinstance(observation, SamplesTaken) else 1
        return self

    def decide(self, view: PlacementView) -> tuple[PlacementCommand, ...]:
        """Forward the call and record its processor time and the number of starts."""
        began = time.process_time()
        commands = self._inner.decide(view)
        self.seconds["decide"] += time.process_time() - began
        self.calls["decide"] += 1
        self.calls["starts"] += sum(isinstance(command, Start) for command in commands)
        return commands

    def microseconds(self, kind: str, per: str) -> float:
        """Return the processor time of calls of ``kind``, divided by the count of ``per``."""
        return 1e6 * self.seconds[kind] / max(self.calls[per], 1)

    def reset(self) -> None:
        """Clear all counts."""
        self.seconds.clear()
        self.calls.clear()


def _site(workers: int) -> Site:
    return Site(
        f"{workers}",
        workers,
        32,
        120,
        10,
        min(16, workers // 10 + 1),
        Weights(),
        services=max(4, workers // 20),
        batch_classes=max(8, workers // 8),
        replicas_per_worker=_REPLICAS_PER_WORKER,
        replica_share=0.05,
        batch_scale=0.2,
        noisy_pair_share=0.02,
    )


class _SteadyFleet:
    """A fleet at its full number of tasks, with as many starts as ends."""

    def __init__(self, workers: int) -> None:
        self._rng = random.Random(_SEED)
        self._site = _site(workers)
        self.policy = TimedPolicy(InterferenceAwarePolicy())
        self._model = WorkerModel(self._site, self.policy, _SEED)

    def fill(self) -> None:
        """Start all replicas, and batch tasks up to the intended number of running tasks."""
        self._model.submit_replicas()
        for _ in range(_MAX_FILL_ROUNDS):
            missing = self._intended_count() - len(self._model.running)
            if missing <= 0:
                break
            unplaced = missing - self._model.waiting_count()
            if unplaced > 0:
                self._model.submit_random_tasks(min(unplaced, 2 * self._site.workers), self._rng)
            self._model.run_round(_FILL_ROUND_SECONDS)
            self._model.report_at_once()
        self._model.drop_waiting()

    def churn(self, rounds: int) -> None:
        """End and submit tasks at the peak rate, with a report every five seconds."""
        tasks_per_round = round(_STARTS_PER_WORKER_AND_SECOND * _ROUND_SECONDS * self._site.workers)
        for number in range(rounds):
            self._model.end_random_runs(max(tasks_per_round, 1), self._rng, AttemptOutcome.FINISHED)
            self._model.submit_random_tasks(max(tasks_per_round, 1), self._rng)
            self._model.run_round(_ROUND_SECONDS)
            if number % _REPORT_ROUNDS == 0:
                self._model.report_at_once()

    def idle_round(self) -> float:
        """Return the microseconds of a round in which no task waits."""
        self._model.drop_waiting()
        self.policy.reset()
        for _ in range(20):
            self._model.run_round(_ROUND_SECONDS)
        return self.policy.microseconds("decide", "decide")

    def _intended_count(self) -> int:
        return self._site.workers * (_BATCH_PER_WORKER + _REPLICAS_PER_WORKER)

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._model.running)


def _memory(workers: int) -> tuple[float, float]:
    """Return the kilobytes that the policy holds per worker and per running task."""
    gc.collect()
    tracemalloc.start()
    view_only = InterferenceAwarePolicy()
    model = WorkerModel(_site(workers), view_only, _SEED)
    filters = (tracemalloc.Filter(True, "*/decisions/placement/*"),)
    view_only.decide(model.view())
    empty = _traced(filters)
    bench = _SteadyFleet(workers)
    bench.fill()
    full = _traced(filters) - empty
    tracemalloc.stop()
    return empty / workers / 1000, full / max(bench.running, 1) / 1000


def _traced(filters: tuple[tracemalloc.Filter, ...]) -> float:
    snapshot = tracemalloc.take_snapshot().filter_traces(filters)
    return float(sum(item.size for item in snapshot.statistics("filename")))


def main(*, memory: bool = True) -> None:
    """Print a line per fleet size.

    :param memory: Also measure memory, which takes longer.
    """
    print(
        "workers running starts  us/start  +us/started  us/sample  us/idle-round"
        "  share-of-core-at-peak  kB/worker  kB/task"
    )
    for workers in _SIZES:
        fleet = _SteadyFleet(workers)
        fleet.fill()
        fleet.churn(20)
        fleet.policy.reset()
        fleet.churn(_ROUNDS)
        policy = fleet.policy
        starts = policy.calls["starts"]
        per_start = policy.microseconds("decide", "starts")
        per_started = policy.microseconds("AttemptStarted", "AttemptStarted")
        per_started += policy.microseconds("AttemptEnded", "AttemptEnded")
        per_sample = policy.microseconds("SamplesTaken", "SamplesTaken")
        share = sum(policy.seconds.values()) / (_ROUNDS * _ROUND_SECONDS)
        running = fleet.running
        idle = fleet.idle_round()
        per_worker, per_task = _memory(workers) if memory else (math.nan, math.nan)
        print(
            f"{workers:>7} {running:>7} {starts:>6} {per_start:>9.1f} {per_started:>12.1f}"
            f" {per_sample:>10.1f} {idle:>14.1f} {share:>22.1%} {per_worker:>10.2f}"
            f" {per_task:>8.2f}",
            flush=True,
        )


if __name__ == "__main__":
    defopt.run(main)
