"""Answers to callers while the store fails."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ...._errors import StoreRefusedError, StoreUnavailableError
from ...._ids import NodeName
from ....decisions.jobs import JobState
from ....decisions.jobs.tests.builders_jobs import job
from ..._scheduling_keys import cancel_key, job_key
from .._job_requests import JobRequests

NODE = NodeName("n-0")


def _play(body: Callable[[StandInStore, JobRequests], Awaitable[None]]) -> None:
    async def main() -> None:
        store = StandInStore(Random(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            await body(store, JobRequests(store.client(NODE), lambda: None))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class JobRequestsTest(unittest.TestCase):
    """A refused request has had no effect, and an accepted one is stored."""

    def test_a_job_is_stored_before_it_is_acknowledged(self) -> None:
        async def body(store: StandInStore, requests: JobRequests) -> None:
            await requests.submit(job())
            self.assertIsNotNone(store.get(job_key(job().job)))
            self.assertIs(await requests.state(job().job), JobState.QUEUED)

        _play(body)

    def test_a_repeated_job_changes_nothing(self) -> None:
        async def body(store: StandInStore, requests: JobRequests) -> None:
            await requests.submit(job())
            first = store.get(job_key(job().job))
            await requests.submit(job(payload="other"))
            self.assertEqual(store.get(job_key(job().job)), first)

        _play(body)

    def test_a_write_whose_answer_was_lost_is_never_reported_as_refused(self) -> None:
        """Guards against refusing a job that was stored.

        The store executes the write, its answer is lost, and the store then refuses the repeated
        write. A caller told that its booking was refused would book elsewhere, and both bookings
        would run.
        """

        async def body(store: StandInStore, requests: JobRequests) -> None:
            store.trouble.lost_share = 1.0

            async def turn_away() -> None:
                await trio.sleep(0.5)
                store.trouble.refused.add(NODE)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(turn_away)
                with self.assertRaises(StoreUnavailableError) as raised:
                    await requests.submit(job())
            self.assertNotIsInstance(raised.exception, StoreRefusedError)
            self.assertIsNotNone(store.get(job_key(job().job)))

        _play(body)

    def test_an_instance_that_the_store_does_not_answer_refuses_at_once(self) -> None:
        """Guards against callers that wait for an instance that is cut off from the store.

        They would wait for a timeout, although the store still answers another instance.
        """

        async def body(store: StandInStore, requests: JobRequests) -> None:
            store.trouble.silent.add(NODE)
            begun = trio.current_time()
            for ask in (
                requests.submit(job()),
                requests.state(job().job),
                requests.cancel(job().job),
            ):
                with self.assertRaises(StoreRefusedError):
                    await ask
            self.assertEqual(trio.current_time(), begun)
            self.assertIsNone(store.get(job_key(job().job)))

        _play(body)

    def test_only_known_jobs_are_cancelled(self) -> None:
        async def body(store: StandInStore, requests: JobRequests) -> None:
            self.assertFalse(await requests.cancel(job().job))
            self.assertIsNone(store.get(cancel_key(job().job)))
            self.assertIsNone(await requests.state(job().job))
            known = job("b" * 16)
            await requests.submit(known)
            self.assertTrue(await requests.cancel(known.job))
            self.assertTrue(await requests.cancel(known.job))
            self.assertIsNotNone(store.get(cancel_key(known.job)))

        _play(body)
