"""Deterministic samples of jobs, which are the same for writers and readers of the logs."""

from __future__ import annotations

import xxhash


def in_sample(job: str, share: float) -> bool:
    """Return whether a job belongs to the sample that holds this share of all jobs.

    A smaller sample is always a subset of a larger one.
    """
    return xxhash.xxh32_intdigest(job.encode()) < share * 2**32


def job_of_task(task: str) -> str:
    """Return the id of a task's job, which is the first part of the task's name."""
    return task.partition(".")[0]
