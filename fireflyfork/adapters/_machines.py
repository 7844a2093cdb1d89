"""The interface of the platform's machine service, which lists machines and takes them down for upkeep."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .._ids import FencingToken, MachineId, NodeName
from ..decisions.jobs import MachineListing, UpkeepOutcome


class MachineCalls(ABC):
    """Calls to the platform's machine service."""

    @abstractmethod
    async def list(self) -> tuple[MachineListing, ...] | None:
        """Return all machines, or None if the service doesn't answer."""

    @abstractmethod
    async def begin_upkeep(
        self, machine: MachineId, wave: int, holder: NodeName, token: FencingToken
    ) -> UpkeepOutcome:
        """Take a machine down for its upkeep in a wave; everything that runs on it ends.

        ``holder`` is the instance that gives the order and ``token`` its fencing token; the platform refuses
        a token lower than the highest it has seen for the machine. Repeating an order has no further effect.
        """


class NoMachines(MachineCalls):
    """Used on platforms without a machine service; it lists no machines."""

    async def list(self) -> tuple[MachineListing, ...] | None:
        """Return None: no machine service exists."""
        return None

    async def begin_upkeep(
        self, machine: MachineId, wave: int, holder: NodeName, token: FencingToken
    ) -> UpkeepOutcome:
        """Return UNKNOWN_MACHINE: no machine service exists."""
        return UpkeepOutcome.UNKNOWN_MACHINE
