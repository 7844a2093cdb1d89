"""Builds the operators' views of jobs and tasks from a partition's task table."""

from __future__ import annotations

from collections import Counter

from ..decisions import Job, Partition, Reason, Task, TaskState, placement_view, task_id_of
from ._batch_messages import JobStatus, TaskExplanation, TaskFailure


def job_status(partition: Partition, job: Job) -> JobStatus:
    """Return the status of a job, with its tasks counted by state."""
    states = Counter(
        {
            TaskState.FINISHED.value: job.finished_count,
            TaskState.FAILED.value: job.failed_count,
            TaskState.CANCELLED.value: job.cancelled_count,
        }
    )
    if job.open_count:
        tasks = partition.table.tasks
        for index in range(job.task_count):
            task = tasks.get(task_id_of(job.job_id, index))
            if task is not None:
                states[task.state.value] += 1
    failures = tuple(
        TaskFailure(task_id_of(job.job_id, end.index), end.reason) for end in job.failures
    )
    counts = {state: count for state, count in states.items() if count}
    return JobStatus(job.job_id, _job_state(job), job.task_count, counts, job.submitted, failures)


def explain_task(partition: Partition, job: Job, index: int, now: float) -> TaskExplanation | None:
    """Return the state of a task and the reason for it, or None if the job has no such task."""
    if not 0 <= index < job.task_count:
        return None
    task = partition.table.tasks.get(task_id_of(job.job_id, index))
    if task is None:
        return _explain_ended(job, index)
    why = None
    if not task.holds_reservation:
        why = partition.policy.why_waiting(task, placement_view(partition, now))
    return TaskExplanation(
        task.task_id,
        task.state.value,
        _describe_task(partition, task, why),
        task.attempt,
        task.worker_id,
        task.progress,
        task.evictions,
        task.failed_on,
        task.reason,
        None if why is None else dict(why.as_json()),
    )


def _job_state(job: Job) -> str:
    if job.open_count:
        return "open"
    if job.failed_count:
        return "failed"
    return "cancelled" if job.cancelled_count else "finished"


def _explain_ended(job: Job, index: int) -> TaskExplanation:
    task_id = task_id_of(job.job_id, index)
    for end in job.failures:
        if end.index == index:
            return TaskExplanation(
                task_id, end.state.value, f"failed: {end.reason}", reason=end.reason
            )
    possible = [
        state.value
        for state, count in (
            (TaskState.FINISHED, job.finished_count),
            (TaskState.FAILED, job.failed_count - len(job.failures)),
            (TaskState.CANCELLED, job.cancelled_count),
        )
        if count
    ]
    state = possible[0] if len(possible) == 1 else "ended"
    return TaskExplanation(task_id, state, f"it has ended ({' or '.join(possible)})")


def _describe_task(partition: Partition, task: Task, why: Reason | None) -> str:
    if task.holds_reservation:
        reason = f": {task.reason}" if task.reason else ""
        return f"attempt {task.attempt} is {task.state.value} on {task.worker_id}{reason}"
    previous_attempt = f"{task.state.value} after attempt {task.attempt} ({task.reason})"
    summary = previous_attempt if task.attempt else "accepted and not started yet"
    if why is not None:
        return f"{summary}: {why.sentence()}"
    size = task.shape.resources
    workers_with_room = sum(
        size.fits_in(worker.capacity - partition.table.reserved.get(worker_id, size - size))
        for worker_id, worker in partition.workers.items()
    )
    if not workers_with_room:
        return f"{summary}; no worker has room for its declared size now"
    return f"{summary}; {workers_with_room} workers have room for its declared size, so a quota or a turn is awaited"
