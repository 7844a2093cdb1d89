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
from ._pacing import WANTED_HEADROOM
from ._placing import is_allowed, leftover_millis
from ._runs import Run, Task
from ._upkeep import is_at_work, may_be_moved
from ._work import Work

ARRANGE_SECONDS = 0.5
"""Interval between two searches for a better arrangement. A move takes about as long."""
WAITING_SHARE = 0.01
"""Tasks are moved only while the waiting work without a reservation would use this share of all
processors. With less waiting work, a move gains nothing that is worth an interruption."""
DEMAND_MEMORY = 0.85
"""Weight of the previous demand by image in the moving average. The average covers about four
seconds, since only a few jobs wait at any moment."""
MOVE_PRICE_MILLIS = 1_500.0
"""Minimum gain for each moved task, in thousandths of a core that waiting work could use. A task of
several cores is unavailable for about half a second."""
LEAST_SPARE_HEADROOM = 0.3
"""Headroom that disturbing work may take where services have no more than the headroom to keep.
Paces follow the load, and for half of the time more is available."""
MOVES_AT_ONCE = 4
"""No new plan is made while this many tasks have resources reserved at their destination: users of
a service notice when several tasks are unavailable at once. The limit doesn't bound the number of
tasks on their way. A plan is carried out whole, however many moves it has, and a reservation lasts
only until its task is sent, or for `RESERVATION_SECONDS`."""
REST_SECONDS = 12.0
"""Minimum time between two moves of the same task, whatever is learned in between."""
PROMISE_SECONDS = 1.5
"""How long resources stay reserved for a moved task: a stop takes up to 0.2 s, and its end is
listed within another 0.2 s."""
EXECUTORS_SEEN = 48
"""Executors examined for misplaced images in one search; the next search continues with the
following ones. The cost of a search does not grow with the fleet."""
EXECUTORS_TRIED = 12
"""Executors for which moves are planned in one search, those with the largest gain first."""
DESTINATIONS_TRIED = 40
"""Destinations considered for one task. Executors that serve the task's image come first, since the
task does no harm there."""


@dataclass(frozen=True, slots=True)
class Move:
    """A serving task that should move to another executor."""

    run: Run
    destination: ExecutorState


@dataclass(slots=True)
class _Sketch:
    """Free resources and tasks as they would be after the moves planned so far."""

    cpu_millis: dict[ExecutorState, int] = field(default_factory=dict)
    memory_mb: dict[ExecutorState, int] = field(default_factory=dict)
    moves: list[Move] = field(default_factory=list)
    gone: set[Run] = field(default_factory=set)

    def fits(self, run: Run, there: ExecutorState, instead_of: Run | None = None) -> bool:
        """Whether a run fits on an executor, after `instead_of` has left it."""
        spec, freed = run.task.spec, instead_of.task.spec if instead_of is not None else None
        cpu = there.free_cpu_millis + self.cpu_millis.get(there, 0)
        memory = there.free_memory_mb + self.memory_mb.get(there, 0)
        if freed is not None:
            cpu += freed.reserved_cpu_millis
            memory += freed.memory_mb
        return spec.reserved_cpu_millis <= cpu and spec.memory_mb <= memory

    def move(self, run: Run, destination: ExecutorState) -> None:
        """Add a move to the plan."""
        spec = run.task.spec
        for executor, sign in ((run.executor, 1), (destination, -1)):
            cpu = self.cpu_millis.get(executor, 0)
            self.cpu_millis[executor] = cpu + sign * spec.reserved_cpu_millis
            self.memory_mb[executor] = self.memory_mb.get(executor, 0) + sign * spec.memory_mb
        self.moves.append(Move(run, destination))
        self.gone.add(run)

    def takes(self, run: Run, there: ExecutorState) -> bool:
        """Whether label and per-executor limit let the run's task move to an executor."""
        task = run.task
        if not is_allowed(task, there):
            return False
        planned = (one for one in self.moves if one.destination is there)
        return not task.spec.per_executor_limit or all(
            one.run.task.step_id != task.step_id for one in planned
        )


class Arrangement:
    """Finds serving tasks that would be better placed elsewhere, and moves a few at a time."""

    def __init__(self, work: Work) -> None:
        """Initialize with the service state to read and change."""
        self._work = work
        self._looked_at = 0.0
        self._next = 0
        """Index of the executor at which the next search begins."""
        self._demand: dict[str, float] = {}
        """CPU demand of work without a reservation by image, in thousandths of a core (moving
        average)."""

    def check(self, now: float) -> None:
        """Stop tasks that should move, and reserve resources for them at their destinations."""
        if now - self._looked_at < ARRANGE_SECONDS:
            return
        self._looked_at = now
        usable = [one for one in self._work.executors.values() if one.usable(now)]
        waiting = self._note_demand()
        room = sum(one.registration.room.cpu_millis for one in usable)
        if waiting <= WAITING_SHARE * room:
            return
        free = MOVES_AT_ONCE - len(self._work.promises)
        if free <= 0:
            return
        for move in self._best_moves(usable, now):
            self._order(move, now)

    def _note_demand(self) -> float:
        """Update the demand by image from the running and waiting tasks.

        Returns the demand of the waiting tasks, in thousandths of a core.
        """
        demand: dict[str, float] = {}
        waiting = 0.0
        for task in self._work.waiting:
            if task.spec.uses_leftover_cpu:
                waiting += task.spec.cpu_millis
                image = task.spec.image
                demand[image] = demand.get(image, 0.0) + task.spec.cpu_millis
        for executor in self._work.executors.values():
            for image, cpu in executor.disturbing_cpu_millis.items():
                demand[image] = demand.get(image, 0.0) + cpu
        for image in self._demand.keys() | demand.keys():
            kept = DEMAND_MEMORY * self._demand.get(image, 0.0)
            self._demand[image] = kept + (1 - DEMAND_MEMORY) * demand.get(image, 0.0)
        return waiting

    def _best_moves(self, usable: list[ExecutorState], now: float) -> list[Move]:
        worth = Usefulness(self._work.interference, self._demand, spare_headroom(usable))
        turned = self._turned(usable)
        seen = turned[:EXECUTORS_SEEN]
        strays = sorted(_strays(seen, worth), key=lambda one: -one[0])[:EXECUTORS_TRIED]
        destinations = _Destinations(turned)
        best: list[Move] = []
        most = 0.0
        for gain, executor, image in strays:
            sketch = _Sketch()
            gain -= _cost_of_clearing(executor, image, destinations, worth, sketch, now)
            if gain > most:
                best, most = sketch.moves, gain
        return best

    def _turned(self, usable: list[ExecutorState]) -> list[ExecutorState]:
        """Return the executors rotated to begin with a different one in each search."""
        if len(usable) <= EXECUTORS_SEEN:
            return usable
        first = self._next % len(usable)
        self._next = first + EXECUTORS_SEEN
        return usable[first:] + usable[:first]

    def _order(self, move: Move, now: float) -> None:
        run = move.run
        if not (run.works and may_be_moved(run)):
            return
        run.task.moved_at = now
        self._work.promises.make(run.task, move.destination, now + PROMISE_SECONDS)
        self._work.stop(run, now)


class Usefulness:
    """Computes how much work without a reservation an executor can run, by the images it serves."""

    def __init__(
        self, model: InterferenceModel, demand: dict[str, float], spare_headroom: float
    ) -> None:
        """Initialize with the demand by image, in any unit, and the headroom such work may take."""
        whole = sum(demand.values()) or 1.0
        self._model = model
        self._shares = {image: one / whole for image, one in demand.items() if one > 0}
        self._spare_headroom = spare_headroom
        self._effects_by_image: dict[str, list[float]] = {}
        self._effects: dict[frozenset[str], list[float]] = {}
        self._known: dict[tuple[ExecutorState, frozenset[str]], float] = {}

    def of(self, executor: ExecutorState, images: Iterable[str]) -> float:
        """Return the useful leftover CPU of an executor if it served these images.

        The unit is thousandths of a core. Results are cached, so the runs on the executor must not
        change during the lifetime of this object.
        """
        served = frozenset(images)
        known = self._known.get((executor, served))
        if known is None:
            known = self._known[executor, served] = self._worked_out(executor, served)
        return known

    def _worked_out(self, executor: ExecutorState, served: frozenset[str]) -> float:
        leftover = leftover_millis(executor)
        if leftover <= 0:
            return 0.0
        wanted = leftover / max(1, executor.registration.room.cpu_millis)
        effects = self._effects.get(served)
        if effects is None:
            effects = self._effects[served] = self._worst_effects(served)
        useful = sum(
            share * min(1.0, self._spare_headroom / max(1e-9, effect * wanted))
            for share, effect in zip(self._shares.values(), effects, strict=True)
        )
        return leftover * useful

    def _worst_effects(self, served: frozenset[str]) -> list[float]:
        """For each demanded image, return its effect on the served image it slows down most."""
        if not served:
            return [0.0] * len(self._shares)
        return [max(costs) for costs in zip(*map(self._effects_on, served), strict=True)]

    def _effects_on(self, serving: str) -> list[float]:
        known = self._effects_by_image.get(serving)
        if known is None:
            known = [self._model.effect(serving, image) for image in self._shares]
            self._effects_by_image[serving] = known
        return known


class _Destinations:
    """Possible destinations for the tasks of one search.

    The images that executors serve must not change during its lifetime.
    """

    def __init__(self, usable: Iterable[ExecutorState]) -> None:
        """Index the executors of `usable` that run serving tasks, and keep their order."""
        self._serving = [one for one in usable if one.serving]
        self._by_image: dict[str, list[ExecutorState]] = {}
        for executor in self._serving:
            for image in executor.serving:
                self._by_image.setdefault(image, []).append(executor)

    def of(self, run: Run) -> Iterator[ExecutorState]:
        """Yield the executors other than the run's own, those that serve its image first."""
        image, here = run.task.spec.image, run.executor
        alike = self._by_image.get(image, ())
        yield from (one for one in alike if one is not here)
        yield from (one for one in self._serving if image not in one.serving and one is not here)


def spare_headroom(executors: Iterable[ExecutorState]) -> float:
    """Return the headroom that disturbing work may take of a service, averaged over all."""
    lows = [min(one.lasting_headroom.values()) for one in executors if one.lasting_headroom]
    mean = sum(lows) / len(lows) if lows else WANTED_HEADROOM
    return max(LEAST_SPARE_HEADROOM, mean - WANTED_HEADROOM)


def _strays(
    usable: list[ExecutorState], worth: Usefulness
) -> Iterator[tuple[float, ExecutorState, str]]:
    """Yield gain, executor and image where removing the image makes the executor more useful."""
    for executor in usable:
        images = executor.serving
        if len(images) < 2:
            continue
        now_worth = worth.of(executor, images)
        for image, count in images.items():
            gain = worth.of(executor, images.keys() - {image}) - now_worth
            if gain > MOVE_PRICE_MILLIS * count:
                yield gain, executor, image


def _cost_of_clearing(
    executor: ExecutorState,
    image: str,
    destinations: _Destinations,
    worth: Usefulness,
    sketch: _Sketch,
    now: float,
) -> float:
    """Return the cost of moving all tasks of an image off an executor.

    The cost is infinite if they can't be moved. The moves are added to `plan`.
    """
    runs = [run for run in executor.runs.values() if run.task.spec.image == image]
    if not all(_movable(run, now) for run in runs):
        return float("inf")
    cost = 0.0
    for run in sorted(runs, key=lambda one: -one.task.spec.reserved_cpu_millis):
        cheapest = float("inf")
        moves: tuple[tuple[Run, ExecutorState], ...] = ()
        for extra, option in _options(run, destinations, worth, sketch, now):
            if extra < cheapest:
                cheapest, moves = extra, option
        if not moves:
            return float("inf")
        for one, destination in moves:
            sketch.move(one, destination)
        cost += cheapest
    return cost


def _options(
    run: Run, destinations: _Destinations, worth: Usefulness, sketch: _Sketch, now: float
) -> Iterator[tuple[float, tuple[tuple[Run, ExecutorState], ...]]]:
    """Yield the ways to move one task elsewhere, each with its cost."""
    here, image = run.executor, run.task.spec.image
    staying = here.serving.keys() - {image}
    for there in islice(destinations.of(run), DESTINATIONS_TRIED):
        if not sketch.takes(run, there):
            continue
        images = there.serving
        harm = worth.of(there, images) - worth.of(there, images.keys() | {image})
        if sketch.fits(run, there):
            yield harm + MOVE_PRICE_MILLIS, ((run, there),)
            continue
        for other in there.runs.values():
            if other.task.spec.image not in staying or other in sketch.gone:
                continue
            exchange = sketch.fits(run, there, other) and sketch.fits(other, here, run)
            if exchange and _movable(other, now) and sketch.takes(other, here):
                yield harm + 2 * MOVE_PRICE_MILLIS, ((run, there), (other, here))


def _movable(run: Run, now: float) -> bool:
    task: Task = run.task
    if not task.spec.long_running or _is_bound(task):
        return False
    rested = now - task.moved_at >= REST_SECONDS
    return rested and is_at_work(task) and may_be_moved(run)


def _is_bound(task: Task) -> bool:
    """Whether more than CPU, memory and per-executor limits decides where a task may run.

    A reservation covers only those. A task that needs an accelerator would be started where none is
    free, one that needs a ticket would be started without it, and a member of a gang would be
    separated from the others.
    """
    spec = task.spec
    bound = spec.accelerators or spec.gang or spec.same_rack or spec.data_rack
    return bool(bound) or task.job.queue.needs_tickets
