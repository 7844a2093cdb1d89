"""What is stored of a job's progress: enough for another owner to go on from."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ..._errors import FireflyforkError
from ..._ids import ExecutorId
from ._specs import JobSpec


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
    executor: ExecutorId | None = None
    """Where that attempt was sent; None once it is known to be over."""
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


class StoredFormatError(FireflyforkError):
    """Something in the store is not what this version writes."""


def encode_progress(progress: StoredProgress) -> bytes:
    """The stored form."""
    return msgspec.msgpack.encode(progress)


def decode_progress(data: bytes) -> StoredProgress:
    """Read the stored form. Raises StoredFormatError."""
    try:
        return msgspec.msgpack.decode(data, type=StoredProgress)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StoredFormatError(f"stored progress can't be read: {error}") from error


def encode_job(job: JobSpec) -> bytes:
    """The stored form."""
    return msgspec.msgpack.encode(job)


def decode_stored_job(data: bytes) -> JobSpec:
    """Read the stored form. Raises StoredFormatError."""
    try:
        return msgspec.msgpack.decode(data, type=JobSpec)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StoredFormatError(f"stored job can't be read: {error}") from error
