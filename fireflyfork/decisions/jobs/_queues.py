"""Queues of the configuration in force, and which of them a request is for."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..._ids import ConfigurationVersion, QueueName, ServiceName


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """One queue."""

    name: QueueName
    host: str
    path_prefix: str
    service: ServiceName
    """Whose executors run its tasks."""
    priority: int
    """0 goes first and may take the place of others."""
    attempts: int
    """A task that has failed so often fails its job."""
    stretch_factor: float
    """The objective allows so many times the job's longest chain of work."""
    target_latency_ms: int
    """The objective allows this much besides."""
    timeout_ms: int
    needs_tickets: bool = False
    """An advisor tells which executors may run its steps; starts carry its tickets."""


@dataclass(frozen=True, slots=True)
class QueueTable:
    """All queues of one version of the configuration."""

    version: ConfigurationVersion
    queues: tuple[QueueTerms, ...]
    services: frozenset[ServiceName]
    by_host: Mapping[str, tuple[QueueTerms, ...]] = field(default_factory=dict)
    """Those of each host, the longest prefix first."""

    def find(self, host: str, path: str) -> QueueTerms | None:
        """The queue with the longest prefix that ``path`` begins with, or None."""
        candidates = self.by_host.get(host.lower(), ())
        return next((one for one in candidates if path.startswith(one.path_prefix)), None)

    def by_name(self, name: QueueName) -> QueueTerms | None:
        """The queue of that name, or None when it is no longer configured."""
        return next((one for one in self.queues if one.name == name), None)


def queue_table(
    version: ConfigurationVersion, queues: tuple[QueueTerms, ...], services: frozenset[ServiceName]
) -> QueueTable:
    """A table that is ready for look-ups."""
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
