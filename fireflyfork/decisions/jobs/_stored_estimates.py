"""The stored form of what an owner has learned of the failures of executors."""

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
class StoredEstimates:
    """What an owner has learned of the failures of executors, as stored for the next owner."""

    at_ms: int
    """When the counts were taken, in Unix milliseconds on the owner's clock."""
    executors: tuple[StoredEvidence, ...]
