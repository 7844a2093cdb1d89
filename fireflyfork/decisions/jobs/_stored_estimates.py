"""The stored form of what an owner has learned of executors: their failures and their speeds."""

from __future__ import annotations

from dataclasses import dataclass

from ..._ids import ExecutorId


@dataclass(frozen=True, slots=True)
class StoredEvidence:
    """The decayed counts of one executor."""

    executor: ExecutorId
    good: float
    """Decayed number of runs that ended well."""
    bad: float
    """Decayed number of failures that are put down to the executor."""


@dataclass(frozen=True, slots=True)
class StoredSpeed:
    """The decayed observations of the speed of one executor."""

    executor: ExecutorId
    total: float
    """The sum of the natural logarithms of the observed speeds."""
    weight: float
    """The decayed number of observations."""


@dataclass(frozen=True, slots=True)
class StoredEstimates:
    """What an owner has learned of executors, as stored for the next owner."""

    at_ms: int
    """When the counts were taken, in Unix milliseconds on the owner's clock."""
    executors: tuple[StoredEvidence, ...]
    speeds: tuple[StoredSpeed, ...] = ()
