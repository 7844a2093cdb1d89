"""In-memory doubles of a planner's store, platform and rights, and builders for tests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

import trio
import trio.testing
from trio._core import _run as trio_run

from fireflyfork_standins import SimulatedWorkers

from ... import (
    Address,
    AttemptNumber,
    ChangeId,
    Configuration,
    ConfigurationVersion,
    FailureDomainName,
    JobId,
    MemberId,
    PartitionId,
    PlatformError,
    RackName,
    RegionName,
    Resources,
    Revision,
    StoreConflictError,
    StoreUnavailableError,
    TaskId,
    TeamContract,
    TeamName,
    Worker,
    WorkerId,
)
from ...adapters import (
    PlatformReport,
    RenewCall,
    RunReport,
    StartOrder,
    StopCall,
    Store,
    StoredValue,
    ThrottleCall,
    WorkerPlatform,
)
from ...decisions import FirstFitPolicy, PlacementPolicy, Submission, TaskShape
from .._partition_plan import PartitionPlan, PlannerClock
from .._planner_partition import PartitionRunner
from .._planner_rights import PartitionRights

Answer = TypeVar("Answer")

VITI = RegionName("viti")
PARTITION = PartitionId("all/0")
TEAM = TeamName("letters")
GIB = 1 << 30
SMALL = Resources(1000, GIB)


class MemoryStore(Store):
    """An in-memory store that can be down or lose answers."""

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}
        self.down = False
        self.lose_answers = 0
        self.calls = 0
        self._revision = 0

    async def read(self, key: str) -> StoredValue | None:
        await self._enter()
        return self.values.get(key)

    async def write(self, key: str, value: bytes, expected: Revision) -> Revision:
        await self._enter()
        stored = self.values.get(key)
        if (stored.revision if stored else 0) != expected:
            raise StoreConflictError(key)
        self._revision += 1
        self.values[key] = StoredValue(value, Revision(self._revision))
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailableError("the answer was lost")
        return Revision(self._revision)

    async def delete(self, key: str, expected: Revision) -> None:
        raise NotImplementedError

    async def keys(self, prefix: str) -> tuple[str, ...]:
        await self._enter()
        return tuple(sorted(key for key in self.values if key.startswith(prefix)))

    async def wait(self, key: str, after: Revision, seconds: float) -> StoredValue | None:
        raise NotImplementedError

    async def _enter(self) -> None:
        self.calls += 1
        await trio.sleep(0.002)
        if self.down:
            raise StoreUnavailableError("down")


class SimulatedPlatform(WorkerPlatform):
    """A simulated platform that can be down, lose answers or carry out orders late."""

    def __init__(self, workers: SimulatedWorkers) -> None:
        self.simulated_workers = workers
        self.down = False
        self.lose_answers = 0
        self.late_orders = 0
        """The number of orders to carry out late, after ``late_seconds``, and leave unanswered."""
        self.late_seconds = 0.0
        self.nursery: trio.Nursery | None = None

    async def workers(self, region: RegionName) -> tuple[Worker, ...]:
        await self._enter()
        return self.simulated_workers.in_region(region)

    async def start(self, orders: tuple[StartOrder, ...]) -> tuple[RunReport, ...]:
        await self._enter()

        def effect() -> tuple[RunReport, ...]:
            now = trio.current_time()
            return tuple(self.simulated_workers.start(order, now) for order in orders)

        return await self._answer(effect)

    async def stop(self, task_id: TaskId, attempt: AttemptNumber, checkpoint: bool) -> RunReport:
        await self._enter()
        call = StopCall(task_id, attempt, checkpoint)
        return await self._answer(lambda: self.simulated_workers.stop(call, trio.current_time()))

    async def throttle(
        self, task_id: TaskId, attempt: AttemptNumber, millicores: int | None
    ) -> None:
        await self._enter()
        call = ThrottleCall(task_id, attempt, millicores)
        await self._answer(lambda: self.simulated_workers.throttle(call))

    async def renew(
        self, runs: tuple[tuple[TaskId, AttemptNumber], ...], seconds: float
    ) -> tuple[RunReport, ...]:
        await self._enter()
        call = RenewCall(runs, seconds)
        return await self._answer(
            lambda: tuple(self.simulated_workers.renew(call, trio.current_time()))
        )

    async def report(self, region: RegionName, cursor: int, wait_seconds: float) -> PlatformReport:
        await self._enter()
        deadline = trio.current_time() + wait_seconds
        while True:
            self.simulated_workers.advance(trio.current_time())
            report = self.simulated_workers.report(region, cursor)
            if report.runs or trio.current_time() >= deadline:
                return report
            await trio.sleep(0.25)

    async def _enter(self) -> None:
        await trio.sleep(0.002)
        if self.down:
            raise PlatformError("down")
        self.simulated_workers.advance(trio.current_time())

    async def _answer(self, effect: Callable[[], Answer]) -> Answer:
        if self.late_orders and self.nursery is not None:
            self.late_orders -= 1
            self.nursery.start_soon(self._late, effect, self.late_seconds)
            raise PlatformError("no answer in time")
        answer = effect()
        if self.lose_answers:
            self.lose_answers -= 1
            raise PlatformError("the answer was lost")
        return answer

    async def _late(self, effect: Callable[[], object], seconds: float) -> None:
        await trio.sleep(seconds)
        self.simulated_workers.advance(trio.current_time())
        effect()


def make_workers(count: int, cores: int = 4) -> tuple[Worker, ...]:
    """Return identical workers in one rack of the region ``viti``."""
    return tuple(
        Worker(
            WorkerId(f"w{index}"),
            VITI,
            FailureDomainName("suva"),
            RackName("suva-1"),
            Resources(cores * 1000, cores * 4 * GIB),
        )
        for index in range(count)
    )


def make_submission(
    name: str = "night", tasks: int = 1, run_seconds: float = 20.0, resources: Resources = SMALL
) -> Submission:
    """Return a job of confirmation letters."""
    shape = TaskShape(TEAM, "letter", resources, run_seconds)
    return Submission(JobId(name), shape, tasks)


def make_team(cores: int = 1000) -> TeamContract:
    """Return a team whose quota has ``cores`` cores and 4 GiB of memory for each."""
    return TeamContract(TEAM, Resources(cores * 1000, cores * 4 * GIB), urgent=True)


def make_configuration(cores: int = 1000) -> Configuration:
    """Return a configuration with one team."""
    return Configuration(
        ConfigurationVersion(1), ChangeId("first"), (), (), (), (make_team(cores),)
    )


def make_plan(new_policy: Callable[[], PlacementPolicy] = FirstFitPolicy) -> PartitionPlan:
    """Return a plan of one partition with all workers of ``viti``."""
    return PartitionPlan(PARTITION, (VITI,), new_policy)


class FixedRights(PartitionRights):
    """Partition rights that never change."""

    def __init__(
        self,
        owned: frozenset[PartitionId] = frozenset({PARTITION}),
        others: Mapping[PartitionId, Address] | None = None,
    ) -> None:
        self._owned = owned
        self._others = others or {}

    @property
    def member(self) -> MemberId:
        return MemberId("planner-1")

    def owned(self) -> frozenset[PartitionId]:
        return self._owned

    def holds(self, partition: PartitionId) -> bool:
        return partition in self._owned

    def owner_address(self, partition: PartitionId) -> Address | None:
        return self._others.get(partition)

    async def changed(self) -> None:
        await trio.sleep_forever()


def make_runner(
    store: Store,
    platform: WorkerPlatform,
    rights: PartitionRights | None = None,
    plan: PartitionPlan | None = None,
) -> PartitionRunner:
    """Return the runner of a configured partition. Needs a running trio loop."""
    runner = PartitionRunner(
        plan or make_plan(), store, platform, rights or FixedRights(), PlannerClock()
    )
    runner.configure(make_configuration())
    return runner


async def until(condition: Callable[[], bool], seconds: float = 600.0) -> None:
    """Wait until ``condition`` holds. Raises trio.TooSlowError after ``seconds``."""
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.05)


def run_simulated(body: Callable[[], Awaitable[None]]) -> None:
    """Run ``body`` on a clock that jumps ahead whenever all tasks are waiting.

    trio shuffles the tasks that become runnable at the same time. Without a fixed seed, a test over
    generated faults would occasionally fail for an order that can't be reproduced.
    """
    vars(trio_run)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    trio_run._r.seed(0)
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(body, clock=clock)
