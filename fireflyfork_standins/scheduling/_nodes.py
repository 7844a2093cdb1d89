"""Simulated instances of the scheduler, which can be killed, frozen and restarted."""

from __future__ import annotations

from random import Random

import trio

from fireflyfork._ids import (
    AttemptNumber,
    ExecutorId,
    FencingToken,
    LeaseId,
    MachineId,
    NodeName,
    Revision,
    ServiceName,
    TaskName,
)
from fireflyfork.adapters import (
    Advice,
    Advisor,
    CoordinationStore,
    ExecutorCalls,
    ExecutorEndpoint,
    LoopTime,
    MachineCalls,
    NoAdvisor,
    Put,
    StoreChanges,
    StoredItem,
    StoreListing,
)
from fireflyfork.decisions.jobs import (
    MachineListing,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    QueueTable,
    StartRequest,
    UpkeepOutcome,
)
from fireflyfork.platform import PlatformBounds
from fireflyfork.programs._announcements import Announcements
from fireflyfork.programs._clocks import Clock
from fireflyfork.programs._external_clients import ExternalClients
from fireflyfork.programs._metrics import Metrics
from fireflyfork.programs.callers._job_requests import JobRequests
from fireflyfork.programs.containment._unexpected_errors import INTERNAL_ERRORS
from fireflyfork.programs.owner._operator_requests import OperatorRequests
from fireflyfork.programs.owner._service_candidate import ServiceCandidate

from ._advisor import StandInAdvisor, StandInAdvisorCalls
from ._configuration_sources import ConfigurationSource, FixedConfiguration
from ._executor_calls import StandInExecutorCalls
from ._executors import StandInExecutor
from ._linked_store import LinkedStoreClient
from ._machines import StandInMachines
from ._regions import Site
from ._store import StandInStore

UPTIME_SECONDS = 12_000.0
"""Reading of the instances' monotonic clock at the start. Instances have been up for hours when the
executors start, whose clocks begin at 0."""
PROCESSORS = 1.0
"""Number of processors granted to each instance."""
UNIX_MS_AT_START = 1_700_000_000_000


class VirtualClock(Clock):
    """The clock of all instances, without any skew between them."""

    def now(self) -> float:
        """See Clock."""
        return UPTIME_SECONDS + trio.current_time()

    def unix_ms(self) -> int:
        """See Clock."""
        return UNIX_MS_AT_START + int(trio.current_time() * 1000)


class _FreezableStore(CoordinationStore):
    """A store client that delays calls and answers while its instance is frozen."""

    def __init__(self, inner: CoordinationStore, node: StandInNode) -> None:
        self._inner = inner
        self._node = node

    @property
    def is_responsive(self) -> bool:
        return self._inner.is_responsive

    async def read(self, key: str) -> StoredItem | None:
        await self._node.wait_awake()
        item = await self._inner.read(key)
        await self._node.wait_awake()
        return item

    async def list(self, prefix: str) -> StoreListing:
        await self._node.wait_awake()
        listing = await self._inner.list(prefix)
        await self._node.wait_awake()
        return listing

    async def changes(self, prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
        await self._node.wait_awake()
        changes = await self._inner.changes(prefix, after, wait_seconds)
        await self._node.wait_awake()
        return changes

    async def commit(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Revision:
        await self._node.wait_awake()
        revision = await self._inner.commit(expected, puts, removals)
        await self._node.wait_awake()
        return revision

    async def grant_lease(self, seconds: float) -> LeaseId:
        await self._node.wait_awake()
        lease = await self._inner.grant_lease(seconds)
        await self._node.wait_awake()
        return lease

    async def keep_lease(self, lease: LeaseId) -> None:
        await self._node.wait_awake()
        await self._inner.keep_lease(lease)
        await self._node.wait_awake()

    async def end_lease(self, lease: LeaseId) -> None:
        await self._node.wait_awake()
        await self._inner.end_lease(lease)
        await self._node.wait_awake()


class _FreezableExecutorCalls(ExecutorCalls):
    """Calls to executors, delayed while the calling instance is frozen."""

    def __init__(self, inner: ExecutorCalls, node: StandInNode) -> None:
        self._inner = inner
        self._node = node

    async def start(
        self, place: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        await self._node.wait_awake()
        answer = await self._inner.start(place, token, order)
        await self._node.wait_awake()
        return answer

    async def stop(
        self, place: ExecutorEndpoint, token: FencingToken, task: TaskName, attempt: AttemptNumber
    ) -> OrderAnswer:
        await self._node.wait_awake()
        answer = await self._inner.stop(place, token, task, attempt)
        await self._node.wait_awake()
        return answer

    async def pace(
        self,
        place: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        await self._node.wait_awake()
        answer = await self._inner.pace(place, token, task, attempt, percent)
        await self._node.wait_awake()
        return answer

    async def poll(
        self,
        place: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        await self._node.wait_awake()
        answer = await self._inner.poll(place, token, request, fresh)
        await self._node.wait_awake()
        return answer

    def forget(self, executor: ExecutorId) -> None:
        self._inner.forget(executor)


class _FreezableMachineCalls(MachineCalls):
    """Calls about machines, delayed while the calling instance is frozen."""

    def __init__(self, inner: MachineCalls, node: StandInNode) -> None:
        self._inner = inner
        self._node = node

    async def list(self) -> tuple[MachineListing, ...] | None:
        await self._node.wait_awake()
        listing = await self._inner.list()
        await self._node.wait_awake()
        return listing

    async def begin_upkeep(
        self, machine: MachineId, wave: int, holder: NodeName, token: FencingToken
    ) -> UpkeepOutcome:
        await self._node.wait_awake()
        outcome = await self._inner.begin_upkeep(machine, wave, holder, token)
        await self._node.wait_awake()
        return outcome


class _FreezableAdvisor(Advisor):
    """The calls of an instance to the advisor, held back while the instance is frozen."""

    def __init__(self, inner: Advisor, node: StandInNode) -> None:
        self._inner = inner
        self._node = node

    async def advise(
        self, step: str, executors: tuple[ExecutorId, ...], fresh: bool = False
    ) -> Advice:
        await self._node.wait_awake()
        advice = await self._inner.advise(step, executors, fresh)
        await self._node.wait_awake()
        return advice


class StandInNode:
    """One instance of the scheduler, across restarts of its process."""

    def __init__(
        self,
        name: NodeName,
        service: ServiceName,
        store: StandInStore,
        executors: dict[ExecutorId, StandInExecutor],
        random: Random,
        bounds: PlatformBounds,
        queues: QueueTable,
        machines: StandInMachines,
        link_mbps: float,
        site: Site | None = None,
        advisor: StandInAdvisor | None = None,
    ) -> None:
        """Create an instance whose process isn't started.

        Without a site there is one region, and ``queues`` never change. With a site the instance
        reads its queues from the store.
        """
        self.name = name
        self._link_mbps = link_mbps
        self._service = service
        self._site = site
        self._advisor = advisor
        local_store = store.client(name, link_mbps)
        self._reached_store = local_store if site is None else site.store(local_store)
        self._store = _FreezableStore(self._reached_store, self)
        self._executors = executors
        self._random = random
        self._bounds = bounds
        self._fixed = FixedConfiguration(queues)
        self._source: ConfigurationSource = self._fixed
        self._machines = machines
        self._process_scope: trio.CancelScope | None = None
        self._candidate: ServiceCandidate | None = None
        self._awake = trio.Event()
        self._awake.set()
        self._metrics: list[Metrics] = []
        """The metrics of each process so far."""
        self.requests = JobRequests(self._store, self._changed)

    @property
    def up(self) -> bool:
        """Whether the process of the instance is running."""
        return self._process_scope is not None

    @property
    def internal_errors(self) -> int:
        """The number of unexpected errors that the processes of the instance have reported."""
        return sum(metrics.total(INTERNAL_ERRORS) for metrics in self._metrics)

    @property
    def is_configured(self) -> bool:
        """Whether the process is running and has received a configuration."""
        return self.up and self._source.table is not None

    @property
    def is_owner(self) -> bool:
        """Whether the instance considers itself the owner of the service."""
        return self._candidate is not None and self._candidate.owner is not None

    @property
    def is_active_owner(self) -> bool:
        """Whether the instance owns the service and has finished its recovery from the store."""
        owner = self._candidate.owner if self._candidate is not None else None
        return owner is not None and owner.ready

    async def wait_awake(self) -> None:
        """Wait until the instance isn't frozen."""
        await self._awake.wait()

    async def run_process(self, nursery: trio.Nursery) -> None:
        """Run one process of the instance until it is killed or stopped.

        Late orders to executors and machines continue in ``nursery`` afterwards.
        """
        if isinstance(self._reached_store, LinkedStoreClient):
            self._reached_store.reset()
        self._metrics.append(Metrics())
        announcements = Announcements(
            self.name,
            PROCESSORS,
            self._link_mbps,
            self._store,
            VirtualClock(),
            self._site.failure_domain if self._site is not None else None,
            replica_address=self._site.replica if self._site is not None else None,
        )
        self._source = source = self._make_source(announcements)
        local_calls = StandInExecutorCalls(self.name, self._executors, nursery, self._random)
        calls = _FreezableExecutorCalls(
            local_calls if self._site is None else self._site.calls(local_calls), self
        )
        self._candidate = ServiceCandidate(
            self._service,
            self.name,
            ExternalClients(
                self._store,
                calls,
                self._advisor_calls(nursery),
                _FreezableMachineCalls(self._machines.client(nursery), self),
                LoopTime(),
                lambda: calls,
            ),
            VirtualClock(),
            self._random,
            self._metrics[-1],
            self._bounds,
            OperatorRequests(
                lambda: self._table(source),
                lambda: tuple(self._machines.waves),
                lambda: source.evacuated_domains,
            ),
            announcements,
        )
        with trio.CancelScope() as self._process_scope:
            async with trio.open_nursery() as process_nursery:
                process_nursery.start_soon(announcements.run)
                if self._site is not None:
                    process_nursery.start_soon(source.run)
                    await source.wait_configured()
                await self._candidate.run()
                process_nursery.cancel_scope.cancel()
        self._process_scope = None
        self._candidate = None

    def _advisor_calls(self, nursery: trio.Nursery) -> Advisor:
        if self._advisor is None:
            return NoAdvisor()
        return _FreezableAdvisor(StandInAdvisorCalls(self.name, self._advisor, nursery), self)

    def configure(self, queues: QueueTable) -> None:
        """Put a version of the configuration in force at an instance without a site."""
        self._fixed.replace(queues)
        self._configured(queues)

    def kill(self) -> None:
        """End the process at once."""
        self.thaw()
        if self._process_scope is not None:
            self._process_scope.cancel()

    async def stop(self) -> None:
        """Stop the process gracefully."""
        if self._candidate is not None:
            await self._candidate.stop()

    def freeze(self) -> None:
        """Hold back all calls and answers of the instance until ``thaw`` is called."""
        if self._awake.is_set():
            self._awake = trio.Event()

    def thaw(self) -> None:
        """Release the calls and answers that ``freeze`` holds back."""
        self._awake.set()

    def _make_source(self, announcements: Announcements) -> ConfigurationSource:
        if self._site is None:
            return self._fixed
        return self._site.make_source(
            self._store, VirtualClock(), self._configured, announcements, self.wait_awake
        )

    @staticmethod
    def _table(source: ConfigurationSource) -> QueueTable:
        table = source.table
        assert table is not None, "a service is owned only once the configuration is known"
        return table

    def _configured(self, table: QueueTable) -> None:
        candidate = self._candidate
        if candidate is not None and candidate.owner is not None:
            candidate.owner.configure(table)

    def _changed(self) -> None:
        candidate = self._candidate
        if candidate is not None and candidate.owner is not None:
            candidate.owner.request_dispatch()
