"""What a partition of the planner is and how it is run, and how its callers hear that it can't."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from .._errors import FireflyforkError
from .._ids import PartitionId, RegionName
from ..decisions import PlacementPolicy, PlanningRules


class NotReadyError(FireflyforkError):
    """The partition is still being recovered, or was just lost. Nothing was done."""


class OutcomeUnknownError(FireflyforkError):
    """The change may or may not have been stored; asking again with the same id is safe."""


@dataclass(frozen=True, slots=True)
class PlannerPace:
    """How often the planner does what, in seconds."""

    commit: float = 0.25
    """Between two commits: what comes in meanwhile is stored together."""
    tick: float = 0.25
    """Between two rounds of placement."""
    renew: float = 10.0
    """Between two renewals of all leases."""
    stop_retry: float = 1.0
    """Between two attempts to have an evicted or cancelled attempt stopped."""
    report_wait: float = 5.0
    """How long the platform may wait for news before it answers."""
    workers: float = 10.0
    """Between two looks at the list of workers."""


@dataclass(frozen=True, slots=True)
class PartitionPlan:
    """What a partition consists of and how it is run."""

    partition: PartitionId
    regions: tuple[RegionName, ...]
    """The regions whose workers belong to it."""
    new_policy: Callable[[], PlacementPolicy]
    """Makes the policy that each term of ownership begins with."""
    number: int = 0
    """This share of the workers, of ``count`` shares."""
    count: int = 1
    rules: PlanningRules = field(default_factory=PlanningRules)
    pace: PlannerPace = field(default_factory=PlannerPace)


class PlannerClock:
    """Seconds since 1970 that never jump: the wall clock at the start plus the loop's own clock."""

    def __init__(self) -> None:
        """Start now."""
        self._offset = time.time() - trio.current_time()

    def now(self) -> float:
        """Seconds since 1970."""
        return trio.current_time() + self._offset
