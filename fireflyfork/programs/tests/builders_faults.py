"""Planners that take over a partition from each other, and faults that tests inject into them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import TypeVar

import trio

from fireflyfork_standins import SimulatedWorkers

from ... import (
    AttemptNumber,
    JobId,
    MemberId,
    PartitionId,
    RegionName,
    Revision,
    TaskId,
    Worker,
    WorkerId,
)
from ..._links import Address
from ...adapters import (
    PlatformReport,
    RunReport,
    StartOrder,
    Store,
    StoredValue,
    WorkerPlatform,
)
from ...decisions import FirstFitPolicy, LeaseRules, PlacementPolicy, PlanningRules, Submission
from .._partition_plan import (
    NotReadyError,
    OutcomeUnknownError,
    PartitionPlan,
    PlannerPace,
)
from .._planner_partition import PartitionRunner
from .._planner_rights import PartitionRights
from .builders_planner import (
    PARTITION,
    MemoryStore,
    SimulatedPlatform,
    make_plan,
    make_runner,
    make_workers,
)

Answer = TypeVar("Answer")

FAST_RULES = PlanningRules(LeaseRules(lease=10.0, silence=8.0, margin=3.0), start_retry_seconds=2.0)
FAST_PACE = PlannerPace(renew=3.0, report_wait=2.0, workers=5.0)


class Gate:
    """Blocks the store and platform calls of one planner, as if its process were paused."""

    def __init__(self) -> None:
        self._open = trio.Event()
        self._open.set()

    def close(self) -> None:
        """Block calls from now on."""
        self._open = trio.Event()

    def open(self) -> None:
        """Let blocked and later calls proceed."""
        self._open.set()

    async def call_when_open(self, call: Callable[[], Awaitable[Answer]]) -> Answer:
        """Make a call once the gate is open."""
        await self._open.wait()
        return await call()


class GatedStore(Store):
    """A store whose calls wait for a gate."""

    def __init__(self, store: Store, gate: Gate) -> None:
        self._store = store
        self._gate = gate

    async def read(self, key: str) -> StoredValue | None:
        return await self._gate.call_when_open(lambda: self._store.read(key))

    async def write(self, key: str, value: bytes, expected: Revision) -> Revision:
        return await self._gate.call_when_open(lambda: self._store.write(key, value, expected))

    async def delete(self, key: str, expected: Revision) -> None:
        raise NotImplementedError

    async def keys(self, prefix: str) -> tuple[str, ...]:
        raise NotImplementedError

    async def wait(self, key: str, after: Revision, seconds: float) -> StoredValue | None:
        raise NotImplementedError


class GatedPlatform(WorkerPlatform):
    """A platform whose calls wait for a gate."""

    def __init__(self, platform: WorkerPlatform, gate: Gate) -> None:
        self._platform = platform
        self._gate = gate

    async def workers(self, region: RegionName) -> tuple[Worker, ...]:
        return await self._gate.call_when_open(lambda: self._platform.workers(region))

    async def start(self, orders: tuple[StartOrder, ...]) -> tuple[RunReport, ...]:
        return await self._gate.call_when_open(lambda: self._platform.start(orders))

    async def stop(self, task_id: TaskId, attempt: AttemptNumber, checkpoint: bool) -> RunReport:
        return await self._gate.call_when_open(
            lambda: self._platform.stop(task_id, attempt, checkpoint)
        )

    async def throttle(
        self, task_id: TaskId, attempt: AttemptNumber, millicores: int | None
    ) -> None:
        await self._gate.call_when_open(
            lambda: self._platform.throttle(task_id, attempt, millicores)
        )

    async def renew(
        self, runs: tuple[tuple[TaskId, AttemptNumber], ...], seconds: float
    ) -> tuple[RunReport, ...]:
        return await self._gate.call_when_open(lambda: self._platform.renew(runs, seconds))

    async def report(self, region: RegionName, cursor: int, wait_seconds: float) -> PlatformReport:
        return await self._gate.call_when_open(
            lambda: self._platform.report(region, cursor, wait_seconds)
        )


class SharedRights(PartitionRights):
    """The rights of one planner of a PlannerSequence."""

    def __init__(self, planners: PlannerSequence, member: MemberId) -> None:
        self._planners = planners
        self._member = member

    @property
    def member(self) -> MemberId:
        return self._member

    def owned(self) -> frozenset[PartitionId]:
        mine = self._planners.owner == self._member
        return frozenset({PARTITION}) if mine else frozenset()

    def holds(self, partition: PartitionId) -> bool:
        return partition in self.owned()

    def owner_address(self, partition: PartitionId) -> Address | None:
        return None

    async def changed(self) -> None:
        await self._planners.owner_changed.wait()


class FaultKind(Enum):
    """The kinds of faults that a test can inject."""

    STORE_DOWN = "store-down"
    STORE_LOSES = "store-loses"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_LOSES = "platform-loses"
    PLATFORM_LATE = "platform-late"
    WORKER_UNREACHABLE = "worker-unreachable"
    WORKER_FAILS = "worker-fails"
    PLANNER_KILLED = "planner-killed"
    PLANNER_PAUSED = "planner-paused"
    CANCEL_TASK = "cancel-task"
    EVICT_ALL = "evict-all"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. ``delay_seconds`` is counted from the previous fault."""

    kind: FaultKind
    delay_seconds: float
    duration_seconds: float
    index: int
    """The worker or task that is affected, or the number of lost answers minus one."""


class PlannerSequence:
    """A sequence of planners, each of which takes over the partition from the previous planner."""

    def __init__(
        self,
        nursery: trio.Nursery,
        rules: PlanningRules = FAST_RULES,
        report_lag: float = 0.5,
        new_policy: Callable[[], PlacementPolicy] = FirstFitPolicy,
    ) -> None:
        self.store = MemoryStore()
        self.workers = SimulatedWorkers(make_workers(3), report_lag=report_lag)
        self._rules = rules
        self._new_policy = new_policy
        self.platform = SimulatedPlatform(self.workers)
        self.owner = MemberId("")
        self.owner_changed = trio.Event()
        self.cancelled: set[tuple[JobId, int]] = set()
        self._nursery = nursery
        self.platform.nursery = nursery
        self._count = 0
        self._gate = Gate()
        self._scope = trio.CancelScope()
        self._runner: PartitionRunner | None = None
        self.take_over()

    @property
    def runner(self) -> PartitionRunner:
        """The runner of the current owner."""
        assert self._runner is not None
        return self._runner

    @property
    def gate(self) -> Gate:
        """The gate that blocks the calls of the current owner."""
        return self._gate

    def take_over(self) -> None:
        """Start a new planner and give it the partition.

        The previous planner keeps running until it notices the loss.
        """
        self._count += 1
        member = MemberId(f"planner-{self._count}")
        self._gate = Gate()
        self._scope = trio.CancelScope()
        self._runner = make_runner(
            GatedStore(self.store, self._gate),
            GatedPlatform(self.platform, self._gate),
            SharedRights(self, member),
            self._plan(),
        )
        self.owner = member
        self.owner_changed.set()
        self.owner_changed = trio.Event()
        self._nursery.start_soon(self._run, self._runner, self._scope, member)

    async def apply(self, fault: Fault) -> None:
        """Inject one fault after its delay, and end it after its duration."""
        await trio.sleep(fault.delay_seconds)
        match fault.kind:
            case FaultKind.STORE_LOSES:
                self.store.lose_answers += 1 + fault.index
            case FaultKind.PLATFORM_LOSES:
                self.platform.lose_answers += 1 + fault.index
            case FaultKind.PLATFORM_LATE:
                self.platform.late_orders += 1 + fault.index
                self.platform.late_seconds = fault.duration_seconds
            case FaultKind.PLANNER_KILLED:
                self._scope.cancel()
                self.take_over()
            case FaultKind.PLANNER_PAUSED:
                gate = self._gate
                gate.close()
                self.take_over()
                self._nursery.start_soon(self._later, fault.duration_seconds, gate.open)
            case FaultKind.CANCEL_TASK:
                self._nursery.start_soon(self._cancel_task, fault.index)
            case FaultKind.EVICT_ALL:
                self._evict_all()
            case _:
                self._set(fault, True)
                self._nursery.start_soon(
                    self._later, fault.duration_seconds, lambda: self._set(fault, False)
                )

    async def submit(self, submission: Submission) -> None:
        """Repeat a submission until it is accepted, as a client would."""
        while True:
            try:
                with trio.move_on_after(5.0):
                    refusal = await self.runner.submit(submission)
                    assert refusal is None, refusal
                    return
            except (NotReadyError, OutcomeUnknownError):
                await trio.sleep(0.5)

    def is_over(self, job_id: JobId) -> bool:
        """Return whether the current owner has no open task of a job."""
        state = self.runner.state
        job = state.table.jobs.get(job_id) if state is not None else None
        return job is not None and job.open_count == 0

    def _plan(self) -> PartitionPlan:
        return replace(make_plan(self._new_policy), rules=self._rules, pace=FAST_PACE)

    async def _run(
        self, runner: PartitionRunner, scope: trio.CancelScope, member: MemberId
    ) -> None:
        with scope:
            while self.owner == member:
                await runner.run()
                await trio.sleep(0.5)

    async def _later(self, seconds: float, action: Callable[[], None]) -> None:
        await trio.sleep(seconds)
        action()

    async def _cancel_task(self, index: int) -> None:
        job_id = JobId("night")
        while True:
            try:
                if await self.runner.cancel(job_id, index):
                    self.cancelled.add((job_id, index))
                return
            except (NotReadyError, OutcomeUnknownError):
                await trio.sleep(0.5)

    def _evict_all(self) -> None:
        state = self.runner.state
        if state is not None:
            self.runner.evict(
                tuple(task.task_id for task in state.table.tasks_holding_reservation()), "a test"
            )

    def _set(self, fault: Fault, on: bool) -> None:
        worker = WorkerId(f"w{fault.index}")
        if fault.kind is FaultKind.STORE_DOWN:
            self.store.down = on
        elif fault.kind is FaultKind.PLATFORM_DOWN:
            self.platform.down = on
        elif fault.kind is FaultKind.WORKER_UNREACHABLE:
            unreachable = _add_or_remove(self.workers.faults.unreachable, worker, on)
            self.workers.faults = replace(self.workers.faults, unreachable=unreachable)
        else:
            fail_all = _add_or_remove(self.workers.faults.fail_all, worker, on)
            self.workers.faults = replace(self.workers.faults, fail_all=fail_all)


def _add_or_remove(
    workers: tuple[WorkerId, ...], worker: WorkerId, on: bool
) -> tuple[WorkerId, ...]:
    others = tuple(other for other in workers if other != worker)
    return (*others, worker) if on else others
