"""The policies that a scheduler consults under load, and what it tells them.

A policy is pure and holds its own state. Placement asks; no policy reaches into the state of
another one. The defaults in this module decide as a scheduler without these policies.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ._executors import ExecutorState
from ._reports import EndReason
from ._run_end_evidence import RunEndEvidence
from ._runs import Job, Run, Task
from ._stored_estimates import StoredEstimates
from ._stored_shares import StoredShare
from ._urgency import Urgency, urgency

if TYPE_CHECKING:
    from .admission import WorkFigures

SHORT_TASK_SHARE = 0.10
"""Share of all processors that long-running tasks leave free. Short tasks arrive in waves of a
twentieth of the processors on average, and a core for them is worth four times a core for a
long-running task."""


class Policy:
    """Receives the events of a scheduler; each method may be left as it is.

    Times are seconds on the owner's clock. Events arrive in order, once each.
    """

    def job_accepted(self, job: Job, now_ms: int) -> None:
        """Handle a job that was accepted or recovered; ``now_ms`` is in Unix milliseconds."""

    def job_over(self, job: Job, now: float) -> None:
        """Handle a job whose state has become final."""

    def run_started(self, run: Run, now: float) -> None:
        """Handle a run whose start is about to be ordered."""

    def run_ended(self, run: Run, reason: EndReason, now: float) -> None:
        """Handle the end of a run that its executor listed, before the run is removed."""

    def run_refused(self, run: Run, now: float) -> None:
        """Handle a start that an executor has refused because of its own state."""

    def run_removed(self, run: Run, why: RunEndEvidence, now: float) -> None:
        """Handle a run that is over for certain, whether its end was listed or not."""

    def run_listed(self, run: Run, now: float) -> None:
        """Handle the progress of a run that its executor has just listed."""

    def executor_restarted(self, executor: ExecutorState, now: float) -> None:
        """Handle the restart of an executor, before the runs of its past incarnation are removed.

        The new incarnation may have other room and other labels.
        """

    def tick(self, now: float, now_ms: int) -> None:
        """Handle the passage of time, ten times a second."""


class RoomPolicy(Policy):
    """Decides how much room is kept for short tasks, and makes room for urgent ones."""

    def short_task_share(self) -> float:
        """Return the share of all processors that long-running tasks leave free."""
        return SHORT_TASK_SHARE

    def urgent_share(self) -> float:
        """Return the share of all processors that less urgent tasks leave free."""
        return 0.0

    def make_room(
        self, task: Task, usable: Sequence[ExecutorState], now: float, now_ms: int
    ) -> bool:
        """Make room for a task that found none on the usable executors.

        Returns whether the task is tried again at the next tick by itself, because room is reserved
        for it, where it starts once the room is free, or is about to come free.
        """
        return False


class OrderPolicy(Policy):
    """Decides in which order waiting tasks are placed."""

    def urgency(self, task: Task, now_ms: int) -> Urgency:
        """Return the sort key of a waiting task, the smallest first."""
        return urgency(task, now_ms)

    def revision(self, task: Task) -> int:
        """Return a number that changes when tasks like this one have to be sorted again."""
        return 0

    def reserved_executors(self) -> Sequence[ExecutorState]:
        """Return the executors on which ``may_take`` may answer no."""
        return ()

    def reserved_for(self, task: Task) -> ExecutorState | None:
        """Return the executor on which room is reserved for a task, or None."""
        return None

    def may_take(self, task: Task, executor: ExecutorState, now: float) -> bool:
        """Whether a task may use free room on an executor that is reserved for other tasks."""
        return True

    def to_stored(self) -> tuple[StoredShare, ...]:
        """Return what a successor needs to know of the shares."""
        return ()

    def adopt(self, shares: Iterable[StoredShare], now: float) -> None:
        """Continue with what an earlier owner stored of the shares."""


class EstimatePolicy(Policy):
    """Estimates how executors and steps behave."""

    @property
    def judges_failures(self) -> bool:
        """Whether the costs of this policy take the place of the rule on failures in a row."""
        return False

    def speed(self, executor: ExecutorState) -> float:
        """Return the speed of an executor relative to the usual one, which is 1."""
        return 1.0

    def expected_seconds(self, run: Run) -> float | None:
        """Return how long a run's task takes elsewhere, or None if that isn't known."""
        return None

    def waits_for_rack(self, task: Task, usable: Sequence[ExecutorState], now: float) -> bool:
        """Whether a task waits for an executor near its data rather than run far from it."""
        return False

    def extra_cost(self, task: Task, executor: ExecutorState) -> float:
        """Return a cost to add to that of an executor, in loads of a whole executor.

        The task can't be placed there now if the cost is infinite.
        """
        return 0.0

    def revision(self, executor: ExecutorState) -> int:
        """Return a number that changes whenever an estimate of the executor has changed."""
        return 0

    def max_runs(self, task: Task) -> int | None:
        """Return how many tasks of the task's step may run at once; None for no limit."""
        return None

    def to_stored(self) -> StoredEstimates | None:
        """Return what a successor needs, or None if there is nothing."""
        return None

    def adopt(self, stored: StoredEstimates, now: float, now_ms: int) -> None:
        """Use what an earlier owner has learned, aged by the time since then."""


class LoadPolicy(Policy):
    """Measures the work ahead of new jobs, for the instances that accept them."""

    @property
    def figures(self) -> WorkFigures | None:
        """The latest figures; None if nothing is measured."""
        return None


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies of one scheduler."""

    room: RoomPolicy = field(default_factory=RoomPolicy)
    order: OrderPolicy = field(default_factory=OrderPolicy)
    estimates: EstimatePolicy = field(default_factory=EstimatePolicy)
    load: LoadPolicy = field(default_factory=LoadPolicy)
    may_refuse: bool = field(init=False)
    """Whether a policy may refuse an executor that has room for a task, or make room for it."""
    enabled: tuple[Policy, ...] = field(init=False)
    """The policies that are told of events; the defaults, which keep no state, are not."""

    def __post_init__(self) -> None:
        """Find the policies that aren't defaults."""
        each = (self.room, self.order, self.estimates, self.load)
        enabled = tuple(policy for policy in each if type(policy) not in _DEFAULTS)
        object.__setattr__(self, "enabled", enabled)
        may_refuse = any(policy is not self.load for policy in enabled)
        object.__setattr__(self, "may_refuse", may_refuse)


_DEFAULTS = frozenset((RoomPolicy, OrderPolicy, EstimatePolicy, LoadPolicy))
