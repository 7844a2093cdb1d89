"""Builders of workers, teams, jobs and partitions for tests."""

from __future__ import annotations

from dataclasses import replace

from ... import (
    FailureDomainName,
    JobId,
    RackName,
    RegionName,
    Resources,
    TeamContract,
    TeamName,
    Worker,
    WorkerId,
)
from .. import (
    FirstFitPolicy,
    LeaseRules,
    Partition,
    PlanningRules,
    Submission,
    TaskShape,
    TaskTable,
)

REGION = RegionName("viti")
TEAM = TeamName("letters")
RULES = PlanningRules(LeaseRules(lease=10.0, silence=8.0, margin=3.0), most_starts=5)


def make_workers(count: int = 2) -> dict[WorkerId, Worker]:
    """Return identical workers with 3 cores."""
    size = Resources(3000, 3000)
    domain = FailureDomainName("suva")
    rack = RackName("suva-1")
    names = [WorkerId(f"w{index}") for index in range(count)]
    return {name: Worker(name, REGION, domain, rack, size) for name in names}


def make_teams() -> dict[TeamName, TeamContract]:
    """Return one team whose quota is less than the capacity of the two workers."""
    return {TEAM: TeamContract(TEAM, Resources(5000, 5000), urgent=True)}


def make_partition(table: TaskTable | None = None, now: float = 0.0) -> Partition:
    """Return a partition right after its takeover, with workers and teams."""
    policy = FirstFitPolicy()
    return configured(Partition.at_takeover(table or TaskTable.empty(), policy, now, RULES))


def configured(partition: Partition) -> Partition:
    """Return the partition with workers and teams."""
    return replace(partition, workers=make_workers(), teams=make_teams())


def make_submission(
    name: str, tasks: int, millicores: int = 1000, urgent: bool = False
) -> Submission:
    """Return a submission of a job with ``tasks`` identical tasks."""
    size = Resources(millicores, millicores)
    return Submission(JobId(name), TaskShape(TEAM, "letter", size, 5.0, urgent), tasks)
