"""Reservations for jobs that wait long, with backfilling around them (EASY backfill).

A reservation names an executor and the time at which its room is expected to be free. Until then
other tasks may use the room if they are expected to end in time, or if they leave enough of it.
The time never moves later, so a stream of small tasks can't put the job off for ever.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass

from .._executors import ExecutorState
from .._interference import InterferenceModel
from .._pacing import HEADROOM_TO_KEEP
from .._placement_costs import (
    MAX_BEST_EFFORT_COST,
    MISSING_HEADROOM_COST,
    TAKEN_HEADROOM_COST,
    is_allowed,
    leftover_millis,
)
from .._runs import Job, Run, Task
from .._tickets import StepId
from ._durations import Durations

MAX_OVERDUE_SECONDS = 5.0
"""A reservation whose room isn't free this long after its time is dropped: a run there lasts much
longer than expected, and the job gets a reservation elsewhere."""
RESERVED_EXECUTORS_DIVISOR = 16
"""At most one in this many executors is reserved, and at least one may be."""
MAX_RESERVATIONS = 16
"""Most reservations of a service. Each is considered for every task that is placed."""


@dataclass(slots=True, eq=False)
class Reservation:
    """The room of one executor that is kept for tasks of one step."""

    task: Task
    """A task of the step, which stands for the others: they are alike."""
    executor: ExecutorState
    at: float
    """When the room is expected to be free, in seconds on the owner's clock."""
    tasks: int
    """How many tasks of the step may still start there under the reservation."""
    extra: tuple[Hashable, int, int] = (None, 0, 0)
    """The state of the executor for which the room beside these tasks was computed, and this room
    at the reserved time: CPU time in thousandths of a core, and memory in MB."""

    @property
    def job(self) -> Job:
        """The job that waits."""
        return self.task.job

    @property
    def step(self) -> StepId:
        """The step that the room is kept for."""
        return self.task.step_id


class Reservations:
    """All reservations of a service, at most one for each job and one on each executor."""

    def __init__(self, durations: Durations, interference: InterferenceModel) -> None:
        """Initialize without reservations."""
        self._durations = durations
        self._interference = interference
        self._by_executor: dict[ExecutorState, Reservation] = {}
        self._by_job: dict[Job, Reservation] = {}
        self._ticks = 0

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._by_executor)

    def __iter__(self) -> Iterator[Reservation]:
        """Iterate over the reservations in the order in which they were made."""
        return iter(tuple(self._by_executor.values()))

    @property
    def executors(self) -> tuple[ExecutorState, ...]:
        """The executors with a reservation."""
        return tuple(self._by_executor)

    def tick(self) -> None:
        """Compute again what is expected to be free, since time has passed."""
        self._ticks += 1

    def of_job(self, job: Job) -> Reservation | None:
        """Return the reservation of a job, or None."""
        return self._by_job.get(job)

    def of_task(self, task: Task) -> Reservation | None:
        """Return the reservation that a task may start under, or None."""
        kept = self.of_job(task.job)
        return kept if kept is not None and kept.step == task.step_id else None

    def add(self, task: Task, count: int, usable: Iterable[ExecutorState], now: float) -> bool:
        """Reserve room for up to ``count`` tasks like ``task`` where it comes free first.

        Returns False if the job has a reservation, or no usable executor without one can have room.
        """
        if self.of_job(task.job) is not None:
            return False
        plans = (
            (at, -tasks, number, executor)
            for number, executor in enumerate(usable)
            if executor not in self._by_executor
            for at, tasks in self._plan(task, executor, now)
        )
        at, tasks, _, executor = min(plans, default=(float("inf"), 0, 0, None))
        if executor is None:
            return False
        kept = Reservation(task, executor, at, min(count, -tasks))
        self._by_executor[executor] = self._by_job[task.job] = kept
        return True

    def started(self, run: Run) -> Reservation | None:
        """Handle the start of a run; return its reservation if that is used up and dropped."""
        kept = self._by_executor.get(run.executor)
        if kept is None or kept.step != run.task.step_id:
            return None
        kept.tasks -= 1
        if kept.tasks > 0:
            return None
        self.drop(kept)
        return kept

    def drop(self, reservation: Reservation) -> None:
        """Drop a reservation."""
        if self._by_executor.get(reservation.executor) is reservation:
            del self._by_executor[reservation.executor]
            del self._by_job[reservation.job]

    def may_take(self, task: Task, executor: ExecutorState, now: float) -> bool:
        """Whether a task may start on an executor in spite of its reservation."""
        kept = self._by_executor.get(executor)
        if kept is None or kept.step == task.step_id:
            return True
        # Users of a long-running task would wait for as long as the reservation stands.
        if task.spec.long_running or task.job.queue.priority < kept.job.queue.priority:
            return True
        if now + self._durations.seconds(task) <= kept.at:
            return True
        # The members of a gang would take the room together.
        return not task.spec.gang and self._leaves_enough(kept, task, now)

    def _leaves_enough(self, kept: Reservation, task: Task, now: float) -> bool:
        """Whether the room that is free at the reserved time is enough for the task as well."""
        step, other = kept.task.spec, task.spec
        if step.uses_leftover_cpu:
            return bool(other.tail_target_ms)
        cpu, memory = self._extra(kept, now)
        has_accelerators = not (step.accelerators and other.accelerators)
        return other.reserved_cpu_millis <= cpu and other.memory_mb <= memory and has_accelerators

    def _extra(self, kept: Reservation, now: float) -> tuple[int, int]:
        """Return the CPU time and memory that are free beside the reserved at the reserved time."""
        executor, step = kept.executor, kept.task.spec
        state = (self._ticks, kept.tasks, executor.cost_state)
        if kept.extra[0] == state:
            return kept.extra[1:]
        cpu, memory = executor.free_cpu_millis, executor.free_memory_mb
        for run in executor.runs.values():
            if self._durations.end(run, now) <= max(now, kept.at):
                cpu += run.task.spec.reserved_cpu_millis
                memory += run.task.spec.memory_mb
        cpu -= kept.tasks * step.reserved_cpu_millis
        memory -= kept.tasks * step.memory_mb
        kept.extra = state, cpu, memory
        return cpu, memory

    def _plan(self, task: Task, executor: ExecutorState, now: float) -> Iterator[tuple[float, int]]:
        """Yield when an executor has room for the task and for how many like it, or nothing."""
        if not is_allowed(task, executor) or executor.executor in task.failed_on:
            return
        if task.spec.uses_leftover_cpu:
            if self._cost_alone(task, executor) > MAX_BEST_EFFORT_COST:
                return
            runs = executor.runs.values()
            disturbing = [run for run in runs if not run.task.spec.tail_target_ms]
            # Where nothing disturbs, the task would have been placed, if it could run there.
            at = max((self._durations.end(run, now) for run in disturbing), default=float("inf"))
            memory = executor.free_memory_mb + sum(run.task.spec.memory_mb for run in disturbing)
            if at < float("inf") and memory >= task.spec.memory_mb:
                yield at, 1
            return
        yield from self._plan_reserved(task, executor, now)

    def _plan_reserved(
        self, task: Task, executor: ExecutorState, now: float
    ) -> Iterator[tuple[float, int]]:
        step, room = task.spec, executor.registration.room
        cpu, memory = executor.free_cpu_millis, executor.free_memory_mb
        accelerators = room.accelerators - executor.used_accelerators
        ends = sorted(
            ((self._durations.end(run, now), run.task.spec) for run in executor.runs.values()),
            key=lambda end: end[0],
        )
        for at, ended in ((now, None), *ends):
            if ended is not None:
                cpu += ended.reserved_cpu_millis
                memory += ended.memory_mb
                accelerators += ended.accelerators
            if at == float("inf"):
                return
            tasks = cpu // max(1, step.reserved_cpu_millis)
            if step.memory_mb:
                tasks = min(tasks, memory // step.memory_mb)
            if step.accelerators:
                tasks = min(tasks, accelerators // step.accelerators)
            if step.per_executor_limit:
                tasks = min(tasks, step.per_executor_limit)
            if tasks > 0:
                yield at, tasks
                return

    def _cost_alone(self, task: Task, executor: ExecutorState) -> float:
        """Return the cost of a task without a reservation once the other disturbing runs ended."""
        room = max(1, executor.registration.room.cpu_millis)
        shares = {task.spec.image: task.spec.cpu_millis / room}
        max_taken = max_deficit = 0.0
        for serving, headroom in executor.recent_min_headroom.items():
            taken = self._interference.lost_headroom(serving, shares)
            max_taken = max(max_taken, taken)
            max_deficit = max(max_deficit, HEADROOM_TO_KEEP + taken - headroom)
        free = leftover_millis(executor) + sum(
            run.task.spec.reserved_cpu_millis
            for run in executor.runs.values()
            if not run.task.spec.tail_target_ms
        )
        disturbance = TAKEN_HEADROOM_COST * max_taken + MISSING_HEADROOM_COST * max_deficit
        return task.spec.cpu_millis / max(1.0, free) + disturbance
