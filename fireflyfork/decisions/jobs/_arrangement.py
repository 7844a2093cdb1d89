"""Moves serving tasks between executors to keep tasks with compatible images together.

A task without a CPU reservation fits next to a serving task only if its image disturbs that task's
image little. An executor that serves several images has to reject whatever disturbs any of them.
Executors with a mixture are therefore useless for most work without a reservation, however much CPU
time they have left. Which images are compatible is known only after their tasks have run side by
side for some seconds; by then the serving tasks, which run for a long time, have been placed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from ._executors import ExecutorState
from ._interference import InterferenceModel
from ._move_reservations import RESERVATION_SECONDS
from ._notes import MoveReason
from ._pacing import HEADROOM_TO_KEEP
from ._placement_costs import is_allowed, leftover_millis
from ._runs import Run, Task
from ._service_state import ServiceState
from ._upkeep import is_serving, may_become_unavailable

SEARCH_INTERVAL_SECONDS = 0.5
"""Interval between two searches for a better arrangement. A move takes about as long."""
MIN_WAITING_SHARE = 0.01
"""Tasks are moved only while the waiting work without a reservation would use this share of all
processors. With less waiting work, a move gains nothing that is worth an interruption."""
PREVIOUS_DEMAND_WEIGHT = 0.85
"""Weight of the previous demand by image in the moving average. The average covers about four
seconds, since only a few jobs wait at any moment."""
MOVE_COST_MILLIS = 1_500.0
"""Minimum gain for each moved task, in thousandths of a core that waiting work could use. A task of
several cores is unavailable for about half a second."""
MIN_SPARE_HEADROOM = 0.3
"""Headroom that disturbing work may take where services have no more than the headroom to keep.
Paces follow the load, and for half of the time more is available."""
MAX_RESERVED_MOVES = 4
"""No new plan is made while this many tasks have resources reserved at their destination: users of
a service notice when several tasks are unavailable at once. The limit doesn't bound the number of
tasks on their way. A plan is carried out whole, however many moves it has, and a reservation lasts
only until its task is sent, or for ``RESERVATION_SECONDS``."""
MIN_SECONDS_BETWEEN_MOVES = 12.0
"""Minimum time between two moves of the same task, whatever is learned in between."""
EXECUTORS_PER_SEARCH = 48
"""Executors examined for misplaced images in one search; the next search continues with the
following ones. The cost of a search does not grow with the fleet."""
MAX_PLANNED_EXECUTORS = 12
"""Executors for which moves are planned in one search, those with the largest gain first."""
MAX_DESTINATIONS = 40
"""Destinations considered for one task. Executors that serve the task's image come first, since the
task does no harm there."""


@dataclass(frozen=True, slots=True)
class Move:
    """A serving task that should move to another executor."""

    run: Run
    destination: ExecutorState


@dataclass(slots=True)
class _MovePlan:
    """The planned moves, and their effect on the free resources of executors."""

    cpu_millis: dict[ExecutorState, int] = field(default_factory=dict)
    """By executor: the CPU time that the planned moves free; negative if they use it."""
    memory_mb: dict[ExecutorState, int] = field(default_factory=dict)
    """By executor: the memory that the planned moves free; negative if they use it."""
    moves: list[Move] = field(default_factory=list)
    moved_runs: set[Run] = field(default_factory=set)

    def fits(self, run: Run, destination: ExecutorState, instead_of: Run | None = None) -> bool:
        """Whether a run fits on an executor, after ``instead_of`` has left it."""
        spec, freed = run.task.spec, instead_of.task.spec if instead_of is not None else None
        cpu = destination.free_cpu_millis + self.cpu_millis.get(destination, 0)
        memory = destination.free_memory_mb + self.memory_mb.get(destination, 0)
        if freed is not None:
            cpu += freed.reserved_cpu_millis
            memory += freed.memory_mb
        return spec.reserved_cpu_millis <= cpu and spec.memory_mb <= memory

    def add_move(self, run: Run, destination: ExecutorState) -> None:
        """Add a move to the plan."""
        spec = run.task.spec
        for executor, sign in ((run.executor, 1), (destination, -1)):
            cpu = self.cpu_millis.get(executor, 0)
            self.cpu_millis[executor] = cpu + sign * spec.reserved_cpu_millis
            self.memory_mb[executor] = self.memory_mb.get(executor, 0) + sign * spec.memory_mb
        self.moves.append(Move(run, destination))
        self.moved_runs.add(run)

    def allows(self, run: Run, destination: ExecutorState) -> bool:
        """Whether label and per-executor limit let the run's task move to an executor."""
        task = run.task
        if not is_allowed(task, destination):
            return False
        planned_moves = (move for move in self.moves if move.destination is destination)
        return not task.spec.per_executor_limit or all(
            move.run.task.step_id != task.step_id for move in planned_moves
        )


class Arrangement:
    """Finds serving tasks that would be better placed elsewhere, and moves a few at a time."""

    def __init__(self, state: ServiceState) -> None:
        """Initialize with the service state to read and change."""
        self._state = state
        self._searched_at = 0.0
        self._next_index = 0
        """Index of the executor at which the next search begins."""
        self._demand: dict[str, float] = {}
        """CPU demand of work without a reservation by image, in thousandths of a core (moving
        average)."""

    def check(self, now: float) -> None:
        """Stop tasks that should move, and reserve resources for them at their destinations."""
        if now - self._searched_at < SEARCH_INTERVAL_SECONDS:
            return
        self._searched_at = now
        usable = self._state.usable_executors(now)
        waiting_millis = self._update_demand()
        model, spare = self._state.interference, spare_headroom(usable)
        model.groups.update(model, self._demand, spare, now)
        total_millis = sum(executor.registration.room.cpu_millis for executor in usable)
        if waiting_millis <= MIN_WAITING_SHARE * total_millis:
            return
        allowed_moves = MAX_RESERVED_MOVES - len(self._state.move_reservations)
        if allowed_moves <= 0:
            return
        for move in self._best_moves(usable, now):
            self._begin_move(move, now)

    def _update_demand(self) -> float:
        """Update the demand by image from the running and waiting tasks.

        Returns the demand of the waiting tasks, in thousandths of a core.
        """
        demand: dict[str, float] = {}
        waiting_millis = 0.0
        for task in self._state.waiting:
            if task.spec.uses_leftover_cpu:
                waiting_millis += task.spec.cpu_millis
                image = task.spec.image
                demand[image] = demand.get(image, 0.0) + task.spec.cpu_millis
        for executor in self._state.executors.values():
            for image, cpu in executor.disturbing_cpu_millis.items():
                demand[image] = demand.get(image, 0.0) + cpu
        for image in self._demand.keys() | demand.keys():
            kept = PREVIOUS_DEMAND_WEIGHT * self._demand.get(image, 0.0)
            self._demand[image] = kept + (1 - PREVIOUS_DEMAND_WEIGHT) * demand.get(image, 0.0)
        return waiting_millis

    def _best_moves(self, usable: list[ExecutorState], now: float) -> list[Move]:
        useful_leftover = UsefulLeftover(
            self._state.interference, self._demand, spare_headroom(usable)
        )
        rotated = self._rotated(usable)
        searched = rotated[:EXECUTORS_PER_SEARCH]
        misplaced = sorted(
            _misplaced_images(searched, useful_leftover), key=lambda candidate: -candidate[0]
        )[:MAX_PLANNED_EXECUTORS]
        destinations = _Destinations(rotated)
        best_moves: list[Move] = []
        max_gain = 0.0
        for gain, executor, image in misplaced:
            plan = _MovePlan()
            gain -= _cost_of_removing_image(
                executor, image, destinations, useful_leftover, plan, now
            )
            if gain > max_gain:
                best_moves, max_gain = plan.moves, gain
        return best_moves

    def _rotated(self, usable: list[ExecutorState]) -> list[ExecutorState]:
        """Return the executors rotated to begin with a different one in each search."""
        if len(usable) <= EXECUTORS_PER_SEARCH:
            return usable
        first = self._next_index % len(usable)
        self._next_index = first + EXECUTORS_PER_SEARCH
        return usable[first:] + usable[:first]

    def _begin_move(self, move: Move, now: float) -> None:
        run = move.run
        if not (run.is_active and may_become_unavailable(run)):
            return
        self._state.move_reservations.add(run.task, move.destination, now + RESERVATION_SECONDS)
        self._state.move(run, now, MoveReason.ARRANGEMENT)


class UsefulLeftover:
    """Computes how much work without a reservation an executor can run, by the images it serves."""

    def __init__(
        self, model: InterferenceModel, demand: dict[str, float], spare_headroom: float
    ) -> None:
        """Initialize with the demand by image, in any unit, and the headroom that it may take."""
        total_demand = sum(demand.values()) or 1.0
        self._model = model
        self._shares = {image: cpu / total_demand for image, cpu in demand.items() if cpu > 0}
        self._spare_headroom = spare_headroom
        self._effects_by_image: dict[str, list[float]] = {}
        self._effects: dict[frozenset[str], list[float]] = {}
        self._cache: dict[tuple[ExecutorState, frozenset[str]], float] = {}

    def millis(self, executor: ExecutorState, images: Iterable[str]) -> float:
        """Return the useful leftover CPU of an executor if it served these images.

        The unit is thousandths of a core. Results are cached, so the runs on the executor must not
        change during the lifetime of this object.
        """
        served = frozenset(images)
        cached = self._cache.get((executor, served))
        if cached is None:
            cached = self._cache[executor, served] = self._compute_millis(executor, served)
        return cached

    def _compute_millis(self, executor: ExecutorState, served: frozenset[str]) -> float:
        leftover = leftover_millis(executor)
        if leftover <= 0:
            return 0.0
        demanded_share = leftover / max(1, executor.registration.room.cpu_millis)
        effects = self._effects.get(served)
        if effects is None:
            effects = self._effects[served] = self._max_effects(served)
        useful_share = sum(
            share * min(1.0, self._spare_headroom / max(1e-9, effect * demanded_share))
            for share, effect in zip(self._shares.values(), effects, strict=True)
        )
        return leftover * useful_share

    def _max_effects(self, served: frozenset[str]) -> list[float]:
        """Return each demanded image's effect on the served image that it slows down most."""
        if not served:
            return [0.0] * len(self._shares)
        return [max(costs) for costs in zip(*map(self._effects_on, served), strict=True)]

    def _effects_on(self, serving: str) -> list[float]:
        cached = self._effects_by_image.get(serving)
        if cached is None:
            cached = [self._model.effect(serving, image) for image in self._shares]
            self._effects_by_image[serving] = cached
        return cached


class _Destinations:
    """Possible destinations for the tasks of one search.

    The images that executors serve must not change during its lifetime.
    """

    def __init__(self, usable: Iterable[ExecutorState]) -> None:
        """Index the executors of ``usable`` that run serving tasks, and keep their order."""
        self._serving = [candidate for candidate in usable if candidate.serving_counts]
        self._by_image: dict[str, list[ExecutorState]] = {}
        for executor in self._serving:
            for image in executor.serving_counts:
                self._by_image.setdefault(image, []).append(executor)

    def ordered_for(self, run: Run) -> Iterator[ExecutorState]:
        """Yield the executors other than the run's own, those that serve its image first."""
        image, source = run.task.spec.image, run.executor
        same_image = self._by_image.get(image, ())
        yield from (executor for executor in same_image if executor is not source)
        yield from (
            executor
            for executor in self._serving
            if image not in executor.serving_counts and executor is not source
        )


def spare_headroom(executors: Iterable[ExecutorState]) -> float:
    """Return the headroom that disturbing work may take of a service, averaged over all."""
    lows = [
        min(executor.recent_min_headroom.values())
        for executor in executors
        if executor.recent_min_headroom
    ]
    mean = sum(lows) / len(lows) if lows else HEADROOM_TO_KEEP
    return max(MIN_SPARE_HEADROOM, mean - HEADROOM_TO_KEEP)


def _misplaced_images(
    usable: list[ExecutorState], useful_leftover: UsefulLeftover
) -> Iterator[tuple[float, ExecutorState, str]]:
    """Yield gain, executor and image where removing the image makes the executor more useful."""
    for executor in usable:
        images = executor.serving_counts
        if len(images) < 2:
            continue
        current_millis = useful_leftover.millis(executor, images)
        for image, count in images.items():
            gain = useful_leftover.millis(executor, images.keys() - {image}) - current_millis
            if gain > MOVE_COST_MILLIS * count:
                yield gain, executor, image


def _cost_of_removing_image(
    executor: ExecutorState,
    image: str,
    destinations: _Destinations,
    useful_leftover: UsefulLeftover,
    plan: _MovePlan,
    now: float,
) -> float:
    """Return the cost of moving all tasks of an image off an executor.

    The cost is infinite if they can't be moved. The moves are added to ``plan``.
    """
    runs = [run for run in executor.runs.values() if run.task.spec.image == image]
    if not all(_can_be_moved(run, now) for run in runs):
        return float("inf")
    cost = 0.0
    for run in sorted(runs, key=lambda moved_run: -moved_run.task.spec.reserved_cpu_millis):
        cheapest = float("inf")
        moves: tuple[tuple[Run, ExecutorState], ...] = ()
        for option_cost, option in _move_options(run, destinations, useful_leftover, plan, now):
            if option_cost < cheapest:
                cheapest, moves = option_cost, option
        if not moves:
            return float("inf")
        for moved_run, destination in moves:
            plan.add_move(moved_run, destination)
        cost += cheapest
    return cost


def _move_options(
    run: Run,
    destinations: _Destinations,
    useful_leftover: UsefulLeftover,
    plan: _MovePlan,
    now: float,
) -> Iterator[tuple[float, tuple[tuple[Run, ExecutorState], ...]]]:
    """Yield the ways to move one task elsewhere, each with its cost."""
    source, image = run.executor, run.task.spec.image
    remaining_images = source.serving_counts.keys() - {image}
    for destination in islice(destinations.ordered_for(run), MAX_DESTINATIONS):
        if not plan.allows(run, destination):
            continue
        images = destination.serving_counts
        lost_millis = useful_leftover.millis(destination, images) - useful_leftover.millis(
            destination, images.keys() | {image}
        )
        if plan.fits(run, destination):
            yield lost_millis + MOVE_COST_MILLIS, ((run, destination),)
            continue
        for exchanged_run in destination.runs.values():
            if (
                exchanged_run.task.spec.image not in remaining_images
                or exchanged_run in plan.moved_runs
            ):
                continue
            can_exchange = plan.fits(run, destination, exchanged_run) and plan.fits(
                exchanged_run, source, run
            )
            if (
                can_exchange
                and _can_be_moved(exchanged_run, now)
                and plan.allows(exchanged_run, source)
            ):
                yield lost_millis + 2 * MOVE_COST_MILLIS, (
                    (run, destination),
                    (exchanged_run, source),
                )


def _can_be_moved(run: Run, now: float) -> bool:
    task: Task = run.task
    if not task.spec.long_running or has_other_constraints(task):
        return False
    has_rested = now - task.moved_at >= MIN_SECONDS_BETWEEN_MOVES
    return has_rested and is_serving(task) and may_become_unavailable(run)


def has_other_constraints(task: Task) -> bool:
    """Whether more than CPU, memory and per-executor limits decides where a task may run.

    A reservation covers only those. A task that needs an accelerator would be started where none is
    free, one that needs a ticket would be started without it, and a member of a gang would be
    separated from the others.
    """
    spec = task.spec
    bound = spec.accelerators or spec.gang or spec.same_rack or spec.data_rack
    return bool(bound) or task.job.queue.needs_tickets
