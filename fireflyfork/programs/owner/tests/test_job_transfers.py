"""Queues that move to another service while their jobs wait."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from ...._ids import JobId
from ....decisions.jobs.tests.builders_jobs import step
from .builders_services import ANNEX, DESK, Services

FULL = step(count=1, cpu_millis=8000, estimate_ms=90_000)
SHORT = step(cpu_millis=1000, estimate_ms=800)
WAITING = 10
VISIBLE_SECONDS = 5.0
"""Within this time an accepted job that hasn't begun has to be counted."""


def _play(body: Callable[[Services], Awaitable[None]], seed: int = 1, executors: int = 1) -> None:
    async def main() -> None:
        services = Services(seed, executors)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(services.run)
            await trio.sleep(2.0)
            await body(services)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def _fill_and_wait(services: Services, count: int = WAITING) -> list[JobId]:
    """Fill the first service for good, and submit jobs that wait there."""
    services.submit(FULL)
    await trio.sleep(1.0)
    waiting = [services.submit(SHORT) for _ in range(count)]
    await trio.sleep(VISIBLE_SECONDS)
    return waiting


class MovedQueueTest(unittest.TestCase):
    """Jobs that haven't begun follow their queue, and are counted wherever they wait."""

    def test_waiting_jobs_are_counted_after_their_queue_has_moved(self) -> None:
        """Guards against a count of the queue's present service alone."""

        async def body(services: Services) -> None:
            waiting = await _fill_and_wait(services)
            for executor in services.annex.executors.values():
                executor.unregister()
            await trio.sleep(1.0)
            self.assertEqual(await services.pending(), WAITING)
            services.move_queue(ANNEX)
            services.configure()
            for _ in range(100):
                await trio.sleep(0.1)
                self.assertGreaterEqual(await services.pending(), WAITING)
            self.assertEqual(await services.pending(), WAITING)
            self.assertFalse(set(waiting) & set(services.history.first_starts))

        _play(body)

    def test_a_successor_stores_its_counts_although_nothing_waits(self) -> None:
        """Guards against the counts of an earlier owner that stay for good."""

        async def body(services: Services) -> None:
            await _fill_and_wait(services)
            self.assertEqual(services.counted(DESK), b'{"q":10}')
            for name in list(services.jobs)[1:]:
                services.cancel(name)
            services.desk.replace_owner()
            await trio.sleep(3.0)
            self.assertEqual(services.counted(DESK), b"{}")

        _play(body)


class OrderedStartTest(unittest.TestCase):
    """A job has begun once an executor has begun one of its tasks."""

    def test_a_start_without_an_answer_leaves_a_job_pending(self) -> None:
        """Guards against a job that is counted as begun once a start was ordered."""

        async def body(services: Services) -> None:
            (executor,) = services.desk.executors.values()
            executor.trouble.unreachable_from.add(services.desk.node)
            services.submit(SHORT)
            for _ in range(20):
                await trio.sleep(0.1)
                if services.counted(DESK) == b'{"q":1}':
                    break
            else:
                self.fail("the job is not counted")
            executor.trouble.unreachable_from.clear()
            await trio.sleep(8.0)
            self.assertEqual(len(services.history.first_starts), 1)
            self.assertEqual(await services.pending(), 0)

        _play(body)
