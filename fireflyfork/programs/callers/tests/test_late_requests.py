"""Requests that are carried out at any time after the caller got another answer."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ...._errors import JobGoneError, StoreError
from ...._ids import JobId, NodeName
from ....adapters import find_header
from ....decisions.jobs import JobState
from ....decisions.jobs.tests.builders_jobs import job
from ..._scheduling_keys import cancel_key, job_key, tombstone_key
from ..._tombstones import LEASE_REUSE_SECONDS, TOMBSTONE_SECONDS
from ...owner.tests.builders_journal import FaultyStore, WriteBehavior
from ...tests.builders_scheduler_node import ask, running_node
from .._job_requests import JobRequests

NAME = job().job
LATE_SECONDS = 3.25
BEHAVIORS = [each for each in WriteBehavior if each is not WriteBehavior.CANCELLED]


def _play(body: Callable[[StandInStore, JobRequests, JobRequests], Awaitable[None]]) -> None:
    """Run ``body`` with the requests of two instances."""

    async def main() -> None:
        store = StandInStore(Random(1))
        first, second = (
            JobRequests(store.client(NodeName(name)), lambda: None) for name in ("n-0", "n-1")
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            await body(store, first, second)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class CancelledBeforeAcceptedTest(unittest.TestCase):
    """A cancellation that was answered with "no such job" holds."""

    def test_a_request_that_is_read_after_its_cancellation_is_refused(self) -> None:
        """Guards against a job that runs after a frozen instance wakes and reads its request."""

        async def body(store: StandInStore, first: JobRequests, second: JobRequests) -> None:
            self.assertFalse(await first.cancel(NAME))
            await trio.sleep(LATE_SECONDS)
            with self.assertRaises(JobGoneError) as raised:
                await second.submit(job())
            self.assertEqual((raised.exception.status, raised.exception.retry_after), (410, None))
            self.assertIsNone(store.get(job_key(NAME)))
            self.assertIsNone(await first.state(NAME))

        _play(body)

    def test_a_write_that_the_store_carries_out_late_fails(self) -> None:
        """Guards against a job that is stored after its cancellation was answered."""

        async def body(store: StandInStore, first: JobRequests, second: JobRequests) -> None:
            store.trouble.lost_share = store.trouble.late_share = 1.0
            with self.assertRaises(StoreError):
                await second.submit(job())
            store.trouble.lost_share = 0.0
            self.assertFalse(await first.cancel(NAME))
            await trio.sleep(10.0)
            self.assertIsNone(store.get(job_key(NAME)))

        _play(body)

    def test_a_cancellation_that_meets_the_job_cancels_it(self) -> None:
        """Guards against "no such job" for a job that is stored meanwhile."""

        async def body(store: StandInStore, first: JobRequests, second: JobRequests) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(second.submit, job())
                await trio.sleep(0.003)
                cancelled = await first.cancel(NAME)
            self.assertTrue(cancelled)
            self.assertIsNotNone(store.get(cancel_key(NAME)))

        _play(body)

    def test_other_jobs_and_repeats_are_accepted(self) -> None:
        """Guards against a tombstone that bars more than its job."""

        async def body(store: StandInStore, first: JobRequests, second: JobRequests) -> None:
            await first.cancel(JobId("f" * 16))
            await first.submit(job())
            await second.submit(job())
            self.assertIs(await first.state(NAME), JobState.QUEUED)

        _play(body)

    def test_a_tombstone_is_removed_with_its_lease(self) -> None:
        """Guards against callers that fill the store with cancellations of unknown jobs."""

        async def body(store: StandInStore, first: JobRequests, _: JobRequests) -> None:
            for number in range(3):
                await first.cancel(JobId(f"{number:016x}"))
                await trio.sleep(LEASE_REUSE_SECONDS / 2)
            await trio.sleep(TOMBSTONE_SECONDS - 2 * LEASE_REUSE_SECONDS)
            self.assertEqual(len(store.items_under("fireflyfork/")), 3)
            await trio.sleep(2 * LEASE_REUSE_SECONDS)
            self.assertEqual(store.items_under("fireflyfork/"), ())

        _play(body)

    def test_a_lost_lease_is_replaced(self) -> None:
        """Guards against an instance that can't cancel after the store has lost its lease."""

        async def body(store: StandInStore, first: JobRequests, _: JobRequests) -> None:
            await first.cancel(JobId("f" * 16))
            item = store.get(tombstone_key(JobId("f" * 16)))
            assert item is not None
            store._leases.clear()
            self.assertFalse(await first.cancel(NAME))
            self.assertIsNotNone(store.get(tombstone_key(NAME)))

        _play(body)


class CallersAnswerTest(unittest.TestCase):
    """What a caller is told whose request loses against its own cancellation."""

    def test_the_job_is_gone_and_no_repeat_is_asked_for(self) -> None:
        """Guards against a caller that is told neither "accepted" nor "cancelled", or to return."""

        async def main() -> None:
            async with running_node() as node:
                connection = await node.connect()
                self.assertEqual((await ask(connection, "DELETE", NAME)).status, 410)
                answer = await ask(connection, "POST", NAME)
                self.assertEqual(answer.status, 410)
                self.assertIsNone(find_header(answer.headers, b"retry-after"))

        trio.run(main, clock=MockClock(autojump_threshold=0.01))


class LateRequestsMachine(RuleBasedStateMachine):
    """Submissions and cancellations at two instances, each write of which may have any fate."""

    def __init__(self) -> None:
        """Begin with an empty store."""
        super().__init__()
        self.store = FaultyStore()
        self.instances = [JobRequests(self.store, lambda: None) for _ in range(2)]
        self.cancelled = False
        self.accepted = False

    @rule(number=st.integers(0, 1), behavior=st.sampled_from(BEHAVIORS))
    def submit(self, number: int, behavior: WriteBehavior) -> None:
        """Submit the job, maybe once more."""
        self.store.behavior = behavior
        try:
            self._call(self.instances[number].submit, job())
        except (StoreError, JobGoneError):
            return
        assert not (self.cancelled and not self._is_stored()), "accepted after its cancellation"
        self.accepted = True

    @rule(number=st.integers(0, 1), behavior=st.sampled_from(BEHAVIORS))
    def cancel(self, number: int, behavior: WriteBehavior) -> None:
        """Cancel the job, also before it is submitted."""
        self.store.behavior = behavior
        try:
            is_known = self._call(self.instances[number].cancel, NAME)
        except StoreError:
            return
        assert is_known or not self.accepted
        self.cancelled = True

    @rule()
    def execute_delayed(self) -> None:
        """Carry out the oldest write that had no answer, if its condition holds."""
        self.store.execute_delayed()

    @invariant()
    def no_cancelled_job_can_start(self) -> None:
        """Once a cancellation was answered, owners see no job, or see that it is cancelled."""
        if self.cancelled and self._is_stored():
            assert self.store.backing.get(cancel_key(NAME)) is not None

    def _is_stored(self) -> bool:
        return self.store.backing.get(job_key(NAME)) is not None

    @staticmethod
    def _call(ask: Callable[..., Awaitable[object]], *arguments: object) -> object:
        return trio.run(ask, *arguments, clock=MockClock(autojump_threshold=0))


LateRequestsTest = LateRequestsMachine.TestCase
"""Guards against an answer that a request on its way makes false at any later time."""
LateRequestsTest.settings = settings(max_examples=150, stateful_step_count=12, deadline=None)
