"""The queues of the configuration in force, and the lookup of the queue for a request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..._ids import ConfigurationVersion, QueueName, ServiceName


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """What the configuration says about the advisor's answers, in seconds."""

    decision_seconds: float = 0.0
    """The time that an answer takes, besides that for each executor."""
    executor_seconds: float = 0.0
    """The additional time for each executor that is asked about."""
    valid_seconds: float = 0.0
    """How long a ticket is valid."""


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
    advice: AdviceTerms = AdviceTerms()
    """Used if ``needs_tickets``."""


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

    def by_name(self, name: QueueName) -> QueueConfiguration | None:
        """Return the queue of that name, or None if it is no longer configured."""
        return next((queue for queue in self.queues if queue.name == name), None)


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
