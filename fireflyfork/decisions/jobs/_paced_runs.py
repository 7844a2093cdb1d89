"""Moves runs that were slowed down next to serving tasks to executors where they disturb less."""

from __future__ import annotations

from collections.abc import Iterator

from ._executors import ExecutorState
from ._notes import MoveReason
from ._placement_costs import choose
from ._rotation import Rotation
from ._runs import Run, RunPhase
from ._service_state import ServiceState

SLOW_SECONDS = 0.4
"""How long a run stays slowed down before it is moved. Paces often rise again with the next
sample."""
MAX_LOST_PROGRESS = 40
"""Progress, in percent, beyond which a run without checkpoints stays where it is."""
MAX_DESTINATION_COST = 1.0
"""Highest cost of an executor that a run is moved to: half of what a waiting task accepts."""
MAX_RUNS_PER_CHECK = 3
EXECUTORS_PER_SEARCH = 48
"""Executors compared for one run, so that the cost of a check does not grow with the fleet."""
MIN_SECONDS_BETWEEN_MOVES = 2.0


class PacedRuns:
    """Moves slow runs of tasks without a reservation at each tick.

    The load of a serving task rises for some seconds, and a run next to it that is slowed down to a
    tenth ends as many seconds later. The callers of its job wait for the slowest of its tasks.
    """

    def __init__(self, state: ServiceState) -> None:
        """Initialize with the service state to read and change."""
        self._state = state
        self._runs = Rotation(MAX_RUNS_PER_CHECK)
        self._candidates = Rotation(EXECUTORS_PER_SEARCH)

    def check(self, now: float) -> None:
        """Stop some slow runs for which a better executor is known; their tasks start again."""
        runs = self._runs.next_items(tuple(self._movable_runs(now)))
        if not runs:
            return
        usable = self._state.usable_executors(now)
        for run in runs:
            if self._has_better_executor(run, usable):
                self._state.move(run, now, MoveReason.SLOW)

    def _movable_runs(self, now: float) -> Iterator[Run]:
        for executor in tuple(self._state.executors.values()):
            if not executor.serving_counts or not executor.best_effort_cpu_millis:
                continue
            yield from (run for run in tuple(executor.runs.values()) if _is_movable(run, now))

    def _has_better_executor(self, run: Run, usable: list[ExecutorState]) -> bool:
        candidates = self._candidates.next_items(usable)
        others = (executor for executor in candidates if executor is not run.executor)
        model = self._state.interference
        estimates = self._state.policies.estimates
        return choose(run.task, others, model, MAX_DESTINATION_COST, estimates) is not None


def _is_movable(run: Run, now: float) -> bool:
    task, step = run.task, run.task.spec
    if not step.uses_leftover_cpu or run.in_background or run.phase is not RunPhase.RUNNING:
        return False
    if step.gang or step.same_rack or task.job.queue.needs_tickets:
        return False
    if run.paused_until > now or run.slow_since is None or now - run.slow_since < SLOW_SECONDS:
        return False
    keeps_work = step.checkpointing or run.progress_percent <= MAX_LOST_PROGRESS
    return keeps_work and now - task.moved_at >= MIN_SECONDS_BETWEEN_MOVES
