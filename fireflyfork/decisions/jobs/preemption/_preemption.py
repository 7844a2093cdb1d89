"""Makes room for urgent tasks that find none, within a budget, and holds it for them."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice
from math import inf

from ..._eviction_budget import EvictionBudget
from .._commands import PaceRun
from .._executors import ExecutorState
from .._load_shedding import Shed
from .._notes import MoveReason, ReserveChanged, RoomMade
from .._policies import SHORT_TASK_SHARE, RoomPolicy
from .._policy_settings import PreemptionSettings
from .._rotation import Rotation
from .._run_end_evidence import RunEndEvidence
from .._runs import Job, Run, Task
from .._service_state import ServiceState
from .._tickets import StepId
from ._losses import CheckpointAges
from ._room_plans import RoomPlan, RoomPlanner
from ._short_task_demand import ShortTaskDemand

EXECUTORS_PER_SEARCH = 48
"""Executors examined in one search, so that its cost does not grow with the fleet."""
MAX_PLANS_COMPARED = 8
"""A search ends with this many plans. Each is for one task of the step, so a step whose tasks all
wait has as many of them placed in one tick."""
MAX_SEARCHES_PER_TICK = 2
"""Steps for which room is searched in one tick. A step for which none was found has its next turn
after ``RETRY_STEP_SECONDS``, so that the others have theirs."""
RETRY_STEP_SECONDS = 1.0
BUDGET_SECONDS = 10.0
"""Period for which the share of stopped runs is given."""
MIN_BURST = 2.0
"""Runs that a small fleet may stop in any case."""
LISTING_SECONDS = 0.3
"""How long it takes until the end of a run is listed and handled."""
HOLD_MARGIN_SECONDS = 0.7
"""How long room is held beyond two stops: a lost stop order is repeated once, and its end is listed
with the next poll."""
RETRY_EXECUTOR_SECONDS = 12.0
"""How long an executor is left alone after room on it did not become free in time."""
UPDATE_SECONDS = 1.0
"""Interval between two updates of the shares that are kept free."""
PAUSE_FACTOR = 3.0
"""A pause lasts this multiple of the urgent task's estimate at most."""


@dataclass(slots=True)
class _Awaited:
    """An executor on which a run is expected to end at least as soon as a stop would end one."""

    since: float
    last: float


@dataclass(frozen=True, slots=True)
class _Hold:
    """Room that is held for an urgent task."""

    executor: ExecutorState
    until: float
    paused: tuple[Run, ...]


class Preemption(RoomPolicy):
    """Stops less urgent runs for urgent tasks, and keeps room free by the demand of short tasks.

    A search examines a few executors and takes the one where least is lost. The stopped runs keep
    their resources until their end is listed; the room is reserved for the urgent task meanwhile.
    """

    def __init__(self, settings: PreemptionSettings, state: ServiceState) -> None:
        """Initialize without holds."""
        self._settings = settings
        self._state = state
        self._checkpoints = CheckpointAges()
        self._planner = RoomPlanner(state.interference, self._checkpoints, state.stop_seconds)
        self._budget = EvictionBudget(MIN_BURST, BUDGET_SECONDS / 3600)
        self._rotation = Rotation(EXECUTORS_PER_SEARCH)
        self._searches: dict[StepId, deque[ExecutorState]] = {}
        """By step: the executors found in this tick that are not used yet, the best first."""
        self._without_room: dict[StepId, float] = {}
        """Steps for which no room was found, and until when they are not searched for again."""
        self._holds: dict[Task, _Hold] = {}
        self._pauses: dict[Run, tuple[Run, ...]] = {}
        """By urgent run: the runs that are paused while it runs."""
        self._awaited: dict[ExecutorState, _Awaited] = {}
        self._claimed: set[ExecutorState] = set()
        """The awaited executors that a task waits for in this tick."""
        self._left_alone: dict[ExecutorState, float] = {}
        """Executors on which room did not become free in time, and until when they are skipped."""
        self._short_tasks = ShortTaskDemand()
        self._urgent_tasks = ShortTaskDemand(urgent_only=True)
        self._updated_at = float("-inf")

    def short_task_share(self) -> float:
        """Return the share of all processors that long-running tasks leave free."""
        return self._short_tasks.share if self._settings.adaptive_reserve else SHORT_TASK_SHARE

    def urgent_share(self) -> float:
        """Return the share of all processors that less urgent tasks leave free."""
        return self._urgent_tasks.share if self._settings.adaptive_reserve else 0.0

    def make_room(
        self, task: Task, usable: Sequence[ExecutorState], now: float, now_ms: int
    ) -> bool:
        """Make room for an urgent task, and reserve it. Returns whether that was possible."""
        if not self._settings.enabled or not _may_preempt(task, now_ms):
            return False
        if self._state.shed_level >= Shed.ARRANGEMENT:
            # A late owner sees ends only after its holds have expired, and would stop more runs.
            return False
        plan = self._next_plan(task, usable, now)
        if plan is None:
            return False
        if plan.changes_nothing:
            self._claimed.add(plan.executor)
            self._awaited.setdefault(plan.executor, _Awaited(now, now)).last = now
        else:
            self._carry_out(task, plan, now)
        return True

    def job_accepted(self, job: Job, now_ms: int) -> None:
        """Count the work of a job."""
        if self._settings.adaptive_reserve:
            self._short_tasks.add(job)
            self._urgent_tasks.add(job)

    def run_listed(self, run: Run, now: float) -> None:
        """Note a new checkpoint."""
        self._checkpoints.listed(run, now)

    def run_started(self, run: Run, now: float) -> None:
        """End the hold of a task that starts; the pauses made for it go on while it runs."""
        self._awaited.pop(run.executor, None)
        hold = self._holds.pop(run.task, None)
        if hold is None:
            return
        if hold.executor is run.executor and hold.paused:
            self._pauses[run] = hold.paused
            until = now + PAUSE_FACTOR * run.task.spec.estimate_ms / 1000
            _pause_until(hold.paused, until)
        else:
            self._end_pause(hold.paused, now)

    def run_removed(self, run: Run, why: RunEndEvidence, now: float) -> None:
        """Let the runs that were paused for a run go on."""
        self._checkpoints.removed(run)
        self._end_pause(self._pauses.pop(run, ()), now)

    def executor_restarted(self, executor: ExecutorState, now: float) -> None:
        """End the holds on an executor, whose past incarnation had other room and other runs."""
        for task, hold in tuple(self._holds.items()):
            if hold.executor is executor:
                del self._holds[task]
        self._awaited.pop(executor, None)
        self._left_alone.pop(executor, None)

    def tick(self, now: float, now_ms: int) -> None:
        """Refill the budget, end expired holds and update the shares that are kept free."""
        self._searches.clear()
        self._claimed.clear()
        self._planner.unavailable.clear()
        if self._settings.enabled:
            self._end_holds(now)
            self._end_waits(now)
        if now - self._updated_at < UPDATE_SECONDS:
            return
        self._updated_at = now
        executors = self._state.executors.values()
        running = sum(len(executor.runs) for executor in executors)
        # Half of the share can be saved up and the other half comes within the period, so no
        # period has more.
        share = self._settings.max_stopped_share / 2
        self._budget.refill(now, running, share * 3600 / BUDGET_SECONDS)
        if self._settings.adaptive_reserve:
            usable = self._state.usable_executors(now)
            total = sum(executor.registration.room.cpu_millis for executor in usable)
            before = self._short_tasks.share, self._urgent_tasks.share
            self._short_tasks.update(total, now, now_ms)
            self._urgent_tasks.update(total, now, now_ms)
            shares = self._short_tasks.share, self._urgent_tasks.share
            if shares != before:
                self._state.notes.append(ReserveChanged(*(round(share, 4) for share in shares)))

    def _end_holds(self, now: float) -> None:
        for task, hold in tuple(self._holds.items()):
            if self._state.needs_run(task) and hold.until > now:
                continue
            del self._holds[task]
            self._end_pause(hold.paused, now)
            if hold.until <= now:
                self._left_alone[hold.executor] = now + RETRY_EXECUTOR_SECONDS
        for executor, until in tuple(self._left_alone.items()):
            if until <= now:
                del self._left_alone[executor]
        for step, until in tuple(self._without_room.items()):
            if until <= now:
                del self._without_room[step]

    def _drop_hold(self, task: Task, now: float) -> None:
        """End an earlier hold of a task, whose executor has become unusable."""
        hold = self._holds.pop(task, None)
        if hold is not None:
            self._left_alone[hold.executor] = now + RETRY_EXECUTOR_SECONDS
            self._end_pause(hold.paused, now)

    def _end_pause(self, paused: tuple[Run, ...], now: float) -> None:
        """Let runs go on at the next sample, except those that are paused for another task too."""
        if not paused:
            return
        holds, pauses = self._holds.values(), self._pauses.values()
        still_paused = {run for runs in pauses for run in runs}
        still_paused.update(run for hold in holds for run in hold.paused)
        _pause_until(tuple(run for run in paused if run not in still_paused), now)

    def _end_waits(self, now: float) -> None:
        """Stop to wait for room that did not come free when it was expected to."""
        for executor, awaited in tuple(self._awaited.items()):
            if now - awaited.since > self._state.stop_seconds + LISTING_SECONDS:
                del self._awaited[executor]
                self._left_alone[executor] = now + RETRY_EXECUTOR_SECONDS
            elif now - awaited.last > LISTING_SECONDS:
                del self._awaited[executor]

    def _next_plan(
        self, task: Task, usable: Sequence[ExecutorState], now: float
    ) -> RoomPlan | None:
        """Return the best plan of the step's search in this tick that the budget allows."""
        found = self._searches.get(task.step_id)
        if found is None:
            is_due = self._without_room.get(task.step_id, now) <= now
            if not is_due or len(self._searches) >= MAX_SEARCHES_PER_TICK:
                return None
            found = self._searches[task.step_id] = self._search(task, usable, now)
            if not found:
                self._without_room[task.step_id] = now + RETRY_STEP_SECONDS
        while found:
            # Other tasks may have taken room on the executor since the search.
            executor = found.popleft()
            if executor in self._left_alone or executor in self._claimed:
                continue
            plan = self._planner.plan(task, executor, now)
            if plan is not None and len(plan.victims) <= self._budget.tokens:
                return plan
        return None

    def _search(
        self, task: Task, usable: Sequence[ExecutorState], now: float
    ) -> deque[ExecutorState]:
        plans = (
            plan
            for executor in self._rotation.next_items(usable)
            if executor not in self._left_alone
            and self._state.policies.estimates.extra_cost(task, executor) < inf
            and (plan := self._planner.plan(task, executor, now)) is not None
        )
        compared = sorted(islice(plans, MAX_PLANS_COMPARED), key=lambda plan: plan.order)
        return deque(plan.executor for plan in compared)

    def _carry_out(self, task: Task, plan: RoomPlan, now: float) -> None:
        until = now + 2 * self._state.stop_seconds + HOLD_MARGIN_SECONDS
        self._drop_hold(task, now)
        for run in plan.victims:
            self._budget.take()
            self._planner.unavailable.note_stop(run.task)
            self._state.move(run, now, MoveReason.PREEMPTION)
        for run in plan.paused:
            run.paused_until = max(run.paused_until, until)
            run.paused_at = now
            run.pace_percent = run.lowest_pace = 0
            self._state.commands.append(PaceRun(run, 0))
        self._state.move_reservations.add(task, plan.executor, until)
        self._holds[task] = _Hold(plan.executor, until, plan.paused)
        self._state.notes.append(
            RoomMade(
                task.name,
                plan.executor.executor,
                len(plan.victims),
                len(plan.paused),
                round(plan.lost_core_seconds, 3),
            )
        )


def _may_preempt(task: Task, now_ms: int) -> bool:
    """Whether less urgent runs are stopped for a task.

    A reservation covers processors and memory only. Nothing is stopped for a job that is of no use
    any more.
    """
    spec, queue = task.spec, task.job.queue
    if queue.priority or queue.needs_tickets:
        return False
    if spec.accelerators or spec.gang or spec.same_rack:
        return False
    return spec.long_running or not task.job.is_beyond_use(now_ms)


def _pause_until(runs: tuple[Run, ...], until: float) -> None:
    for run in runs:
        run.paused_until = until
