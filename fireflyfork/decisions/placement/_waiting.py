"""Splits waiting jobs into replicas, urgent jobs and batch jobs, which are placed differently."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import chain

from ..._ids import TeamName
from .._placement_policy import PlacementView
from .._tasks import Task
from ._fair_queue import WaitingJob


@dataclass(frozen=True, slots=True)
class WaitingJobGroups:
    """The waiting jobs of one round, in order of arrival."""

    replicas: list[WaitingJob]
    urgent: list[WaitingJob]
    batch: Mapping[TeamName, list[WaitingJob]]


def split_waiting_jobs(view: PlacementView) -> WaitingJobGroups:
    """Split the waiting jobs of a view.

    Only the first task of each job is examined, since the tasks of a job are equal.
    """
    replicas: list[WaitingJob] = []
    urgent: list[WaitingJob] = []
    batch: dict[TeamName, list[WaitingJob]] = {}
    for tasks in chain(view.urgent.values(), view.waiting.values()):
        first = next(iter(tasks.values()), None)
        if first is None:
            continue
        if first.shape.service is not None:
            replicas.append(tasks)
        elif first.shape.urgent:
            urgent.append(tasks)
        else:
            batch.setdefault(first.shape.team, []).append(tasks)
    return WaitingJobGroups(replicas, urgent, batch)


def tasks_of(jobs: list[WaitingJob]) -> Iterator[Task]:
    """Iterate over the tasks of all given jobs."""
    return chain.from_iterable(tasks.values() for tasks in jobs)
