"""The state machine of one partition of the planner, built around the task table.

Each step returns the next state and the durable changes that produced it. The caller must store the
changes in order. Only then may it answer the submitter and call ``mark_stored``, which releases the
starts among the changes for sending.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

from .._ids import JobId, TaskId
from ._attempts import (
    AttemptKey,
    StaleRun,
    evaluate_report,
    fence_attempt,
    is_silent,
    lapsed_attempts,
    latest_reports,
    record_region_report,
    record_worker_reports,
    remove_ended_fences,
)
from ._command_checks import CommandChecker
from ._partition_state import Partition, Refusal, RegionReport, Step, Submission
from ._placement_policy import (
    AttemptEnded,
    AttemptStarted,
    CheckpointAndEvict,
    PlacementPolicy,
    PlacementView,
    RunSample,
    SamplesTaken,
)
from ._replicas import replica_changes
from ._runs import RunReport, RunState, StartOrder
from ._task_changes import (
    AttemptOutcome,
    CancelRequested,
    DurableChange,
    EndRecorded,
    JobAccepted,
    JobForgotten,
    StartIntended,
    StateObserved,
    TableChange,
    TaskGivenUp,
    ThrottleOrdered,
)
from ._task_table import TaskTable
from ._tasks import Job, Task, TaskState

MAX_TASKS_PER_JOB = 50_000
DISTINCT_WORKERS_TO_GIVE_UP = 3
"""A task that failed on this many different workers is at fault itself and is given up."""
FAILURES_TO_GIVE_UP = 8
"""A task that failed this many times is given up, on whichever workers it failed."""


def submit(partition: Partition, submission: Submission, now: float) -> Step | Refusal:
    """Accept a job or return why it is refused. Resubmitting an accepted job is a no-op."""
    known = partition.table.jobs.get(submission.job_id)
    if known is not None:
        if known.shape == submission.shape and known.task_count == submission.tasks:
            return Step(partition)
        return Refusal(f"job {submission.job_id} exists with other contents", permanent=True)
    refusal = _refusal(partition, submission)
    if refusal is not None:
        return refusal
    number = partition.table.next_number
    accepted = JobAccepted(number, submission.job_id, submission.shape, submission.tasks, now)
    return _apply_changes(partition, [accepted])


def cancel(partition: Partition, job_id: JobId, index: int | None, now: float) -> Step | None:
    """Cancel a job, or only its task at ``index``. Returns None if there is no such job."""
    job = partition.table.jobs.get(job_id)
    if job is None:
        return None
    if job.cancelled or not job.open_count:
        return Step(partition)
    return _apply_changes(partition, [CancelRequested(job.number, index, now)])


def evict(partition: Partition, task_ids: Iterable[TaskId], reason: str, now: float) -> Step:
    """Checkpoint and evict running tasks at an operator's request; other tasks are ignored."""
    commands = tuple(CheckpointAndEvict(task_id, reason) for task_id in task_ids)
    return _apply_changes(partition, CommandChecker(partition, now).changes(commands))


def apply_report(
    partition: Partition,
    runs: Iterable[RunReport],
    now: float,
    region_report: RegionReport | None = None,
) -> Step:
    """Apply the platform's reports on attempts.

    ``region_report`` is set for a complete report on a region, and None for the answer to a single
    order. The latter doesn't show that a worker is alive, since the platform may answer on behalf
    of the worker, nor that other workers are silent.
    """
    latest = tuple(latest_reports(runs))
    verdicts = [evaluate_report(partition.table, run, now) for run in latest]
    stale = tuple(verdict for verdict in verdicts if isinstance(verdict, StaleRun))
    changes = [
        verdict for verdict in verdicts if verdict is not None and not isinstance(verdict, StaleRun)
    ]
    leases = partition.leases
    if region_report is not None:
        leases = record_region_report(
            record_worker_reports(leases, latest, now),
            region_report.region,
            region_report.requested_at,
        )
    samples = tuple(_usage_samples(partition, latest, now))
    policy = partition.policy
    if samples:
        policy = policy.observe(SamplesTaken(now, samples))
    step = _apply_changes(replace(partition, leases=leases, policy=policy), changes)
    return replace(step, stale=stale)


def apply_timeouts(partition: Partition, now: float) -> Step:
    """End attempts whose leases have expired, and forget jobs that ended long ago."""
    leases = remove_ended_fences(partition.table, partition.leases)
    partition = replace(partition, leases=leases)
    over = lapsed_attempts(partition.table, leases, partition.workers, now, partition.rules.leases)
    first = _apply_changes(partition, over)
    second = _apply_changes(first.partition, tuple(_old_jobs(first.partition, now)))
    return Step(second.partition, first.changes + second.changes)


def place(partition: Partition, now: float) -> Step:
    """Run a round of placement and apply the policy's commands that pass the checks."""
    view = placement_view(partition, now)
    checker = CommandChecker(partition, now)
    changes = list(checker.changes(partition.policy.decide(view)))
    step = _apply_changes(partition, changes)
    dropped = partition.dropped_commands + checker.dropped
    throttles = tuple(change for change in changes if isinstance(change, ThrottleOrdered))
    after = replace(step.partition, dropped_commands=dropped)
    return replace(step, partition=after, throttles=throttles)


def placement_view(partition: Partition, now: float) -> PlacementView:
    """Return the view of the partition that the policy decides on."""
    return PlacementView(
        now,
        partition.workers,
        partition.table.reserved,
        partition.table.on_worker,
        partition.table.waiting,
        partition.table.urgent,
        partition.table.team_reserved,
        partition.teams,
        partition.services,
        partition.weights,
        partition.rules.most_starts,
    )


def reconcile_replicas(partition: Partition, number: int, count: int, now: float) -> Step:
    """Accept and cancel replicas of services to match the numbers in the contracts.

    ``number`` is the index of this partition among ``count`` partitions, which share the replicas
    of each service.
    """
    services = partition.services
    return _apply_changes(partition, replica_changes(partition.table, services, number, count, now))


def mark_stored(partition: Partition, changes: Iterable[DurableChange], now: float) -> Partition:
    """Record that ``changes`` are durable, so that the starts among them may be sent."""
    ready = {
        key: due for key, due in partition.ready_starts.items() if _awaits_start(partition, key)
    }
    for change in changes:
        if isinstance(change, StartIntended):
            task = partition.table.task_at(change.number, change.index)
            if task is not None and task.attempt == change.attempt:
                ready[task.task_id, change.attempt] = now
    return replace(partition, ready_starts=ready)


def take_due_starts(partition: Partition, now: float) -> tuple[Partition, tuple[StartOrder, ...]]:
    """Return the starts to send now; each is repeated until the platform has confirmed it."""
    orders: list[StartOrder] = []
    ready: dict[AttemptKey, float] = {}
    for key, due in partition.ready_starts.items():
        if not _awaits_start(partition, key):
            continue
        ready[key] = due
        if due <= now and key not in partition.leases.fenced:
            ready[key] = now + partition.rules.start_retry_seconds
            orders.append(_start_order(partition, partition.table.tasks[key[0]]))
    return replace(partition, ready_starts=ready), tuple(orders)


def tasks_to_stop(partition: Partition) -> Iterator[Task]:
    """Yield the tasks whose attempts must be stopped.

    These are attempts being evicted or cancelled, attempts on silent workers, and fenced attempts.
    The lease of an attempt is no longer renewed once the platform has been told to stop it. If its
    worker reconnects, repeating the order ends the attempt before the lease does.
    """
    leases = partition.leases
    for task in partition.table.tasks_holding_reservation():
        stopping = task.state in (TaskState.EVICTING, TaskState.CANCELLING)
        fenced = (task.task_id, task.attempt) in leases.fenced
        if stopping or fenced or is_silent(task, leases, partition.workers, partition.rules.leases):
            yield task


def record_stop_answer(partition: Partition, key: AttemptKey, now: float) -> Partition:
    """Record that the platform confirmed the order to stop an attempt."""
    return replace(partition, leases=fence_attempt(partition.leases, key, now))


def _refusal(partition: Partition, submission: Submission) -> Refusal | None:
    if not 0 < submission.tasks <= MAX_TASKS_PER_JOB:
        return Refusal(f"a job has 1 to {MAX_TASKS_PER_JOB} tasks", permanent=True)
    reason = partition.policy.infeasible(submission.shape, partition.workers, partition.teams)
    if reason:
        return Refusal(reason, permanent=True)
    if len(partition.table.tasks) + submission.tasks > partition.rules.most_open_tasks:
        return Refusal("the partition has no room for so many more open tasks", permanent=False)
    return None


def _apply_changes(partition: Partition, changes: Iterable[TableChange]) -> Step:
    changes = tuple(changes)
    if not changes:
        return Step(partition)
    table = partition.table.apply(changes)
    policy = _observe_changes(partition, table, changes)
    given_up = tuple(_give_up_failed_tasks(table, changes, len(partition.workers)))
    if given_up:
        table = table.apply(given_up)
    durable = tuple(
        change for change in changes if not isinstance(change, StateObserved | ThrottleOrdered)
    )
    return Step(replace(partition, table=table, policy=policy), durable + given_up)


def _give_up_failed_tasks(
    table: TaskTable, changes: Iterable[TableChange], worker_count: int
) -> Iterator[TaskGivenUp]:
    for change in changes:
        if not isinstance(change, EndRecorded) or change.outcome is not AttemptOutcome.FAILED:
            continue
        task = table.task_at(change.number, change.index)
        if task is not None and _exceeds_failure_limit(task, worker_count):
            workers = len(set(task.failed_on))
            reason = (
                f"failed {len(task.failed_on)} times on {workers} workers, last: {change.reason}"
            )
            yield TaskGivenUp(change.number, change.index, change.time, reason)


def _exceeds_failure_limit(task: Task, worker_count: int) -> bool:
    distinct = min(DISTINCT_WORKERS_TO_GIVE_UP, max(worker_count, 1))
    return len(set(task.failed_on)) >= distinct or len(task.failed_on) >= FAILURES_TO_GIVE_UP


def _old_jobs(partition: Partition, now: float) -> Iterator[JobForgotten]:
    for job in partition.table.jobs.values():
        if _is_old(job, now - partition.rules.keep_ended_seconds):
            yield JobForgotten(job.number)


def _is_old(job: Job, ended_before: float) -> bool:
    return job.ended is not None and job.ended < ended_before


def _awaits_start(partition: Partition, key: AttemptKey) -> bool:
    task = partition.table.tasks.get(key[0])
    return task is not None and task.state is TaskState.STARTING and task.attempt == key[1]


def _start_order(partition: Partition, task: Task) -> StartOrder:
    assert task.worker_id is not None
    return StartOrder(
        task.task_id,
        task.attempt,
        task.worker_id,
        task.reservation,
        task.shape.run_seconds,
        task.progress,
        partition.rules.leases.lease,
    )


def _usage_samples(
    partition: Partition, runs: Iterable[RunReport], now: float
) -> Iterator[RunSample]:
    for run in runs:
        task = partition.table.tasks.get(run.task_id)
        if task is None or run.state is not RunState.RUNNING or task.attempt != run.attempt:
            continue
        measured_at = now - run.age_seconds
        yield RunSample(task, measured_at, run.used, run.progress, run.tail_milliseconds)


def _observe_changes(
    before: Partition, table: TaskTable, changes: Iterable[TableChange]
) -> PlacementPolicy:
    policy = before.policy
    for change in changes:
        if isinstance(change, StartIntended):
            task = table.task_at(change.number, change.index)
            if task is not None:
                policy = policy.observe(AttemptStarted(change.time, task))
        elif isinstance(change, EndRecorded):
            task = before.table.task_at(change.number, change.index)
            if task is not None:
                ended = AttemptEnded(change.time, task, change.outcome, change.reason)
                policy = policy.observe(ended)
    return policy
