"""A small platform on which a test decides what happens and when."""

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
    QueueTerms,
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
QUEUE = QueueTerms(QueueName("q"), "h", "/q/", SERVICE, 0, 3, 2.0, 1000, 3000)
BOUNDS = PlatformBounds(6.0, 0.2, 6.0, 120.0, 2.5)
LINK_MBPS = 1000.0
LOOK_SECONDS = 0.0005
"""Far below the latency of any call, so that a test can act between two of them."""
PATIENCE_SECONDS = 30.0
SHORT_MS = 1_500
LONG_MS = 12_000
"""At the least, half of this: longer than any lease."""


class Stage:
    """Store, instances and executors."""

    def __init__(self, seed: int, instances: int = 2) -> None:
        """No executor yet."""
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
        """The promises that were broken so far."""
        return [(one.promise, one.what) for one in self.history.violations]

    @property
    def decided(self) -> bool:
        """Whether there is an owner that has read what it needs."""
        return any(node.decides for node in self.nodes)

    async def begin(self, nursery: trio.Nursery) -> None:
        """Set store and instances to work in ``nursery``, and wait for an owner."""
        self._nursery = nursery
        nursery.start_soon(self.store.run)
        for node in self.nodes:
            nursery.start_soon(node.live, nursery)
        await self.until(lambda: self.decided)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for something; a test in which it doesn't come fails."""
        with trio.fail_after(PATIENCE_SECONDS):
            while not condition():
                await trio.sleep(LOOK_SECONDS)

    async def hand_in(self, job: JobId, estimate_ms: int = SHORT_MS) -> None:
        """A job of one task is accepted."""
        now_ms = UNIX_MS_AT_START + int(trio.current_time() * 1000)
        step = StepSpec(1, 1000, 1000, 0, estimate_ms)
        spec = JobSpec(job, QueueName("q"), SERVICE, "work", (step,), now_ms)
        self.history.jobs[job] = spec
        await self.nodes[0].requests.submit(spec)
        self.history.acknowledged[job] = trio.current_time()

    async def until_completed(self, job: JobId) -> None:
        """Wait for the end of a job."""
        with trio.fail_after(PATIENCE_SECONDS):
            while await self.nodes[0].requests.state(job) is not JobState.COMPLETED:
                await trio.sleep(0.1)

    def add_executor(self, name: str) -> StandInExecutor:
        """An executor registers."""
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
        """Nothing gets through to or from an executor any more; its registration has lapsed."""
        executor.unregister()
        self.cut(executor)

    def cut(self, executor: StandInExecutor, *nodes: NodeName) -> None:
        """These instances, or all, don't reach an executor any more."""
        executor.trouble.unreachable_from |= set(nodes or (node.name for node in self.nodes))

    @property
    def owner(self) -> StandInNode:
        """The instance that owns the service."""
        (owner,) = (node for node in self.nodes if node.decides)
        return owner

    def silence_work(self, node: NodeName) -> None:
        """An instance hears of no job any more, nor of a change of owner."""
        self.store.trouble.silent_watches.add((node, WORK_PREFIX))

    def connect(self, executor: StandInExecutor) -> None:
        """All instances reach an executor again."""
        executor.trouble.unreachable_from.clear()

    def turn_up(self, executor: StandInExecutor) -> None:
        """An executor that had vanished is back."""
        self.connect(executor)
        executor.register()

    def depose(self) -> None:
        """The owner's key is taken away, so that a write of its that is on its way fails."""
        self.store.revoke(owner_key(SERVICE))
