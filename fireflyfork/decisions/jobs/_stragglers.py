"""Runs that take much longer than their step should: copied or moved to another executor."""

from __future__ import annotations

from collections.abc import Iterable

from ._executors import ExecutorState
from ._runs import Run, RunPhase, Task
from ._work import Work

LEAST_SECONDS = 0.35
"""A run is not judged by a report from before: hundredths of progress and the time that an order takes on
its way say little about less."""
SLOW_FACTOR = 2.5
"""What is left must take so many times the whole estimate. Estimates are some 20% off and tasks of a step
differ by half; slow executors take six times as long."""
SLOW_MARGIN_SECONDS = 0.4
"""On top: stopping, placing and starting a task anew."""
JOBS_TO_BLAME = 2
"""Runs of one job that are slow may be that job's own fault; those of two on one executor are not."""


class Stragglers:
    """Finds them at each tick."""

    def __init__(self, work: Work) -> None:
        """Change ``work``."""
        self._work = work

    def check(self, executor: ExecutorState, now: float) -> None:
        """Copy or move what straggles on one executor.

        An executor that is slow answers every poll and fails nothing, so nothing else tells. Tasks that
        stay there take several times as long, and the callers of their jobs wait for the slowest.
        """
        slow = [run for run in executor.runs.values() if straggles(run, now)]
        if not slow:
            return
        executor_is_slow = len({run.task.job.spec.job for run in slow}) >= JOBS_TO_BLAME
        for run in slow:
            task = run.task
            if task.moved or len(task.runs) > 1:
                continue
            if task.spec.speculative:
                task.moved = True
                self._work.strike(executor, now)
                self._work.copies.append(task)
            elif executor_is_slow:
                task.moved = True
                self._work.strike(executor, now)
                self._work.stop(run, now)


def straggles(run: Run, now: float) -> bool:
    """Whether a run would take much less time from the start elsewhere.

    Only tasks with a reservation are judged: others share what is left, and are paced.
    """
    step = run.task.spec
    if (
        run.phase is not RunPhase.RUNNING
        or step.long_running
        or step.uses_leftover_cpu
        or step.gang
    ):
        return False
    reported_after = run.listed_at - run.ordered_at
    if reported_after < LEAST_SECONDS or run.progress_percent >= 100:
        return False
    # Progress is told in whole hundredths, so 0 may be almost one.
    rate = max(1, run.progress_percent) / 100 / reported_after
    left = (100 - run.progress_percent) / 100 / rate - (now - run.listed_at)
    return left > SLOW_FACTOR * step.estimate_ms / 1000 + SLOW_MARGIN_SECONDS


def other_executors(task: Task, executors: Iterable[ExecutorState]) -> list[ExecutorState]:
    """Those that a copy of a task may go to: where it does not run, and nothing has failed lately."""
    present = {run.executor.executor for run in task.runs}
    return [one for one in executors if one.executor not in present and not one.strikes]
