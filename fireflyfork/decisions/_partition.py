"""One partition of the planner: a pure state machine around the task table.

Each step gives the next state and the durable changes that led to it. The caller stores the changes
in order; only then may it answer the submitter, and only then does ``stored`` make the starts
among them ready to be sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from .._contracts import ServiceContract, TeamContract, Weights
from .._ids import JobId, RegionName, ServiceName, TaskId, TeamName, WorkerId
from .._machines import Resources, Worker
from ._attempts import (
    AttemptKey,
    LeaseRules,
    LeaseState,
    StaleRun,
    fence,
    forget_ended,
    hear,
    hear_region,
    is_silent,
    judge_report,
    lapsed,
    latest_reports,
)
from ._placement_policy import (
    AttemptEnded,
    AttemptStarted,
    CheckpointAndEvict,
    FirstFitPolicy,
    PlacementCommand,
    PlacementPolicy,
    PlacementView,
    Refuse,
    RunSample,
    SamplesTaken,
    Start,
    Throttle,
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
    to_triple,
)
from ._task_table import TaskTable, attempt_after
from ._tasks import NO_RESOURCES, Job, Task, TaskShape, TaskState

MOST_TASKS_OF_A_JOB = 50_000
DISTINCT_WORKERS_TO_GIVE_UP = 3
"""A task that failed on so many different workers accuses itself, not them."""
FAILURES_TO_GIVE_UP = 8
"""A task that failed so often, wherever it was, is given up."""


@dataclass(frozen=True, slots=True)
class PlanningRules:
    """The limits of one partition."""

    leases: LeaseRules = field(default_factory=LeaseRules)
    most_open_tasks: int = 100_000
    """A job that would exceed it is refused for now."""
    most_starts: int = 500
    """Starts in one round of placement."""
    start_retry_seconds: float = 5.0
    """A start that nothing was heard of is sent again after so long."""
    keep_ended_seconds: float = 86_400.0
    """A job that ended is forgotten after so long."""


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as it is submitted."""

    job_id: JobId
    shape: TaskShape
    tasks: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job was not accepted."""

    reason: str
    permanent: bool
    """Whether the same job would be refused later, too."""


@dataclass(frozen=True, slots=True)
class Partition:
    """The state of one partition at its owner."""

    table: TaskTable
    leases: LeaseState
    policy: PlacementPolicy = field(default_factory=FirstFitPolicy)
    workers: Mapping[WorkerId, Worker] = field(default_factory=dict)
    teams: Mapping[TeamName, TeamContract] = field(default_factory=dict)
    services: Mapping[ServiceName, ServiceContract] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    rules: PlanningRules = field(default_factory=PlanningRules)
    ready: Mapping[AttemptKey, float] = field(default_factory=dict)
    """Starts with a stored intent that the platform has not confirmed, and when to send each."""
    dropped_commands: int = 0
    """Commands of the policy that no longer held when the table checked them."""

    @classmethod
    def at_takeover(
        cls, table: TaskTable, policy: PlacementPolicy, now: float, rules: PlanningRules
    ) -> Partition:
        """The state right after recovery: every stored attempt may be running."""
        for task in table.holding():
            policy = policy.observe(AttemptStarted(now, task))
        ready = {
            (task.task_id, task.attempt): now
            for task in table.holding()
            if task.state is TaskState.STARTING
        }
        return cls(table, LeaseState.at_takeover(now), policy, rules=rules, ready=ready)


@dataclass(frozen=True, slots=True)
class WholeReport:
    """That a report covers everything that changed in a region."""

    region: RegionName
    asked: float
    """When it was asked for, in seconds since 1970."""


@dataclass(frozen=True, slots=True)
class Step:
    """The next state, and what led to it."""

    partition: Partition
    changes: tuple[DurableChange, ...] = ()
    """To be stored, in order, after those of earlier steps."""
    stale: tuple[StaleRun, ...] = ()
    """Attempts to stop at once."""
    throttles: tuple[ThrottleOrdered, ...] = ()
    """Limits to set at once."""


def submit(partition: Partition, submission: Submission, now: float) -> Step | Refusal:
    """Accept a job, or say why not. Repeating an accepted job changes nothing."""
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
    return _applied(partition, [accepted])


def cancel(partition: Partition, job_id: JobId, index: int | None, now: float) -> Step | None:
    """Cancel a job, or the task at ``index`` of it. None when there is no such job."""
    job = partition.table.jobs.get(job_id)
    if job is None:
        return None
    if job.cancelled or not job.open_count:
        return Step(partition)
    return _applied(partition, [CancelRequested(job.number, index, now)])


def evict(partition: Partition, task_ids: Iterable[TaskId], reason: str, now: float) -> Step:
    """Checkpoint and evict running tasks on an operator's word; others are left alone."""
    commands = tuple(CheckpointAndEvict(task_id, reason) for task_id in task_ids)
    return _applied(partition, _CommandChecker(partition, now).changes(commands))


def take_report(
    partition: Partition, runs: Iterable[RunReport], now: float, whole: WholeReport | None = None
) -> Step:
    """Take in what the platform says.

    Answers to single orders come without ``whole``. They don't show that a worker is alive, since
    the platform may give them in its stead, nor that others are silent.
    """
    latest = tuple(latest_reports(runs))
    verdicts = [judge_report(partition.table, run, now) for run in latest]
    stale = tuple(verdict for verdict in verdicts if isinstance(verdict, StaleRun))
    changes = [
        verdict for verdict in verdicts if verdict is not None and not isinstance(verdict, StaleRun)
    ]
    leases = partition.leases
    if whole is not None:
        leases = hear_region(hear(leases, latest, now), whole.region, whole.asked)
    samples = tuple(_samples(partition, latest, now))
    policy = partition.policy
    if samples:
        policy = policy.observe(SamplesTaken(now, samples))
    step = _applied(replace(partition, leases=leases, policy=policy), changes)
    return replace(step, stale=stale)


def take_time(partition: Partition, now: float) -> Step:
    """Judge silent workers, lapsed leases and failures, and forget old jobs."""
    leases = forget_ended(partition.table, partition.leases)
    partition = replace(partition, leases=leases)
    over = lapsed(partition.table, leases, partition.workers, now, partition.rules.leases)
    first = _applied(partition, over)
    second = _applied(first.partition, tuple(_old_jobs(first.partition, now)))
    return Step(second.partition, first.changes + second.changes)


def place(partition: Partition, now: float) -> Step:
    """Ask the policy what to do, and do of it what still holds."""
    view = placement_view(partition, now)
    checker = _CommandChecker(partition, now)
    changes = list(checker.changes(partition.policy.decide(view)))
    step = _applied(partition, changes)
    dropped = partition.dropped_commands + checker.dropped
    throttles = tuple(change for change in changes if isinstance(change, ThrottleOrdered))
    after = replace(step.partition, dropped_commands=dropped)
    return replace(step, partition=after, throttles=throttles)


def placement_view(partition: Partition, now: float) -> PlacementView:
    """What the policy may look at."""
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


def keep_replicas(partition: Partition, number: int, count: int, now: float) -> Step:
    """Accept and cancel replicas of services until they are as many as contracts ask for.

    This is partition ``number`` of ``count``, which share the replicas of each service.
    """
    services = partition.services
    return _applied(partition, replica_changes(partition.table, services, number, count, now))


def stored(partition: Partition, changes: Iterable[DurableChange], now: float) -> Partition:
    """The state once ``changes`` are durable: the starts among them may now be sent."""
    ready = {key: due for key, due in partition.ready.items() if _awaits_start(partition, key)}
    for change in changes:
        if isinstance(change, StartIntended):
            task = partition.table.task_at(change.number, change.index)
            if task is not None and task.attempt == change.attempt:
                ready[task.task_id, change.attempt] = now
    return replace(partition, ready=ready)


def take_starts(partition: Partition, now: float) -> tuple[Partition, tuple[StartOrder, ...]]:
    """The starts to send now. Each comes again later until the platform has confirmed it."""
    orders: list[StartOrder] = []
    ready: dict[AttemptKey, float] = {}
    for key, due in partition.ready.items():
        if not _awaits_start(partition, key):
            continue
        ready[key] = due
        if due <= now and key not in partition.leases.fenced:
            ready[key] = now + partition.rules.start_retry_seconds
            orders.append(_start_order(partition, partition.table.tasks[key[0]]))
    return replace(partition, ready=ready), tuple(orders)


def to_stop(partition: Partition) -> Iterator[Task]:
    """The attempts to stop: evicted and cancelled ones, and those that are or were on silent workers.

    Once the platform was told to stop an attempt, its lease is not renewed any more. Should the
    worker come back, being told again ends it sooner than the lease does.
    """
    leases = partition.leases
    for task in partition.table.holding():
        stopping = task.state in (TaskState.EVICTING, TaskState.CANCELLING)
        fenced = (task.task_id, task.attempt) in leases.fenced
        if stopping or fenced or is_silent(task, leases, partition.workers, partition.rules.leases):
            yield task


def stop_answered(partition: Partition, key: AttemptKey, now: float) -> Partition:
    """The state once the platform has answered an order to stop an attempt."""
    return replace(partition, leases=fence(partition.leases, key, now))


def _refusal(partition: Partition, submission: Submission) -> Refusal | None:
    if not 0 < submission.tasks <= MOST_TASKS_OF_A_JOB:
        return Refusal(f"a job has 1 to {MOST_TASKS_OF_A_JOB} tasks", permanent=True)
    reason = partition.policy.infeasible(submission.shape, partition.workers, partition.teams)
    if reason:
        return Refusal(reason, permanent=True)
    if len(partition.table.tasks) + submission.tasks > partition.rules.most_open_tasks:
        return Refusal("the partition has no room for so many more open tasks", permanent=False)
    return None


def _applied(partition: Partition, changes: Iterable[TableChange]) -> Step:
    changes = tuple(changes)
    if not changes:
        return Step(partition)
    table = partition.table.apply(changes)
    policy = _learned(partition, table, changes)
    given_up = tuple(_given_up(table, changes, len(partition.workers)))
    if given_up:
        table = table.apply(given_up)
    durable = tuple(
        change for change in changes if not isinstance(change, StateObserved | ThrottleOrdered)
    )
    return Step(replace(partition, table=table, policy=policy), durable + given_up)


def _given_up(
    table: TaskTable, changes: Iterable[TableChange], worker_count: int
) -> Iterator[TaskGivenUp]:
    for change in changes:
        if not isinstance(change, EndRecorded) or change.outcome is not AttemptOutcome.FAILED:
            continue
        task = table.task_at(change.number, change.index)
        if task is not None and _is_hopeless(task, worker_count):
            workers = len(set(task.failed_on))
            reason = (
                f"failed {len(task.failed_on)} times on {workers} workers, last: {change.reason}"
            )
            yield TaskGivenUp(change.number, change.index, change.time, reason)


def _is_hopeless(task: Task, worker_count: int) -> bool:
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


def _samples(partition: Partition, runs: Iterable[RunReport], now: float) -> Iterator[RunSample]:
    for run in runs:
        task = partition.table.tasks.get(run.task_id)
        if task is None or run.state is not RunState.RUNNING or task.attempt != run.attempt:
            continue
        measured_at = now - run.age_seconds
        yield RunSample(task, measured_at, run.used, run.progress, run.tail_milliseconds)


def _learned(
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


class _CommandChecker:
    """Turns commands into changes and drops those that would break a promise.

    The policy is the part that changes most often. If capacity and quota were its word alone, one
    mistake in it would overload a worker; here the sums are checked against every command.
    """

    def __init__(self, partition: Partition, now: float) -> None:
        self._partition = partition
        self._now = now
        self._reserved: dict[WorkerId, Resources] = {}
        self._team_reserved: dict[TeamName, Resources] = {}
        self._touched: set[TaskId] = set()
        self._starts = 0
        self.dropped = 0

    def changes(self, commands: Iterable[PlacementCommand]) -> Iterator[TableChange]:
        """The changes that the commands amount to."""
        for command in commands:
            change = self._change(command)
            if change is None:
                self.dropped += 1
            else:
                self._touched.add(command.task_id)
                yield change

    def _change(self, command: PlacementCommand) -> TableChange | None:
        task = self._partition.table.tasks.get(command.task_id)
        if task is None or command.task_id in self._touched:
            return None
        if isinstance(command, Start):
            return self._start(command, task)
        if isinstance(command, Refuse):
            return self._refuse(command, task)
        if task.state is not TaskState.RUNNING:
            return None
        if isinstance(command, Throttle):
            return ThrottleOrdered(task.task_id, task.attempt, command.millicores, command.reason)
        return self._evict(command, task)

    def _start(self, command: Start, task: Task) -> StartIntended | None:
        worker = self._partition.workers.get(command.worker_id)
        if (
            worker is None
            or task.holds_reservation
            or self._starts >= self._partition.rules.most_starts
        ):
            return None
        size = command.reservation
        if not NO_RESOURCES.fits_in(size):
            return None
        table = self._partition.table
        before = table.reserved.get(worker.worker_id, NO_RESOURCES)
        on_worker = self._reserved.get(worker.worker_id, before) + size
        team = task.shape.team
        team_before = table.team_reserved.get(team, NO_RESOURCES)
        of_team = self._team_reserved.get(team, team_before)
        if task.shape.service is None:
            of_team = of_team + size
        contract = self._partition.teams.get(team)
        if contract is None or not on_worker.fits_in(worker.capacity):
            return None
        if task.shape.service is None and not of_team.fits_in(contract.quota):
            return None
        self._reserved[worker.worker_id] = on_worker
        self._team_reserved[team] = of_team
        self._starts += 1
        return StartIntended(
            task.number,
            task.index,
            attempt_after(task),
            worker.worker_id,
            self._now,
            None if size == task.shape.resources else to_triple(size),
        )

    def _refuse(self, command: Refuse, task: Task) -> TaskGivenUp | None:
        if task.holds_reservation:
            return None
        return TaskGivenUp(task.number, task.index, self._now, command.reason)

    def _evict(self, command: CheckpointAndEvict, task: Task) -> StateObserved:
        return StateObserved(
            task.task_id, task.attempt, TaskState.EVICTING, self._now, reason=command.reason
        )
