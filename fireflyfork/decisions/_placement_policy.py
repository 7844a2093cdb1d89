"""The interface between the task table and a placement policy, and a first-fit policy.

A policy is an immutable value that includes what it has learned. It reads the table's own mappings
and returns commands. Each command is checked against the table before it is applied.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from .._contracts import ServiceContract, TeamContract, Weights
from .._ids import JobId, ServiceName, TaskId, TeamName, WorkerId
from .._machines import Resources, Worker
from ._task_changes import AttemptOutcome
from ._tasks import NO_RESOURCES, Task, TaskShape


@dataclass(frozen=True, slots=True)
class PlacementView:
    """The input of a placement decision. The mappings belong to the table; don't modify them."""

    now: float
    """Seconds since 1970."""
    workers: Mapping[WorkerId, Worker]
    reserved: Mapping[WorkerId, Resources]
    """Total reservation on each worker; workers without attempts are absent."""
    on_worker: Mapping[WorkerId, Mapping[TaskId, Task]]
    """Tasks with an attempt that may run, by worker; workers without attempts are absent."""
    waiting: Mapping[JobId, Mapping[TaskId, Task]]
    """Ordinary tasks to place, by job, in order of arrival; jobs without such tasks are absent."""
    urgent: Mapping[JobId, Mapping[TaskId, Task]]
    """Urgent tasks to place, grouped and ordered like ``waiting``."""
    team_reserved: Mapping[TeamName, Resources]
    teams: Mapping[TeamName, TeamContract]
    services: Mapping[ServiceName, ServiceContract] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    max_starts: int = 500
    """Maximum number of starts in this round; further starts are dropped."""


@dataclass(frozen=True, slots=True)
class Start:
    """Start the next attempt of a waiting task."""

    task_id: TaskId
    worker_id: WorkerId
    reservation: Resources
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit the processor time of a running attempt."""

    task_id: TaskId
    millicores: int | None
    """The limit in thousandths of a core; None removes the limit."""
    reason: str


@dataclass(frozen=True, slots=True)
class CheckpointAndEvict:
    """Checkpoint and stop a running attempt; the task resumes later, possibly elsewhere."""

    task_id: TaskId
    reason: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Fail a waiting task permanently."""

    task_id: TaskId
    reason: str


PlacementCommand = Start | Throttle | CheckpointAndEvict | Refuse


@dataclass(frozen=True, slots=True)
class RunSample:
    """Resource usage of one attempt in one reporting interval; it arrives with a delay."""

    task: Task
    measured_at: float
    """The end of the interval, in seconds since 1970."""
    used: Resources
    progress: float
    tail_milliseconds: float | None = None
    """p99 latency of a service's replica over the interval; None for batch tasks."""


@dataclass(frozen=True, slots=True)
class SamplesTaken:
    """Usage samples from one report of the platform."""

    now: float
    samples: tuple[RunSample, ...]


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt holds its reservation from now on, or did already before a takeover."""

    now: float
    task: Task


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; ``task`` is its state before the end."""

    now: float
    task: Task
    outcome: AttemptOutcome
    reason: str = ""


Observation = SamplesTaken | AttemptStarted | AttemptEnded


class Reason(ABC):
    """The reason for a policy's decision, shown to operators."""

    @abstractmethod
    def sentence(self) -> str:
        """Return the reason as an English sentence."""

    @abstractmethod
    def as_json(self) -> Mapping[str, object]:
        """Return the reason as JSON values for programs."""


class PlacementPolicy(ABC):
    """Decides which tasks run on which workers.

    Decisions depend only on the past observations and the view. ``observe`` may return a policy
    that shares mutable memory with the old one, so the caller must use only the returned policy.
    """

    @abstractmethod
    def observe(self, observation: Observation) -> PlacementPolicy:
        """Return the policy updated with an observation."""

    @abstractmethod
    def decide(self, view: PlacementView) -> tuple[PlacementCommand, ...]:
        """Return the commands to execute now."""

    def why_waiting(self, task: Task, view: PlacementView) -> Reason | None:
        """Return why a waiting task was not started, or None if the policy can't tell."""
        return None

    def infeasible(
        self,
        shape: TaskShape,
        workers: Mapping[WorkerId, Worker],
        teams: Mapping[TeamName, TeamContract],
    ) -> str:
        """Return why a task of this shape can never run, or an empty string if it can."""
        team = teams.get(shape.team)
        if team is None:
            return f"there is no team {shape.team!r}"
        if shape.urgent and not team.urgent:
            return f"team {shape.team!r} may not submit urgent work"
        if shape.service is None and not shape.resources.fits_in(team.quota):
            return f"one task needs more than the whole quota of team {shape.team!r}"
        if workers and not any(
            shape.resources.fits_in(worker.capacity) for worker in workers.values()
        ):
            return "no worker is large enough for one task"
        return ""


class FirstFitPolicy(PlacementPolicy):
    """Places each task on the first worker with room for its declared size."""

    def observe(self, observation: Observation) -> PlacementPolicy:
        """See PlacementPolicy."""
        return self

    def decide(self, view: PlacementView) -> tuple[PlacementCommand, ...]:
        """See PlacementPolicy."""
        return tuple(_first_fit(view))


_MAX_UNPLACED_TASKS = 64
"""A round ends after this many tasks that don't fit, to limit its cost when workers are full."""


def _first_fit(view: PlacementView) -> Iterable[PlacementCommand]:
    room = {
        worker_id: worker.capacity - view.reserved.get(worker_id, NO_RESOURCES)
        for worker_id, worker in view.workers.items()
    }
    quota_left = {
        name: team.quota - view.team_reserved.get(name, NO_RESOURCES)
        for name, team in view.teams.items()
    }
    misfits = 0
    starts = 0
    for task in _tasks_in_order(view):
        if misfits >= _MAX_UNPLACED_TASKS or starts >= view.max_starts:
            return
        size = task.shape.resources
        available = quota_left.get(task.shape.team, NO_RESOURCES)
        worker_id = _first_worker(task, room)
        if worker_id is None or not (task.shape.service or size.fits_in(available)):
            misfits += 1
            continue
        room[worker_id] = room[worker_id] - size
        if task.shape.service is None:
            quota_left[task.shape.team] = available - size
        starts += 1
        yield Start(task.task_id, worker_id, size, "first worker with room")


def _tasks_in_order(view: PlacementView) -> Iterable[Task]:
    for tasks in chain(view.urgent.values(), view.waiting.values()):
        yield from tasks.values()


def _first_worker(task: Task, room: Mapping[WorkerId, Resources]) -> WorkerId | None:
    size = task.shape.resources
    refusing: WorkerId | None = None
    for worker_id, free in room.items():
        if worker_id in task.failed_on or not size.fits_in(free):
            continue
        if worker_id not in task.refused_by:
            return worker_id
        refusing = refusing or worker_id
    return refusing
