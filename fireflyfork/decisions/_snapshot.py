"""The snapshot of a task table and its stored form."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

import msgspec

from .._decoding import decode_msgpack
from .._errors import InvalidDataError
from .._ids import AttemptNumber, ChangeId, JobId, MemberId, TaskId, WorkerId
from .._machines import Resources
from ._journal import JournalError
from ._stored_bytes import StoredBytesError, pack, unpack
from ._task_changes import ResourceTriple, to_triple
from ._task_table import TaskTable, build_table, new_task
from ._tasks import Job, JobNumber, Task, TaskEnd, TaskShape, TaskState, task_id_of


class _StoredJob(msgspec.Struct, frozen=True, array_like=True):
    number: JobNumber
    job_id: JobId
    shape: TaskShape
    task_count: int
    submitted: float
    cancelled: bool
    finished_count: int
    failed_count: int
    cancelled_count: int
    failures: tuple[TaskEnd, ...]
    ended: float | None


class _StoredTask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A task that has been started at least once."""

    number: JobNumber
    index: int
    state: TaskState
    since: float
    attempt: AttemptNumber
    worker_id: WorkerId | None
    reservation: ResourceTriple | None
    progress: float
    failed_on: tuple[WorkerId, ...]
    evictions: int
    reason: str
    refused_by: tuple[WorkerId, ...] = ()


class _NewTasks(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A range of consecutive tasks of one job that have never been started, ends included."""

    number: JobNumber
    first: int
    last: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A complete task table, and the number of the last segment that it includes."""

    sequence: int
    change_id: ChangeId
    owner: MemberId
    next_number: JobNumber
    jobs: tuple[_StoredJob, ...]
    holding: tuple[_StoredTask, ...]
    """Tasks with an attempt that may run."""
    queue: tuple[_StoredTask | _NewTasks, ...] = ()
    """Tasks to place: the ordinary tasks, then the urgent tasks, each in order of arrival."""


def encode_snapshot(table: TaskTable, sequence: int, change_id: ChangeId, owner: MemberId) -> bytes:
    """Encode the table as it is after segment ``sequence`` in the stored form."""
    snapshot = Snapshot(
        sequence,
        change_id,
        owner,
        table.next_number,
        tuple(_store_job(job) for job in table.jobs.values()),
        tuple(_store_task(task) for task in table.tasks_holding_reservation()),
        (
            *_store_queue(table.waiting.values()),
            *_store_queue(table.urgent.values()),
        ),
    )
    return pack(msgspec.msgpack.encode(snapshot))


def decode_snapshot(value: bytes) -> Snapshot:
    """Decode the stored form. Raises JournalError if the value is malformed."""
    try:
        return decode_msgpack(unpack(value), Snapshot)
    except (InvalidDataError, StoredBytesError) as error:
        raise JournalError(f"a snapshot can't be read: {error}") from error


def table_of(snapshot: Snapshot) -> TaskTable:
    """Return the table in a snapshot, with attempts that may run in the state STARTING.

    State that only the platform has, such as whether an attempt is running, is learned again from
    its reports.
    """
    jobs = {job.number: _load_job(job) for job in snapshot.jobs}
    return build_table(jobs.values(), _load_tasks(snapshot, jobs), snapshot.next_number)


def _store_job(job: Job) -> _StoredJob:
    return _StoredJob(
        job.number,
        job.job_id,
        job.shape,
        job.task_count,
        job.submitted,
        job.cancelled,
        job.finished_count,
        job.failed_count,
        job.cancelled_count,
        job.failures,
        job.ended,
    )


def _load_job(stored: _StoredJob) -> Job:
    return Job(
        stored.job_id,
        stored.number,
        stored.shape,
        stored.task_count,
        stored.submitted,
        stored.cancelled,
        stored.finished_count,
        stored.failed_count,
        stored.cancelled_count,
        stored.failures,
        stored.ended,
    )


def _store_task(task: Task) -> _StoredTask:
    state = task.state
    if state in (TaskState.RUNNING, TaskState.EVICTING):
        state = TaskState.STARTING
    as_declared = task.reservation == task.shape.resources
    return _StoredTask(
        task.number,
        task.index,
        state,
        task.since,
        task.attempt,
        task.worker_id,
        None if as_declared else to_triple(task.reservation),
        task.progress,
        task.failed_on,
        task.evictions,
        task.reason,
        task.refused_by,
    )


def _store_queue(
    groups: Iterable[Mapping[TaskId, Task]],
) -> Iterator[_StoredTask | _NewTasks]:
    run: _NewTasks | None = None
    for task in chain.from_iterable(group.values() for group in groups):
        if task.attempt == 0:
            if run is not None and run.number == task.number and run.last + 1 == task.index:
                run = _NewTasks(run.number, run.first, task.index)
                continue
            if run is not None:
                yield run
            run = _NewTasks(task.number, task.index, task.index)
            continue
        if run is not None:
            yield run
            run = None
        yield _store_task(task)
    if run is not None:
        yield run


def _load_tasks(snapshot: Snapshot, jobs: dict[JobNumber, Job]) -> Iterator[Task]:
    for stored in snapshot.holding:
        yield _load_task(stored, jobs[stored.number])
    for entry in snapshot.queue:
        if isinstance(entry, _StoredTask):
            yield _load_task(entry, jobs[entry.number])
        else:
            for index in range(entry.first, entry.last + 1):
                yield new_task(jobs[entry.number], index)


def _load_task(stored: _StoredTask, job: Job) -> Task:
    reservation = job.shape.resources
    if stored.reservation is not None:
        reservation = Resources(*stored.reservation)
    return Task(
        task_id_of(job.job_id, stored.index),
        job.job_id,
        job.number,
        stored.index,
        job.shape,
        stored.state,
        job.submitted,
        stored.since,
        stored.attempt,
        stored.worker_id,
        reservation,
        stored.progress,
        stored.failed_on,
        stored.refused_by,
        stored.evictions,
        reason=stored.reason,
    )
