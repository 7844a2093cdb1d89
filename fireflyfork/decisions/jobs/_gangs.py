"""Gangs: steps whose tasks can only work together. They are placed, numbered and ended together."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from ..._ids import AttemptNumber
from ._executors import ExecutorState
from ._runs import Run, RunPhase, Task
from ._specs import TaskKey

ChooseExecutor = Callable[[Task, list[ExecutorState]], ExecutorState | None]


def gang_members(task: Task) -> list[Task]:
    """Return all tasks of the gang that a task belongs to, or the task alone."""
    if not task.spec.gang:
        return [task]
    tasks, key = task.job.tasks, task.key
    keys = (TaskKey(key.occurrence, key.step, index) for index in range(task.spec.count))
    return [tasks[member] for member in keys if member in tasks]


def has_no_runs(task: Task) -> bool:
    """Whether neither the task nor another member of its gang has a run."""
    return not any(member.runs for member in gang_members(task))


def next_attempt(task: Task) -> AttemptNumber:
    """Return the attempt number of the next run, which all members of a gang share."""
    return AttemptNumber(max(member.attempt for member in gang_members(task)) + 1)


def failed_attempt_count(task: Task) -> int:
    """Return how many attempts of the task, or of its gang, have failed."""
    return len({attempt for member in gang_members(task) for attempt in member.failed_attempts})


def save_checkpoint(task: Task, checkpoint: str) -> None:
    """Keep a checkpoint for all members of a gang.

    Any member's checkpoint is valid for the gang, and all members must start from the same one.
    """
    for member in gang_members(task):
        member.checkpoint = checkpoint


def place_together(
    task: Task,
    usable: list[ExecutorState],
    choice: ChooseExecutor,
    attempt: AttemptNumber,
    now: float,
) -> list[Run]:
    """Allocate runs for all members of a gang, or none if they don't all fit at once.

    Members that wait for each other on executors hold resources without working, and two gangs that
    each got half of what they need would wait forever.
    """
    for group in _groups(task, usable):
        runs = _allocate_runs(gang_members(task), group, choice, attempt, now)
        if runs:
            return runs
    return []


def _groups(task: Task, usable: list[ExecutorState]) -> Iterator[list[ExecutorState]]:
    """Yield the groups of executors to try: rack by rack if the step prefers one rack, then all."""
    if task.spec.same_rack:
        racks: dict[str, list[ExecutorState]] = {}
        for executor in usable:
            racks.setdefault(executor.registration.rack, []).append(executor)
        yield from sorted(racks.values(), key=_free_cpu, reverse=True)
    yield usable


def _free_cpu(executors: Iterable[ExecutorState]) -> int:
    return sum(
        executor.registration.room.cpu_millis - executor.used_cpu_millis for executor in executors
    )


def _allocate_runs(
    tasks: list[Task],
    executors: list[ExecutorState],
    choice: ChooseExecutor,
    attempt: AttemptNumber,
    now: float,
) -> list[Run]:
    runs: list[Run] = []
    for task in tasks:
        executor = choice(task, executors)
        if executor is None:
            for run in runs:
                run.executor.withdraw(run)
            return []
        run = Run(task, attempt, executor, RunPhase.STARTING, now)
        executor.add(run)
        runs.append(run)
    return runs
