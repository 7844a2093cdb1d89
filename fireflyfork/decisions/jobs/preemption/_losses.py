"""What is lost when a run is stopped, and which runs may be stopped at all."""

from __future__ import annotations

from ..._victims import lost_core_seconds
from .._runs import Run, RunPhase, Task
from .._tickets import StepId

MIN_SECONDS_BETWEEN_STOPS = 12.0
"""Minimum time between two stops of the same task, so that no task is stopped again and again while
urgent work arrives in waves."""
MIN_RATED_PERCENT = 5
"""Progress below which a run's speed is not known: progress is reported in hundredths."""
UNAVAILABLE_SECONDS = 1.5
"""How long a long-running task that is stopped is unavailable at least: its stop, the report of its
end and its start elsewhere."""


class CheckpointAges:
    """Remembers when each run that checkpoints has last reported a new checkpoint."""

    def __init__(self) -> None:
        """Initialize without runs."""
        self._seen: dict[Run, tuple[str, float]] = {}
        """By run: its last checkpoint and when it was first listed, in seconds."""

    def listed(self, run: Run, now: float) -> None:
        """Handle the listing of a run."""
        if not run.task.spec.checkpointing:
            return
        seen = self._seen.get(run)
        if seen is None or seen[0] != run.checkpoint:
            self._seen[run] = run.checkpoint, now

    def removed(self, run: Run) -> None:
        """Forget a run that is over."""
        self._seen.pop(run, None)

    def unsaved_seconds(self, run: Run, now: float) -> float:
        """Return for how long a run has worked since its last checkpoint."""
        started = run.confirmed_at if run.confirmed_at is not None else now
        seen = self._seen.get(run)
        return max(0.0, now - (started if seen is None else seen[1]))


def may_be_stopped(run: Run, now: float) -> bool:
    """Whether a run of a less urgent task may be stopped.

    Members of a gang are not stopped: the others would hold resources without working. Tasks that
    last are stopped only if their step has a budget for it.
    """
    task, step = run.task, run.task.spec
    if run.phase is not RunPhase.RUNNING or task.job.state.is_final or len(task.runs) != 1:
        return False
    if step.gang or now - task.moved_at < MIN_SECONDS_BETWEEN_STOPS:
        return False
    return not step.long_running or step.unavailable_budget > 0


class UnavailableCounts:
    """Counts, once in each tick, how many tasks of a long-running step don't serve."""

    def __init__(self) -> None:
        """Initialize without counts."""
        self._counts: dict[StepId, int] = {}

    def clear(self) -> None:
        """Forget all counts, since tasks have started or ended."""
        self._counts.clear()

    def note_stop(self, task: Task) -> None:
        """Count a task that is being stopped."""
        if task.step_id in self._counts:
            self._counts[task.step_id] += 1

    def may_stop(self, task: Task) -> bool:
        """Whether the unavailability budget of its step allows a serving task to be stopped."""
        count = self._counts.get(task.step_id)
        if count is None:
            count = self._counts[task.step_id] = sum(
                not _serves(sibling)
                for key, sibling in task.job.tasks.items()
                if key.step == task.key.step and key.occurrence == task.key.occurrence
            )
        return _serves(task) and count < task.spec.unavailable_budget


def _serves(task: Task) -> bool:
    """Whether a long-running task is known to serve, on an executor that answers."""
    return any(
        run.phase is RunPhase.RUNNING and run.progress_percent >= 100 and run.executor.answers
        for run in task.runs
    )


def remaining_seconds(run: Run, now: float) -> float:
    """Return how long a run is expected to go on; infinite for long-running tasks.

    The speed so far counts rather than the estimate, as soon as enough progress has been reported.
    """
    step = run.task.spec
    if step.long_running:
        return float("inf")
    started = run.confirmed_at if run.confirmed_at is not None else run.ordered_at
    worked = run.listed_at - started
    if run.task.checkpoint and run.attempt > 1:
        # The progress of a resumed run may include work of earlier runs.
        return (100 - run.progress_percent) / 100 * step.estimate_ms / 1000
    if run.progress_percent >= MIN_RATED_PERCENT and worked > 0:
        remaining = (100 - run.progress_percent) / run.progress_percent * worked
        return max(0.0, remaining - (now - run.listed_at))
    return step.estimate_ms / 1000


def lost_work(run: Run, checkpoints: CheckpointAges, now: float) -> float:
    """Return the work in core-seconds that is lost if a run is stopped now."""
    step = run.task.spec
    if step.long_running:
        seconds = UNAVAILABLE_SECONDS
    else:
        seconds = run.progress_percent / 100 * step.estimate_ms / 1000
        if step.checkpointing:
            seconds = min(seconds, checkpoints.unsaved_seconds(run, now))
    return lost_core_seconds(seconds, step.cpu_millis)


def remaining_work(run: Run) -> float:
    """Return the work in core-seconds that a run still has to do, by its estimate."""
    step = run.task.spec
    seconds = (100 - run.progress_percent) / 100 * step.estimate_ms / 1000
    return lost_core_seconds(seconds, step.cpu_millis)
