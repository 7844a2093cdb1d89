"""The executors for the tasks of one step, cheapest first, during one round of placing."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from ._executors import ExecutorState
from ._interference import InterferenceModel
from ._placing import cost_of
from ._runs import Task


class Candidates:
    """Finds the best executor for one task after the other without asking all of them each time.

    Tasks of a step are alike, and placing one makes only its executor dearer. So the costs of all are
    worked out once; the cheapest is asked again before it is taken, and sinks if it has become dearer.
    Asking every executor for each task takes 2.6 ms a start among 400 of them.
    """

    def __init__(
        self, task: Task, executors: Iterable[ExecutorState], model: InterferenceModel, most: float
    ) -> None:
        """For ``task`` and others of its step."""
        self._model = model
        self._most = most
        costs = (
            (cost_of(task, one, model, most), number, one) for number, one in enumerate(executors)
        )
        self._heap = [
            (cost, number, executor) for cost, number, executor in costs if cost is not None
        ]
        heapq.heapify(self._heap)

    def best(self, task: Task) -> ExecutorState | None:
        """The cheapest executor that has room for a task of the step, or None."""
        while self._heap:
            known, number, executor = self._heap[0]
            cost = cost_of(task, executor, self._model, self._most)
            if cost is None:
                heapq.heappop(self._heap)
            elif cost > known:
                heapq.heapreplace(self._heap, (cost, number, executor))
            else:
                return executor
        return None
