"""Which executor a task goes to."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ._executors import ExecutorState
from ._interference import InterferenceModel
from ._pacing import WANTED_HEADROOM
from ._runs import Task

SERVING_LOAD = 0.55
"""The share of its reservation that a serving task is taken to use: such services swing about
less than half of what they reserve, and what is left for others must survive the swing."""
STRIKE_COST = 4.0
"""In units of a whole executor's load: an executor that just failed something comes after all
others, whatever they have to do."""
FAILED_THERE_COST = 8.0
"""The same task failed there before; if it fails elsewhere too, the fault is its own."""
DISTURBANCE_COST = 3.0
"""In units of a whole executor's load, for each unit of headroom below what is kept: a task that has
to be paced down takes longer than one on a crowded executor."""
PACKING_GAIN = 1.0
"""Of two executors with the same images the fuller one gets the next serving task, so that large
tasks find whole executors free instead of a hole of a core in each."""
ADDED_COST = 2.0
"""In the same unit, for each unit of headroom that the task itself takes, even where enough is left:
loads swing, and what stands there now is not what will stand there in two seconds."""
SPOILING_COST = 2.0
"""A serving task joins one that stands alone with its image. Work that disturbs an image needs
executors without it; the first stray takes one more away, whatever share it has of it."""
STRAY_COST = 1.0
"""It joins several images, none of them its own: the executor was spoiled before."""
KIN_COST = 0.3
"""It joins several images, its own among them."""
UPKEEP_COST = 2.0
"""A lasting task on a machine that has yet to go down for upkeep would have to be moved once more."""
MOST_BEST_EFFORT_COST = 2.0
"""Above this a task without a reservation waits. It would run at half its speed or less and slow
those beside it, so that all end late; one after the other, the first ones end in time."""
CALM_SHARE = 0.6
CALM_PATIENCE_SECONDS = 8.0
"""While less than this share of all processors is reserved, tasks of jobs older than this put up with
more and more: there is room, and callers see a job that could run and doesn't."""
FULL_PATIENCE_SECONDS = 30.0
"""On full executors they wait longer. Jobs so old are late beyond use, and what they would slow is not;
but what was accepted has to end, also where every executor serves something that it disturbs."""
PATIENCE_COST = 0.5
"""How much more they put up with, for each second."""


def choose(
    task: Task, executors: Iterable[ExecutorState], model: InterferenceModel, most_cost: float
) -> ExecutorState | None:
    """The best of the usable executors that has room for the task, or None.

    A task without a reservation takes none that costs more than ``most_cost``.
    """
    best: ExecutorState | None = None
    lowest = float("inf")
    for executor in executors:
        cost = cost_of(task, executor, model, most_cost)
        if cost is not None and cost < lowest:
            best, lowest = executor, cost
    return best


class Price(NamedTuple):
    """What it costs to run a task on an executor, in units of a whole executor's load."""

    total: float
    bounded: float
    """The part that may be too much for a task without a reservation."""


def cost_of(
    task: Task, executor: ExecutorState, model: InterferenceModel, most_cost: float
) -> float | None:
    """What it costs to run a task there, in units of a whole executor's load; None: it can't."""
    found = price(task, executor, model)
    if found is None or found.bounded > most_cost:
        return None
    return found.total + (FAILED_THERE_COST if executor.executor in task.failed_on else 0.0)


def price(task: Task, executor: ExecutorState, model: InterferenceModel) -> Price | None:
    """What it costs any task of the shape of ``task`` to run there; None: it can't."""
    step = task.spec
    if not executor.fits(step.reserved_cpu_millis, step.memory_mb, step.accelerators):
        return None
    if not is_allowed(task, executor):
        return None
    history = _history_cost(task, executor)
    if not step.uses_leftover_cpu:
        return Price(_reserving_cost(task, executor, model) + history, 0.0)
    cost = _best_effort_cost(task, executor, model)
    return Price(cost + history, cost)


def most_cost(age_seconds: float, reserved_share: float) -> float:
    """What a task without a reservation puts up with.

    ``age_seconds`` is how long ago its job was accepted, by the clocks of two instances;
    ``reserved_share`` is the share of all processors that is reserved.
    """
    patience = CALM_PATIENCE_SECONDS if reserved_share < CALM_SHARE else FULL_PATIENCE_SECONDS
    return MOST_BEST_EFFORT_COST + PATIENCE_COST * max(0.0, age_seconds - patience)


def is_allowed(task: Task, executor: ExecutorState) -> bool:
    """Whether label and limit per executor let a task run there."""
    step = task.spec
    if step.required_label and step.required_label not in executor.registration.labels:
        return False
    if not step.per_executor_limit:
        return True
    same = sum(
        run.task.job is task.job
        and run.task.key.step == task.key.step
        and run.task.key.occurrence == task.key.occurrence
        for run in executor.runs.values()
    )
    return same < step.per_executor_limit


def _history_cost(task: Task, executor: ExecutorState) -> float:
    cost = STRIKE_COST * executor.strikes
    if task.spec.data_rack and task.spec.data_rack not in executor.registration.labels:
        cost += 1.0
    if task.spec.long_running and executor.upkeep_due:
        cost += UPKEEP_COST
    return cost


def _reserving_cost(task: Task, executor: ExecutorState, model: InterferenceModel) -> float:
    room, step = executor.registration.room, task.spec
    load = (executor.used_cpu_millis + step.reserved_cpu_millis) / max(1, room.cpu_millis)
    memory = (executor.used_memory_mb + step.memory_mb) / max(1, room.memory_mb)
    if step.tail_target_ms:
        return _company_cost(task, executor) - PACKING_GAIN * load
    cost = load + 0.25 * memory
    return cost + _disturbance(task, executor, model)


def _company_cost(task: Task, executor: ExecutorState) -> float:
    """What it costs that the serving tasks there have other images."""
    images = executor.serving
    if not images:
        return 0.0
    kin = task.spec.image in images
    if len(images) == 1:
        return 0.0 if kin else SPOILING_COST
    return KIN_COST if kin else STRAY_COST


def _best_effort_cost(task: Task, executor: ExecutorState, model: InterferenceModel) -> float:
    demand = executor.best_effort_cpu_millis + task.spec.cpu_millis
    return demand / max(1.0, leftover_millis(executor)) + _disturbance(task, executor, model)


def leftover_millis(executor: ExecutorState) -> float:
    """The processor time that the tasks there with a reservation leave unused."""
    unused = (1 - SERVING_LOAD) * executor.serving_cpu_millis
    return executor.registration.room.cpu_millis - executor.used_cpu_millis + unused


def _disturbance(task: Task, executor: ExecutorState, model: InterferenceModel) -> float:
    """How far below the headroom that is kept the task would bring the serving tasks there."""
    if not executor.lasting_headroom:
        return 0.0
    share = task.spec.cpu_millis / max(1, executor.registration.room.cpu_millis)
    most_added = most_missing = 0.0
    for serving, missing in _missing_headroom(executor, model).items():
        added = share * model.effect(serving, task.spec.image)
        most_added = max(most_added, added)
        most_missing = max(most_missing, missing + added)
    return ADDED_COST * most_added + DISTURBANCE_COST * most_missing


def _missing_headroom(executor: ExecutorState, model: InterferenceModel) -> dict[str, float]:
    """By serving image: how far below the headroom that is kept its tasks there are; negative if above.

    Worked out again only when something there has changed: hundreds of executors are priced for each step.
    """
    known = executor.missing_headroom
    if known is None:
        shares = executor.disturbing_shares()
        known = executor.missing_headroom = {
            serving: WANTED_HEADROOM + model.lost_headroom(serving, shares) - headroom
            for serving, headroom in executor.lasting_headroom.items()
        }
    return known
