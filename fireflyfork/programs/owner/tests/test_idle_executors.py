"""Restarts and departures of idle executors, which aren't polled."""

import unittest

import trio
from trio.testing import MockClock

from ....decisions.jobs import decode_registrations
from ....decisions.jobs.tests.builders_jobs import SERVICE, job
from ..._scheduling_keys import executors_key
from .builders_owner import OwnerFixture


class IdleExecutorTest(unittest.TestCase):
    """Only the registration reports changes of an executor that isn't polled."""

    def test_a_restarted_idle_executor_gets_work(self) -> None:
        """Guards against an idle executor that gets no task after a restart.

        Its registration reports the restart. If the owner doesn't poll the new incarnation for its
        runs, it places no task there, and jobs wait although all machines are up and free.
        """
        for lapses in (False, True):
            with self.subTest(lapses=lapses):
                starts = trio.run(_restart_while_idle, lapses, clock=_clock())
                self.assertEqual(starts, 1)

    def test_an_idle_executor_that_left_is_not_waited_for_by_successors(self) -> None:
        """Guards against successors that wait for an idle executor that has left for good.

        If it stays in the list that is stored for a successor, each successor holds back all
        recovered tasks for 8 s, so jobs are stopped at every change of owner.
        """
        self.assertEqual(trio.run(_leave_while_idle, clock=_clock()), 0)


def _clock() -> MockClock:
    return MockClock(autojump_threshold=0)


async def _restart_while_idle(lapses: bool) -> int:
    """Return how many tasks of a job start after its only executor was restarted."""
    async with trio.open_nursery() as nursery:
        world = await _start_idle_owner(nursery)
        world.executor.crash()
        if lapses:
            world.executor.unregister()
        await trio.sleep(3.0)
        world.executor.restart()
        await trio.sleep(3.0)
        world.accept_job(job())
        await trio.sleep(30.0)
        nursery.cancel_scope.cancel()
    return world.history.starts


async def _leave_while_idle() -> int:
    """Return how many executors a successor would find stored after the only one has left."""
    async with trio.open_nursery() as nursery:
        world = await _start_idle_owner(nursery)
        world.executor.crash()
        world.executor.unregister()
        await trio.sleep(60.0)
        nursery.cancel_scope.cancel()
    (stored,) = world.store.items_under(executors_key(SERVICE))
    return len(decode_registrations(stored.value))


async def _start_idle_owner(nursery: trio.Nursery) -> OwnerFixture:
    world = OwnerFixture(nursery)
    nursery.start_soon(world.store.run)
    nursery.start_soon(world.executor.run)
    nursery.start_soon(world.owner.run)
    await trio.sleep(5.0)
    return world
