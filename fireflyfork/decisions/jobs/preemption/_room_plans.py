"""Finds how room for an urgent task can be made on one executor."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ...._machines import Resources
from ..._victims import Victim, cheapest_victims, lost_core_seconds
from .._executors import ExecutorState
from .._interference import InterferenceModel
from .._pacing import HEADROOM_TO_KEEP
from .._placement_costs import MAX_BEST_EFFORT_COST, is_allowed, leftover_millis
from .._runs import Run, RunPhase, Task
from ._losses import (
    MIN_SECONDS_BETWEEN_STOPS,
    CheckpointAges,
    UnavailableCounts,
    lost_work,
    may_be_stopped,
    remaining_seconds,
    remaining_work,
)

MAX_VICTIMS = 4
"""Most runs that are stopped for one task."""
MAX_LOST_SHARE = 1.0
"""Most work that may be thrown away, relative to the work of the urgent task. Beyond it the fleet
does less for all callers than if the task waited."""


@dataclass(frozen=True, slots=True)
class RoomPlan:
    """A way to make room for a task on one executor."""

    executor: ExecutorState
    victims: tuple[Run, ...] = ()
    """The runs to stop; none if room comes free at least as soon by itself."""
    paused: tuple[Run, ...] = ()
    """The runs to pace to nothing while the task runs."""
    lost_core_seconds: float = 0.0
    """Work that the stops may lose."""

    @property
    def changes_nothing(self) -> bool:
        """Whether room comes free as soon by itself."""
        return not self.victims and not self.paused

    @property
    def order(self) -> tuple[bool, float, int, int]:
        """Sort key; the plan that loses least comes first."""
        return bool(self.victims), self.lost_core_seconds, len(self.victims), len(self.paused)


class RoomPlanner:
    """Plans what to stop and to pause on an executor."""

    def __init__(
        self, model: InterferenceModel, checkpoints: CheckpointAges, stop_seconds: float
    ) -> None:
        """Use the effects that ``model`` learns; a stop takes up to ``stop_seconds``."""
        self._model = model
        self._checkpoints = checkpoints
        self.unavailable = UnavailableCounts()
        self._stop_seconds = stop_seconds

    def plan(self, task: Task, executor: ExecutorState, now: float) -> RoomPlan | None:
        """Return how to make room for a task on an executor, or None if that is not possible."""
        if executor.consecutive_failures or executor.executor in task.failed_on:
            return None
        if executor.incoming_cpu_millis or executor.incoming_memory_mb:
            # Room that is reserved for a task on its way there would be counted twice.
            return None
        room = executor.registration.room
        need = reservation(task)
        fits_empty = need.fits_in(Resources(room.cpu_millis, room.memory_mb))
        if not fits_empty or not is_allowed(task, executor):
            return None
        free, less_urgent = self._free_soon(task, executor, now)
        victims: list[Victim[Run]] = []
        if not need.fits_in(free):
            if not need.fits_in(_total(free, less_urgent)):
                return None
            candidates = self._candidates(less_urgent, now)
            victims = cheapest_victims(candidates, free, need, MAX_VICTIMS)
            if not victims or not self._is_worth(task, victims, now):
                return None
        stopped = tuple(victim.item for victim in victims)
        paused = self._paused(task, executor, stopped, now)
        if paused is None:
            return None
        fits_now = executor.fits(need.millicores, need.memory, 0)
        if fits_now and not paused:
            # The task was refused for another reason than room, which a stop doesn't change.
            return None
        lost = sum(lost_work(run, self._checkpoints, now) for run in stopped)
        return RoomPlan(executor, stopped, paused, lost)

    def _free_soon(
        self, task: Task, executor: ExecutorState, now: float
    ) -> tuple[Resources, list[Run]]:
        """Return what is free, or comes free before a stop would free it, and what may be stopped.

        The latter are the less urgent runs that don't end as soon by themselves.
        """
        cpu, memory = executor.free_cpu_millis, executor.free_memory_mb
        priority = task.job.queue.priority
        less_urgent: list[Run] = []
        for run in executor.runs.values():
            is_ending = run.phase is RunPhase.STOPPING or (
                run.phase is RunPhase.RUNNING and remaining_seconds(run, now) <= self._stop_seconds
            )
            if is_ending:
                cpu += run.task.spec.reserved_cpu_millis
                memory += run.task.spec.memory_mb
            elif run.task.job.queue.priority > priority:
                less_urgent.append(run)
        return Resources(cpu, memory), less_urgent

    def _candidates(self, less_urgent: list[Run], now: float) -> Iterator[Victim[Run]]:
        budgeted_steps = set()
        for run in less_urgent:
            if not may_be_stopped(run, now):
                continue
            if run.task.spec.long_running:
                # The budget of a step is known only for one stop at a time.
                if run.task.step_id in budgeted_steps:
                    continue
                if not self.unavailable.may_stop(run.task):
                    continue
                budgeted_steps.add(run.task.step_id)
            lost = lost_work(run, self._checkpoints, now)
            order = (lost, -remaining_work(run), run.task.name, run.attempt)
            yield Victim(run, reservation(run.task), order)

    def _is_worth(self, task: Task, victims: list[Victim[Run]], now: float) -> bool:
        """Whether the work thrown away is no more than that of the urgent task.

        Runs that checkpoint save their work when they are stopped.
        """
        thrown_away = sum(
            lost_work(victim.item, self._checkpoints, now)
            for victim in victims
            if not victim.item.task.spec.checkpointing
        )
        step = task.spec
        own_work = lost_core_seconds(step.estimate_ms / 1000, step.cpu_millis)
        return thrown_away <= MAX_LOST_SHARE * own_work

    def _paused(
        self, task: Task, executor: ExecutorState, stopped: tuple[Run, ...], now: float
    ) -> tuple[Run, ...] | None:
        """Return the runs that are to be paused for a task that uses leftover CPU.

        Returns None if the task would be too slow, or disturb a service, even beside paused runs.
        """
        step = task.spec
        if not step.uses_leftover_cpu:
            return ()
        paused = tuple(
            run for run in executor.runs.values() if _may_be_paused(run, task, stopped, now)
        )
        gone = (*paused, *stopped)
        demand = executor.best_effort_cpu_millis + step.cpu_millis
        demand -= sum(run.task.spec.cpu_millis for run in gone if run.task.spec.uses_leftover_cpu)
        is_slow = demand > MAX_BEST_EFFORT_COST * max(1.0, leftover_millis(executor))
        return None if is_slow or self._disturbs(task, executor, gone) else paused

    def _disturbs(self, task: Task, executor: ExecutorState, gone: tuple[Run, ...]) -> bool:
        shares = executor.disturbing_shares()
        room = max(1, executor.registration.room.cpu_millis)
        for run in gone:
            image = run.task.spec.image
            if image in shares and not run.task.spec.tail_target_ms:
                shares[image] -= run.task.spec.cpu_millis / room
        image = task.spec.image
        shares[image] = shares.get(image, 0.0) + task.spec.cpu_millis / room
        return any(
            headroom - self._model.lost_headroom(serving, shares) < HEADROOM_TO_KEEP
            for serving, headroom in executor.recent_min_headroom.items()
        )


def reservation(task: Task) -> Resources:
    """Return what a task reserves: millicores, and memory in megabytes."""
    return Resources(task.spec.reserved_cpu_millis, task.spec.memory_mb)


def _total(free: Resources, runs: list[Run]) -> Resources:
    """Return what would be free without the given runs."""
    return Resources(
        free.millicores + sum(run.task.spec.reserved_cpu_millis for run in runs),
        free.memory + sum(run.task.spec.memory_mb for run in runs),
    )


def _may_be_paused(run: Run, urgent: Task, stopped: tuple[Run, ...], now: float) -> bool:
    has_rested = now - run.paused_at >= MIN_SECONDS_BETWEEN_STOPS
    return (
        (has_rested or run.paused_until > now)
        and run.task.spec.uses_leftover_cpu
        and run.phase is RunPhase.RUNNING
        and run not in stopped
        and run.task.job.queue.priority > urgent.job.queue.priority
    )
