"""Learns the speed of executors from how long tasks take on them and elsewhere.

Only tasks of the same step are compared: estimates of callers are off by as much as the time
itself, while the tasks of a step differ by half.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from statistics import median

from ...._ids import ExecutorId, JobId, TaskName
from .._executors import ExecutorRegistration, ExecutorState
from .._runs import Run, RunPhase
from .._stored_estimates import StoredSpeed
from .._tickets import StepId

MIN_PEERS = 3
"""Tasks of the same step, elsewhere, from which a run is compared with them."""
MIN_PROGRESS_PERCENT = 10
"""Progress from which the duration of a run is projected. Progress is reported in hundredths."""
MIN_ELAPSED_SECONDS = 0.35
"""Minimum run time for a projection: the time that the order travels makes shorter ones
meaningless."""
HALF_LIFE_SECONDS = 8.0
"""Time after which an observed speed counts half. Slow executors recover within seconds, and a task
takes one or two."""
EXECUTOR_PRIOR_STRENGTH = 2.0
"""Number of observations that the speed of an executor's rack weighs as much as: durations within a
step differ by half."""
GROUP_PRIOR_STRENGTH = 6.0
"""Number of observations that the speed of the larger group weighs as much as."""
MIN_SPEED, MAX_SPEED = 0.1, 4.0
"""Bounds of one observed speed, so that a single odd task doesn't decide."""
MAX_STORED = 16
"""Executors whose speeds are stored for a successor, the slowest ones."""
NEGLIGIBLE_WEIGHT = 0.02
"""Decayed weight below which the observations of an executor are dropped."""


@dataclass(slots=True)
class _LogSpeed:
    """The decayed sum of observed speeds, as logarithms."""

    total: float = 0.0
    weight: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the sums to their weight at ``now``."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_SECONDS)
        self.total *= factor
        self.weight *= factor
        self.updated_at = now

    def mean(self, prior: float, strength: float) -> float:
        """Return the mean, shrunk to the prior mean."""
        return (self.total + strength * prior) / (self.weight + strength)


@dataclass(slots=True)
class _StepDurations:
    """Durations of the tasks of one step in seconds: of those that ended, and projected ones."""

    ended: dict[TaskName, tuple[ExecutorId, float]] = field(default_factory=dict)
    running: dict[Run, float] = field(default_factory=dict)
    medians: dict[ExecutorId, float | None] = field(default_factory=dict)
    """By executor: the median elsewhere at the last refresh, or None if too few show it."""

    def elsewhere(self, run: Run) -> list[float]:
        """Return the durations on other executors."""
        own = run.executor
        durations = [at for name, at in self.ended.values() if name != own.executor]
        durations += [at for other, at in self.running.items() if other.executor is not own]
        return durations


class Speeds:
    """The speed of each executor relative to the usual one, which is 1."""

    def __init__(self, executors: dict[ExecutorId, ExecutorState]) -> None:
        """Initialize without observations, for this live table of executors."""
        self._executors = executors
        self._steps: dict[JobId, dict[StepId, _StepDurations]] = {}
        self._observed: dict[ExecutorId, _LogSpeed] = {}
        self._groups: dict[tuple[str, str], float] = {}
        """The mean logarithm of the speed of each group at the last refresh."""

    def speed(self, executor: ExecutorState) -> float:
        """Return the estimated speed of an executor."""
        if not self._observed:
            return 1.0
        kind, rack = _groups(executor.registration)
        prior = self._groups.get(rack, self._groups.get(kind, 0.0))
        observed = self._observed.get(executor.executor) or _LogSpeed()
        return math.exp(observed.mean(prior, EXECUTOR_PRIOR_STRENGTH))

    def expected_seconds(self, run: Run) -> float | None:
        """Return how long a task of the run's step takes elsewhere, or None if too few show it."""
        durations = self._durations(run) if is_comparable(run) else None
        if durations is None:
            return None
        name = run.executor.executor
        if name not in durations.medians:
            elsewhere = durations.elsewhere(run)
            durations.medians[name] = median(elsewhere) if len(elsewhere) >= MIN_PEERS else None
        return durations.medians[name]

    def listed(self, run: Run, now: float) -> None:
        """Project the duration of a run from its progress."""
        elapsed = now - run.ordered_at
        percent = run.progress_percent
        if (
            elapsed >= MIN_ELAPSED_SECONDS
            and percent >= MIN_PROGRESS_PERCENT
            and is_comparable(run)
        ):
            step = self._steps.setdefault(run.task.job.spec.job, {})
            durations = step.setdefault(run.task.step_id, _StepDurations())
            durations.running[run] = elapsed * 100 / percent

    def done(self, run: Run, now: float) -> None:
        """Learn from a run that ended well."""
        durations = self._durations(run)
        if durations is None and not run.task.job.state.is_final and is_comparable(run):
            steps = self._steps.setdefault(run.task.job.spec.job, {})
            durations = steps.setdefault(run.task.step_id, _StepDurations())
        if durations is None or not is_comparable(run):
            return
        seconds = max(now - run.ordered_at, 0.01)
        expected = self.expected_seconds(run)
        durations.ended[run.task.name] = (run.executor.executor, seconds)
        if expected is not None:
            self.observe(run.executor, expected / seconds, now)

    def observe(self, executor: ExecutorState, speed: float, now: float) -> None:
        """Add an observed speed of an executor."""
        observed = self._observed.setdefault(executor.executor, _LogSpeed(updated_at=now))
        observed.decay(now)
        observed.total += math.log(min(MAX_SPEED, max(MIN_SPEED, speed)))
        observed.weight += 1.0

    def removed(self, run: Run) -> None:
        """Forget the projected duration of a run that is over."""
        durations = self._durations(run)
        if durations is not None:
            durations.running.pop(run, None)

    def forget(self, job: JobId) -> None:
        """Forget the steps of a job that is over."""
        self._steps.pop(job, None)

    def forget_executor(self, executor: ExecutorId) -> None:
        """Forget the observed speed of an executor that may be of another kind now."""
        self._observed.pop(executor, None)

    def refresh(self, now: float) -> None:
        """Forget with age, and estimate the speed of all groups anew."""
        for steps in self._steps.values():
            for durations in steps.values():
                durations.medians.clear()
        for name, observed in tuple(self._observed.items()):
            observed.decay(now)
            if observed.weight < NEGLIGIBLE_WEIGHT or name not in self._executors:
                del self._observed[name]
        sums: defaultdict[tuple[str, str], _LogSpeed] = defaultdict(_LogSpeed)
        for group, observed in self._observed_by_group():
            sums[group].total += observed.total
            sums[group].weight += observed.weight
        self._groups = {}
        for name in self._observed:
            kind, rack = _groups(self._executors[name].registration)
            self._groups[kind] = sums[kind].mean(0.0, GROUP_PRIOR_STRENGTH)
            self._groups[rack] = sums[rack].mean(self._groups[kind], GROUP_PRIOR_STRENGTH)

    def to_stored(self) -> tuple[StoredSpeed, ...]:
        """Return the observations of the slowest executors."""
        slow = sorted(
            (observed.total, name)
            for name, observed in self._observed.items()
            if observed.total < 0
        )
        return tuple(
            StoredSpeed(name, round(total, 3), round(self._observed[name].weight, 3))
            for total, name in slow[:MAX_STORED]
        )

    def adopt(self, stored: Iterable[StoredSpeed], taken_at: float) -> None:
        """Use the speeds that an earlier owner had observed at ``taken_at`` on this clock."""
        for row in stored:
            self._observed[row.executor] = _LogSpeed(row.total, row.weight, taken_at)

    def _observed_by_group(self) -> Iterator[tuple[tuple[str, str], _LogSpeed]]:
        for name, observed in self._observed.items():
            for group in _groups(self._executors[name].registration):
                yield group, observed

    def _durations(self, run: Run) -> _StepDurations | None:
        return self._steps.get(run.task.job.spec.job, {}).get(run.task.step_id)


def is_comparable(run: Run) -> bool:
    """Whether the duration of a run depends on nothing but its task and the executor's speed."""
    step = run.task.spec
    if step.long_running or step.uses_leftover_cpu or step.gang or run.lowest_pace < 100:
        return False
    if run.checkpoint and run.task.attempt > 1:
        return False
    if not run.start_deadline_ms:
        # An earlier owner started the run, and this one doesn't know when.
        return False
    if step.data_rack and step.data_rack not in run.executor.registration.labels:
        return False
    return run.phase is RunPhase.RUNNING


def _groups(registration: ExecutorRegistration) -> tuple[tuple[str, str], tuple[str, str]]:
    """Return the kind of an executor and its rack."""
    kind = ",".join(sorted(label for label in registration.labels if label != registration.rack))
    return ("kind", kind), ("rack", f"{kind}/{registration.rack}")
