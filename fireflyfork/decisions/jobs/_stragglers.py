"""Finds runs that take much longer than expected, and copies or moves them to another executor."""

from __future__ import annotations

from collections.abc import Iterable

from ._executors import ExecutorState
from ._runs import Run, RunPhase, Task
from ._work import Work

LEAST_SECONDS = 0.35
"""Minimum run time covered by a report before a run is judged: progress in hundredths and the
transit time of the order make shorter times meaningless."""
SLOW_FACTOR = 2.5
"""A run is slow if its remaining time is more than this multiple of the whole estimate. Estimates
are about 20% off and tasks of a step differ by half; slow executors take six times as long."""
SLOW_MARGIN_SECONDS = 0.4
"""Additional seconds for stopping, placing and starting a task again."""
JOBS_TO_BLAME = 2
"""Number of jobs with slow runs from which an executor counts as slow. Slow runs of one job may be
that job's own fault; those of two jobs on one executor are not."""


class Stragglers:
    """Finds stragglers at each tick."""

    def __init__(self, work: Work) -> None:
        """Initialize with the service state to change."""
        self._work = work

    def check(self, executor: ExecutorState, now: float) -> None:
        """Copy or move the straggling runs on one executor.

        An executor that is slow answers every poll and fails no task, so nothing else reveals it.
        Tasks that stay there take several times as long, and the callers of their jobs wait for the
        slowest task.
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
    """Whether a run would end much sooner if it were restarted elsewhere.

    Only tasks with a reservation are judged: the others share the leftover CPU, and are paced.
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
    # Progress is reported in whole hundredths, so 0 may be almost one.
    rate = max(1, run.progress_percent) / 100 / reported_after
    left = (100 - run.progress_percent) / 100 / rate - (now - run.listed_at)
    return left > SLOW_FACTOR * step.estimate_ms / 1000 + SLOW_MARGIN_SECONDS


def other_executors(task: Task, executors: Iterable[ExecutorState]) -> list[ExecutorState]:
    """Return the executors without a run of the task and without recent failures."""
    present = {run.executor.executor for run in task.runs}
    return [one for one in executors if one.executor not in present and not one.strikes]
