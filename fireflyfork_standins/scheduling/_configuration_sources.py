"""Sources from which a simulated instance gets its configuration."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from fireflyfork._ids import FailureDomainName, NodeName
from fireflyfork.adapters import (
    CoordinationStore,
    ReplicaAnswer,
    ReplicaQuery,
    ReplicaSource,
)
from fireflyfork.decisions.jobs import QueueTable
from fireflyfork.programs._announcements import Announcements
from fireflyfork.programs._clocks import Clock
from fireflyfork.programs.replicas._announced_upstreams import AnnouncedUpstreams
from fireflyfork.programs.replicas._queue_keeper import QueueKeeper

from ._replicas import ReplicaNetwork, StandInReplicaPeers

TableListener = Callable[[QueueTable], None]
WaitAwake = Callable[[], Awaitable[None]]


class ConfigurationSource(ABC):
    """The configuration as one process of an instance has received it."""

    @property
    @abstractmethod
    def table(self) -> QueueTable | None:
        """The queues in force, or None before the first configuration was received."""

    @property
    @abstractmethod
    def evacuated_domains(self) -> frozenset[FailureDomainName]:
        """The failure domains that the operator has asked to evacuate."""

    @abstractmethod
    async def run(self) -> None:
        """Follow the configuration until cancelled."""

    @abstractmethod
    async def wait_configured(self) -> None:
        """Wait until the first configuration was received."""


SourceFactory = Callable[
    [CoordinationStore, Clock, TableListener, Announcements, WaitAwake], ConfigurationSource
]
"""Creates the source for one process of an instance. The arguments are its store client, its clock, a
listener for newer versions, the announcements of the instances, and a function that waits while the
instance is frozen."""


class FixedConfiguration(ConfigurationSource):
    """A configuration that is known from the start, and changes at once."""

    def __init__(self, table: QueueTable) -> None:
        """Use ``table`` from the start."""
        self._table = table

    def replace(self, table: QueueTable) -> None:
        """Use ``table`` from now on."""
        self._table = table

    @property
    def table(self) -> QueueTable:
        """See ConfigurationSource."""
        return self._table

    @property
    def evacuated_domains(self) -> frozenset[FailureDomainName]:
        """See ConfigurationSource."""
        return frozenset()

    async def run(self) -> None:
        """See ConfigurationSource."""

    async def wait_configured(self) -> None:
        """See ConfigurationSource."""


class _FreezableReplicaSource(ReplicaSource):
    """Answers replica questions, but waits while the instance is frozen."""

    def __init__(self, inner: ReplicaSource, awake: WaitAwake) -> None:
        self._inner = inner
        self._awake = awake

    async def answer(self, question: ReplicaQuery) -> ReplicaAnswer:
        await self._awake()
        answer = await self._inner.answer(question)
        await self._awake()
        return answer


class ReplicatedConfiguration(ConfigurationSource):
    """Follows the operator's keys in the store and answers replica questions of other instances."""

    def __init__(
        self,
        node: NodeName,
        store: CoordinationStore,
        clock: Clock,
        on_change: TableListener,
        bound_seconds: float,
        announcements: Announcements,
        network: ReplicaNetwork,
        wait_awake: WaitAwake,
    ) -> None:
        """Prepare to follow the configuration.

        A change must be in force within ``bound_seconds``. ``on_change`` is called with each newer
        table, and ``wait_awake`` waits while the instance is frozen.
        """
        self._node = node
        self._network = network
        self._awake = wait_awake
        self._keeper = QueueKeeper(
            node,
            store,
            on_change,
            bound_seconds,
            clock.now,
            AnnouncedUpstreams(announcements),
            StandInReplicaPeers(node, network, wait_awake),
        )

    @property
    def table(self) -> QueueTable | None:
        """See ConfigurationSource."""
        return self._keeper.table

    @property
    def evacuated_domains(self) -> frozenset[FailureDomainName]:
        """See ConfigurationSource."""
        return self._keeper.evacuated_domains

    async def run(self) -> None:
        """See ConfigurationSource."""
        answers = _FreezableReplicaSource(self._keeper.replica_source, self._awake)
        self._network.sources[self._node] = answers
        try:
            await self._keeper.run()
        finally:
            if self._network.sources.get(self._node) is answers:
                del self._network.sources[self._node]

    async def wait_configured(self) -> None:
        """See ConfigurationSource."""
        await self._keeper.configured.wait()
