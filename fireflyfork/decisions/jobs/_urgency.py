"""In which order tasks are placed."""

from __future__ import annotations

from ._runs import LATE_FACTOR, Task

Urgency = tuple[int, int, int, float, float]
"""Sorts tasks, the most urgent first: the queue's priority, whether the task lasts, what its job can
still achieve, how much work is left of it, and when it is due."""

_ACHIEVABLE, _LATE, _USELESS = range(3)


def urgency(task: Task, now_ms: int) -> Urgency:
    """What sorts a task that waits.

    Within a priority, jobs that can't meet their objective any more stand behind those that can; else
    each job would wait for others that are late already and end late itself. Among those that can, the
    one with the least work left goes first. When more comes than can be done, that serves the most
    callers; by the earliest objective first, all are begun and most end too late. Jobs that are beyond use go
    by age, so that none waits for ever.
    """
    job = task.job
    priority = job.queue.priority
    if task.spec.long_running:
        return priority, 0, _ACHIEVABLE, 0.0, 0.0
    allowed, accepted = job.allowed_ms(), job.spec.accepted_ms
    earliest_end = now_ms + job.remaining_ms()
    if earliest_end <= accepted + allowed:
        achievable = _ACHIEVABLE
    elif earliest_end <= accepted + LATE_FACTOR * allowed:
        achievable = _LATE
    else:
        return priority, 1, _USELESS, 0.0, accepted + allowed
    return priority, 1, achievable, job.remaining_work(), accepted + allowed
