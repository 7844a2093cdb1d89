"""Which executor a task goes to."""

from __future__ import annotations

from collections.abc import Iterable

from ._executors import ExecutorState
from ._runs import Task

SERVING_LOAD = 0.55
"""The share of its reservation that a serving task is taken to use: such services swing about
less than half of what they reserve, and what is left for others must survive the swing."""
STRIKE_COST = 4.0
"""In units of a whole executor's load: an executor that just failed something comes after all
others, whatever they have to do."""
FAILED_THERE_COST = 8.0
"""The same task failed there before; if it fails elsewhere too, the fault is its own."""
TAIL_LIMIT = 0.7
"""Where a serving task's tail is above this share of its target, nothing more is added that
disturbs it: tails move by a third within seconds as the load swings."""


def leftover_millis(executor: ExecutorState) -> float:
    """The processor time that the tasks there with a reservation leave unused."""
    used = 0.0
    for run in executor.runs.values():
        step = run.task.spec
        used += step.reserved_cpu_millis * (SERVING_LOAD if step.tail_target_ms else 1.0)
    return executor.registration.room.cpu_millis - used


def filler_demand_millis(executor: ExecutorState) -> int:
    """What the tasks without a reservation there would use if they could."""
    return sum(
        run.task.spec.cpu_millis
        for run in executor.runs.values()
        if run.task.spec.uses_leftover_cpu
    )


def choose(task: Task, executors: Iterable[ExecutorState]) -> ExecutorState | None:
    """The best of the usable executors that has room for the task, or None."""
    step = task.spec
    candidates = (
        executor
        for executor in executors
        if executor.fits(step.reserved_cpu_millis, step.memory_mb, step.accelerators)
        and _allowed(task, executor)
    )
    cost = _filler_cost if step.uses_leftover_cpu else _reserving_cost
    best: ExecutorState | None = None
    lowest = float("inf")
    for executor in candidates:
        this = cost(task, executor)
        if this < lowest:
            best, lowest = executor, this
    return best


def _allowed(task: Task, executor: ExecutorState) -> bool:
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
    if executor.executor in task.failed_on:
        cost += FAILED_THERE_COST
    if task.spec.data_rack and task.spec.data_rack not in executor.registration.labels:
        cost += 1.0
    return cost


def _reserving_cost(task: Task, executor: ExecutorState) -> float:
    room = executor.registration.room
    load = (executor.used_cpu_millis + task.spec.reserved_cpu_millis) / max(1, room.cpu_millis)
    memory = (executor.used_memory_mb + task.spec.memory_mb) / max(1, room.memory_mb)
    return load + 0.25 * memory + _history_cost(task, executor)


def _filler_cost(task: Task, executor: ExecutorState) -> float:
    leftover = max(1.0, leftover_millis(executor) * executor.leftover_share)
    demand = filler_demand_millis(executor) + task.spec.cpu_millis
    crowding = demand / leftover
    disturbance = 2.0 if executor.tail_ratio > TAIL_LIMIT else executor.tail_ratio
    return crowding + disturbance + _history_cost(task, executor)
