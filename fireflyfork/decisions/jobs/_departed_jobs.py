"""The jobs that have followed their queue from this service to another one."""

from __future__ import annotations

from collections.abc import Iterator

from ..._ids import JobId, QueueName
from ._specs import JobSpec


class DepartedJobs:
    """Remembers departed jobs for as long as old news of them may arrive."""

    def __init__(self) -> None:
        """Initialize without jobs."""
        self._versions: dict[JobId, int] = {}
        """The version of the configuration by which each job has departed."""
        self._versions_before: dict[JobId, int] = {}
        self._counted: list[tuple[QueueName, float]] = []
        """Queues of jobs that are still counted, and until when."""

    def add(self, spec: JobSpec, until: float) -> None:
        """Add a job, as it was stored for its new service; it is counted until ``until``."""
        self._versions[spec.job] = terms_version(spec)
        self._counted.append((spec.queue, until))

    def is_outdated(self, spec: JobSpec) -> bool:
        """Whether a job was read from the store before it departed.

        A listing takes time, and what it says of a job may be handled after the job has departed.
        Its tasks would run here and by order of the new owner. A job that comes back has the terms
        of a later version.
        """
        departed = max(
            self._versions.get(spec.job, -1),
            self._versions_before.get(spec.job, -1),
        )
        return departed >= terms_version(spec)

    def still_counted(self, now: float) -> Iterator[QueueName]:
        """Yield the queue of each departed job that is still counted as pending."""
        self._counted = [(queue, until) for queue, until in self._counted if until > now]
        return (queue for queue, _ in self._counted)

    def forget_older(self) -> None:
        """Forget the jobs that had departed before the previous call: nothing tells of them now."""
        self._versions_before, self._versions = self._versions, {}


def terms_version(spec: JobSpec) -> int:
    """Return the version of the configuration that a job's terms are from; 0 if it has none."""
    return spec.queue_terms.version if spec.queue_terms is not None else 0
