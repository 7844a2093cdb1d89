"""Answers to callers of an instance while it stops."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from trio.testing import MockClock

from ..._ids import JobId
from ...adapters import HttpClientConnection, ResponseHead, find_header
from .._scheduler_node import CLOSE_MARGIN_SECONDS
from .._scheduling_keys import job_key
from .builders_scheduler_node import JOB, RunningNode, ask, head, running_node

JOB_ID = "00000000000000ff"
IDLE_REAL_SECONDS = 0.01
"""The virtual clock advances after this time without data on the sockets."""
SLOW_FACTOR = 500.0
"""Makes the store's answers take 2 s, which is longer than a stopping instance has left."""
MARGIN_SECONDS = 0.2
"""Seconds before or after the time from which a stopping instance starts no more requests."""


def _play(body: Callable[[RunningNode], Awaitable[None]]) -> None:
    async def main() -> None:
        async with running_node() as node:
            await body(node)

    trio.run(main, clock=MockClock(autojump_threshold=IDLE_REAL_SECONDS))


async def _stop_until(node: RunningNode, seconds: float) -> None:
    """Signal the stop, and wait until ``seconds`` before the instance stops accepting requests."""
    node.stop.set()
    await trio.sleep(node.grace_seconds - CLOSE_MARGIN_SECONDS - seconds)


class StoppingTest(unittest.TestCase):
    """Every request is answered when an instance is stopped as planned."""

    def test_requests_under_way_are_answered_though_the_store_is_late(self) -> None:
        """Guards against connections closed without an answer at the end of the process.

        Requests arrive over open connections shortly before the end, and the store answers late
        because its link is full. Without an answer, callers can't tell whether their jobs were
        accepted.
        """
        for method, status in (("POST", 504), ("DELETE", 504), ("GET", 503)):
            with self.subTest(method):

                async def body(
                    node: RunningNode, method: str = method, status: int = status
                ) -> None:
                    connection = await node.connect()
                    await _stop_until(node, MARGIN_SECONDS)
                    node.store.trouble.slow_factor = SLOW_FACTOR
                    self._assert_refused(await ask(connection, method, JOB_ID), status)
                    await self._assert_ends_in_time(node)

                _play(body)

    def test_requests_in_the_last_moments_are_refused_at_once(self) -> None:
        """Guards against closing the connection of a request that arrives too late.

        It can't be completed before the process ends, so it must be refused.
        """

        async def body(node: RunningNode) -> None:
            connection = await node.connect()
            await _stop_until(node, -MARGIN_SECONDS)
            node.store.trouble.slow_factor = SLOW_FACTOR
            begun = trio.current_time()
            self._assert_refused(await ask(connection, "POST", JOB_ID), 503)
            self.assertLess(trio.current_time() - begun, MARGIN_SECONDS)
            await self._assert_ends_in_time(node)
            self.assertIsNone(node.store.get(job_key(JobId(JOB_ID))))

        _play(body)

    def test_an_incomplete_job_is_refused_before_the_end(self) -> None:
        """Guards against closing a connection before the body of a job has arrived completely.

        The caller has to be told that the job wasn't accepted, which is certain in this case.
        """

        async def body(node: RunningNode) -> None:
            connection = await node.connect()
            await _stop_until(node, MARGIN_SECONDS)
            self._assert_refused(await _send_half(connection), 503)
            await self._assert_ends_in_time(node)
            self.assertIsNone(node.store.get(job_key(JobId(JOB_ID))))

        _play(body)

    def test_requests_are_served_until_the_last_moments(self) -> None:
        """Guards against refusals that begin with the stop signal.

        The load balancer still opens new connections at that time.
        """

        async def body(node: RunningNode) -> None:
            connection = await node.connect()
            await _stop_until(node, MARGIN_SECONDS)
            answer = await ask(connection, "POST", JOB_ID)
            self.assertEqual(answer.status, 200)
            self.assertIsNotNone(node.store.get(job_key(JobId(JOB_ID))))

        _play(body)

    def _assert_refused(self, answer: ResponseHead, status: int) -> None:
        self.assertEqual(answer.status, status)
        self.assertIsNotNone(find_header(answer.headers, b"retry-after"))
        self.assertEqual(find_header(answer.headers, b"connection"), "close")

    async def _assert_ends_in_time(self, node: RunningNode) -> None:
        with trio.move_on_after(CLOSE_MARGIN_SECONDS):
            await node.ended.wait()
        self.assertTrue(node.ended.is_set())


async def _send_half(connection: HttpClientConnection) -> ResponseHead:
    await connection.send_head(head("POST", JOB_ID, len(JOB)))
    await connection.send_body(JOB[: len(JOB) // 2])
    return await connection.receive_head()
