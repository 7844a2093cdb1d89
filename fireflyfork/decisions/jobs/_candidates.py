"""Candidate executors for the tasks of one step, cheapest first, during one placement round."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
from itertools import islice

from ._executors import ExecutorState
from ._placing import STRIKE_COST
from ._price_lists import PriceList
from ._runs import Task

LOOKED_AT = 48
"""Executors whose cost is computed before the cheapest is taken. The best of this many is about as
good as the best of all, and the cost of a start does not grow with the fleet."""
TROUBLED_COST = STRIKE_COST
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
        prices: PriceList,
        most: float,
        first: int = 0,
        looked_at: int = LOOKED_AT,
    ) -> None:
        """Initialize for `task` and others of its step, which accept a cost of at most `max_cost`.

        Costs are computed for `batch_size` executors from index `first` on, and for another batch
        whenever these don't suffice. Executors near the step's data come first.
        """
        self._prices = prices
        self._most = most
        self._looked_at = looked_at
        self._rest = enumerate(_near_first(task, executors, first))
        self._heap: list[tuple[float, int, ExecutorState]] = []
        self._look_further()

    def best(self) -> ExecutorState | None:
        """Return the cheapest executor found that can run a task of the step, or None."""
        while True:
            cheapest = self._cheapest()
            if cheapest is not None and cheapest[0] < TROUBLED_COST:
                return cheapest[-1]
            if not self._look_further():
                return cheapest[-1] if cheapest is not None else None

    def _cheapest(self) -> tuple[float, int, ExecutorState] | None:
        while self._heap:
            known, number, executor = self._heap[0]
            cost = self._cost(executor)
            if cost is None:
                heapq.heappop(self._heap)
            elif cost > known:
                heapq.heapreplace(self._heap, (cost, number, executor))
            else:
                return self._heap[0]
        return None

    def _cost(self, executor: ExecutorState) -> float | None:
        found = self._prices.price(executor)
        return found.total if found is not None and found.bounded <= self._most else None

    def _look_further(self) -> bool:
        """Compute the costs of the next batch. Returns False if no executors are left."""
        looked_at = False
        for number, executor in islice(self._rest, self._looked_at):
            looked_at = True
            cost = self._cost(executor)
            if cost is not None:
                heapq.heappush(self._heap, (cost, number, executor))
        return looked_at


def _near_first(
    task: Task, executors: Sequence[ExecutorState], first: int
) -> Iterator[ExecutorState]:
    """Yield the executors on the rack of the step's data, then the others from index `first` on."""
    rack = task.spec.data_rack
    if rack:
        yield from (one for one in executors if rack in one.registration.labels)
    count = len(executors)
    for number in range(count):
        one = executors[(first + number) % count]
        if not rack or rack not in one.registration.labels:
            yield one
