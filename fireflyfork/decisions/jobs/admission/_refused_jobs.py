"""Remembers refused jobs, so that callers who came first are let in first when they return."""

from __future__ import annotations

from dataclasses import dataclass

from ...._ids import JobId

MAX_JOBS = 2_000
"""Maximum number of remembered jobs, about 200 bytes each; the oldest are forgotten first."""
MEMORY_MS = 60_000
"""How long a job is remembered after its caller should have returned."""
RETURN_GRACE_MS = 1_000
"""How long before and after the time of its return room is kept for a caller: the resolution of
Retry-After."""


@dataclass(frozen=True, slots=True)
class RefusedJob:
    """A job that was refused and whose caller was asked to return."""

    first_ms: int
    """When the job arrived for the first time, in Unix milliseconds."""
    priority: int
    size: int
    work: float
    returns_ms: float
    """When the caller was asked to return, in Unix milliseconds."""
    latest_start_ms: float
    """The latest time at which the job can start and still be of use, in Unix milliseconds."""


class RefusedJobs:
    """The jobs that one instance has refused lately."""

    def __init__(self) -> None:
        """Start without jobs."""
        self._jobs: dict[JobId, RefusedJob] = {}

    def __len__(self) -> int:
        """Return the number of remembered jobs."""
        return len(self._jobs)

    def first_arrival_ms(self, job: JobId, otherwise: int) -> int:
        """Return when a job arrived for the first time; ``otherwise`` if it wasn't refused before."""
        refused = self._jobs.get(job)
        return min(refused.first_ms, otherwise) if refused is not None else otherwise

    def record(self, job: JobId, refused: RefusedJob, now_ms: int) -> None:
        """Remember a refused job, so that it is known when it arrives again."""
        self._jobs.pop(job, None)
        self._jobs = {
            name: known
            for name, known in self._jobs.items()
            if known.returns_ms + MEMORY_MS > now_ms
        }
        while len(self._jobs) >= MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
        self._jobs[job] = refused

    def forget(self, job: JobId) -> None:
        """Forget a job that was let in."""
        self._jobs.pop(job, None)

    def work_before(
        self, job: JobId, first_ms: int, priority: int, size: int, now_ms: int
    ) -> float:
        """Return the work of expected jobs that came before ``job`` and are placed before it."""
        return sum(
            refused.work
            for name, refused in self._jobs.items()
            if name != job
            and refused.first_ms < first_ms
            and (refused.priority, refused.size) <= (priority, size)
            and abs(now_ms - refused.returns_ms) <= RETURN_GRACE_MS
            and now_ms <= refused.latest_start_ms
        )
