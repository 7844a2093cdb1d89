"""The order in which waiting tasks are placed."""

from __future__ import annotations

from ._runs import LATE_FACTOR, Task

Urgency = tuple[float, ...]
"""Sort key of tasks, the most urgent first: the queue's priority, whether the task is long-running
(those come first), whether its job can still meet its objective, the remaining work of the job, and
the end that its objective allows. All keys of a scheduler have the same length."""

_ACHIEVABLE, _LATE, _USELESS = range(3)


def urgency(task: Task, now_ms: int) -> Urgency:
    """Return the sort key of a waiting task.

    Within a priority, jobs that can no longer meet their objective come after those that can;
    otherwise each job would wait for others that are already late and would itself end late. Of the
    jobs that can meet it, the one with the least remaining work goes first. Under overload that
    order serves the most callers; with the earliest objective first, all jobs are begun and most
    end too late. Jobs that are too late to be of use are ordered by age, so none waits forever.
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
