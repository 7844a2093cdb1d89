"""Builders of workers, teams and tasks, and a fake task table that executes a policy's commands."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from ...._contracts import ServiceContract, TeamContract, Tolerance, Weights
from ...._ids import (
    AttemptNumber,
    FailureDomainName,
    JobId,
    RackName,
    RegionName,
    ServiceName,
    TaskId,
    TeamName,
    WorkerId,
)
from ...._machines import Resources, Worker
from ..._placement_policy import (
    AttemptEnded,
    AttemptStarted,
    CheckpointAndEvict,
    PlacementCommand,
    PlacementPolicy,
    PlacementView,
    Refuse,
    RunSample,
    SamplesTaken,
    Start,
    Throttle,
)
from ..._task_changes import AttemptOutcome
from ..._tasks import JobNumber, Task, TaskShape, TaskState

GIGABYTE = 10**9
DESK = ServiceName("desk")
OBJECTIVE_MILLISECONDS = 200.0
LETTERS = TeamName("letters")
QUOTES = TeamName("quotes")
WIDE_QUOTA = Resources(10**9, 10**15, 10**6)


def size(cores: float = 1.0, gigabytes: float = 1.0, accelerators: int = 0) -> Resources:
    """Build resources from cores and gigabytes."""
    return Resources(int(cores * 1000), int(gigabytes * GIGABYTE), accelerators)


def worker(number: int = 0, capacity: Resources | None = None, rack: int | None = None) -> Worker:
    """Build a worker, by default with 16 cores and 60 GB.

    By default there are two workers per rack and four per failure domain.
    """
    rack = number // 2 if rack is None else rack
    return Worker(
        WorkerId(f"worker-{number}"),
        RegionName("viti"),
        FailureDomainName(f"domain-{rack // 2}"),
        RackName(f"rack-{rack}"),
        capacity or size(16, 60),
    )


def shape(
    resources: Resources | None = None,
    team: TeamName = LETTERS,
    task_class: str = "letters",
    urgent: bool = False,
    tolerance: Tolerance = Tolerance.EVICT,
) -> TaskShape:
    """Build the shape of a batch job."""
    return TaskShape(team, task_class, resources or size(), 600.0, urgent, None, tolerance)


def replica_shape(resources: Resources | None = None) -> TaskShape:
    """Build the shape of a replica of the booking desk service."""
    resources = resources or size(2, 2)
    return TaskShape(LETTERS, "desk", resources, 0.0, False, DESK, Tolerance.NONE)


@dataclass(slots=True)
class FakeTaskTable:
    """Simulates the planner's task table. Raises AssertionError on an invalid command."""

    policy: PlacementPolicy
    workers: dict[WorkerId, Worker]
    teams: dict[TeamName, TeamContract] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    now: float = 1000.0
    most_starts: int = 500
    tasks: dict[TaskId, Task] = field(default_factory=dict)
    refused: dict[TaskId, Refuse] = field(default_factory=dict)
    commands: list[PlacementCommand] = field(default_factory=list)
    """The commands of the last round."""
    evictions: int = 0
    _jobs: int = 0

    def submit(self, job_shape: TaskShape, count: int = 1) -> list[TaskId]:
        """Add a job of ``count`` equal tasks and return their ids."""
        self._jobs += 1
        job_id = JobId(f"job-{self._jobs}")
        added = []
        for index in range(count):
            task_id = TaskId(f"{job_id}/{index}")
            self.tasks[task_id] = Task(
                task_id,
                job_id,
                JobNumber(self._jobs),
                index,
                job_shape,
                TaskState.WAITING,
                self.now,
                self.now,
            )
            added.append(task_id)
        return added

    def view(self) -> PlacementView:
        """Build the policy's view of the table."""
        waiting: dict[JobId, dict[TaskId, Task]] = {}
        urgent: dict[JobId, dict[TaskId, Task]] = {}
        on_worker: dict[WorkerId, dict[TaskId, Task]] = {}
        for task in self.tasks.values():
            if task.worker_id is not None:
                on_worker.setdefault(task.worker_id, {})[task.task_id] = task
            else:
                group = urgent if task.shape.urgent else waiting
                group.setdefault(task.job_id, {})[task.task_id] = task
        contract = ServiceContract(
            DESK, LETTERS, 10.0, latency_objective_milliseconds=OBJECTIVE_MILLISECONDS
        )
        return PlacementView(
            self.now,
            self.workers,
            self.reserved(),
            on_worker,
            waiting,
            urgent,
            self.team_reserved(),
            self.teams,
            {DESK: contract},
            self.weights,
            self.most_starts,
        )

    def reserved(self) -> dict[WorkerId, Resources]:
        """Return the sum of the reservations on each worker."""
        total: dict[WorkerId, Resources] = {}
        for task in self.running():
            assert task.worker_id is not None
            total[task.worker_id] = total.get(task.worker_id, Resources()) + task.reservation
        return total

    def team_reserved(self) -> dict[TeamName, Resources]:
        """Return the sum of the reservations of each team's batch tasks."""
        total: dict[TeamName, Resources] = {}
        for task in self.running():
            if task.shape.service is None:
                team = task.shape.team
                total[team] = total.get(team, Resources()) + task.reservation
        return total

    def running(self) -> Iterator[Task]:
        """Iterate over the tasks with an attempt that may be running."""
        return (task for task in self.tasks.values() if task.worker_id is not None)

    def run_round(self, seconds: float = 1.0) -> list[PlacementCommand]:
        """Advance the clock, run one round of the policy and execute its commands."""
        self.now += seconds
        self.commands = list(self.policy.decide(self.view()))
        for command in self.commands:
            self._apply(command)
        return self.commands

    def end(self, task_id: TaskId, outcome: AttemptOutcome, reason: str = "") -> None:
        """End the attempt of a task and pass the outcome to the policy."""
        task = self.tasks[task_id]
        assert task.worker_id is not None
        if outcome is AttemptOutcome.FINISHED:
            del self.tasks[task_id]
        else:
            failed_on = task.failed_on
            if outcome is AttemptOutcome.FAILED:
                failed_on = (*failed_on, task.worker_id)
            self.tasks[task_id] = replace(
                task,
                state=TaskState.WAITING,
                worker_id=None,
                reservation=Resources(),
                millicores_limit=None,
                failed_on=failed_on,
            )
        self.policy.observe(AttemptEnded(self.now, task, outcome, reason))

    def cancel(self, task_id: TaskId) -> None:
        """Cancel a task, and end its attempt if there is one."""
        task = self.tasks.pop(task_id)
        if task.worker_id is not None:
            self.policy.observe(AttemptEnded(self.now, task, AttemptOutcome.STOPPED))

    def report(
        self, task_id: TaskId, used: Resources, tail: float | None = None, lag: float = 0.0
    ) -> None:
        """Pass a measurement to the policy that was taken ``lag`` seconds ago."""
        sample = RunSample(self.tasks[task_id], self.now - lag, used, 0.0, tail)
        self.policy.observe(SamplesTaken(self.now, (sample,)))

    def _apply(self, command: PlacementCommand) -> None:
        task = self.tasks[command.task_id]
        assert command.reason
        if isinstance(command, Start):
            self._start(task, command)
        elif isinstance(command, Throttle):
            assert task.state is TaskState.RUNNING
            self.tasks[task.task_id] = replace(task, millicores_limit=command.millicores)
        elif isinstance(command, CheckpointAndEvict):
            assert task.state is TaskState.RUNNING
            self.evictions += 1
            self.tasks[task.task_id] = replace(task, state=TaskState.EVICTING)
        else:
            assert task.worker_id is None
            self.refused[task.task_id] = command
            del self.tasks[task.task_id]

    def _start(self, task: Task, command: Start) -> None:
        assert task.worker_id is None
        started = replace(
            task,
            state=TaskState.STARTING,
            worker_id=command.worker_id,
            reservation=command.reservation,
            attempt=AttemptNumber(task.attempt + 1),
            since=self.now,
        )
        self.tasks[task.task_id] = replace(started, state=TaskState.RUNNING)
        self.policy.observe(AttemptStarted(self.now, started))


def table(
    policy: PlacementPolicy, workers: int = 4, capacity: Resources | None = None
) -> FakeTaskTable:
    """Build a table of equal workers and two teams with large quotas and urgent work allowed."""
    made = [worker(number, capacity) for number in range(workers)]
    teams = {name: TeamContract(name, WIDE_QUOTA, urgent=True) for name in (LETTERS, QUOTES)}
    return FakeTaskTable(policy, {item.worker_id: item for item in made}, teams)
