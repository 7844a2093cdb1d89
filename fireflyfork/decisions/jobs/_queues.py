"""The queues of the configuration in force, and the lookup of the queue for a request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..._ids import ConfigurationVersion, QueueName, ServiceName
from ._queue_terms import AdviceTerms, QueueTerms
from ._specs import JobSpec

_NO_ADVICE = AdviceTerms()
_UNKNOWN_TERMS = QueueTerms(
    version=0, priority=9, attempts=3, stretch_factor=2.0, target_latency_ms=1000
)
_NO_VERSION = ConfigurationVersion(0)


@dataclass(frozen=True, slots=True)
class QueueConfiguration:
    """The configuration of one queue."""

    name: QueueName
    host: str
    path_prefix: str
    service: ServiceName
    """The service whose executors run the queue's tasks."""
    priority: int
    """Priority; 0 is the highest and may preempt the others."""
    attempts: int
    """Number of failed attempts of a task after which its job fails."""
    stretch_factor: float
    """The latency objective allows this many times the job's longest chain of work."""
    target_latency_ms: int
    """Time that the latency objective allows in addition, in milliseconds."""
    timeout_ms: int
    needs_tickets: bool = False
    """Whether an advisor decides which executors may run a step; starts then carry the advisor's
    tickets."""
    advice: AdviceTerms = _NO_ADVICE
    """Used if ``needs_tickets``."""
    version: ConfigurationVersion = _NO_VERSION
    """The version of the configuration that the queue is from."""

    @property
    def terms(self) -> QueueTerms:
        """What the queue's jobs need to know of it."""
        return QueueTerms(
            self.version,
            self.priority,
            self.attempts,
            self.stretch_factor,
            self.target_latency_ms,
            self.advice if self.needs_tickets else None,
        )


@dataclass(frozen=True, slots=True)
class QueueTable:
    """All queues of one configuration version."""

    version: ConfigurationVersion
    queues: tuple[QueueConfiguration, ...]
    services: frozenset[ServiceName]
    by_host: Mapping[str, tuple[QueueConfiguration, ...]] = field(default_factory=dict)
    """The queues by host, the longest path prefix first."""

    def find(self, host: str, path: str) -> QueueConfiguration | None:
        """Return the queue with the longest prefix of ``path``, or None."""
        candidates = self.by_host.get(host.lower(), ())
        return next((queue for queue in candidates if path.startswith(queue.path_prefix)), None)


def queue_table(
    version: ConfigurationVersion,
    queues: tuple[QueueConfiguration, ...],
    services: frozenset[ServiceName],
) -> QueueTable:
    """Return a table indexed by host."""
    hosts = {queue.host.lower() for queue in queues}
    by_host = {
        host: tuple(
            sorted(
                (queue for queue in queues if queue.host.lower() == host),
                key=lambda queue: -len(queue.path_prefix),
            )
        )
        for host in hosts
    }
    return QueueTable(version, queues, services, by_host)


def removed_queue(spec: JobSpec, terms: QueueTerms) -> QueueConfiguration:
    """Return the configuration by which a job of a removed queue goes on."""
    return QueueConfiguration(
        spec.queue,
        "",
        "",
        spec.service,
        terms.priority,
        terms.attempts,
        terms.stretch_factor,
        terms.target_latency_ms,
        0,
        terms.advice is not None,
        terms.advice or _NO_ADVICE,
        ConfigurationVersion(terms.version),
    )


def unknown_queue(spec: JobSpec) -> QueueConfiguration:
    """Return the configuration by which a job goes on whose queue was removed, and of whose terms
    nothing is stored."""
    return removed_queue(spec, _UNKNOWN_TERMS)
