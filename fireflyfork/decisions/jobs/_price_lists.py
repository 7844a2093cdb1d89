"""What each executor costs the tasks of one shape, kept from one round of placing to the next.

A backlog is tried again ten times a second, and meanwhile few executors have changed: only these are priced
anew.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from ._executors import ExecutorState
from ._interference import InterferenceModel
from ._placing import Price, price
from ._runs import Task

LISTS_KEPT = 32
"""Of the shapes that were placed last; each list has a price for every executor."""

MOST_PRICES = 8_192
"""In one list."""


class PriceList:
    """Prices for tasks that differ in nothing that decides where they may go."""

    def __init__(self, task: Task, model: InterferenceModel) -> None:
        """For ``task`` and others of its shape."""
        self._task = task
        self._model = model
        self._known: dict[ExecutorState, tuple[Hashable, Price | None]] = {}

    def price(self, executor: ExecutorState) -> Price | None:
        """What it costs there now; None: it can't run there."""
        state = executor.priced_state
        known = self._known.get(executor)
        if known is not None and known[0] == state:
            return known[1]
        found = price(self._task, executor, self._model)
        if len(self._known) >= MOST_PRICES:
            # Most of them are of executors that have gone.
            self._known.clear()
        self._known[executor] = (state, found)
        return found


class PriceLists:
    """The lists of the shapes that were placed last."""

    def __init__(self, model: InterferenceModel) -> None:
        """None yet."""
        self._model = model
        self._lists: OrderedDict[Hashable, PriceList] = OrderedDict()

    def for_task(self, task: Task) -> PriceList:
        """The list of a task's shape. The task must not have failed on any executor."""
        shape = _shape(task)
        found = self._lists.get(shape)
        if found is None:
            found = self._lists[shape] = PriceList(task, self._model)
            if len(self._lists) > LISTS_KEPT:
                self._lists.popitem(last=False)
        self._lists.move_to_end(shape)
        return found


def _shape(task: Task) -> Hashable:
    """Equal for tasks that cost the same everywhere."""
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
