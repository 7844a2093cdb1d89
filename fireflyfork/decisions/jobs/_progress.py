"""The stored progress of a job, from which another owner can continue."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class JobState(Enum):
    """The state of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(slots=True)
class StoredTask:
    """The stored progress of a task that has not ended successfully yet."""

    occurrence: int
    step: int
    index: int
    attempt: int = 0
    """The highest attempt number used."""
    failed_attempts: tuple[int, ...] = ()
    """Attempts whose failure has been counted."""
    checkpoint: str = ""


@dataclass(slots=True)
class StoredProgress:
    """The stored progress of one job."""

    state: JobState = JobState.QUEUED
    final_ms: int = 0
    """When the state became final, in Unix milliseconds."""
    done: tuple[tuple[int, int, int], ...] = ()
    """Occurrence, step and index of each task that has ended successfully."""
    done_occurrences: int = 0
    """All occurrences before this one have ended successfully; their tasks are not in ``done``."""
    tasks: tuple[StoredTask, ...] = field(default=())

    @property
    def begun_occurrences(self) -> int:
        """The number of occurrences that were due when this was stored, by that owner's clock."""
        begun = [occurrence + 1 for occurrence, _, _ in self.done]
        begun.extend(task.occurrence + 1 for task in self.tasks)
        return max(begun, default=self.done_occurrences)
