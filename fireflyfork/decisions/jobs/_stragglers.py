"""Finds runs that take much longer than expected, and copies or moves them to another executor."""

from __future__ import annotations

from collections.abc import Iterable

from ._executors import ExecutorState
from ._notes import RunStraggling
from ._policies import EstimatePolicy
from ._runs import Run, RunPhase, Task
from ._service_state import ServiceState

MIN_REPORTED_SECONDS = 0.35
"""Minimum run time covered by a report before a run is judged: progress in hundredths and the
transit time of the order make shorter times meaningless."""
SLOW_FACTOR = 2.5
"""A run is slow if its remaining time is more than this multiple of the whole estimate. Estimates
are about 20% off and tasks of a step differ by half; slow executors take six times as long."""
SLOW_MARGIN_SECONDS = 0.4
"""Additional seconds for stopping, placing and starting a task again."""
PEER_FACTOR = 1.5
"""A run is slow if its remaining time is more than this multiple of what tasks of its step take
elsewhere: tasks of a step differ by half."""
SLOW_SPEED = 0.5
"""Speed below which an executor counts as slow, relative to the usual one: a task that is started
again elsewhere ends sooner even if it had done half of its work."""
MIN_SLOW_JOBS = 2
"""Number of jobs with slow runs from which an executor counts as slow. Slow runs of one job may be
that job's own fault; those of two jobs on one executor are not."""


class Stragglers:
    """Finds stragglers at each tick."""

    def __init__(self, state: ServiceState) -> None:
        """Initialize with the service state to change."""
        self._state = state

    def check(self, executor: ExecutorState, now: float) -> None:
        """Copy or move the straggling runs on one executor.

        An executor that is slow answers every poll and fails no task, so nothing else reveals it.
        Tasks that stay there take several times as long, and the callers of their jobs wait for the
        slowest task.
        """
        estimates = self._state.policies.estimates
        slow = [run for run in executor.runs.values() if is_straggling(run, now, estimates)]
        if not slow:
            return
        executor_is_slow = len({run.task.job.spec.job for run in slow}) >= MIN_SLOW_JOBS
        executor_is_slow = executor_is_slow or estimates.speed(executor) < SLOW_SPEED
        for run in slow:
            task = run.task
            if task.straggler_handled or len(task.runs) > 1:
                continue
            if task.spec.speculative:
                task.straggler_handled = True
                self._state.record_failure(executor, now)
                self._add_note(run, estimates, copied=True)
                self._state.tasks_to_copy.append(task)
            elif executor_is_slow:
                task.straggler_handled = True
                self._state.record_failure(executor, now)
                self._add_note(run, estimates, copied=False)
                self._state.stop(run, now)

    def _add_note(self, run: Run, estimates: EstimatePolicy, copied: bool) -> None:
        expected_seconds = estimates.expected_seconds(run)
        estimate_ms = run.task.spec.estimate_ms
        note = RunStraggling(
            run.task.name,
            run.attempt,
            run.executor.executor,
            run.progress_percent,
            estimate_ms if expected_seconds is None else int(1000 * expected_seconds),
            expected_seconds is not None,
            copied,
            round(estimates.speed(run.executor), 2),
        )
        self._state.notes.append(note)


def is_straggling(run: Run, now: float, estimates: EstimatePolicy) -> bool:
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
    if reported_after < MIN_REPORTED_SECONDS or run.progress_percent >= 100:
        return False
    # Progress is reported in whole hundredths, so 0 may be almost one.
    rate = max(1, run.progress_percent) / 100 / reported_after
    remaining_seconds = (100 - run.progress_percent) / 100 / rate - (now - run.listed_at)
    if remaining_seconds <= SLOW_MARGIN_SECONDS:
        return False
    expected_seconds = estimates.expected_seconds(run)
    if expected_seconds is not None:
        return remaining_seconds > PEER_FACTOR * expected_seconds + SLOW_MARGIN_SECONDS
    return remaining_seconds > SLOW_FACTOR * step.estimate_ms / 1000 + SLOW_MARGIN_SECONDS


def other_executors(task: Task, executors: Iterable[ExecutorState]) -> list[ExecutorState]:
    """Return the executors without a run of the task and without recent failures."""
    present = {run.executor.executor for run in task.runs}
    return [
        executor
        for executor in executors
        if executor.executor not in present and not executor.consecutive_failures
    ]
