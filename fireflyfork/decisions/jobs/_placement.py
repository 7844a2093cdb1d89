"""Assigns waiting tasks to executors that can run them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..._waits import WaitReason
from ._candidates import LOOKED_AT, Candidates
from ._commands import AskAdvice, StartRun
from ._executors import ExecutorState
from ._gangs import members, next_attempt, place_together
from ._notes import TaskSent
from ._placing import choose, is_allowed, most_cost
from ._price_lists import PriceLists
from ._runs import Run, RunPhase, Task
from ._stragglers import other_executors
from ._tickets import StepId
from ._waiting_tasks import WaitingStep
from ._work import Work

START_VALID_MS = 1_000
"""Milliseconds for which a start is valid; carried out later, it is void. Answers take 1 to 45 ms.
A start that arrives seconds late could run at the same time as its replacement."""
SHORT_TASK_RESERVE = 0.10
"""Share of all processors that long-running tasks leave free. Short tasks arrive in waves of a
twentieth of the processors on average, and a core for them is worth four times a core for a
long-running task."""
REFUSED_SHAPES = 24
"""A placement round ends when this many different shapes of tasks have found no executor: more
would find none either, and each costs a comparison of every executor."""


@dataclass(slots=True)
class _Round:
    """The state of one placement round."""

    usable: list[ExecutorState]
    room: int
    """CPU capacity of all usable executors, in thousandths of a core."""
    reserved: int
    """CPU time that was reserved on them when the round began."""
    lasting: int
    """CPU time reserved by long-running tasks, including those started in this round."""
    refused: dict[tuple[object, ...], WaitReason] = field(default_factory=dict)
    """By shape of task: the reason why no executor could run it."""
    candidates: dict[StepId, Candidates] = field(default_factory=dict)

    @classmethod
    def of(cls, usable: list[ExecutorState]) -> _Round:
        """Return a round over these executors."""
        return cls(
            usable,
            sum(one.registration.room.cpu_millis for one in usable),
            sum(one.used_cpu_millis for one in usable),
            sum(one.lasting_cpu_millis for one in usable),
        )

    def most_cost(self, task: Task, now_ms: int) -> float:
        """Return the highest cost that a task without a reservation accepts."""
        age = (now_ms - task.job.spec.accepted_ms) / 1000
        return most_cost(age, self.reserved / max(1, self.room))


class Placement:
    """Assigns tasks to executors."""

    def __init__(self, work: Work) -> None:
        """Initialize with the service state to read and change."""
        self._work = work
        self._prices = PriceLists(work.interference)
        self._first = 0
        """Index of the executor at which the candidates of the next step begin."""

    def place(self, now: float, now_ms: int) -> None:
        """Send waiting tasks to executors that can run them; the others wait for the next tick."""
        usable = [one for one in self._work.executors.values() if one.usable(now)]
        placing = _Round.of(usable)
        while usable and (step := self._work.waiting.pop()) is not None:
            reason = self._place_step(step, placing, now, now_ms)
            if reason is None:
                self._work.waiting.drop(step)
            else:
                self._work.waiting.park(step, reason)
        self._place_copies(placing, now, now_ms)

    def leave(self, run: Run, now: float) -> bool:
        """Prepare a start for sending when its turn has come.

        Returns False if it must not be sent any more. The validity of the order begins only now: if
        many starts wait for a slow event loop, it would otherwise expire before they are sent.
        Changes since the decision are taken into account as if the start were decided now.
        """
        executor = run.executor
        wanted = executor.runs.get(run.key) is run and run.phase is RunPhase.STARTING
        if not wanted or not executor.usable(now):
            return False
        run.ordered_at = now
        _begin_validity(run, now)
        return True

    def _place_step(
        self, step: WaitingStep, placing: _Round, now: float, now_ms: int
    ) -> WaitReason | None:
        """Start the tasks of a step until one finds no executor.

        Returns the reason why it found none, or None if all tasks have been handled.
        """
        while step.tasks:
            task = step.tasks[0]
            if not self._work.wants_run(task):
                task.waiting = False
            elif not self._keep_promise(task, now, now_ms):
                reason = self._place_task(task, placing, now, now_ms)
                if reason is not None:
                    return reason
                task.waiting = False
            step.tasks.popleft()
        return None

    def _place_task(
        self, task: Task, placing: _Round, now: float, now_ms: int
    ) -> WaitReason | None:
        shape = _shape(task)
        allowed = self._ticketed(task, placing.usable, now)
        reason = placing.refused.get(shape) or self._barred(task, placing)
        if reason is None and not self._start(task, allowed, placing, now, now_ms):
            reason = _refusal(task, placing.usable)
        if reason is not None:
            placing.refused[shape] = reason
        return reason

    def _keep_promise(self, task: Task, now: float, now_ms: int) -> bool:
        """Start a task that is being moved on the executor that has resources reserved for it.

        Returns False if the task has no reservation, or its destination is not usable any more.
        """
        destination = self._work.promises.destination(task)
        if destination is None:
            return False
        if not destination.usable(now):
            # Reservations are checked only now and then, and an executor may vanish at any moment.
            self._work.promises.drop(task)
            return False
        if not (self._work.promises.has_room(task) and is_allowed(task, destination)):
            # The task that it is exchanged with has not left the destination yet.
            self._work.waiting.defer(task)
            return True
        self._work.promises.drop(task)
        self._begin_run(task, destination, now, now_ms)
        task.waiting = False
        return True

    def _place_copies(self, placing: _Round, now: float, now_ms: int) -> None:
        """Start second runs of tasks whose first run is slow, if an executor can take them."""
        wanted, self._work.copies = self._work.copies, []
        for task in wanted:
            alone = len(task.runs) == 1 and task.runs[0].works
            if not alone or task.key not in task.job.tasks or task.job.state.is_final:
                continue
            others = other_executors(task, self._ticketed(task, placing.usable, now))
            most = placing.most_cost(task, now_ms)
            executor = choose(task, others, self._work.interference, most)
            if executor is not None:
                self._begin_run(task, executor, now, now_ms)

    def _candidates_for(
        self, task: Task, allowed: list[ExecutorState], placing: _Round, most: float
    ) -> Candidates:
        known = placing.candidates.get(task.step_id)
        if known is None:
            # All executors are compared for long-running tasks, since they stay where they are
            # placed, and for tasks that use leftover CPU, since the amount by which they slow down
            # services differs between executors.
            compares_all = task.spec.long_running or task.spec.uses_leftover_cpu
            looked_at = len(allowed) if compares_all else LOOKED_AT
            prices = self._prices.for_task(task)
            known = Candidates(task, allowed, prices, most, self._first, looked_at)
            self._first += LOOKED_AT
            placing.candidates[task.step_id] = known
        return known

    def _ticketed(self, task: Task, usable: list[ExecutorState], now: float) -> list[ExecutorState]:
        """Return the executors that may run a task; ask the advisor if too few are known."""
        if not task.job.queue.needs_tickets:
            return usable
        step = task.step_id
        allowed = [
            one
            for one in usable
            if self._work.tickets.valid(step, one.executor, one.registration.incarnation, now)
        ]
        if len(allowed) < min(len(members(task)), len(usable)):
            free = sorted(
                usable, key=lambda one: one.used_cpu_millis - one.registration.room.cpu_millis
            )
            known = {one.executor for one in allowed}
            names = [one.executor for one in free if one.executor not in known]
            asked = self._work.tickets.to_ask(step, names, now)
            if asked:
                self._work.commands.append(AskAdvice(step, asked))
        return allowed

    @staticmethod
    def _barred(task: Task, placing: _Round) -> WaitReason | None:
        """Return why a task is not considered in this round, or None."""
        if len(placing.refused) >= REFUSED_SHAPES:
            return WaitReason.BEHIND
        return WaitReason.RESERVED if _would_take_reserve(task, placing) else None

    def _start(
        self, task: Task, allowed: list[ExecutorState], placing: _Round, now: float, now_ms: int
    ) -> bool:
        """Start a task together with its gang, if there are executors for all of them."""
        most = placing.most_cost(task, now_ms)

        def choice(one: Task, executors: list[ExecutorState]) -> ExecutorState | None:
            if one.failed_on or one.spec.gang or one.job.queue.needs_tickets:
                return choose(one, executors, self._work.interference, most)
            return self._candidates_for(one, executors, placing, most).best()

        runs = place_together(task, allowed, choice, next_attempt(task), now)
        for run in runs:
            self._send(run, now, now_ms)
            if task.spec.long_running:
                placing.lasting += task.spec.reserved_cpu_millis
        return bool(runs)

    def _begin_run(self, task: Task, executor: ExecutorState, now: float, now_ms: int) -> None:
        """Allocate the resources of a task's next run on an executor, and order its start."""
        run = Run(task, next_attempt(task), executor, RunPhase.STARTING, now)
        executor.add(run)
        self._send(run, now, now_ms)

    def _send(self, run: Run, now: float, now_ms: int) -> None:
        """Order the start of a run whose resources are allocated."""
        executor, task = run.executor, run.task
        run.checkpoint = task.checkpoint
        if task.job.queue.needs_tickets:
            life = executor.registration.incarnation
            ticket = self._work.tickets.valid(task.step_id, executor.executor, life, now)
            run.ticket = ticket or ""
        _begin_validity(run, now)
        run.in_background = task.spec.uses_leftover_cpu and task.job.beyond_use(now_ms)
        task.attempt = run.attempt
        task.runs.append(run)
        self._work.commands.append(StartRun(run))
        self._work.notes.append(_sent(run, now, now_ms))
        task.waits_for = WaitReason.NOTHING
        self._work.jobs.note_started(task.job)


def _begin_validity(run: Run, now: float) -> None:
    """Set the deadline of a start; it also acts as a lease for everything on the executor."""
    run.start_deadline_ms = run.executor.clock(now) + START_VALID_MS
    run.executor.grant_lease(run.start_deadline_ms)


def _would_take_reserve(task: Task, placing: _Round) -> bool:
    """Whether a new long-running task would take resources that are kept for short tasks."""
    if not task.spec.long_running or task.attempt:
        return False
    wanted = placing.lasting + task.spec.reserved_cpu_millis
    return wanted > placing.room * (1 - SHORT_TASK_RESERVE)


def _shape(task: Task) -> tuple[object, ...]:
    step = task.spec
    own = step.per_executor_limit or task.job.queue.needs_tickets or step.gang
    limited = task.step_id if own else None
    size = (step.reserved_cpu_millis, step.memory_mb, step.accelerators)
    image = step.image if step.uses_leftover_cpu else ""
    # Resources are kept free from long-running tasks that never ran, but not from restarted ones.
    comes_back = step.long_running and task.attempt > 0
    return (*size, step.required_label, step.long_running, comes_back, limited, image)


def _refusal(task: Task, usable: list[ExecutorState]) -> WaitReason:
    """Return why none of the executors could run a task."""
    step = task.spec
    processors = any(step.reserved_cpu_millis <= one.free_cpu_millis for one in usable)
    memory = any(step.memory_mb <= one.free_memory_mb for one in usable)
    if not processors:
        return WaitReason.PROCESSORS
    if not memory:
        return WaitReason.MEMORY
    return WaitReason.DISTURBS if step.uses_leftover_cpu else WaitReason.OTHER


def _sent(run: Run, now: float, now_ms: int) -> TaskSent:
    executor = run.executor
    polled_at = executor.polled_at if executor.polled_at is not None else now
    return TaskSent(
        run.task.name,
        run.attempt,
        executor.executor,
        executor.registration.incarnation,
        now_ms - run.task.job.spec.accepted_ms,
        int((now - polled_at) * 1000),
        executor.strikes,
        run.task.waits_for,
        run.task.last_over,
    )
