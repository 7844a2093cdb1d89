"""How an instance of the stand-in comes by the configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from fireflyfork.adapters import CoordinationStore
from fireflyfork.decisions.jobs import QueueTable
from fireflyfork.programs._clocks import Clock
from fireflyfork.programs._queue_keeper import QueueKeeper

Changed = Callable[[QueueTable], None]


class ConfigurationSource(ABC):
    """What one life of an instance knows of the configuration."""

    @property
    @abstractmethod
    def table(self) -> QueueTable | None:
        """The queues in force; None before the first configuration."""

    @abstractmethod
    async def run(self) -> None:
        """Follow the configuration until cancelled."""

    @abstractmethod
    async def wait_known(self) -> None:
        """Wait for the first one."""


MakeSource = Callable[[CoordinationStore, Clock, Changed], ConfigurationSource]
"""For each life anew: the instance's store client, its clock, and what hears of newer versions."""


class FixedConfiguration(ConfigurationSource):
    """Nothing changes."""

    def __init__(self, table: QueueTable) -> None:
        """Known from the beginning."""
        self._table = table

    @property
    def table(self) -> QueueTable:
        """See ConfigurationSource."""
        return self._table

    async def run(self) -> None:
        """See ConfigurationSource."""

    async def wait_known(self) -> None:
        """See ConfigurationSource."""


class StoredConfiguration(ConfigurationSource):
    """Each instance follows the operator's keys itself."""

    def __init__(
        self, store: CoordinationStore, clock: Clock, changed: Changed, bound_seconds: float
    ) -> None:
        """A change has to be in force within ``bound_seconds``."""
        self._keeper = QueueKeeper(store, changed, bound_seconds, clock.now)

    @property
    def table(self) -> QueueTable | None:
        """See ConfigurationSource."""
        return self._keeper.table

    async def run(self) -> None:
        """See ConfigurationSource."""
        await self._keeper.run()

    async def wait_known(self) -> None:
        """See ConfigurationSource."""
        await self._keeper.known.wait()
