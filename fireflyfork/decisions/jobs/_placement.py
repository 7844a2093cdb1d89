"""Assigns waiting tasks to executors that can run them."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ..._waits import WaitReason
from ._candidates import EXECUTORS_PER_BATCH, Candidates
from ._commands import StartRun
from ._cost_caches import CostCaches
from ._executors import ExecutorState
from ._free_room import FreeRoom, RoomGains
from ._gangs import next_attempt, place_together
from ._notes import TaskSent
from ._placement_costs import choose, is_allowed, is_far_from_data
from ._placement_round import PlacementRound
from ._registration_age import START_VALID_MS
from ._reserved_room import ReservedRoom
from ._runs import Run, RunPhase, Task, running_tasks
from ._service_state import ServiceState
from ._stragglers import other_executors
from ._tickets import ASK_AGAIN_SECONDS
from ._waiting_tasks import Refusal, WaitingStep

MAX_COMPARED = 512
"""Executors compared at first for a task that stays where it is placed, or that uses leftover CPU.
In a fleet of thousands the best of these is about as good as the best of all."""
MAX_COSTS_PER_ROUND = 4_096
"""Executors compared in one round, and limit of its other work. Work that has waited for a new owner
is placed in several rounds, in between which the owner renews its own lease."""
MAX_COSTS_TO_FINISH_STEP = 4_096
"""Further comparisons for the last step of a round. A step that is interrupted has to be compared
with all executors again."""
COST_OF_REFUSAL, COST_OF_START = 8, 4
"""Comparisons that take about as long as the refusal of a step, and as the start of a task."""
MAX_REFUSED_SHAPES = 24
"""Number of shapes of tasks per round that are compared with all executors in vain, tick after tick,
because other changes than those of room may let them run. Further ones take turns."""
_REASONS_OF_ONE_STEP = frozenset({WaitReason.NEXT_ROUND, WaitReason.BEHIND, WaitReason.NEAR_DATA})
"""Reasons that don't hold for other steps of the same shape."""


class Placement:
    """Assigns tasks to executors."""

    def __init__(self, state: ServiceState) -> None:
        """Initialize with the service state to read and change."""
        self._state = state
        self._cost_caches = CostCaches(state.interference, state.policies.estimates)
        self._room_gains = RoomGains()
        self._retried_gain = 0
        """Number of the last gain of room after which the waiting tasks were looked through."""
        self._first_index = 0
        """Index of the executor at which the candidates of the next step begin."""
        self._reserved_room = ReservedRoom(state)

    def place(self, now: float, now_ms: int) -> bool:
        """Send waiting tasks to executors that can run them; the others wait for the next tick.

        Returns whether tasks are left that another round should place at once.
        """
        usable = self._state.usable_executors(now)
        placement_round = self._begin_round(usable, now)
        if placement_round.seen_gain != self._retried_gain:
            may_be_placed = self._gain_check(placement_round, now)
            self._state.waiting.retry_remembered(now_ms, may_be_placed)
        while usable and not self._is_exhausted(placement_round):
            step = self._state.waiting.pop(now_ms)
            if step is None:
                break
            refusal = self._place_step(step, placement_round, now, now_ms)
            if refusal is None:
                self._state.waiting.drop(step)
                continue
            placement_round.other_work += COST_OF_REFUSAL
            if refusal.reason is WaitReason.NEXT_ROUND:
                self._state.waiting.postpone(step, now_ms)
            else:
                self._state.waiting.park(step, refusal)
        self._place_copies(placement_round, now, now_ms)
        self._state.waiting.is_cut_short = self._is_exhausted(placement_round)
        return self._state.waiting.is_cut_short

    def retry(self, now: float, now_ms: int) -> None:
        """Let the next round try the waiting tasks again that may find an executor by now."""
        placement_round = self._begin_round(self._state.usable_executors(now), now)
        self._state.waiting.retry(now_ms, self._gain_check(placement_round, now))

    def _gain_check(
        self, placement_round: PlacementRound, now: float
    ) -> Callable[[WaitingStep], bool]:
        """Return a function that tells whether a gain of room may let a parked step run."""
        rooms: dict[int, FreeRoom] = {}
        self._retried_gain = placement_round.seen_gain

        def may_be_placed(step: WaitingStep) -> bool:
            if step.seen_gain is None or now >= step.retry_at:
                return True
            task = step.tasks[0]
            if step.reason is WaitReason.RESERVED:
                waited = step.waited_seconds(now)
                return not self._reserved_room.is_refused(task, placement_round, waited, now)
            gained = rooms.get(step.seen_gain)
            if gained is None:
                executors = self._room_gains.executors_after(step.seen_gain)
                gained = rooms[step.seen_gain] = FreeRoom(executors)
            if gained.may_fit(task.spec):
                return True
            step.seen_gain = self._room_gains.last
            return False

        return may_be_placed

    def _begin_round(self, usable: list[ExecutorState], now: float) -> PlacementRound:
        self._room_gains.update(usable)
        placement_round = PlacementRound.for_executors(usable)
        self._reserved_room.observe(placement_round, now)
        placement_round.seen_gain = self._room_gains.last
        placement_round.compared = -self._cost_caches.computed
        return placement_round

    def _is_exhausted(self, placement_round: PlacementRound, more: int = 0) -> bool:
        """Whether a round has done as much work as it may, in comparisons, and ``more``."""
        compared = placement_round.compared + self._cost_caches.computed
        return max(compared, placement_round.other_work) >= MAX_COSTS_PER_ROUND + more

    def prepare_start(self, run: Run, now: float, valid_ms: int = START_VALID_MS) -> bool:
        """Prepare a start for sending when its turn has come, to be valid for ``valid_ms``.

        Returns False if it must not be sent any more. The validity of the order begins only now: if
        many starts wait for a slow event loop, it would otherwise expire before they are sent.
        Changes since the decision are taken into account as if the start were decided now.
        """
        executor = run.executor
        wanted = executor.runs.get(run.key) is run and run.phase is RunPhase.STARTING
        if not wanted or not executor.is_usable(now):
            return False
        run.ordered_at = now
        _set_deadline(run, now, valid_ms)
        return True

    def _place_step(
        self, step: WaitingStep, placement_round: PlacementRound, now: float, now_ms: int
    ) -> Refusal | None:
        """Start the tasks of a step until one finds no executor.

        Returns why it found none, or None if all tasks have been handled.
        """
        placement_round.has_turn = step.has_turn
        if step.tried_since is None:
            step.tried_since = now
        placement_round.waited_seconds = step.waited_seconds(now)
        while step.tasks:
            task = step.tasks[0]
            max_runs = self._state.policies.estimates.max_runs(task)
            if max_runs is not None:
                if running_tasks(task) >= max_runs:
                    return Refusal(WaitReason.TRIAL)
                task = step.bring_most_failed_forward()
            if self._is_exhausted(placement_round, MAX_COSTS_TO_FINISH_STEP):
                return Refusal(WaitReason.NEXT_ROUND)
            if not self._state.needs_run(task):
                task.waiting = False
            elif not self._place_reserved(task, now, now_ms):
                refusal = self._place_task(task, placement_round, now, now_ms)
                if refusal is not None:
                    return refusal
            step.tasks.popleft()
        return None

    def _place_task(
        self, task: Task, placement_round: PlacementRound, now: float, now_ms: int
    ) -> Refusal | None:
        """Start a task, or return why no executor can run it; then it may want further tickets."""
        refusal = self._try_task(task, placement_round, now, now_ms)
        if refusal is not None and task.job.queue.needs_tickets:
            self._state.tickets.want(task.step_id)
        return refusal

    def _try_task(
        self, task: Task, placement_round: PlacementRound, now: float, now_ms: int
    ) -> Refusal | None:
        """Start a task, or return why no executor can run it."""
        if self._place_on_reserved(task, placement_round, now, now_ms):
            return None
        allowed = self._permitted_executors(task, placement_round.usable, now)
        if task.job.queue.needs_tickets and not allowed:
            return self._remembered_refusal(task, WaitReason.ADVICE, placement_round, now)
        barred = self._barred(task, now)
        placement_round.barred = barred
        urgent_share = self._state.policies.room.urgent_share()
        is_kept_out = urgent_share > 0 and task.job.queue.priority > 0
        # A task that accepts any cost isn't refused for a cost that a younger one doesn't accept.
        accepts_any_cost = (
            task.spec.uses_leftover_cpu and placement_round.max_cost(task, now_ms) == inf
        )
        shape = (*_shape(task), is_kept_out, accepts_any_cost), barred
        refusal = placement_round.refusals.get(shape)
        if refusal is not None:
            return refusal
        waited = placement_round.waited_seconds
        if self._reserved_room.is_refused(task, placement_round, waited, now):
            return self._remembered_refusal(task, WaitReason.RESERVED, placement_round, now)
        if barred:
            allowed = [executor for executor in allowed if executor not in barred]
        refusal = self._try_executors(task, allowed, placement_round, now, now_ms)
        if refusal is None:
            return None
        if refusal.reason not in _REASONS_OF_ONE_STEP:
            placement_round.refusals[shape] = refusal
        return refusal

    def _try_executors(
        self,
        task: Task,
        allowed: list[ExecutorState],
        placement_round: PlacementRound,
        now: float,
        now_ms: int,
    ) -> Refusal | None:
        """Start a task on one of the allowed executors, or return why none can run it."""
        free_room = placement_round.free_room
        has_room = bool(allowed) and free_room.may_fit(task.spec)
        if has_room and task.spec.gang:
            placement_round.compared += free_room.distinct_rooms(task.spec)
            has_room = free_room.may_fit_together(task.spec)
        policies_decide = self._state.policies.may_refuse
        if not has_room and not policies_decide:
            return self._remembered_refusal(task, free_room.lack(task.spec), placement_round, now)
        is_remembered = not policies_decide and not task.spec.uses_leftover_cpu
        if not is_remembered:
            refusal = self._refusal_without_comparison(task, placement_round, now_ms)
            if refusal is not None:
                return refusal
        if has_room and self._start(task, allowed, placement_round, now, now_ms):
            task.waiting = False
            return None
        if task.step_id in placement_round.waiting_for_rack:
            return Refusal(WaitReason.NEAR_DATA)
        reason = placement_round.current_free_room().lack(task.spec)
        if self._state.policies.room.make_room(task, allowed, now, now_ms):
            task.wait_reason = reason
            self._state.waiting.defer(task)
            return None
        if is_remembered:
            return self._remembered_refusal(task, reason, placement_round, now)
        placement_round.shapes_compared_in_vain += 1
        return Refusal(reason)

    def _remembered_refusal(
        self, task: Task, reason: WaitReason, placement_round: PlacementRound, now: float
    ) -> Refusal:
        """Return a refusal that holds until an executor gains room, or tickets may have changed."""
        if self._state.policies.may_refuse:
            return Refusal(reason)
        needs_tickets = task.job.queue.needs_tickets
        retry_at = now + ASK_AGAIN_SECONDS if needs_tickets else inf
        return Refusal(reason, placement_round.seen_gain, retry_at)

    def _refusal_without_comparison(
        self, task: Task, placement_round: PlacementRound, now_ms: int
    ) -> Refusal | None:
        """Return why a task is not compared with executors whose refusals aren't remembered."""
        too_many_refused = placement_round.shapes_compared_in_vain >= MAX_REFUSED_SHAPES
        if too_many_refused and not placement_round.has_turn:
            return Refusal(WaitReason.BEHIND)
        if self._state.policies.may_refuse:
            return None
        max_millis = placement_round.max_cost(task, now_ms) * placement_round.most_leftover_millis
        return Refusal(WaitReason.DISTURBS) if task.spec.cpu_millis > max_millis else None

    def _barred(self, task: Task, now: float) -> frozenset[ExecutorState]:
        """Return the executors whose room is reserved for other tasks than this one."""
        order = self._state.policies.order
        reserved = order.reserved_executors()
        return frozenset(each for each in reserved if not order.may_take(task, each, now))

    def _place_on_reserved(
        self, task: Task, placement_round: PlacementRound, now: float, now_ms: int
    ) -> bool:
        """Start a task on the executor that is reserved for its job, if it can run there now."""
        if task.job.queue.needs_tickets:
            return False
        executor = self._state.policies.order.reserved_for(task)
        if executor is None or not executor.is_usable(now):
            return False
        max_cost = placement_round.max_cost(task, now_ms)
        if choose(task, (executor,), self._state.interference, max_cost) is None:
            return False
        self._begin_run(task, executor, now, now_ms)
        placement_round.started_millis += task.spec.reserved_cpu_millis
        task.waiting = False
        return True

    def _place_reserved(self, task: Task, now: float, now_ms: int) -> bool:
        """Start a task that is being moved on the executor that has resources reserved for it.

        Returns False if the task has no reservation, or its destination is not usable any more.
        """
        destination = self._state.move_reservations.destination(task)
        if destination is None:
            return False
        if not destination.is_usable(now):
            # Reservations are checked only now and then, and an executor may vanish at any moment.
            self._state.move_reservations.drop(task)
            return False
        if not (self._state.move_reservations.has_room(task) and is_allowed(task, destination)):
            # The task that it is exchanged with has not left the destination yet.
            self._state.waiting.defer(task)
            return True
        self._state.move_reservations.drop(task)
        self._begin_run(task, destination, now, now_ms)
        task.waiting = False
        return True

    def _place_copies(self, placement_round: PlacementRound, now: float, now_ms: int) -> None:
        """Start second runs of tasks whose first run is slow, if an executor can take them."""
        tasks, self._state.tasks_to_copy = self._state.tasks_to_copy, []
        placement_round.waited_seconds = 0.0
        for task in tasks:
            has_single_run = len(task.runs) == 1 and task.runs[0].is_active
            if not has_single_run or task.key not in task.job.tasks or task.job.state.is_final:
                continue
            other_usable = other_executors(
                task, self._permitted_executors(task, placement_round.usable, now)
            )
            barred = self._barred(task, now)
            other_usable = [each for each in other_usable if each not in barred]
            max_cost = placement_round.max_cost(task, now_ms)
            executor = self._choose(task, other_usable, max_cost)
            if executor is not None:
                self._begin_run(task, executor, now, now_ms)

    def _choose(
        self, task: Task, executors: list[ExecutorState], max_cost: float
    ) -> ExecutorState | None:
        estimates = self._state.policies.estimates
        return choose(task, executors, self._state.interference, max_cost, estimates)

    def _candidates_for(
        self,
        task: Task,
        allowed: list[ExecutorState],
        placement_round: PlacementRound,
        max_cost: float,
    ) -> Candidates:
        key = task.step_id, placement_round.barred
        candidates = placement_round.candidates.get(key)
        if candidates is None:
            # Many executors are compared for long-running tasks, since they stay where they are
            # placed, and for tasks that use leftover CPU, since the amount by which they slow down
            # services differs between executors.
            compares_many = task.spec.long_running or task.spec.uses_leftover_cpu
            batch_size = MAX_COMPARED if compares_many else EXECUTORS_PER_BATCH
            costs = self._cost_caches.for_task(task)
            candidates = Candidates(task, allowed, costs, max_cost, self._first_index, batch_size)
            self._first_index += EXECUTORS_PER_BATCH
            placement_round.candidates[key] = candidates
        return candidates

    def _permitted_executors(
        self, task: Task, usable: list[ExecutorState], now: float
    ) -> list[ExecutorState]:
        """Return the usable executors that a task may be sent to: those with a valid ticket, if its
        queue needs tickets."""
        if not task.job.queue.needs_tickets:
            return usable
        tickets, step = self._state.tickets, task.step_id
        known = (self._state.executors.get(name) for name in tickets.holders(step))
        return [
            executor
            for executor in known
            if executor is not None
            and executor.is_usable(now)
            and tickets.valid(step, executor.executor, executor.incarnation, now)
        ]

    def _start(
        self,
        task: Task,
        allowed: list[ExecutorState],
        placement_round: PlacementRound,
        now: float,
        now_ms: int,
    ) -> bool:
        """Start a task together with its gang, if there are executors for all of them."""
        max_cost = placement_round.max_cost(task, now_ms)

        def choice(member: Task, executors: list[ExecutorState]) -> ExecutorState | None:
            executor = cheapest(member, executors)
            if executor is None or not is_far_from_data(member, executor):
                return executor
            if not self._state.policies.estimates.waits_for_rack(member, executors, now):
                return executor
            placement_round.waiting_for_rack.add(member.step_id)
            return None

        candidates_of_groups: dict[int, Candidates] = {}

        def gang_candidates(member: Task, group: list[ExecutorState]) -> Candidates:
            known = candidates_of_groups.get(id(group))
            if known is None:
                costs = self._cost_caches.for_task(member)
                known = Candidates(member, group, costs, max_cost, batch_size=len(group))
                candidates_of_groups[id(group)] = known
            return known

        def cheapest(member: Task, executors: list[ExecutorState]) -> ExecutorState | None:
            if member.failed_on or member.job.queue.needs_tickets:
                placement_round.compared += len(executors)
                return self._choose(member, executors, max_cost)
            if member.spec.gang:
                return gang_candidates(member, executors).best()
            return self._candidates_for(member, executors, placement_round, max_cost).best()

        runs = place_together(task, allowed, choice, next_attempt(task), now)
        for run in runs:
            self._send(run, now, now_ms)
            placement_round.took_room = True
            placement_round.other_work += COST_OF_START
            placement_round.started_millis += task.spec.reserved_cpu_millis
            if task.spec.long_running:
                placement_round.long_running_millis += task.spec.reserved_cpu_millis
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
            incarnation = executor.incarnation
            ticket = self._state.tickets.valid(task.step_id, executor.executor, incarnation, now)
            run.ticket = ticket or ""
        _set_deadline(run, now)
        run.in_background = task.spec.uses_leftover_cpu and task.job.is_beyond_use(now_ms)
        task.attempt = run.attempt
        task.runs.append(run)
        self._state.commands.append(StartRun(run))
        self._state.notes.append(_task_sent_note(run, now, now_ms))
        task.wait_reason = WaitReason.NOTHING
        self._state.jobs.record_order(task.job)
        self._state.tell(lambda policy: policy.run_started(run, now))


def _set_deadline(run: Run, now: float, valid_ms: int = START_VALID_MS) -> None:
    """Set the deadline of a start; it also acts as a lease for everything on the executor."""
    run.start_deadline_ms = run.executor.min_clock_ms(now) + valid_ms
    run.executor.grant_lease(run.start_deadline_ms)


def _shape(task: Task) -> tuple[object, ...]:
    step = task.spec
    has_own_limits = step.per_executor_limit or task.job.queue.needs_tickets or step.gang
    limited = task.step_id if has_own_limits else None
    size = (step.cpu_millis, step.memory_mb, step.accelerators)
    image = step.image if step.uses_leftover_cpu else None
    # Resources are kept free from long-running tasks that never ran, but not from restarted ones.
    is_restarted = step.long_running and task.attempt > 0
    return (*size, step.required_label, step.long_running, is_restarted, limited, image)


def _task_sent_note(run: Run, now: float, now_ms: int) -> TaskSent:
    executor = run.executor
    polled_at = executor.polled_at if executor.polled_at is not None else now
    return TaskSent(
        run.task.name,
        run.attempt,
        executor.executor,
        executor.incarnation,
        now_ms - run.task.job.spec.accepted_ms,
        int((now - polled_at) * 1000),
        executor.consecutive_failures,
        run.task.wait_reason,
        run.task.last_run_over,
    )
