"""Tracks attempts and their leases from the reports of the worker platform."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from .._ids import AttemptNumber, RegionName, TaskId, WorkerId
from .._machines import Worker
from ._runs import RunReport, RunState
from ._task_changes import AttemptOutcome, EndRecorded, StateObserved, TableChange
from ._task_table import TaskTable
from ._tasks import Task, TaskState, job_of_task

_OUTCOMES = {
    RunState.FINISHED: AttemptOutcome.FINISHED,
    RunState.FAILED: AttemptOutcome.FAILED,
    RunState.STOPPED: AttemptOutcome.STOPPED,
    RunState.REFUSED: AttemptOutcome.REFUSED,
}


AttemptKey = tuple[TaskId, AttemptNumber]


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """Lease durations and timeouts, in seconds."""

    lease: float = 60.0
    """A worker stops an attempt whose lease has not been renewed for this long."""
    silence: float = 90.0
    """Leases are no longer renewed on a worker that has not reported for this long."""
    margin: float = 15.0
    """Added to ``lease`` before an attempt counts as ended.

    Covers the maximum delivery time of a renewal from the platform to a worker, and the relative
    drift of the two clocks.
    """


@dataclass(frozen=True, slots=True)
class LeaseState:
    """State of the leases of a partition's attempts. Times are on the planner's clock."""

    taken_over_at: float
    """Time at which this owner took over the partition."""
    region_reported_at: Mapping[RegionName, float]
    """Request time of the latest report received for each region."""
    worker_reported_at: Mapping[WorkerId, float]
    """Time of the latest report on each worker; the takeover counts for a worker not listed."""
    fenced: Mapping[AttemptKey, float]
    """Time at which the platform confirmed the order to stop each fenced attempt."""

    @classmethod
    def at_takeover(cls, now: float) -> LeaseState:
        """Return the initial state, in which any lease may have been renewed up to ``now``."""
        return cls(now, {}, {}, {})


@dataclass(frozen=True, slots=True)
class StaleRun:
    """An attempt that still runs although the table counts it as ended; it must be stopped."""

    task_id: TaskId
    attempt: AttemptNumber


def latest_reports(runs: Iterable[RunReport]) -> Iterator[RunReport]:
    """Yield the latest report on each attempt; a RUNNING report never replaces an end."""
    latest: dict[tuple[TaskId, AttemptNumber], RunReport] = {}
    for run in runs:
        known = latest.get((run.task_id, run.attempt))
        if known is None or known.state is RunState.RUNNING:
            latest[run.task_id, run.attempt] = run
    return iter(latest.values())


def evaluate_report(table: TaskTable, run: RunReport, now: float) -> TableChange | StaleRun | None:
    """Return the change implied by a report; None if outdated or for another partition."""
    task = table.tasks.get(run.task_id)
    if task is not None and task.holds_reservation and task.attempt == run.attempt:
        return _change_from_report(task, run, now)
    if task is not None and _finished_while_silent(task, run):
        return attempt_end(task, AttemptOutcome.FINISHED, now, 1.0, run.reason)
    if run.state is RunState.RUNNING and _is_fenced(table, task, run):
        return StaleRun(run.task_id, run.attempt)
    return None


def _finished_while_silent(task: Task, run: RunReport) -> bool:
    # A worker that stopped reporting may have finished the task before its lease lapsed, and may
    # report this when it reconnects. If no further attempt has started, the result is accepted,
    # since another attempt would only repeat the work.
    waiting = not task.holds_reservation and run.attempt <= task.attempt
    return waiting and run.state is RunState.FINISHED


def _change_from_report(task: Task, run: RunReport, now: float) -> TableChange:
    if run.state is RunState.RUNNING:
        return StateObserved(run.task_id, run.attempt, TaskState.RUNNING, now, run.progress)
    outcome = _OUTCOMES[run.state]
    return attempt_end(task, outcome, now, run.progress, run.reason)


def attempt_end(
    task: Task, outcome: AttemptOutcome, now: float, progress: float, reason: str
) -> EndRecorded:
    """Return the record that ends the task's current attempt."""
    if task.state is TaskState.EVICTING and outcome is AttemptOutcome.STOPPED:
        reason = task.reason
    return EndRecorded(
        task.number, task.index, task.attempt, outcome, now, round(progress, 4), reason
    )


def _is_fenced(table: TaskTable, task: Task | None, run: RunReport) -> bool:
    if task is not None:
        return run.attempt < task.attempt or not task.holds_reservation
    return job_of_task(run.task_id) in table.jobs


def record_worker_reports(leases: LeaseState, runs: Iterable[RunReport], now: float) -> LeaseState:
    """Record that the workers in ``runs`` were reported on at ``now``."""
    heard = dict(leases.worker_reported_at)
    heard.update((run.worker_id, now) for run in runs)
    return replace(leases, worker_reported_at=heard)


def record_region_report(leases: LeaseState, region: RegionName, asked: float) -> LeaseState:
    """Record a complete report on a region that was requested at ``asked``."""
    return replace(leases, region_reported_at={**leases.region_reported_at, region: asked})


def is_silent(
    task: Task, leases: LeaseState, workers: Mapping[WorkerId, Worker], rules: LeaseRules
) -> bool:
    """Return whether the attempt's worker is missing from the reports on its region.

    An idle worker has nothing to report, so its silence is counted from the start of the attempt.
    Otherwise the first attempt after an idle hour would be stopped right after its start.
    """
    if task.worker_id is None:
        return False
    heard = leases.worker_reported_at.get(task.worker_id, leases.taken_over_at)
    return reported_until(task, leases, workers) - max(heard, task.since) > rules.silence


def reported_until(task: Task, leases: LeaseState, workers: Mapping[WorkerId, Worker]) -> float:
    """Return the time up to which an end of the attempt would have been reported."""
    worker = None if task.worker_id is None else workers.get(task.worker_id)
    if worker is None:
        return min(leases.region_reported_at.values(), default=leases.taken_over_at)
    return leases.region_reported_at.get(worker.region, leases.taken_over_at)


def attempts_to_renew(
    table: TaskTable, leases: LeaseState
) -> tuple[tuple[TaskId, AttemptNumber], ...]:
    """Return the attempts whose leases must be renewed now: all that are not fenced."""
    return tuple(
        (task.task_id, task.attempt)
        for task in table.tasks_holding_reservation()
        if (task.task_id, task.attempt) not in leases.fenced
    )


def fence_attempt(leases: LeaseState, key: AttemptKey, now: float) -> LeaseState:
    """Record that the platform confirmed the order to stop an attempt."""
    if key in leases.fenced:
        return leases
    return replace(leases, fenced={**leases.fenced, key: now})


def remove_ended_fences(table: TaskTable, leases: LeaseState) -> LeaseState:
    """Remove the fences of attempts that have ended."""
    kept = {
        (task_id, attempt): since
        for (task_id, attempt), since in leases.fenced.items()
        if _is_open(table, task_id, attempt)
    }
    return leases if len(kept) == len(leases.fenced) else replace(leases, fenced=kept)


def lapsed_attempts(
    table: TaskTable,
    leases: LeaseState,
    workers: Mapping[WorkerId, Worker],
    now: float,
    rules: LeaseRules,
) -> Iterator[EndRecorded]:
    """Yield the ends of fenced attempts whose leases have certainly expired.

    If an attempt were counted as ended while its worker still ran it, the next attempt would run
    the same task in parallel, and its effects (such as sending a letter) would happen twice. It is
    not enough that this owner stopped renewing the lease: a previous owner that was paused right
    before sending a renewal or a start may resume and send it. Once the platform has confirmed the
    order to stop, it forwards neither, so the wait begins at that confirmation. The wait ends only
    with a report that was requested after the expiry, because the attempt may have finished while
    no report got through.
    """
    for (task_id, attempt), since in leases.fenced.items():
        if not _is_open(table, task_id, attempt):
            continue
        task = table.tasks[task_id]
        if reported_until(task, leases, workers) >= since + rules.lease + rules.margin:
            reason = f"worker {task.worker_id} fell silent and the lease has lapsed"
            yield attempt_end(task, AttemptOutcome.LAPSED, now, task.progress, reason)


def _is_open(table: TaskTable, task_id: TaskId, attempt: AttemptNumber) -> bool:
    task = table.tasks.get(task_id)
    return task is not None and task.attempt == attempt and task.holds_reservation
