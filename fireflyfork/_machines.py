"""Workers and what they hold."""

from __future__ import annotations

from dataclasses import dataclass

from ._ids import FailureDomainName, RackName, RegionName, WorkerId


@dataclass(frozen=True, slots=True, order=False)
class Resources:
    """An amount of what a worker has or a task needs. Whole numbers, so that sums are exact."""

    millicores: int = 0
    """Processor time, in thousandths of a core."""
    memory: int = 0
    """Bytes."""
    accelerators: int = 0
    """Whole devices."""

    def __add__(self, other: Resources) -> Resources:
        """The sum, dimension by dimension."""
        return Resources(
            self.millicores + other.millicores,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """The difference, dimension by dimension; it may be negative."""
        return Resources(
            self.millicores - other.millicores,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: Resources) -> bool:
        """Whether no dimension exceeds that of ``room``."""
        return (
            self.millicores <= room.millicores
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )


@dataclass(frozen=True, slots=True)
class Worker:
    """One machine of the platform that runs tasks."""

    worker_id: WorkerId
    region: RegionName
    failure_domain: FailureDomainName
    rack: RackName
    capacity: Resources
