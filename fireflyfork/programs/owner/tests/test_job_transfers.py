"""Queues that move to another service while their jobs wait."""

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from random import Random

import trio
from trio.testing import MockClock

from ...._ids import JobId, ServiceName
from ....decisions.jobs import JobState, StepSpec, decode_stored_job
from ....decisions.jobs.tests.builders_jobs import step
from ..._scheduling_keys import job_key
from .builders_services import ANNEX, CONFIGURATION_SECONDS, DESK, Services

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


def _reroute(services: Services, service: ServiceName) -> None:
    """Move the queue, and put that in force at once."""
    services.move_queue(service)
    services.configure()


class MovedQueueTest(unittest.TestCase):
    """Jobs that haven't begun follow their queue, and are counted wherever they wait."""

    async def _assert_completed(self, services: Services, jobs: list[JobId]) -> None:
        for name in jobs:
            self.assertIs(await services.requests.state(name), JobState.COMPLETED)

    def test_waiting_jobs_are_counted_after_their_queue_has_moved(self) -> None:
        """Guards against a count of the queue's present service alone."""

        async def body(services: Services) -> None:
            waiting = await _fill_and_wait(services)
            for executor in services.annex.executors.values():
                executor.unregister()
            await trio.sleep(1.0)
            self.assertEqual(await services.pending(), WAITING)
            _reroute(services, ANNEX)
            for _ in range(100):
                await trio.sleep(0.1)
                self.assertGreaterEqual(await services.pending(), WAITING)
            self.assertEqual(await services.pending(), WAITING)
            self.assertFalse(set(waiting) & set(services.history.first_starts))

        _play(body)

    def test_waiting_jobs_run_on_the_service_that_their_queue_has_now(self) -> None:
        """Guards against jobs that wait for a full service while that of their queue is idle."""

        async def body(services: Services) -> None:
            waiting = await _fill_and_wait(services)
            _reroute(services, ANNEX)
            await trio.sleep(CONFIGURATION_SECONDS + 6.0)
            await self._assert_completed(services, waiting)
            self.assertEqual(await services.pending(), 0)
            self.assertEqual(services.history.violations, [])

        _play(body)

    def test_a_job_that_has_begun_stays(self) -> None:
        """Guards against the transfer of a job that an executor runs."""

        async def body(services: Services) -> None:
            await _fill_and_wait(services, 0)
            _reroute(services, ANNEX)
            await trio.sleep(CONFIGURATION_SECONDS + 3.0)
            (name,) = services.jobs
            item = services.store.get(job_key(name))
            assert item is not None
            self.assertEqual(decode_stored_job(item.value).service, DESK)
            self.assertEqual(len(services.history.first_starts), 1)
            self.assertEqual(services.history.violations, [])

        _play(body)

    def test_two_moves_in_a_row(self) -> None:
        """Guards against jobs that are lost, or run twice, on the way to and fro."""

        async def body(services: Services) -> None:
            waiting = await _fill_and_wait(services)
            for service in (ANNEX, DESK, ANNEX):
                _reroute(services, service)
                await trio.sleep(CONFIGURATION_SECONDS + 0.2)
            await trio.sleep(8.0)
            await self._assert_completed(services, waiting)
            self.assertEqual(services.history.violations, [])

        _play(body)

    def test_a_cancelled_job_starts_nowhere(self) -> None:
        """Guards against a cancellation that the new owner has seen before the job."""

        async def body(services: Services) -> None:
            waiting = await _fill_and_wait(services)
            _reroute(services, ANNEX)
            for name in waiting[:5]:
                await trio.sleep(CONFIGURATION_SECONDS / 5)
                services.cancel(name)
            await trio.sleep(8.0)
            states = [await services.requests.state(name) for name in waiting]
            self.assertEqual(states[:4], [JobState.CANCELLED] * 4)
            self.assertEqual(states[5:], [JobState.COMPLETED] * 5)
            self.assertEqual(services.history.violations, [])

        _play(body)

    def test_the_successor_of_a_killed_owner_transfers_the_jobs(self) -> None:
        """Guards against waiting jobs of a service whose owner was lost after the move."""

        async def body(services: Services) -> None:
            waiting = await _fill_and_wait(services)
            _reroute(services, ANNEX)
            services.desk.replace_owner()
            await trio.sleep(CONFIGURATION_SECONDS + 12.0)
            await self._assert_completed(services, waiting)
            self.assertEqual(services.history.violations, [])

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


class AnyMovesTest(unittest.TestCase):
    """Queues that move at any time, with lost and late writes, cancellations and lost owners."""

    def test_each_job_runs_once_on_one_service(self) -> None:
        """Guards against a job that two owners have, or none."""
        for seed in range(12):
            with self.subTest(seed=seed):
                _play(partial(self._any_moves, random=Random(seed)), seed, executors=2)

    async def _any_moves(self, services: Services, random: Random) -> None:
        trouble = services.store.trouble
        events: list[Callable[[], object]] = [
            lambda: services.move_queue(random.choice((DESK, ANNEX))),
            lambda: services.desk.configure(services.queues),
            lambda: services.annex.configure(services.queues),
            lambda: random.choice((services.desk, services.annex)).replace_owner(),
            lambda: setattr(trouble, "lost_share", random.choice((0.0, 0.0, 0.3))),
            lambda: setattr(trouble, "late_share", random.choice((0.0, 0.6))),
            lambda: services.store.drop_history(),
            *([lambda: _reroute(services, random.choice((DESK, ANNEX, ANNEX)))] * 3),
            lambda: services.cancel(random.choice(list(services.jobs))),
            *([lambda: services.submit(self._steps(random))] * 8),
        ]
        services.submit(replace(FULL, count=2, estimate_ms=50_000))
        for _ in range(60):
            random.choice(events)()
            await trio.sleep(random.choice((0.0, 0.1, 0.7, 2.0)))
        trouble.lost_share = trouble.late_share = 0.0
        services.configure()
        await trio.sleep(CONFIGURATION_SECONDS + 120.0)
        self.assertEqual(services.history.violations, [])
        for name in services.jobs:
            if name in services.history.cancelling:
                continue
            state = await services.requests.state(name)
            self.assertIs(state, JobState.COMPLETED, name)

    @staticmethod
    def _steps(random: Random) -> StepSpec:
        cpu_millis = random.choice((500, 2000, 8000))
        return step(cpu_millis=cpu_millis, estimate_ms=random.choice((200, 1500)))
