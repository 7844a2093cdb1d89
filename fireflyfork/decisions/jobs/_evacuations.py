"""Keeps new runs off evacuated failure domains, and moves long-running tasks out of them."""

from __future__ import annotations

from collections.abc import Iterator

from ..._ids import FailureDomainName
from ._arrangement import has_other_constraints
from ._executors import ExecutorState
from ._move_reservations import RESERVATION_SECONDS
from ._notes import MoveReason
from ._placement_costs import choose
from ._rotation import Rotation
from ._runs import Run
from ._service_state import ServiceState
from ._upkeep import may_become_unavailable

MAX_RUNS_PER_CHECK = 4
"""Runs considered in one check. Each compares all executors, and checks run ten times a second."""


class Evacuations:
    """The failure domains that operators have asked to evacuate."""

    def __init__(self, state: ServiceState) -> None:
        """Initialize without evacuated domains."""
        self._state = state
        self._runs = Rotation(MAX_RUNS_PER_CHECK)
        self._domains: frozenset[FailureDomainName] = frozenset()

    def replace(self, domains: frozenset[FailureDomainName]) -> None:
        """Evacuate exactly these domains from now on; others are used again."""
        if domains == self._domains:
            return
        self._domains = domains
        for executor in self._state.executors.values():
            self.mark(executor)

    def mark(self, executor: ExecutorState) -> None:
        """Record on an executor whether its failure domain is evacuated."""
        executor.evacuated = executor.registration.failure_domain in self._domains

    def move_tasks(self, now: float) -> None:
        """Move some long-running tasks from evacuated executors to others that have room.

        Other tasks end by themselves. A task that fits nowhere else keeps running: the request only
        rules out new runs, and a stopped task would serve nobody.
        """
        if not self._domains:
            return
        usable = self._state.usable_executors(now)
        for run in self._runs.next_items(tuple(self._movable_runs())):
            estimates = self._state.policies.estimates
            destination = choose(
                run.task, usable, self._state.interference, float("inf"), estimates
            )
            if destination is None or not may_become_unavailable(run):
                continue
            until = now + RESERVATION_SECONDS
            self._state.move_reservations.add(run.task, destination, until)
            self._state.move(run, now, MoveReason.EVACUATION)

    def _movable_runs(self) -> Iterator[Run]:
        for executor in tuple(self._state.executors.values()):
            if not executor.evacuated or not executor.answers:
                continue
            for run in tuple(executor.working_runs()):
                step = run.task.spec
                is_bound = has_other_constraints(run.task)
                if step.long_running and not is_bound and may_become_unavailable(run):
                    yield run
