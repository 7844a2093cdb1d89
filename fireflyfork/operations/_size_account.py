"""Counts jobs that ended in time, late or not at all, by size and by their callers' place.

The largest jobs of a queue wait for the most room, so their callers are hurt first when room is
scarce, which a count of all jobs hides.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from math import ceil

from ._job_account import JobAccount

UNKNOWN_DOMAIN = "unknown"
"""Failure domain of jobs whose instance logged none."""


class SizeClass(Enum):
    """A part of the jobs of a queue, by their estimated work."""

    LARGEST = "largest tenth"
    FIFTH_BELOW = "fifth below"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class OutcomeRow:
    """The outcomes of a group of jobs."""

    queue: str
    group: str
    """The size class, or the failure domain of the instance that the callers reached."""
    jobs: int
    in_time: int
    late: int
    not_completed: int
    """Jobs that failed, were cancelled or never ended."""


def outcomes_by_size(accounts: Iterable[JobAccount]) -> Iterator[OutcomeRow]:
    """Yield the outcomes of each queue's largest tenth, the fifth below it, and all of its jobs."""
    for queue, jobs in _by_queue(accounts):
        largest_first = sorted(jobs, key=lambda job: (-job.work, job.job))
        tenth, fifth = ceil(len(jobs) / 10), ceil(len(jobs) / 5)
        yield _row(queue, SizeClass.LARGEST.value, largest_first[:tenth])
        yield _row(queue, SizeClass.FIFTH_BELOW.value, largest_first[tenth : tenth + fifth])
        yield _row(queue, SizeClass.ALL.value, jobs)


def outcomes_by_failure_domain(accounts: Iterable[JobAccount]) -> Iterator[OutcomeRow]:
    """Yield the outcomes of each queue by the failure domain that accepted the jobs."""
    for queue, jobs in _by_queue(accounts):
        domains: dict[str, list[JobAccount]] = defaultdict(list)
        for job in jobs:
            domains[job.failure_domain or UNKNOWN_DOMAIN].append(job)
        for domain in sorted(domains):
            yield _row(queue, domain, domains[domain])


def _by_queue(accounts: Iterable[JobAccount]) -> list[tuple[str, list[JobAccount]]]:
    queues: dict[str, list[JobAccount]] = defaultdict(list)
    for account in accounts:
        queues[account.queue].append(account)
    return sorted(queues.items())


def _row(queue: str, group: str, jobs: list[JobAccount]) -> OutcomeRow:
    completed = [job for job in jobs if job.state == "completed"]
    late = sum(job.late for job in completed)
    return OutcomeRow(
        queue, group, len(jobs), len(completed) - late, late, len(jobs) - len(completed)
    )
