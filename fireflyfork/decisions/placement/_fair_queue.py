"""The order in which waiting batch tasks are tried: the team furthest below its quota first."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from heapq import heapify, heappop, heapreplace

from ..._contracts import TeamContract
from ..._ids import TaskId, TeamName
from ..._machines import Resources
from .._tasks import Task

WaitingJob = Mapping[TaskId, Task]
_NOTHING = Resources()


class QuotaLedger:
    """What each team has reserved of its quota, starts of this round included."""

    def __init__(
        self,
        teams: Mapping[TeamName, TeamContract],
        reserved: Mapping[TeamName, Resources],
    ) -> None:
        """``reserved`` comes from the table and isn't changed."""
        self._teams = teams
        self._reserved = reserved
        self._changed: dict[TeamName, Resources] = {}

    def reserved(self, team: TeamName) -> Resources:
        """What the team's batch tasks hold."""
        changed = self._changed.get(team)
        return changed if changed is not None else self._reserved.get(team, _NOTHING)

    def quota(self, team: TeamName) -> Resources:
        """The team's quota; nothing for a team that isn't in the configuration."""
        contract = self._teams.get(team)
        return contract.quota if contract is not None else _NOTHING

    def allows(self, team: TeamName, need: Resources) -> bool:
        """Whether the team may reserve so much more."""
        return (self.reserved(team) + need).fits_in(self.quota(team))

    def take(self, team: TeamName, need: Resources) -> None:
        """Count a start."""
        self._changed[team] = self.reserved(team) + need

    def dominant_share(self, team: TeamName) -> float:
        """The largest share of any resource of its quota that the team holds."""
        held = self.reserved(team)
        quota = self.quota(team)
        return max(
            held.millicores / max(quota.millicores, 1),
            held.memory / max(quota.memory, 1),
            held.accelerators / max(quota.accelerators, 1),
        )


class FairQueue:
    """Offers one waiting task at a time; the caller says whether it started.

    A job whose task found no place is set aside for the round: its other tasks are equal.
    """

    def __init__(self, by_team: Mapping[TeamName, list[WaitingJob]], quotas: QuotaLedger) -> None:
        """The waiting jobs of each team, in their order of arrival."""
        self._quotas = quotas
        self._heap = [
            (quotas.dominant_share(team), order, team, _TeamCursor(jobs))
            for order, (team, jobs) in enumerate(by_team.items())
        ]
        heapify(self._heap)

    def tasks(self) -> Iterator[Task]:
        """The next task to try. After each, call ``started`` or ``skip_job``."""
        while self._heap:
            task = self._heap[0][3].current()
            if task is None:
                heappop(self._heap)
                continue
            yield task

    def started(self) -> None:
        """The task just offered starts."""
        _, order, team, cursor = self._heap[0]
        cursor.next_task()
        heapreplace(self._heap, (self._quotas.dominant_share(team), order, team, cursor))

    def skip_task(self) -> None:
        """The task just offered is passed over."""
        self._heap[0][3].next_task()

    def skip_job(self) -> None:
        """The job of the task just offered is set aside for this round."""
        self._heap[0][3].next_job()

    def skip_team(self) -> None:
        """The team of the task just offered is set aside for this round."""
        heappop(self._heap)


class _TeamCursor:
    """A place in one team's jobs."""

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
