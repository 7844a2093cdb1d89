"""What the platform's reports and silence mean for the attempts of a partition."""

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


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """How long leases last and how long silence is borne, in seconds."""

    lease: float = 60.0
    """An attempt whose lease was not renewed for so long is stopped by its worker."""
    silence: float = 90.0
    """The leases of a worker that nothing was heard of for so long are not renewed any more."""
    margin: float = 15.0
    """Added to the lease before an attempt counts as over.

    It covers the longest time that a renewal may be under way, and the drift of two clocks.
    """


@dataclass(frozen=True, slots=True)
class LeaseState:
    """What is known of the leases of a partition's attempts. Times are the planner's clock."""

    takeover: float
    """When this owner took the partition over."""
    reported: Mapping[RegionName, float]
    """When the last report on each region that arrived was asked for."""
    heard: Mapping[WorkerId, float]
    """When each worker was last heard of; a worker that is absent, at the takeover."""
    released: Mapping[tuple[TaskId, AttemptNumber], float]
    """The attempts that are not renewed any more, and since when."""

    @classmethod
    def at_takeover(cls, now: float) -> LeaseState:
        """Nothing is known: every lease may have been renewed a moment ago."""
        return cls(now, {}, {}, {})


@dataclass(frozen=True, slots=True)
class StaleRun:
    """An attempt that the platform runs although it counts as over; it is to be stopped."""

    task_id: TaskId
    attempt: AttemptNumber


def latest_reports(runs: Iterable[RunReport]) -> Iterator[RunReport]:
    """One report for each attempt: the last one, but never RUNNING after the end."""
    latest: dict[tuple[TaskId, AttemptNumber], RunReport] = {}
    for run in runs:
        known = latest.get((run.task_id, run.attempt))
        if known is None or known.state is RunState.RUNNING:
            latest[run.task_id, run.attempt] = run
    return iter(latest.values())


def judge_report(table: TaskTable, run: RunReport, now: float) -> TableChange | StaleRun | None:
    """What one report changes; None when it is old news or another partition's."""
    task = table.tasks.get(run.task_id)
    if task is not None and task.holds_reservation and task.attempt == run.attempt:
        return _change_of(task, run, now)
    if run.state is RunState.RUNNING and _is_fenced(table, task, run):
        return StaleRun(run.task_id, run.attempt)
    return None


def _change_of(task: Task, run: RunReport, now: float) -> TableChange:
    if run.state is RunState.RUNNING:
        return StateObserved(run.task_id, run.attempt, TaskState.RUNNING, now, run.progress)
    outcome = _OUTCOMES[run.state]
    return end_of(task, outcome, now, run.progress, run.reason)


def end_of(
    task: Task, outcome: AttemptOutcome, now: float, progress: float, reason: str
) -> EndRecorded:
    """The record that the task's present attempt is over."""
    if task.state is TaskState.EVICTING and outcome is AttemptOutcome.STOPPED:
        reason = task.reason
    return EndRecorded(
        task.number, task.index, task.attempt, outcome, now, round(progress, 4), reason
    )


def _is_fenced(table: TaskTable, task: Task | None, run: RunReport) -> bool:
    if task is not None:
        return run.attempt < task.attempt or not task.holds_reservation
    return job_of_task(run.task_id) in table.jobs


def hear(leases: LeaseState, runs: Iterable[RunReport], now: float) -> LeaseState:
    """The state after reports that arrived at ``now``."""
    heard = dict(leases.heard)
    heard.update((run.worker_id, now) for run in runs)
    return replace(leases, heard=heard)


def hear_region(leases: LeaseState, region: RegionName, asked: float) -> LeaseState:
    """The state after a whole report on a region that was asked for at ``asked``."""
    return replace(leases, reported={**leases.reported, region: asked})


def is_silent(
    leases: LeaseState, worker_id: WorkerId, worker: Worker | None, rules: LeaseRules
) -> bool:
    """Whether reports on its region keep arriving and this worker is in none of them.

    A worker that the platform does not list any more counts as heard of when its attempts were.
    """
    last = leases.heard.get(worker_id, leases.takeover)
    if worker is None:
        reported = min(leases.reported.values(), default=leases.takeover)
    else:
        reported = leases.reported.get(worker.region, leases.takeover)
    return reported - last > rules.silence


def to_renew(table: TaskTable, leases: LeaseState) -> tuple[tuple[TaskId, AttemptNumber], ...]:
    """The attempts whose leases are to be renewed now."""
    return tuple(
        (task.task_id, task.attempt)
        for task in table.holding()
        if (task.task_id, task.attempt) not in leases.released
    )


def release_silent(
    table: TaskTable,
    leases: LeaseState,
    workers: Mapping[WorkerId, Worker],
    now: float,
    rules: LeaseRules,
) -> LeaseState:
    """Stop renewing the attempts on silent workers; go on with those heard of again."""
    released = {
        (task.task_id, task.attempt): leases.released.get((task.task_id, task.attempt), now)
        for worker_id, tasks in table.on_worker.items()
        if is_silent(leases, worker_id, workers.get(worker_id), rules)
        for task in tasks.values()
    }
    return replace(leases, released=released)


def lapsed(
    table: TaskTable, leases: LeaseState, now: float, rules: LeaseRules
) -> Iterator[EndRecorded]:
    """The attempts that are surely over because nobody could have renewed their leases.

    If an attempt counted as over while its worker still ran it, the next one would run the same
    task a second time elsewhere, and two letters would go out. So the wait starts when this owner
    stopped sending renewals, and the margin covers what the last may have spent under way.
    """
    for (task_id, attempt), since in leases.released.items():
        task = table.tasks.get(task_id)
        if task is None or task.attempt != attempt or not task.holds_reservation:
            continue
        if now >= since + rules.lease + rules.margin:
            reason = f"worker {task.worker_id} fell silent and the lease has lapsed"
            yield end_of(task, AttemptOutcome.LAPSED, now, task.progress, reason)
