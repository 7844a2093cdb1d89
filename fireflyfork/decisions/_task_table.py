"""The immutable table of all jobs and open tasks of one partition, and the changes to it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from .._errors import FireflyforkError
from .._ids import AttemptNumber, JobId, TaskId, TeamName, WorkerId
from .._machines import Resources
from ._task_changes import (
    AttemptOutcome,
    CancelRequested,
    EndRecorded,
    JobAccepted,
    JobForgotten,
    StartIntended,
    StateObserved,
    TableChange,
    TaskGivenUp,
    ThrottleOrdered,
)
from ._tasks import NO_RESOURCES, Job, JobNumber, Task, TaskEnd, TaskState, task_id_of

REFUSALS_KEPT = 8
"""Number of workers that refused a task to remember, so that they are not tried in rotation."""
FAILURES_KEPT = 5
"""Number of failed tasks of a job whose reasons are kept."""


class ImpossibleChangeError(FireflyforkError):
    """A change is invalid for the table's state, due to a bug in the caller or a faulty journal."""


@dataclass(frozen=True, slots=True)
class TaskTable:
    """The jobs and open tasks of one partition. The mappings are never modified in place."""

    jobs: Mapping[JobId, Job]
    job_ids: Mapping[JobNumber, JobId]
    tasks: Mapping[TaskId, Task]
    """Every task that has not ended."""
    waiting: Mapping[JobId, Mapping[TaskId, Task]]
    """Ordinary tasks to place, by job, in order of arrival; jobs without such tasks are absent."""
    urgent: Mapping[JobId, Mapping[TaskId, Task]]
    """Urgent tasks to place, grouped and ordered like ``waiting``."""
    on_worker: Mapping[WorkerId, Mapping[TaskId, Task]]
    """Tasks with an attempt that may run, by worker; workers without attempts are absent."""
    reserved: Mapping[WorkerId, Resources]
    """Total reservation on each worker; workers without attempts are absent."""
    team_reserved: Mapping[TeamName, Resources]
    """Total reservation of each team's batch tasks."""
    next_number: JobNumber
    """The number that the next accepted job gets."""

    @classmethod
    def empty(cls) -> TaskTable:
        """Return a table without jobs."""
        return cls({}, {}, {}, {}, {}, {}, {}, {}, JobNumber(1))

    def apply(self, changes: Iterable[TableChange]) -> TaskTable:
        """Return the table after ``changes``. Raises ImpossibleChangeError if one is invalid."""
        draft = _MutableTable(self)
        for change in changes:
            draft.apply(change)
        return draft.freeze()

    def task_at(self, number: JobNumber, index: int) -> Task | None:
        """Return the open task at ``index`` of job ``number``, or None if there is none."""
        job_id = self.job_ids.get(number)
        return None if job_id is None else self.tasks.get(task_id_of(job_id, index))

    def tasks_holding_reservation(self) -> Iterable[Task]:
        """Yield every task with an attempt that may run."""
        for tasks in self.on_worker.values():
            yield from tasks.values()


def build_table(jobs: Iterable[Job], tasks: Iterable[Task], next_number: JobNumber) -> TaskTable:
    """Build a table from the parts of a snapshot; ``tasks`` are in the order of the queue."""
    draft = _MutableTable(TaskTable.empty())
    for job in jobs:
        draft.put_job(job)
    for task in tasks:
        draft.put_task(task)
    draft.next_number = next_number
    return draft.freeze()


GroupKey = TypeVar("GroupKey", JobId, WorkerId)


class _TaskGroups(Generic[GroupKey]):
    """Tasks grouped by a key, with copy-on-write groups."""

    def __init__(self, groups: Mapping[GroupKey, Mapping[TaskId, Task]]) -> None:
        self._groups: dict[GroupKey, Mapping[TaskId, Task]] = dict(groups)
        self._copied: dict[GroupKey, dict[TaskId, Task]] = {}

    def __contains__(self, key: GroupKey) -> bool:
        return key in self._groups

    def put(self, key: GroupKey, task: Task) -> None:
        self._writable_group(key)[task.task_id] = task

    def drop(self, key: GroupKey, task: Task) -> None:
        group = self._writable_group(key)
        del group[task.task_id]
        if not group:
            del self._groups[key]
            del self._copied[key]

    def freeze(self) -> Mapping[GroupKey, Mapping[TaskId, Task]]:
        self._copied = {}
        return self._groups

    def _writable_group(self, key: GroupKey) -> dict[TaskId, Task]:
        group = self._copied.get(key)
        if group is None:
            group = dict(self._groups.get(key, {}))
            self._copied[key] = group
            self._groups[key] = group
        return group


class _MutableTable:
    """A mutable copy of a table for the duration of one ``apply``.

    Copying once per batch of changes makes a single change O(1). Otherwise ten thousand
    cancellations at once would copy the whole table ten thousand times.
    """

    def __init__(self, table: TaskTable) -> None:
        self._jobs = dict(table.jobs)
        self._job_ids = dict(table.job_ids)
        self._tasks = dict(table.tasks)
        self._waiting = _TaskGroups(table.waiting)
        self._urgent = _TaskGroups(table.urgent)
        self._on_worker = _TaskGroups(table.on_worker)
        self._reserved = dict(table.reserved)
        self._team_reserved = dict(table.team_reserved)
        self.next_number = table.next_number

    def freeze(self) -> TaskTable:
        return TaskTable(
            self._jobs,
            self._job_ids,
            self._tasks,
            self._waiting.freeze(),
            self._urgent.freeze(),
            self._on_worker.freeze(),
            self._reserved,
            self._team_reserved,
            self.next_number,
        )

    def apply(self, change: TableChange) -> None:
        match change:
            case StartIntended():
                self._start(change)
            case EndRecorded():
                self._end_attempt(change)
            case StateObserved():
                self._observe(change)
            case JobAccepted():
                self._accept(change)
            case TaskGivenUp():
                self._give_up(change)
            case CancelRequested():
                self._cancel(change)
            case ThrottleOrdered():
                self._throttle(change)
            case JobForgotten():
                self._forget(change)

    def put_job(self, job: Job) -> None:
        self._jobs[job.job_id] = job
        self._job_ids[job.number] = job.job_id

    def put_task(self, task: Task) -> None:
        self._tasks[task.task_id] = task
        worker_id = task.worker_id
        if not task.holds_reservation or worker_id is None:
            queue = self._urgent if task.shape.urgent else self._waiting
            queue.put(task.job_id, task)
            return
        self._on_worker.put(worker_id, task)
        self._reserve(task, worker_id, self._reserved.get(worker_id, NO_RESOURCES))

    def _accept(self, change: JobAccepted) -> None:
        if change.job_id in self._jobs or change.number != self.next_number:
            raise ImpossibleChangeError(f"job {change.job_id} is accepted twice")
        self.next_number = JobNumber(change.number + 1)
        job = Job(change.job_id, change.number, change.shape, change.task_count, change.time)
        self.put_job(job)
        for index in range(change.task_count):
            self.put_task(new_task(job, index))

    def _start(self, change: StartIntended) -> None:
        task = self._open_task(change.number, change.index)
        if task.holds_reservation or change.attempt != task.attempt + 1:
            raise ImpossibleChangeError(
                f"attempt {change.attempt} of {task.task_id} can't start while {task.state.value} "
                f"at attempt {task.attempt}"
            )
        self._drop(task)
        declared = task.shape.resources
        reservation = declared if change.reservation is None else Resources(*change.reservation)
        self.put_task(
            replace(
                task,
                state=TaskState.STARTING,
                attempt=change.attempt,
                worker_id=change.worker_id,
                reservation=reservation,
                since=change.time,
                millicores_limit=None,
                reason="",
            )
        )

    def _end_attempt(self, change: EndRecorded) -> None:
        task = self._open_task(change.number, change.index)
        may_end = task.holds_reservation or change.outcome is AttemptOutcome.FINISHED
        if not may_end or change.attempt != task.attempt:
            raise ImpossibleChangeError(f"attempt {change.attempt} of {task.task_id} is not open")
        self._drop(task)
        if change.outcome is AttemptOutcome.FINISHED:
            self._end_task(task, TaskState.FINISHED, change.time, change.reason)
        elif task.state is TaskState.CANCELLING:
            self._end_task(task, TaskState.CANCELLED, change.time, change.reason)
        else:
            self.put_task(_after_attempt(task, change))

    def _give_up(self, change: TaskGivenUp) -> None:
        task = self._open_task(change.number, change.index)
        if task.holds_reservation:
            raise ImpossibleChangeError(f"{task.task_id} can't be given up while it may run")
        self._drop(task)
        self._end_task(task, TaskState.FAILED, change.time, change.reason)

    def _cancel(self, change: CancelRequested) -> None:
        job = self._job(change.number)
        indexes: Iterable[int] = range(job.task_count)
        if change.index is None:
            self.put_job(replace(job, cancelled=True))
        else:
            indexes = (change.index,)
        for index in indexes:
            task = self._tasks.get(task_id_of(job.job_id, index))
            if task is not None:
                self._cancel_task(task, change.time)

    def _cancel_task(self, task: Task, time: float) -> None:
        if task.state is TaskState.CANCELLING:
            return
        if task.holds_reservation:
            cancelling = replace(
                task, state=TaskState.CANCELLING, since=time, reason="cancelled by an operator"
            )
            self._replace_placed(cancelling)
            return
        self._drop(task)
        self._end_task(task, TaskState.CANCELLED, time, "cancelled by an operator")

    def _observe(self, change: StateObserved) -> None:
        task = self._tasks.get(change.task_id)
        if task is None or not task.holds_reservation or task.attempt != change.attempt:
            return
        progress = max(task.progress, change.progress)
        if task.state is TaskState.CANCELLING or (
            task.state is TaskState.EVICTING and change.state is TaskState.RUNNING
        ):
            self._replace_placed(replace(task, progress=progress))
            return
        since = task.since if task.state is change.state else change.time
        reason = change.reason or task.reason
        self._replace_placed(
            replace(task, state=change.state, progress=progress, since=since, reason=reason)
        )

    def _throttle(self, change: ThrottleOrdered) -> None:
        task = self._tasks.get(change.task_id)
        if task is not None and task.holds_reservation and task.attempt == change.attempt:
            limit = change.millicores
            self._replace_placed(replace(task, millicores_limit=limit, reason=change.reason))

    def _forget(self, change: JobForgotten) -> None:
        job = self._job(change.number)
        if job.open_count:
            raise ImpossibleChangeError(f"job {job.job_id} still has open tasks")
        del self._jobs[job.job_id]
        del self._job_ids[job.number]

    def _job(self, number: JobNumber) -> Job:
        job_id = self._job_ids.get(number)
        if job_id is None:
            raise ImpossibleChangeError(f"there is no job number {number}")
        return self._jobs[job_id]

    def _open_task(self, number: JobNumber, index: int) -> Task:
        task = self._tasks.get(task_id_of(self._job(number).job_id, index))
        if task is None:
            raise ImpossibleChangeError(f"task {index} of job number {number} is not open")
        return task

    def _replace_placed(self, task: Task) -> None:
        self._tasks[task.task_id] = task
        if task.worker_id is not None:
            self._on_worker.put(task.worker_id, task)

    def _reserve(self, task: Task, worker_id: WorkerId, before: Resources) -> None:
        self._reserved[worker_id] = before + task.reservation
        if task.shape.service is None:
            team = task.shape.team
            held = self._team_reserved.get(team, NO_RESOURCES)
            self._team_reserved[team] = held + task.reservation

    def _drop(self, task: Task) -> None:
        del self._tasks[task.task_id]
        worker_id = task.worker_id
        if not task.holds_reservation or worker_id is None:
            queue = self._urgent if task.shape.urgent else self._waiting
            queue.drop(task.job_id, task)
            return
        self._on_worker.drop(worker_id, task)
        if worker_id in self._on_worker:
            self._reserved[worker_id] = self._reserved[worker_id] - task.reservation
        else:
            del self._reserved[worker_id]
        if task.shape.service is None:
            team = task.shape.team
            self._team_reserved[team] = self._team_reserved[team] - task.reservation

    def _end_task(self, task: Task, state: TaskState, time: float, reason: str) -> None:
        job = self._jobs[task.job_id]
        failures = job.failures
        if state is TaskState.FAILED and len(failures) < FAILURES_KEPT:
            failures = (*failures, TaskEnd(task.index, state, reason))
        job = replace(
            job,
            finished_count=job.finished_count + (state is TaskState.FINISHED),
            failed_count=job.failed_count + (state is TaskState.FAILED),
            cancelled_count=job.cancelled_count + (state is TaskState.CANCELLED),
            failures=failures,
        )
        self.put_job(replace(job, ended=None if job.open_count else time))


def new_task(job: Job, index: int) -> Task:
    """Return the task at ``index`` of a job in its initial state."""
    return Task(
        task_id_of(job.job_id, index),
        job.job_id,
        job.number,
        index,
        job.shape,
        TaskState.WAITING,
        submitted=job.submitted,
        since=job.submitted,
    )


def _after_attempt(task: Task, change: EndRecorded) -> Task:
    failed = change.outcome is AttemptOutcome.FAILED
    evicted = change.outcome in (AttemptOutcome.STOPPED, AttemptOutcome.LAPSED)
    failed_on = task.failed_on
    if failed and task.worker_id is not None:
        failed_on = (*failed_on, task.worker_id)
    refused_by: tuple[WorkerId, ...] = ()
    if change.outcome is AttemptOutcome.REFUSED and task.worker_id is not None:
        refused_by = (*task.refused_by, task.worker_id)[-REFUSALS_KEPT:]
    return replace(
        task,
        state=TaskState.EVICTED if evicted else TaskState.WAITING,
        since=change.time,
        worker_id=None,
        reservation=NO_RESOURCES,
        progress=max(task.progress, change.progress),
        failed_on=failed_on,
        refused_by=refused_by,
        evictions=task.evictions + evicted,
        millicores_limit=None,
        reason=change.reason,
    )


def attempt_after(task: Task) -> AttemptNumber:
    """Return the number of the task's next attempt."""
    return AttemptNumber(task.attempt + 1)
