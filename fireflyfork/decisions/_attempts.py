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


AttemptKey = tuple[TaskId, AttemptNumber]


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """How long leases last and how long silence is borne, in seconds."""

    lease: float = 60.0
    """An attempt whose lease was not renewed for so long is stopped by its worker."""
    silence: float = 90.0
    """The leases of a worker that nothing was heard of for so long are not renewed any more."""
    margin: float = 15.0
    """Added to the lease before an attempt counts as over.

    It covers the longest time that a renewal may be under way from the platform to a worker, and
    the drift of two clocks.
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
    fenced: Mapping[AttemptKey, float]
    """The attempts that the platform was told to stop, and when its answer came."""

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
    if task is not None and _finished_after_all(task, run):
        return end_of(task, AttemptOutcome.FINISHED, now, 1.0, run.reason)
    if run.state is RunState.RUNNING and _is_fenced(table, task, run):
        return StaleRun(run.task_id, run.attempt)
    return None


def _finished_after_all(task: Task, run: RunReport) -> bool:
    # A worker that fell silent may have finished the task before its lease lapsed, and say so once
    # it is heard of again. If no further attempt began, starting one would only do it all twice.
    waiting = not task.holds_reservation and run.attempt <= task.attempt
    return waiting and run.state is RunState.FINISHED


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
    task: Task, leases: LeaseState, workers: Mapping[WorkerId, Worker], rules: LeaseRules
) -> bool:
    """Whether reports on the region keep arriving and the attempt's worker is in none of them.

    An idle worker has nothing to report. Its silence begins with the attempt; otherwise the first
    attempt after an idle hour would be stopped right after its start.
    """
    if task.worker_id is None:
        return False
    heard = leases.heard.get(task.worker_id, leases.takeover)
    return reported_until(task, leases, workers) - max(heard, task.since) > rules.silence


def reported_until(task: Task, leases: LeaseState, workers: Mapping[WorkerId, Worker]) -> float:
    """Up to when the reports that arrived would have told of the attempt's end."""
    worker = None if task.worker_id is None else workers.get(task.worker_id)
    if worker is None:
        return min(leases.reported.values(), default=leases.takeover)
    return leases.reported.get(worker.region, leases.takeover)


def to_renew(table: TaskTable, leases: LeaseState) -> tuple[tuple[TaskId, AttemptNumber], ...]:
    """The attempts whose leases are to be renewed now."""
    return tuple(
        (task.task_id, task.attempt)
        for task in table.holding()
        if (task.task_id, task.attempt) not in leases.fenced
    )


def fence(leases: LeaseState, key: AttemptKey, now: float) -> LeaseState:
    """The state once the platform has answered an order to stop an attempt."""
    if key in leases.fenced:
        return leases
    return replace(leases, fenced={**leases.fenced, key: now})


def forget_ended(table: TaskTable, leases: LeaseState) -> LeaseState:
    """The state without the fences of attempts that are over."""
    kept = {
        (task_id, attempt): since
        for (task_id, attempt), since in leases.fenced.items()
        if _is_open(table, task_id, attempt)
    }
    return leases if len(kept) == len(leases.fenced) else replace(leases, fenced=kept)


def lapsed(
    table: TaskTable,
    leases: LeaseState,
    workers: Mapping[WorkerId, Worker],
    now: float,
    rules: LeaseRules,
) -> Iterator[EndRecorded]:
    """The attempts that are surely over because nobody can have renewed their leases.

    If an attempt counted as over while its worker still ran it, the next one would run the same
    task a second time elsewhere, and two letters would go out. It is not enough that this owner
    stopped renewing: an earlier owner, paused right before it sent a renewal or a start, may wake
    and send it. After it has answered an order to stop, the platform passes neither on, so the
    wait starts there. And it ends only with a report that was asked for after it: the attempt may
    have finished meanwhile while no report came through.
    """
    for (task_id, attempt), since in leases.fenced.items():
        if not _is_open(table, task_id, attempt):
            continue
        task = table.tasks[task_id]
        if reported_until(task, leases, workers) >= since + rules.lease + rules.margin:
            reason = f"worker {task.worker_id} fell silent and the lease has lapsed"
            yield end_of(task, AttemptOutcome.LAPSED, now, task.progress, reason)


def _is_open(table: TaskTable, task_id: TaskId, attempt: AttemptNumber) -> bool:
    task = table.tasks.get(task_id)
    return task is not None and task.attempt == attempt and task.holds_reservation
