"""Reconciles the replicas of services with the numbers in their contracts."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from .._contracts import ServiceContract
from .._ids import JobId, ServiceName
from ._task_changes import CancelRequested, JobAccepted
from ._task_table import TaskTable
from ._tasks import Job, JobNumber, TaskShape

_NEVER_FINISHES_SECONDS = 1e9


def replica_changes(
    table: TaskTable,
    services: Mapping[ServiceName, ServiceContract],
    number: int,
    count: int,
    now: float,
) -> Iterator[JobAccepted | CancelRequested]:
    """Yield the changes that bring a partition's replicas to the numbers in the contracts.

    ``number`` is the index of the partition among ``count`` partitions that share the replicas.
    Each replica is a job with one task, so that a replica that is given up is replaced by a new
    job. If there are too many replicas, the newest are cancelled first.
    """
    open_jobs = _open_replicas(table)
    next_number = table.next_number
    for name, service in services.items():
        wanted = (service.replicas + count - 1 - number) // count
        jobs = open_jobs.pop(name, [])
        for job in jobs[wanted:]:
            yield CancelRequested(job.number, None, now)
        for _ in range(wanted - len(jobs)):
            yield _accept_replica(service, next_number, now)
            next_number = JobNumber(next_number + 1)
    for jobs in open_jobs.values():
        for job in jobs:
            yield CancelRequested(job.number, None, now)


def _open_replicas(table: TaskTable) -> dict[ServiceName, list[Job]]:
    open_jobs: dict[ServiceName, list[Job]] = {}
    for job in table.jobs.values():
        if job.shape.service is not None and job.open_count and not job.cancelled:
            open_jobs.setdefault(job.shape.service, []).append(job)
    return open_jobs


def _accept_replica(service: ServiceContract, number: JobNumber, now: float) -> JobAccepted:
    shape = TaskShape(
        service.team,
        service.name,
        service.resources,
        _NEVER_FINISHES_SECONDS,
        service=service.name,
        tolerance=service.tolerance,
    )
    return JobAccepted(number, JobId(f"service-{service.name}-{number}"), shape, 1, now)
