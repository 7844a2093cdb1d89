"""The executors for the tasks of one step, cheapest first, during one round of placing."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
from itertools import islice

from ._executors import ExecutorState
from ._placing import STRIKE_COST
from ._price_lists import PriceList
from ._runs import Task

LOOKED_AT = 48
"""Executors that are priced for a step before the cheapest is taken. The best of so many is about as good as
the best of all, and the cost of a start doesn't grow with the fleet."""
TROUBLED_COST = STRIKE_COST
"""Where even the cheapest costs so much, something is wrong with it, and others are looked at."""


class Candidates:
    """Finds a good executor for one task after the other without asking all of them each time.

    Tasks of a step are alike, and placing one makes only its executor dearer. So costs are worked out once;
    the cheapest is asked again before it is taken, and sinks if it has become dearer.
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
        """For ``task`` and others of its step, which put up with no more than ``most``.

        ``looked_at`` executors from number ``first`` on are priced, and as many again whenever these don't
        do. Those near the step's data come first.
        """
        self._prices = prices
        self._most = most
        self._looked_at = looked_at
        self._rest = enumerate(_near_first(task, executors, first))
        self._heap: list[tuple[float, int, ExecutorState]] = []
        self._look_further()

    def best(self) -> ExecutorState | None:
        """The cheapest executor found that has room for a task of the step, or None if there is none."""
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
        """Price some more; False if there are none."""
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
    """All executors, from number ``first`` around; before them those on the rack of the step's data."""
    rack = task.spec.data_rack
    if rack:
        yield from (one for one in executors if rack in one.registration.labels)
    count = len(executors)
    for number in range(count):
        one = executors[(first + number) % count]
        if not rack or rack not in one.registration.labels:
            yield one
