"""The jobs that an owner had: removed from the store, or handed to another service."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from ..._ids import JobId, QueueName
from ._specs import JobSpec


class GoneJobs:
    """Remembers jobs for as long as old news of them may arrive.

    A listing takes time. What it says of a job may be handled after the job has gone, and would be
    taken for a new job, whose tasks would run again.
    """

    def __init__(self) -> None:
        """Initialize without jobs."""
        self._versions: dict[JobId, float] = {}
        """Up to which version of its terms news of each job is old."""
        self._versions_before: dict[JobId, float] = {}
        self._counted: list[tuple[QueueName, float]] = []
        """Queues of handed-over jobs that are still counted, and until when."""

    def add_removed(self, job: JobId) -> None:
        """Add a job that was removed from the store and never comes back."""
        self._versions[job] = inf

    def add_departed(self, spec: JobSpec, until: float) -> None:
        """Add a job, as it was stored for its new service; it is counted until ``until``.

        A job that comes back has the terms of a later version.
        """
        self._versions[spec.job] = terms_version(spec)
        self._counted.append((spec.queue, until))

    def is_old_news(self, spec: JobSpec) -> bool:
        """Whether a job was read from the store before it went."""
        known = (self._versions, self._versions_before)
        return any(versions.get(spec.job, -1) >= terms_version(spec) for versions in known)

    def still_counted(self, now: float) -> Iterator[QueueName]:
        """Yield the queue of each handed-over job that is still counted as pending."""
        self._counted = [(queue, until) for queue, until in self._counted if until > now]
        return (queue for queue, _ in self._counted)

    def forget_older(self) -> None:
        """Forget the jobs that had gone before the previous call: no listing tells of them now."""
        self._versions_before, self._versions = self._versions, {}


def terms_version(spec: JobSpec) -> int:
    """Return the version of the configuration that a job's terms are from; 0 if it has none."""
    return spec.queue_terms.version if spec.queue_terms is not None else 0
