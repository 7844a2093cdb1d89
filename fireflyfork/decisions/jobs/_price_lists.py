"""Caches the cost of each executor for the tasks of one shape across placement rounds.

A backlog is retried ten times a second, and only a few executors change in between: only their
costs are computed again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from ._executors import ExecutorState
from ._interference import InterferenceModel
from ._placing import Price, price
from ._runs import Task

LISTS_KEPT = 32
"""Number of shapes with a cache, the most recently placed ones. Each cache has an entry for every
executor."""

MOST_PRICES = 8_192
"""Maximum number of entries in one cache."""


class PriceList:
    """Costs of tasks that don't differ in anything that decides where they may run."""

    def __init__(self, task: Task, model: InterferenceModel) -> None:
        """Initialize for `task` and others of its shape."""
        self._task = task
        self._model = model
        self._known: dict[ExecutorState, tuple[Hashable, Price | None]] = {}

    def price(self, executor: ExecutorState) -> Price | None:
        """Return the cost on an executor at present, or None if the tasks can't run there."""
        state = executor.priced_state
        known = self._known.get(executor)
        if known is not None and known[0] == state:
            return known[1]
        found = price(self._task, executor, self._model)
        if len(self._known) >= MOST_PRICES:
            # Most entries belong to executors that no longer exist.
            self._known.clear()
        self._known[executor] = (state, found)
        return found


class PriceLists:
    """The caches of the most recently placed shapes."""

    def __init__(self, model: InterferenceModel) -> None:
        """Initialize without caches."""
        self._model = model
        self._lists: OrderedDict[Hashable, PriceList] = OrderedDict()

    def for_task(self, task: Task) -> PriceList:
        """Return the cache for a task's shape. The task must not have failed on any executor."""
        shape = _shape(task)
        found = self._lists.get(shape)
        if found is None:
            found = self._lists[shape] = PriceList(task, self._model)
            if len(self._lists) > LISTS_KEPT:
                self._lists.popitem(last=False)
        self._lists.move_to_end(shape)
        return found


def _shape(task: Task) -> Hashable:
    """Return a key that is equal for tasks that have the same cost on every executor."""
    step = task.spec
    return (
        step.reserved_cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.cpu_millis,
        step.image,
        step.required_label,
        step.data_rack,
        step.uses_leftover_cpu,
        bool(step.tail_target_ms),
        step.long_running,
        task.step_id if step.per_executor_limit else None,
    )
