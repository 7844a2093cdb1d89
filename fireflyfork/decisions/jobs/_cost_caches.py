"""Caches the cost of each executor for the tasks of one shape across placement rounds.

A backlog is retried ten times a second, and only a few executors change in between: only their
costs are computed again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable

from ._executors import ExecutorState
from ._interference import InterferenceModel
from ._placement_costs import PlacementCost, placement_cost
from ._policies import EstimatePolicy
from ._runs import Task

MAX_CACHES = 32
"""Number of shapes with a cache, the most recently placed ones. Each cache has an entry for every
executor."""

MAX_CACHE_ENTRIES = 8_192
"""Maximum number of entries in one cache."""


class CostCache:
    """Caches the cost of each executor for all tasks of the same shape."""

    def __init__(
        self,
        task: Task,
        model: InterferenceModel,
        note_computed: Callable[[], None] = lambda: None,
        estimates: EstimatePolicy | None = None,
    ) -> None:
        """Initialize for all tasks that have the shape of ``task``.

        ``note_computed`` is called for each cost that isn't cached.
        """
        self._task = task
        self._model = model
        self._note_computed = note_computed
        self._estimates = estimates or EstimatePolicy()
        self._cache: dict[ExecutorState, tuple[Hashable, PlacementCost | None]] = {}

    def cost(self, executor: ExecutorState) -> PlacementCost | None:
        """Return the cost on an executor at present, or None if the tasks can't run there."""
        groups, estimates = self._model.groups.revision, self._estimates.revision(executor)
        state = executor.cost_state, groups, estimates
        cached = self._cache.get(executor)
        if cached is not None and cached[0] == state:
            return cached[1]
        self._note_computed()
        cost = placement_cost(self._task, executor, self._model, self._estimates)
        if len(self._cache) >= MAX_CACHE_ENTRIES:
            # Most entries belong to executors that no longer exist.
            self._cache.clear()
        self._cache[executor] = (state, cost)
        return cost


class CostCaches:
    """The caches of the most recently placed shapes."""

    def __init__(self, model: InterferenceModel, estimates: EstimatePolicy) -> None:
        """Initialize without caches."""
        self._model = model
        self._estimates = estimates
        self.computed = 0
        """Number of costs that were computed because they weren't cached."""
        self._caches: OrderedDict[Hashable, CostCache] = OrderedDict()

    def _note_computed(self) -> None:
        self.computed += 1

    def for_task(self, task: Task) -> CostCache:
        """Return the cache for a task's shape. The task must not have failed on any executor."""
        shape = _shape(task)
        cache = self._caches.get(shape)
        if cache is None:
            cache = self._caches[shape] = CostCache(
                task, self._model, self._note_computed, self._estimates
            )
            if len(self._caches) > MAX_CACHES:
                self._caches.popitem(last=False)
        self._caches.move_to_end(shape)
        return cache


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
