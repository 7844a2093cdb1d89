"""The platform's service that lists machines and takes them down for upkeep."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .._ids import FencingToken, MachineId, NodeName
from ..decisions.jobs import MachineListing, UpkeepOutcome


class MachineCalls(ABC):
    """Calls to it."""

    @abstractmethod
    async def list(self) -> tuple[MachineListing, ...] | None:
        """All machines; None when there was no answer."""

    @abstractmethod
    async def begin_upkeep(
        self, machine: MachineId, wave: int, holder: NodeName, token: FencingToken
    ) -> UpkeepOutcome:
        """Take a machine down for its upkeep of a wave; everything that runs there ends.

        ``holder`` and ``token`` say who orders it; the platform refuses a lower token than it has
        seen for the machine. Repeating an order is harmless.
        """


class NoMachines(MachineCalls):
    """Where the platform has no such service."""

    async def list(self) -> tuple[MachineListing, ...] | None:
        """No answer."""
        return None

    async def begin_upkeep(
        self, machine: MachineId, wave: int, holder: NodeName, token: FencingToken
    ) -> UpkeepOutcome:
        """No such machine."""
        return UpkeepOutcome.UNKNOWN_MACHINE
