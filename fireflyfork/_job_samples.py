"""Samples of jobs, drawn alike by whoever writes logs and whoever reads them."""

from __future__ import annotations

import xxhash


def in_sample(job: str, share: float) -> bool:
    """Whether a job is in the sample of this share of all jobs; smaller samples are parts of larger ones."""
    return xxhash.xxh32_intdigest(job.encode()) < share * 2**32


def job_of_task(task: str) -> str:
    """The job's id, with which a task's name begins."""
    return task.partition(".")[0]
