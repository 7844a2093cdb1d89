"""Checks whether a task can ever run, and caps its reservation at what can be provided."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..._contracts import TeamContract
from ..._ids import TeamName
from ..._machines import Resources
from .._placement_policy import Reason
from .._tasks import TaskShape
from ._reasons import LargerThanAnyWorker, LargerThanQuota, UnknownTeam, UrgentNotAllowed


def why_infeasible(
    shape: TaskShape,
    capacities: Iterable[Resources],
    worker_count: int,
    teams: Mapping[TeamName, TeamContract],
) -> Reason | None:
    """Return why a task of this shape can never run, or None if it can."""
    team = teams.get(shape.team)
    if team is None:
        return UnknownTeam(shape.team)
    if shape.urgent and not team.urgent:
        return UrgentNotAllowed(shape.team)
    if shape.service is None and not shape.resources.fits_in(team.quota):
        return LargerThanQuota(shape.team, shape.resources, team.quota)
    if worker_count and not any(shape.resources.fits_in(item) for item in capacities):
        return LargerThanAnyWorker(shape.resources, worker_count)
    return None


def cap_to_worker(
    learned: Resources, declared: Resources, capacities: Iterable[Resources]
) -> Resources:
    """Cap the learned size at the capacity of the largest worker that holds the declared size.

    Without the cap, a class whose measured usage exceeds its declared size could outgrow every
    worker. Its accepted tasks would then wait forever.
    """
    sufficient = [capacity for capacity in capacities if declared.fits_in(capacity)]
    if not sufficient or any(learned.fits_in(capacity) for capacity in sufficient):
        return learned
    largest = max(sufficient, key=lambda item: (item.memory, item.millicores))
    return _minimum(learned, largest)


def cap_to_quota(need: Resources, declared: Resources, quota: Resources) -> Resources:
    """Cap a reservation at the team's whole quota if the declared size is within the quota."""
    return _minimum(need, quota) if declared.fits_in(quota) else need


def _minimum(first: Resources, second: Resources) -> Resources:
    return Resources(
        min(first.millicores, second.millicores),
        min(first.memory, second.memory),
        min(first.accelerators, second.accelerators),
    )
