"""A small platform whose events are controlled by a test."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio

from fireflyfork._ids import (
    ConfigurationVersion,
    ExecutorId,
    JobId,
    NodeName,
    QueueName,
    ServiceName,
)
from fireflyfork.decisions.jobs import (
    ExecutorRoom,
    JobSpec,
    JobState,
    QueueConfiguration,
    StepSpec,
    queue_table,
)
from fireflyfork.platform import PlatformBounds
from fireflyfork.programs._scheduling_keys import WORK_PREFIX, owner_key

from ..scheduling import (
    UNIX_MS_AT_START,
    History,
    StandInExecutor,
    StandInMachines,
    StandInNode,
    StandInStore,
)

SERVICE = ServiceName("desk")
QUEUE = QueueConfiguration(QueueName("q"), "h", "/q/", SERVICE, 0, 3, 2.0, 1000, 3000)
BOUNDS = PlatformBounds(6.0, 0.2, 6.0, 120.0, 2.5)
LINK_MBPS = 1000.0
CHECK_INTERVAL_SECONDS = 0.0005
"""Interval between two checks of a condition. It is far below the latency of any call, so a test can
act between two calls."""
PATIENCE_SECONDS = 30.0
SHORT_MS = 1_500
LONG_MS = 12_000
"""Estimate of a long task. The simulated duration is at least half of it, which is longer than any
lease."""


class SmallPlatform:
    """A store, instances, and executors that the test adds."""

    def __init__(self, seed: int, instances: int = 2) -> None:
        """Create a platform without executors, whose instances aren't started."""
        self.history = History()
        self._random = Random(seed)
        self.store = StandInStore(self._random)
        self.executors: dict[ExecutorId, StandInExecutor] = {}
        machines = StandInMachines(SERVICE, self.executors, self.history, self._random)
        table = queue_table(ConfigurationVersion(1), (QUEUE,), frozenset({SERVICE}))
        self.nodes = [
            StandInNode(
                NodeName(f"n-{number}"),
                SERVICE,
                self.store,
                self.executors,
                self._random,
                BOUNDS,
                table,
                machines,
                LINK_MBPS,
            )
            for number in range(instances)
        ]
        self._nursery: trio.Nursery | None = None

    @property
    def broken(self) -> list[tuple[str, str]]:
        """Promise and description of each violation so far."""
        return [(one.promise, one.description) for one in self.history.violations]

    @property
    def has_active_owner(self) -> bool:
        """Whether there is an owner that has finished its recovery."""
        return any(node.is_active_owner for node in self.nodes)

    async def begin(self, nursery: trio.Nursery) -> None:
        """Start the store and the instances in ``nursery``, and wait for an active owner."""
        self._nursery = nursery
        nursery.start_soon(self.store.run)
        for node in self.nodes:
            nursery.start_soon(node.run_process, nursery)
        await self.until(lambda: self.has_active_owner)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` holds, and fail after ``PATIENCE_SECONDS``."""
        with trio.fail_after(PATIENCE_SECONDS):
            while not condition():
                await trio.sleep(CHECK_INTERVAL_SECONDS)

    async def hand_in(self, job: JobId, estimate_ms: int = SHORT_MS) -> None:
        """Submit a job with one task and wait for its acceptance."""
        now_ms = UNIX_MS_AT_START + int(trio.current_time() * 1000)
        step = StepSpec(1, 1000, 1000, 0, estimate_ms)
        spec = JobSpec(job, QueueName("q"), SERVICE, "work", (step,), now_ms)
        self.history.jobs[job] = spec
        await self.nodes[0].requests.submit(spec)
        self.history.acknowledged[job] = trio.current_time()

    async def until_completed(self, job: JobId) -> None:
        """Wait until a job is completed, and fail after ``PATIENCE_SECONDS``."""
        with trio.fail_after(PATIENCE_SECONDS):
            while await self.nodes[0].requests.state(job) is not JobState.COMPLETED:
                await trio.sleep(0.1)

    def add_executor(self, name: str) -> StandInExecutor:
        """Start an executor, which registers."""
        assert self._nursery is not None
        executor = StandInExecutor(
            ExecutorId(name),
            SERVICE,
            ExecutorRoom(8000, 16000, 0),
            self.store,
            self.history,
            self._random,
        )
        self.executors[executor.executor] = executor
        self._nursery.start_soon(executor.run)
        return executor

    def vanish(self, executor: StandInExecutor) -> None:
        """Remove the registration of an executor and cut it off from all instances."""
        executor.unregister()
        self.cut(executor)

    def cut(self, executor: StandInExecutor, *nodes: NodeName) -> None:
        """Cut off an executor from ``nodes``, or from all instances if none are given."""
        executor.trouble.unreachable_from |= set(nodes or (node.name for node in self.nodes))

    @property
    def owner(self) -> StandInNode:
        """The only active owner of the service."""
        (owner,) = (node for node in self.nodes if node.is_active_owner)
        return owner

    def silence_work(self, node: NodeName) -> None:
        """Stop answering an instance's watch of work, which reports jobs and changes of owner."""
        self.store.trouble.silent_watches.add((node, WORK_PREFIX))

    def connect(self, executor: StandInExecutor) -> None:
        """End the partition between an executor and all instances."""
        executor.trouble.unreachable_from.clear()

    def reconnect(self, executor: StandInExecutor) -> None:
        """Reconnect an executor after ``vanish`` and restore its registration."""
        self.connect(executor)
        executor.register()

    def depose(self) -> None:
        """Remove the owner's key, so that its writes in transit fail."""
        self.store.revoke(owner_key(SERVICE))
