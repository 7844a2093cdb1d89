"""The seam between the task table and the policy that decides which worker runs what.

A policy is an immutable value that carries what it has learned. It sees the table's own mappings
and answers with commands; the table checks each command again before anything comes of it.
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
    """What a policy may look at. The mappings belong to the table; nobody changes them."""

    now: float
    """Seconds since 1970."""
    workers: Mapping[WorkerId, Worker]
    reserved: Mapping[WorkerId, Resources]
    """The reservations of all attempts that may run; a worker without any is absent."""
    on_worker: Mapping[WorkerId, Mapping[TaskId, Task]]
    """Those attempts."""
    waiting: Mapping[JobId, Mapping[TaskId, Task]]
    """Ordinary tasks to place, by job, in order of arrival; no job is empty."""
    urgent: Mapping[JobId, Mapping[TaskId, Task]]
    """Urgent tasks to place, likewise."""
    team_reserved: Mapping[TeamName, Resources]
    teams: Mapping[TeamName, TeamContract]
    services: Mapping[ServiceName, ServiceContract] = field(default_factory=dict)
    weights: Weights = field(default_factory=Weights)
    most_starts: int = 500
    """Starts beyond this number are dropped; they come in the next round."""


@dataclass(frozen=True, slots=True)
class Start:
    """Run the next attempt of a waiting task."""

    task_id: TaskId
    worker_id: WorkerId
    reservation: Resources
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit the processor time of a running attempt."""

    task_id: TaskId
    millicores: int | None
    """None lifts the limit."""
    reason: str


@dataclass(frozen=True, slots=True)
class CheckpointAndEvict:
    """Checkpoint a running attempt, stop it, and resume it elsewhere or later."""

    task_id: TaskId
    reason: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a waiting task for good."""

    task_id: TaskId
    reason: str


PlacementCommand = Start | Throttle | CheckpointAndEvict | Refuse


@dataclass(frozen=True, slots=True)
class RunSample:
    """What one attempt used in one reporting interval; it comes with a lag."""

    task: Task
    measured_at: float
    """The end of the interval, in seconds since 1970."""
    used: Resources
    progress: float
    tail_milliseconds: float | None = None
    """The p99 of a service's replica over the interval."""


@dataclass(frozen=True, slots=True)
class SamplesTaken:
    """A report from the platform, about many attempts."""

    now: float
    samples: tuple[RunSample, ...]


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt holds its reservation from now on; after a takeover, it did already."""

    now: float
    task: Task


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; the task is as it was while the attempt might run."""

    now: float
    task: Task
    outcome: AttemptOutcome
    reason: str = ""


Observation = SamplesTaken | AttemptStarted | AttemptEnded


class Reason(ABC):
    """Why a policy decided as it did, for operators."""

    @abstractmethod
    def sentence(self) -> str:
        """In words."""

    @abstractmethod
    def as_json(self) -> Mapping[str, object]:
        """As values for a program."""


class PlacementPolicy(ABC):
    """Decides which worker runs what.

    What it decides follows from the observations so far and the view alone. The caller goes on with
    the policy that ``observe`` returns and drops the one before, which may share its memory.
    """

    @abstractmethod
    def observe(self, observation: Observation) -> PlacementPolicy:
        """The policy that has learned from ``observation``."""

    @abstractmethod
    def decide(self, view: PlacementView) -> tuple[PlacementCommand, ...]:
        """What to do now."""

    def why_waiting(self, task: Task, view: PlacementView) -> Reason | None:
        """Why a waiting task was not started; None when the policy can't tell."""
        return None

    def infeasible(
        self,
        shape: TaskShape,
        workers: Mapping[WorkerId, Worker],
        teams: Mapping[TeamName, TeamContract],
    ) -> str:
        """Why a task of this shape could never run, or the empty string."""
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
    """Places by declared size on the first worker with room. It learns nothing."""

    def observe(self, observation: Observation) -> PlacementPolicy:
        """See PlacementPolicy."""
        return self

    def decide(self, view: PlacementView) -> tuple[PlacementCommand, ...]:
        """See PlacementPolicy."""
        return tuple(_first_fit(view))


_MOST_MISFITS = 64
"""A round ends after so many tasks that found no room, so that a full fleet costs little."""


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
    for task in _in_turn(view):
        if misfits >= _MOST_MISFITS or starts >= view.most_starts:
            return
        size = task.shape.resources
        left = quota_left.get(task.shape.team, NO_RESOURCES)
        worker_id = _first_worker(task, room)
        if worker_id is None or not (task.shape.service or size.fits_in(left)):
            misfits += 1
            continue
        room[worker_id] = room[worker_id] - size
        if task.shape.service is None:
            quota_left[task.shape.team] = left - size
        starts += 1
        yield Start(task.task_id, worker_id, size, "first worker with room")


def _in_turn(view: PlacementView) -> Iterable[Task]:
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
