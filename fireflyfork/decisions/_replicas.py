"""Keeps as many replicas of each service accepted as its contract asks for."""

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
    """What brings the replicas of partition ``number`` of ``count`` to what contracts ask for.

    Each replica is a job of one task, so that one that was given up is replaced by a new one. The
    newest go first when there are too many.
    """
    present = _open_replicas(table)
    next_number = table.next_number
    for name, service in services.items():
        wanted = (service.replicas + count - 1 - number) // count
        jobs = present.pop(name, [])
        for job in jobs[wanted:]:
            yield CancelRequested(job.number, None, now)
        for _ in range(wanted - len(jobs)):
            yield _accepted(service, next_number, now)
            next_number = JobNumber(next_number + 1)
    for jobs in present.values():
        for job in jobs:
            yield CancelRequested(job.number, None, now)


def _open_replicas(table: TaskTable) -> dict[ServiceName, list[Job]]:
    present: dict[ServiceName, list[Job]] = {}
    for job in table.jobs.values():
        if job.shape.service is not None and job.open_count and not job.cancelled:
            present.setdefault(job.shape.service, []).append(job)
    return present


def _accepted(service: ServiceContract, number: JobNumber, now: float) -> JobAccepted:
    shape = TaskShape(
        service.team,
        service.name,
        service.resources,
        _NEVER_FINISHES_SECONDS,
        service=service.name,
        tolerance=service.tolerance,
    )
    return JobAccepted(number, JobId(f"service-{service.name}-{number}"), shape, 1, now)
