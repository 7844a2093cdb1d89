"""The cost of running a task on an executor, and the choice of the cheapest executor."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from ._executors import ExecutorState
from ._interference import InterferenceModel
from ._pacing import HEADROOM_TO_KEEP
from ._policies import EstimatePolicy
from ._runs import Task
from .arrangement import ImageGroups

ASSUMED_SERVING_LOAD = 0.55
"""Share of its reservation that a serving task is assumed to use: the load of such services varies
around a little less than half of their reservation, and the rest that is given to other tasks must
remain available when the load rises."""
RECENT_FAILURE_COST = 4.0
"""Cost of each recent failure, in units of a whole executor's load. An executor that has just
failed comes after all others, however loaded they are."""
EARLIER_FAILURE_COST = 8.0
"""Cost of an executor on which the same task has failed before. If the task fails elsewhere too, it
is itself at fault."""
MISSING_HEADROOM_COST = 3.0
"""Cost of each unit of headroom below the headroom to keep, in units of a whole executor's load. A
task that has to be slowed down takes longer than one on a crowded executor."""
PACKING_GAIN = 1.0
"""Advantage of a full executor over an empty one for a serving task. Of two executors with the same
images the fuller one gets the task, so large tasks find whole executors free rather than a core on
each."""
TAKEN_HEADROOM_COST = 2.0
"""Cost of each unit of headroom that the task itself takes, even where enough is left. Loads
change, and the tasks that run there now may be different ones in two seconds."""
SECOND_IMAGE_COST = 2.0
"""Cost of adding a second image to an executor that serves only one. Work that disturbs an image
needs executors without it, and the first task of another image makes one more executor unusable for
such work, however small its share."""
FURTHER_IMAGE_COST = 1.0
"""Cost of adding another image to an executor that already serves several: it was mixed before."""
SHARED_IMAGE_COST = 0.3
"""Cost of joining an executor that serves several images, the task's own among them."""
UPKEEP_COST = 2.0
"""Cost of a machine that has yet to go down for upkeep, for a long-running task: the task would
have to be moved once more."""
MAX_BEST_EFFORT_COST = 2.0
"""Highest cost that a task without a reservation accepts at first; above it the task waits. It
would run at half its speed or less and slow down the tasks next to it, so that all would end late;
run one after the other, the first ones end in time."""
LOW_RESERVED_SHARE = 0.6
LOW_RESERVED_PATIENCE_SECONDS = 8.0
"""While less than ``LOW_RESERVED_SHARE`` of all processors is reserved, tasks of jobs older than
this many seconds accept increasing costs: executors have free capacity, and callers see a job that
could run and doesn't."""
HIGH_RESERVED_PATIENCE_SECONDS = 30.0
"""Seconds before tasks accept higher costs on full executors. Jobs of this age are too late to be
of use, and the work that they would slow down is not. But every accepted job has to end, even if
every executor serves an image that it disturbs."""
ACCEPTED_COST_PER_SECOND = 0.5
"""How much the accepted cost rises for each second beyond that."""
MAX_PATIENCE_SECONDS = 60.0
"""Age of a job from which its tasks accept any cost. Where long-running tasks have reserved all CPU
time, no cost that rises by the second would be accepted for hours."""


NO_ESTIMATES = EstimatePolicy()
"""Estimates of an owner that learns nothing of executors."""


def choose(
    task: Task,
    executors: Iterable[ExecutorState],
    model: InterferenceModel,
    max_cost: float,
    estimates: EstimatePolicy = NO_ESTIMATES,
) -> ExecutorState | None:
    """Return the cheapest executor that can run the task, or None if there is none.

    A task without a reservation accepts no executor with a cost above ``max_cost``.
    """
    cheapest: ExecutorState | None = None
    min_cost = float("inf")
    for executor in executors:
        cost = task_cost(task, executor, model, max_cost, estimates)
        if cost is not None and cost < min_cost:
            cheapest, min_cost = executor, cost
    return cheapest


class PlacementCost(NamedTuple):
    """The cost of running a task on an executor, in units of a whole executor's load."""

    total: float
    best_effort: float
    """The part of the cost that is compared with ``max_cost``; 0 for a task with a reservation."""


def task_cost(
    task: Task,
    executor: ExecutorState,
    model: InterferenceModel,
    max_cost: float,
    estimates: EstimatePolicy = NO_ESTIMATES,
) -> float | None:
    """Return the cost of running a task on an executor, or None if it can't run there.

    The unit is the load of a whole executor.
    """
    cost = placement_cost(task, executor, model, estimates)
    if cost is None or cost.best_effort > max_cost:
        return None
    return cost.total + (EARLIER_FAILURE_COST if executor.executor in task.failed_on else 0.0)


def placement_cost(
    task: Task,
    executor: ExecutorState,
    model: InterferenceModel,
    estimates: EstimatePolicy = NO_ESTIMATES,
) -> PlacementCost | None:
    """Return the cost of any task of the same shape, or None if it can't run on the executor."""
    step = task.spec
    if not executor.fits(step.reserved_cpu_millis, step.memory_mb, step.accelerators):
        return None
    if not is_allowed(task, executor):
        return None
    history = _history_cost(task, executor) + estimates.extra_cost(task, executor)
    if history == float("inf"):
        return None
    if not step.uses_leftover_cpu:
        return PlacementCost(_reserving_cost(task, executor, model) + history, 0.0)
    cost = _best_effort_cost(task, executor, model)
    return PlacementCost(cost + history, cost)


def max_accepted_cost(age_seconds: float, reserved_share: float) -> float:
    """Return the highest cost that a task without a reservation accepts.

    ``age_seconds`` is the time since its job was accepted, by the clocks of two instances.
    ``reserved_share`` is the share of all processors that is reserved.
    """
    if age_seconds >= MAX_PATIENCE_SECONDS:
        return inf
    patience = (
        LOW_RESERVED_PATIENCE_SECONDS
        if reserved_share < LOW_RESERVED_SHARE
        else HIGH_RESERVED_PATIENCE_SECONDS
    )
    return MAX_BEST_EFFORT_COST + ACCEPTED_COST_PER_SECOND * max(0.0, age_seconds - patience)


def is_allowed(task: Task, executor: ExecutorState) -> bool:
    """Whether the required label and the per-executor limit allow a task to run on an executor."""
    step = task.spec
    if step.required_label and step.required_label not in executor.registration.labels:
        return False
    if not step.per_executor_limit:
        return True
    runs_of_step = sum(
        run.task.job is task.job
        and run.task.key.step == task.key.step
        and run.task.key.occurrence == task.key.occurrence
        for run in executor.runs.values()
    )
    return runs_of_step < step.per_executor_limit


def is_far_from_data(task: Task, executor: ExecutorState) -> bool:
    """Whether a task's data is on another rack than the executor."""
    rack = task.spec.data_rack
    return bool(rack) and rack not in executor.registration.labels


def _history_cost(task: Task, executor: ExecutorState) -> float:
    cost = RECENT_FAILURE_COST * executor.consecutive_failures
    if is_far_from_data(task, executor):
        cost += 1.0
    if task.spec.long_running and executor.upkeep_due:
        cost += UPKEEP_COST
    return cost


def _reserving_cost(task: Task, executor: ExecutorState, model: InterferenceModel) -> float:
    room, step = executor.registration.room, task.spec
    load = (executor.used_cpu_millis + step.reserved_cpu_millis) / max(1, room.cpu_millis)
    memory = (executor.used_memory_mb + step.memory_mb) / max(1, room.memory_mb)
    if step.tail_target_ms:
        return _image_mix_cost(task, executor, model.groups) - PACKING_GAIN * load
    cost = load + 0.25 * memory
    return cost + _disturbance_cost(task, executor, model)


def _image_mix_cost(task: Task, executor: ExecutorState, groups: ImageGroups) -> float:
    """Return the cost of mixing the task's image with the other images that the executor serves.

    Images of one group count as one.
    """
    images = executor.serving_counts
    if not images:
        return 0.0
    is_shared = groups.contains(images, task.spec.image)
    if groups.count(images) == 1:
        return 0.0 if is_shared else SECOND_IMAGE_COST
    return SHARED_IMAGE_COST if is_shared else FURTHER_IMAGE_COST


def _best_effort_cost(task: Task, executor: ExecutorState, model: InterferenceModel) -> float:
    demand = executor.best_effort_cpu_millis + task.spec.cpu_millis
    return demand / max(1.0, leftover_millis(executor)) + _disturbance_cost(task, executor, model)


def leftover_millis(executor: ExecutorState) -> float:
    """Return the CPU time that tasks with a reservation leave unused, in thousandths of a core."""
    unused = (1 - ASSUMED_SERVING_LOAD) * executor.serving_cpu_millis
    return executor.registration.room.cpu_millis - executor.used_cpu_millis + unused


def _disturbance_cost(task: Task, executor: ExecutorState, model: InterferenceModel) -> float:
    """Return the cost of the headroom that the task would take from the serving tasks."""
    if not executor.recent_min_headroom:
        return 0.0
    share = task.spec.cpu_millis / max(1, executor.registration.room.cpu_millis)
    max_added = max_deficit = 0.0
    for serving, deficit in _headroom_deficit(executor, model).items():
        added = share * model.effect(serving, task.spec.image)
        max_added = max(max_added, added)
        max_deficit = max(max_deficit, deficit + added)
    return TAKEN_HEADROOM_COST * max_added + MISSING_HEADROOM_COST * max_deficit


def _headroom_deficit(executor: ExecutorState, model: InterferenceModel) -> dict[str, float]:
    """Return, by serving image, the headroom to keep minus the headroom of its tasks.

    The value is negative if they have more. Cached until something on the executor changes, since
    hundreds of executors are compared for each step.
    """
    cached = executor.headroom_deficit
    if cached is None:
        shares = executor.disturbing_shares()
        cached = executor.headroom_deficit = {
            serving: HEADROOM_TO_KEEP + model.lost_headroom(serving, shares) - headroom
            for serving, headroom in executor.recent_min_headroom.items()
        }
    return cached
