"""What is stored of a job's progress: enough for another owner to go on from."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class JobState(Enum):
    """What callers are told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether it never changes any more."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(slots=True)
class StoredTask:
    """What is stored of a task that has not ended well yet."""

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
    """The progress of one job."""

    state: JobState = JobState.QUEUED
    final_ms: int = 0
    """When the state became final, Unix milliseconds."""
    done: tuple[tuple[int, int, int], ...] = ()
    """Occurrence, step and index of each task that has ended well."""
    done_occurrences: int = 0
    """All occurrences before this one have ended well; their tasks are not in ``done``."""
    tasks: tuple[StoredTask, ...] = field(default=())

    @property
    def begun_occurrences(self) -> int:
        """So many occurrences were due by the clock of the owner that stored this."""
        begun = [occurrence + 1 for occurrence, _, _ in self.done]
        begun.extend(task.occurrence + 1 for task in self.tasks)
        return max(begun, default=self.done_occurrences)
