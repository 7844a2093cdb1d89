"""Validates the commands of a placement policy against capacity, quota and task state."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .._ids import TaskId, TeamName, WorkerId
from .._machines import Resources
from ._partition_state import Partition
from ._placement_policy import (
    CheckpointAndEvict,
    PlacementCommand,
    Refuse,
    Start,
    Throttle,
)
from ._task_changes import (
    StartIntended,
    StateObserved,
    TableChange,
    TaskGivenUp,
    ThrottleOrdered,
    to_triple,
)
from ._task_table import attempt_after
from ._tasks import NO_RESOURCES, Task, TaskState


class CommandChecker:
    """Converts commands to table changes and drops commands that violate a constraint.

    The policy is the part of the planner that changes most often. If it alone enforced capacity and
    quota, a mistake in it could overload a worker, so both are checked here for every command.
    """

    def __init__(self, partition: Partition, now: float) -> None:
        """Check one round of commands; the reservations of accepted commands accumulate."""
        self._partition = partition
        self._now = now
        self._reserved: dict[WorkerId, Resources] = {}
        self._team_reserved: dict[TeamName, Resources] = {}
        self._changed_tasks: set[TaskId] = set()
        self._starts = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of commands that were dropped."""
        return self._dropped

    def changes(self, commands: Iterable[PlacementCommand]) -> Iterator[TableChange]:
        """Yield the change for each valid command."""
        for command in commands:
            change = self._change(command)
            if change is None:
                self._dropped += 1
            else:
                self._changed_tasks.add(command.task_id)
                yield change

    def _change(self, command: PlacementCommand) -> TableChange | None:
        task = self._partition.table.tasks.get(command.task_id)
        if task is None or command.task_id in self._changed_tasks:
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
