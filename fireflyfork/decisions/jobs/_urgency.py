"""In which order tasks are placed."""

from __future__ import annotations

from ._runs import LATE_FACTOR, Task

Urgency = tuple[int, int, int, float]
"""Sorts tasks, the most urgent first: the queue's priority, whether the task lasts, what its job can
still achieve, and when it is due."""


def urgency(task: Task, now_ms: int) -> Urgency:
    """What sorts a task that waits.

    Within a priority the earliest objective goes first, which meets all of them as long as that can
    be done at all. When it can't, that order makes every job a little late, so jobs that can't meet
    their objective any more stand behind those that can.
    """
    job = task.job
    priority = job.queue.priority
    if task.spec.long_running:
        return priority, 0, 0, 0.0
    allowed, accepted = job.allowed_ms(), job.spec.accepted_ms
    earliest_end = now_ms + job.remaining_ms()
    if earliest_end <= accepted + allowed:
        achievable = 0
    elif earliest_end <= accepted + LATE_FACTOR * allowed:
        achievable = 1
    else:
        achievable = 2
    return priority, 1, achievable, accepted + allowed
