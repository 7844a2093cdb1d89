"""An owner's part in waves of upkeep, with the stand-in store and machines."""

import unittest
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import (
    History,
    StandInExecutor,
    StandInMachines,
    StandInStore,
    machine_of,
)

from ...._ids import ExecutorId, LeaseId, NodeName, Revision, ServiceName
from ....adapters import Put
from ....decisions.jobs import ExecutorRoom, Scheduler, SchedulerSettings, UpkeepWave
from ....decisions.jobs.tests.builders_jobs import registration
from ..._clocks import Clock
from ..._scheduling_keys import owner_key
from .._service_lease import Term
from .._upkeep_duty import UpkeepDuty

SERVICE = ServiceName("desk")
NODE = NodeName("n-0")
NAME = ExecutorId("i-0")
LEASE = LeaseId(0)


class _VirtualClock(Clock):
    def now(self) -> float:
        return trio.current_time()

    def unix_ms(self) -> int:
        return int(trio.current_time() * 1000)


class WithdrawnWaveTest(unittest.TestCase):
    """Waves that the operator withdraws."""

    def test_an_emptied_machine_takes_work_again(self) -> None:
        """Guards against an emptied machine that stays idle after its wave was withdrawn.

        The owner must check the waves again when none is left; otherwise the machine stays emptied
        while jobs wait.
        """

        async def main() -> None:
            random, history = Random(1), History()
            store = StandInStore(random)
            room = ExecutorRoom(8000, 16000, 0)
            executor = StandInExecutor(NAME, SERVICE, room, store, history, random)
            machines = StandInMachines(SERVICE, {NAME: executor}, history, random)
            revision = store.apply({}, (Put(owner_key(SERVICE), b""),), ())
            scheduler = Scheduler(SchedulerSettings(SERVICE, 8.0, 5.0))
            # The executor wasn't polled yet, so it may still run tasks and its machine isn't
            # ordered down.
            scheduler.recover((), (registration(NAME),), (registration(NAME),), 0.0, 0)
            async with trio.open_nursery() as nursery:
                duty = UpkeepDuty(
                    store.client(NODE),
                    machines.client(nursery),
                    scheduler,
                    Term(SERVICE, 1, LEASE, Revision(revision)),
                    NODE,
                    _VirtualClock(),
                    lambda: tuple(machines.waves),
                )
                nursery.start_soon(duty.run)
                machines.waves.append(UpkeepWave(1, (machine_of(NAME),), 1))
                await trio.sleep(2.0)
                self.assertTrue(scheduler.executors[NAME].cordoned)
                machines.waves.clear()
                await trio.sleep(2.0)
                self.assertFalse(scheduler.executors[NAME].cordoned)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))
