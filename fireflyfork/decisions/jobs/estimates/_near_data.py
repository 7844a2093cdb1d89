"""Decides whether a task waits for an executor near its data or runs far from it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

from ...._ids import JobId
from .._executors import ExecutorState
from .._runs import Run, Task
from .._tickets import StepId

MAX_WAIT_SECONDS = 2.0
"""Longest time for which a step waits for executors near its data: a job shouldn't be without any
run for longer while others are idle."""
MIN_REMAINING_SECONDS = 0.05


class NearData:
    """Compares the wait for a rack with the time that a task loses elsewhere."""

    def __init__(self, far_factor: float) -> None:
        """Initialize; tasks far from their data take ``far_factor`` times as long."""
        self._far_factor = far_factor
        self._waiting_since: dict[JobId, dict[StepId, float]] = {}
        self._queued_work: defaultdict[str, float] = defaultdict(float)
        """By rack: work of the tasks that were told to wait for it since the last tick, in
        thousandths of a core times seconds."""

    def waits(self, task: Task, near: Iterable[ExecutorState], now: float) -> bool:
        """Whether a task that could run far from its data waits for an executor near it.

        ``near`` are the usable executors on the rack of its data. The more urgent tasks are asked
        for first; each one that waits makes the rack's queue longer for those that follow.
        """
        step = task.spec
        seconds = step.estimate_ms / 1000
        lost = min((self._far_factor - 1) * seconds, MAX_WAIT_SECONDS)
        steps = self._waiting_since.setdefault(task.job.spec.job, {})
        since = steps.setdefault(task.step_id, now)
        if now - since >= lost:
            return False
        executors = [executor for executor in near if _could_fit(task, executor)]
        if not executors:
            return False
        capacity = sum(executor.registration.room.cpu_millis for executor in executors)
        first = min(seconds_until_room(task, executor, now) for executor in executors)
        if first <= 0:
            # There is room, but the other costs of the rack are higher than that of the distance.
            return False
        queued = self._queued_work[step.data_rack] / max(1, capacity)
        if now - since + first + queued >= lost:
            return False
        self._queued_work[step.data_rack] += step.reserved_cpu_millis * seconds
        return True

    def tick(self) -> None:
        """Begin a new round: all waiting tasks are asked for again."""
        self._queued_work.clear()

    def forget(self, job: JobId) -> None:
        """Forget the steps of a job that is over."""
        self._waiting_since.pop(job, None)


def seconds_until_room(task: Task, executor: ExecutorState, now: float) -> float:
    """Return when enough runs on an executor will have ended for a task, infinite for never."""
    step = task.spec
    cpu = executor.free_cpu_millis
    memory = executor.free_memory_mb
    if cpu >= step.reserved_cpu_millis and memory >= step.memory_mb:
        return 0.0
    for seconds, run in sorted(_remaining(executor, now), key=lambda item: item[0]):
        cpu += run.task.spec.reserved_cpu_millis
        memory += run.task.spec.memory_mb
        if cpu >= step.reserved_cpu_millis and memory >= step.memory_mb:
            return seconds
    return float("inf")


def _remaining(executor: ExecutorState, now: float) -> Iterator[tuple[float, Run]]:
    """Yield the expected remaining seconds of each run that ends by itself."""
    for run in executor.runs.values():
        if run.task.spec.long_running:
            continue
        elapsed = now - run.ordered_at
        total = run.task.spec.estimate_ms / 1000
        if run.progress_percent:
            total = (run.listed_at - run.ordered_at) * 100 / run.progress_percent
        yield max(MIN_REMAINING_SECONDS, total - elapsed), run


def _could_fit(task: Task, executor: ExecutorState) -> bool:
    """Whether the label and the size of an executor allow a task to run there once it is free."""
    step, room = task.spec, executor.registration.room
    if step.required_label and step.required_label not in executor.registration.labels:
        return False
    return step.reserved_cpu_millis <= room.cpu_millis and step.memory_mb <= room.memory_mb
