"""Candidate executors for the tasks of one step, cheapest first, during one placement round."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
from itertools import islice

from ._cost_caches import CostCache
from ._executors import ExecutorState
from ._placement_costs import RECENT_FAILURE_COST
from ._runs import Task

EXECUTORS_PER_BATCH = 48
"""Executors whose cost is computed before the cheapest is taken. The best of this many is about as
good as the best of all, and the cost of a start does not grow with the fleet."""
SUSPECT_COST = RECENT_FAILURE_COST
"""If even the cheapest executor costs this much, it has recently failed, and more executors are
considered."""


class Candidates:
    """Finds good executors for many tasks without computing the cost of all executors each time.

    Tasks of a step are alike, and placing one raises only the cost of its own executor. So costs
    are computed once and kept in a heap. The cost of the cheapest executor is computed again before
    it is returned; if it has risen, the executor moves down the heap.
    """

    def __init__(
        self,
        task: Task,
        executors: Sequence[ExecutorState],
        costs: CostCache,
        max_cost: float,
        first: int = 0,
        batch_size: int = EXECUTORS_PER_BATCH,
    ) -> None:
        """Initialize for the tasks of the step of ``task``, which accept a cost up to ``max_cost``.

        Costs are computed for ``batch_size`` executors from index ``first`` on, and for another
        batch whenever none of these can run a task. Executors near the step's data come first.
        """
        self._costs = costs
        self._max_cost = max_cost
        self._batch_size = batch_size
        self._unexamined = enumerate(_near_data_first(task, executors, first))
        self._heap: list[tuple[float, int, ExecutorState]] = []
        self._add_batch()

    def best(self) -> ExecutorState | None:
        """Return the cheapest executor that can run a task of the step, or None."""
        while True:
            cheapest = self._cheapest()
            if cheapest is not None and cheapest[0] < SUSPECT_COST:
                return cheapest[-1]
            if not self._add_batch():
                return cheapest[-1] if cheapest is not None else None

    def _cheapest(self) -> tuple[float, int, ExecutorState] | None:
        while self._heap:
            known_cost, number, executor = self._heap[0]
            cost = self._cost(executor)
            if cost is None:
                heapq.heappop(self._heap)
            elif cost > known_cost:
                heapq.heapreplace(self._heap, (cost, number, executor))
            else:
                return self._heap[0]
        return None

    def _cost(self, executor: ExecutorState) -> float | None:
        cost = self._costs.cost(executor)
        return cost.total if cost is not None and cost.best_effort <= self._max_cost else None

    def _add_batch(self) -> bool:
        """Compute the costs of the next batch. Returns False if no executors are left."""
        any_left = False
        for number, executor in islice(self._unexamined, self._batch_size):
            any_left = True
            cost = self._cost(executor)
            if cost is not None:
                heapq.heappush(self._heap, (cost, number, executor))
        return any_left


def _near_data_first(
    task: Task, executors: Sequence[ExecutorState], first: int
) -> Iterator[ExecutorState]:
    """Yield the executors on the rack of the step's data, then the rest from index ``first`` on."""
    rack = task.spec.data_rack
    if rack:
        yield from (executor for executor in executors if rack in executor.registration.labels)
    count = len(executors)
    for number in range(count):
        executor = executors[(first + number) % count]
        if not rack or rack not in executor.registration.labels:
            yield executor
