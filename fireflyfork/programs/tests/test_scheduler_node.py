"""What callers of an instance see while it stops."""

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
"""The virtual clock jumps once nothing has come over the sockets for so long."""
SLOW_FACTOR = 500.0
"""The store's answers take 2 s: longer than a stopping instance has left."""
SHORTLY = 0.2
"""Seconds before or after the moment from which on an instance begins nothing more."""


def _play(body: Callable[[RunningNode], Awaitable[None]]) -> None:
    async def main() -> None:
        async with running_node() as node:
            await body(node)

    trio.run(main, clock=MockClock(autojump_threshold=IDLE_REAL_SECONDS))


async def _stop_up_to(node: RunningNode, seconds: float) -> None:
    """Signal the stop, and wait until so long before the last moments."""
    node.stop.set()
    await trio.sleep(node.grace_seconds - CLOSE_MARGIN_SECONDS - seconds)


class StoppingTest(unittest.TestCase):
    """Planned work on an instance costs no caller an answer."""

    def test_requests_under_way_are_answered_though_the_store_is_late(self) -> None:
        """Shortly before a stopping instance ends, requests come over connections that are open, and the
        store answers late: its link is full. The process ended while they waited. Their connections were
        closed without an answer, and callers could not tell whether their jobs had been accepted.
        """
        for method, status in (("POST", 504), ("DELETE", 504), ("GET", 503)):
            with self.subTest(method):

                async def body(
                    node: RunningNode, method: str = method, status: int = status
                ) -> None:
                    connection = await node.connect()
                    await _stop_up_to(node, SHORTLY)
                    node.store.trouble.slow_factor = SLOW_FACTOR
                    self._assert_sent_away(await ask(connection, method, JOB_ID), status)
                    await self._assert_ends_in_time(node)

                _play(body)

    def test_requests_in_the_last_moments_are_refused_at_once(self) -> None:
        """A request that comes over an open connection in the last moments may no longer be carried out
        in time. The connection was closed under its caller.
        """

        async def body(node: RunningNode) -> None:
            connection = await node.connect()
            await _stop_up_to(node, -SHORTLY)
            node.store.trouble.slow_factor = SLOW_FACTOR
            begun = trio.current_time()
            self._assert_sent_away(await ask(connection, "POST", JOB_ID), 503)
            self.assertLess(trio.current_time() - begun, SHORTLY)
            await self._assert_ends_in_time(node)
            self.assertIsNone(node.store.get(job_key(JobId(JOB_ID))))

        _play(body)

    def test_a_job_that_comes_in_parts_is_refused_before_the_end(self) -> None:
        """The last part of a job isn't there when the instance ends. Its caller was cut off, though it
        is certain that the job was not accepted.
        """

        async def body(node: RunningNode) -> None:
            connection = await node.connect()
            await _stop_up_to(node, SHORTLY)
            self._assert_sent_away(await _send_half(connection), 503)
            await self._assert_ends_in_time(node)
            self.assertIsNone(node.store.get(job_key(JobId(JOB_ID))))

        _play(body)

    def test_requests_are_carried_out_until_then(self) -> None:
        """An instance that sent everybody away from the signal on would turn away callers whose new
        connections the load balancer still sends to it.
        """

        async def body(node: RunningNode) -> None:
            connection = await node.connect()
            await _stop_up_to(node, SHORTLY)
            answer = await ask(connection, "POST", JOB_ID)
            self.assertEqual(answer.status, 200)
            self.assertIsNotNone(node.store.get(job_key(JobId(JOB_ID))))

        _play(body)

    def _assert_sent_away(self, answer: ResponseHead, status: int) -> None:
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
