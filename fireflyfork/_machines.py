"""Workers and amounts of their resources."""

from __future__ import annotations

from dataclasses import dataclass

from ._ids import FailureDomainName, RackName, RegionName, WorkerId


@dataclass(frozen=True, slots=True, order=False)
class Resources:
    """An amount of processor time, memory and accelerators. Integers keep sums exact."""

    millicores: int = 0
    """Processor time in thousandths of a core."""
    memory: int = 0
    """Memory in bytes."""
    accelerators: int = 0
    """Number of whole devices."""

    def __add__(self, other: Resources) -> Resources:
        """Return the sum for each dimension."""
        return Resources(
            self.millicores + other.millicores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference for each dimension, which may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: Resources) -> bool:
        """Return whether no dimension exceeds that of ``room``."""
        return (
            self.millicores <= room.millicores
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )


@dataclass(frozen=True, slots=True)
class Worker:
    """A machine of the platform that runs tasks."""

    worker_id: WorkerId
    region: RegionName
    failure_domain: FailureDomainName
    rack: RackName
    capacity: Resources
