"""Spreads the replicas of a service over failure domains, racks and workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..._ids import FailureDomainName, RackName, ServiceName
from ..._machines import Resources
from ._fleet import Fleet
from ._worker_entries import WorkerEntry

_MAX_SERVICE_SHARE = 0.6
"""Above this share of a worker's processors, replicas slow each other when load rises."""


@dataclass(frozen=True, slots=True)
class ReplicaPlace:
    """A worker for a replica, with the number of other replicas of the service nearby."""

    entry: WorkerEntry
    others_in_failure_domain: int
    others_in_rack: int


class ReplicaCounts:
    """Counts the replicas of each service by failure domain and rack."""

    def __init__(self) -> None:
        """Start without replicas."""
        self._counts_by_domain: dict[ServiceName, Counter[FailureDomainName]] = {}
        self._counts_by_rack: dict[ServiceName, Counter[RackName]] = {}

    def add(self, service: ServiceName, entry: WorkerEntry, change: int) -> None:
        """Add ``change`` to the number of replicas: 1 for a start on a worker, -1 for an end."""
        worker = entry.worker
        self._counts_by_domain.setdefault(service, Counter())[worker.failure_domain] += change
        self._counts_by_rack.setdefault(service, Counter())[worker.rack] += change

    def place(self, service: ServiceName, entry: WorkerEntry) -> ReplicaPlace:
        """Return a worker as the place for another replica."""
        worker = entry.worker
        return ReplicaPlace(
            entry,
            self.in_failure_domain(service, worker.failure_domain),
            self.in_rack(service, worker.rack),
        )

    def in_failure_domain(self, service: ServiceName, name: FailureDomainName) -> int:
        """Return the number of replicas of the service in a failure domain."""
        return self._counts_by_domain.get(service, Counter())[name]

    def in_rack(self, service: ServiceName, name: RackName) -> int:
        """Return the number of replicas of the service in a rack."""
        return self._counts_by_rack.get(service, Counter())[name]


def replica_places(
    fleet: Fleet,
    counts: ReplicaCounts,
    service: ServiceName,
    need: Resources,
    accepts: Callable[[WorkerEntry], bool],
) -> Iterator[ReplicaPlace]:
    """Yield the best place in each rack, in order of replicas in failure domain and rack."""
    ranked = sorted(
        (counts.in_failure_domain(service, domain), counts.in_rack(service, rack), domain, rack)
        for domain, racks in fleet.racks.items()
        for rack in racks
    )
    for in_domain, in_rack, domain, rack in ranked:
        members = [
            entry for entry in fleet.racks[domain][rack] if entry.has_room(need) and accepts(entry)
        ]
        if members:
            entry = min(members, key=lambda item: _placement_rank(item, service, need))
            yield ReplicaPlace(entry, in_domain, in_rack)


def _placement_rank(
    entry: WorkerEntry, service: ServiceName, need: Resources
) -> tuple[int, bool, int]:
    """Return a sort key of workers for a replica, lowest first.

    Workers with the fewest replicas of the same service come first, then those with the most
    reserved by all services up to a share of the worker. Concentrating services leaves more workers
    on which batch tasks can't slow any service.
    """
    same_service = entry.replicas.get(service, 0)
    service_millicores = entry.service_millicores + need.millicores
    is_too_full = service_millicores > _MAX_SERVICE_SHARE * entry.worker.capacity.millicores
    return same_service, is_too_full, service_millicores if is_too_full else -service_millicores
