"""Orders waiting batch tasks by fair sharing: the team with the lowest used quota share is
first."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from heapq import heapify, heappop, heapreplace

from ..._contracts import TeamContract
from ..._ids import TaskId, TeamName
from ..._machines import Resources
from .._tasks import Task

WaitingJob = Mapping[TaskId, Task]
"""The waiting tasks of one job."""
_NO_RESOURCES = Resources()


class QuotaLedger:
    """Tracks how much of its quota each team has reserved, including starts of this round."""

    def __init__(
        self,
        teams: Mapping[TeamName, TeamContract],
        reserved: Mapping[TeamName, Resources],
    ) -> None:
        """Start from the reservations in the task table. ``reserved`` is not modified."""
        self._teams = teams
        self._reserved = reserved
        self._reserved_this_round: dict[TeamName, Resources] = {}

    def reserved(self, team: TeamName) -> Resources:
        """Return the resources reserved by the team's batch tasks."""
        changed = self._reserved_this_round.get(team)
        return changed if changed is not None else self._reserved.get(team, _NO_RESOURCES)

    def quota(self, team: TeamName) -> Resources:
        """Return the team's quota, which is empty for a team that isn't in the configuration."""
        contract = self._teams.get(team)
        return contract.quota if contract is not None else _NO_RESOURCES

    def allows(self, team: TeamName, need: Resources) -> bool:
        """Return whether the team may reserve ``need`` in addition."""
        return (self.reserved(team) + need).fits_in(self.quota(team))

    def add_reservation(self, team: TeamName, need: Resources) -> None:
        """Add the reservation of a task that starts in this round."""
        self._reserved_this_round[team] = self.reserved(team) + need

    def dominant_share(self, team: TeamName) -> float:
        """Return the largest share of its quota that the team has reserved of any resource."""
        reserved = self.reserved(team)
        quota = self.quota(team)
        return max(
            reserved.millicores / max(quota.millicores, 1),
            reserved.memory / max(quota.memory, 1),
            reserved.accelerators / max(quota.accelerators, 1),
        )


class FairQueue:
    """Yields one waiting task at a time; the caller reports whether it was started.

    If a task can't be placed, its job is skipped for the round, since the tasks of a job are equal.
    """

    def __init__(self, by_team: Mapping[TeamName, list[WaitingJob]], quotas: QuotaLedger) -> None:
        """Queue the waiting jobs of each team, which are given in order of arrival."""
        self._quotas = quotas
        self._heap = [
            (quotas.dominant_share(team), order, team, _TeamCursor(jobs))
            for order, (team, jobs) in enumerate(by_team.items())
        ]
        heapify(self._heap)

    def tasks(self) -> Iterator[Task]:
        """Yield the next task to try. After each, call ``started`` or a ``skip`` method."""
        while self._heap:
            task = self._heap[0][3].current()
            if task is None:
                heappop(self._heap)
                continue
            yield task

    def started(self) -> None:
        """Record that the last task yielded was started."""
        _, order, team, cursor = self._heap[0]
        cursor.next_task()
        heapreplace(self._heap, (self._quotas.dominant_share(team), order, team, cursor))

    def skip_task(self) -> None:
        """Skip the last task yielded."""
        self._heap[0][3].next_task()

    def skip_job(self) -> None:
        """Skip the job of the last task yielded for the rest of this round."""
        self._heap[0][3].next_job()

    def skip_team(self) -> None:
        """Skip the team of the last task yielded for the rest of this round."""
        heappop(self._heap)


class _TeamCursor:
    """Iterates over the tasks of one team's waiting jobs."""

    __slots__ = ("_current", "_job", "_jobs", "_tasks")

    def __init__(self, jobs: list[WaitingJob]) -> None:
        self._jobs = jobs
        self._job = -1
        self._tasks: Iterator[Task] = iter(())
        self._current: Task | None = None
        self.next_job()

    def current(self) -> Task | None:
        return self._current

    def next_task(self) -> None:
        self._current = next(self._tasks, None)
        if self._current is None:
            self.next_job()

    def next_job(self) -> None:
        self._current = None
        while self._current is None and self._job + 1 < len(self._jobs):
            self._job += 1
            self._tasks = iter(self._jobs[self._job].values())
            self._current = next(self._tasks, None)
