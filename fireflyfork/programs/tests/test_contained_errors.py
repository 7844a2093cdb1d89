"""An instance of which one service, or one request, meets an error that nobody foresaw."""

import unittest
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import trio
from trio.testing import MockClock

from ...adapters import HttpError
from ...decisions.jobs import Scheduler
from .._ctl_status import scheduler_lines, scheduler_report
from ..callers._job_service import JobService
from ..owner._service_candidate import MAX_PAUSE_SECONDS
from .builders_scheduler_node import RunningNode, ask, running_node

JOB_ID = "00000000000000ff"
IDLE_REAL_SECONDS = 0.01
"""The virtual clock advances after this time without data on the sockets."""
PLAY_SECONDS = 30.0


def _play(body: Callable[[RunningNode], Awaitable[None]]) -> None:
    async def main() -> None:
        async with running_node() as node:
            await body(node)

    trio.run(main, clock=MockClock(autojump_threshold=IDLE_REAL_SECONDS))


class ContainedErrorTest(unittest.TestCase):
    """An error reaches one service or one connection, and never the process."""

    def test_a_service_whose_decisions_fail_is_given_up_and_taken_again(self) -> None:
        """Guards against one job or entry that ends each owner's process in turn."""

        async def body(node: RunningNode) -> None:
            with patch.object(Scheduler, "check_time", side_effect=KeyError("")):
                await trio.sleep(PLAY_SECONDS)
                connection = await node.connect()
                self.assertEqual((await ask(connection, "POST", JOB_ID)).status, 200)
                self.assertEqual((await ask(connection, "GET", JOB_ID)).status, 200)
            self.assertFalse(node.ended.is_set())
            errors = node.internal_errors
            self.assertGreater(errors, 2)
            self.assertLess(errors, 4 + PLAY_SECONDS / MAX_PAUSE_SECONDS)
            await trio.sleep(2 * MAX_PAUSE_SECONDS)
            self.assertTrue(node.is_active_owner)
            self.assertEqual(node.internal_errors, errors)

        _play(body)

    def test_a_new_configuration_reaches_callers_though_the_owner_fails_at_it(self) -> None:
        """Guards against an owner's error that ends the task that follows the operator's keys."""

        async def body(node: RunningNode) -> None:
            with patch.object(Scheduler, "configure", side_effect=KeyError("")):
                node.configure(5, "others")
                await trio.sleep(PLAY_SECONDS)
                connection = await node.connect()
                self.assertEqual((await ask(connection, "POST", JOB_ID, "others")).status, 200)
            self.assertGreater(node.internal_errors, 0)
            await trio.sleep(2 * MAX_PAUSE_SECONDS)
            self.assertTrue(node.is_active_owner)

        _play(body)

    def test_operators_see_the_errors_of_a_scheduler(self) -> None:
        """Guards against errors that are contained and then overlooked."""

        async def body(node: RunningNode) -> None:
            address = node.metrics_address
            none = scheduler_lines((await scheduler_report(address),))
            self.assertEqual(none[1].split(), [str(address), "none"])
            with patch.object(Scheduler, "check_time", side_effect=KeyError("")):
                await trio.sleep(1.0)
            _, line = scheduler_lines((await scheduler_report(address),))
            self.assertEqual(line.split(), [str(address), "owner", "1"])

        _play(body)

    def test_an_error_in_one_request_resets_its_connection_only(self) -> None:
        """Guards against a handler's error that ends all connections and the process."""

        async def body(node: RunningNode) -> None:
            other = await node.connect()
            with (
                patch.object(JobService, "handle", side_effect=KeyError("")),
                self.assertRaises(HttpError),
            ):
                await ask(await node.connect(), "GET", JOB_ID)
            self.assertEqual((await ask(other, "POST", JOB_ID)).status, 200)
            self.assertEqual(node.internal_errors, 1)

        _play(body)
