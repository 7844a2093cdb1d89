"""Builders of tests with a network partition between two instances and two executors."""

from __future__ import annotations

from random import Random

import trio
from trio.testing import MockClock

from fireflyfork._ids import ExecutorId, NodeName
from fireflyfork.decisions.jobs import ExecutorRoom, JobSpec, encode_job
from fireflyfork.decisions.jobs.tests.builders_jobs import SERVICE, table
from fireflyfork.platform import PlatformBounds
from fireflyfork.programs._scheduling_keys import job_key
from fireflyfork_standins.scheduling import History, StandInExecutor, StandInMachines, StandInStore
from fireflyfork_standins.scheduling._nodes import StandInNode

NEAR, FAR = NodeName("n-near"), NodeName("n-far")
NEAR_EXECUTOR, FAR_EXECUTOR = ExecutorId("i-near"), ExecutorId("i-far")
BOUNDS = PlatformBounds(6.0, 0.2, 6.0, 120.0, 2.5)
SETTLE_SECONDS = 2.0
"""Time for the first instance to become the owner, and for the second to become a candidate."""
STARTED_SECONDS = 0.5
"""Time for the tasks of the job to start."""


def play_split(seed: int, spec: JobSpec, split_seconds: float, after_seconds: float) -> History:
    """Submit a job, partition the network for ``split_seconds``, then wait ``after_seconds``.

    Return the history of all runs.
    """

    async def main() -> History:
        world = _SplitPlatform(seed)
        async with trio.open_nursery() as nursery:
            await world.run(nursery)
            world.hand_in(spec)
            await trio.sleep(STARTED_SECONDS)
            world.split()
            await trio.sleep(split_seconds)
            world.heal()
            await trio.sleep(after_seconds)
            nursery.cancel_scope.cancel()
        return world.history

    return trio.run(main, clock=MockClock(autojump_threshold=0))


class _SplitPlatform:
    """Two instances and two executors, of which one each are on either side of the partition.

    The store is on the side of ``NEAR``. The partition cuts off the owner, ``FAR``, from it.
    """

    def __init__(self, seed: int) -> None:
        random = Random(seed)
        self.history = History()
        self._store = StandInStore(random)
        room = ExecutorRoom(8000, 16000, 0)
        self._executors = {
            name: StandInExecutor(name, SERVICE, room, self._store, self.history, Random(seed))
            for name in (NEAR_EXECUTOR, FAR_EXECUTOR)
        }
        machines = StandInMachines(SERVICE, self._executors, self.history, random)
        self._nodes = [
            StandInNode(
                name, SERVICE, self._store, self._executors, random, BOUNDS, table(), machines, 1e3
            )
            for name in (FAR, NEAR)
        ]

    async def run(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._store.run)
        for executor in self._executors.values():
            nursery.start_soon(executor.run)
        for node in self._nodes:
            nursery.start_soon(node.run_process, nursery)
            await trio.sleep(SETTLE_SECONDS)

    def hand_in(self, spec: JobSpec) -> None:
        self.history.jobs[spec.job] = spec
        self._store.put(job_key(spec.job), encode_job(spec))

    def split(self) -> None:
        self._store.trouble.silent.add(FAR)
        self._executors[FAR_EXECUTOR].trouble.unreachable_from.add(NEAR)
        self._executors[NEAR_EXECUTOR].trouble.unreachable_from.add(FAR)

    def heal(self) -> None:
        self._store.trouble.silent.clear()
        for executor in self._executors.values():
            executor.trouble.unreachable_from.clear()
