"""The version of the configuration that an instance has in force."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import trio
from loguru import logger
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ...._ids import NodeName
from ....platform import CONFIGURATION_KEY
from .._queue_keeper import QueueKeeper

NODE = NodeName("n-0")


def _configuration(version: int) -> bytes:
    return msgspec.json.encode({"version": version, "routes": [], "services": [{"name": "desk"}]})


def _play(body: Callable[[StandInStore, list[int]], Awaitable[None]]) -> None:
    async def main() -> None:
        store = StandInStore(Random(1))
        versions: list[int] = []
        keeper = QueueKeeper(
            NODE,
            store.client(NODE),
            lambda table: versions.append(table.version),
            4.0,
            trio.current_time,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            nursery.start_soon(keeper.run)
            await body(store, versions)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class QueueKeeperTest(unittest.TestCase):
    """Newer versions come into force in time, and older ones never replace them."""

    def test_a_change_is_in_force_within_a_second(self) -> None:
        async def body(store: StandInStore, versions: list[int]) -> None:
            for version in (3, 8, 9):
                store.put(CONFIGURATION_KEY, _configuration(version))
                await trio.sleep(1.0)
                self.assertEqual(versions[-1], version)

        _play(body)

    def test_the_log_shows_the_duration_and_size_of_the_answer(self) -> None:
        """Guards against a late configuration whose cause the log doesn't show.

        The line must show whether the request or the answer was late.
        """
        lines: list[dict[str, object]] = []
        sink = logger.add(lambda line: lines.append(dict(line.record["extra"])))
        self.addCleanup(logger.remove, sink)

        async def body(store: StandInStore, versions: list[int]) -> None:
            store.put(CONFIGURATION_KEY, _configuration(3))
            await trio.sleep(0.5)
            before = store.calls
            while store.calls == before:
                await trio.sleep(0.01)
            await trio.sleep(0.7)
            store.put(CONFIGURATION_KEY, _configuration(8))
            await trio.sleep(0.5)

        _play(body)
        (last,) = (line for line in lines if line.get("version") == 8)
        seconds = last["seconds"]
        assert isinstance(seconds, float)
        self.assertEqual(last["bytes"], len(_configuration(8)))
        self.assertAlmostEqual(seconds, 0.7, delta=0.05)

    def test_an_older_version_is_ignored(self) -> None:
        """Guards against an older version replacing a newer one.

        Answers may arrive out of order, or an operator's tool may write an old file. Callers would
        then be sent to executors that were taken out of service.
        """

        async def body(store: StandInStore, versions: list[int]) -> None:
            for version in (7, 6, 7, 8, 2):
                store.put(CONFIGURATION_KEY, _configuration(version))
                await trio.sleep(0.5)
            self.assertEqual(versions, [7, 8])

        _play(body)

    def test_an_unreadable_version_is_ignored(self) -> None:
        async def body(store: StandInStore, versions: list[int]) -> None:
            store.put(CONFIGURATION_KEY, _configuration(7))
            await trio.sleep(0.5)
            store.put(CONFIGURATION_KEY, b"{")
            await trio.sleep(0.5)
            store.put(CONFIGURATION_KEY, _configuration(8))
            await trio.sleep(0.5)
            self.assertEqual(versions, [7, 8])

        _play(body)

    def test_requests_are_rare_without_changes(self) -> None:
        """Guards against frequent requests while nothing changes.

        The store's operators pay for each call, and every instance of the fleet makes these calls.
        """

        async def body(store: StandInStore, versions: list[int]) -> None:
            store.put(CONFIGURATION_KEY, _configuration(7))
            await trio.sleep(5.0)
            before = store.calls
            await trio.sleep(30.0)
            self.assertLessEqual(store.calls - before, 20)

        _play(body)

    def test_a_version_is_not_missed_after_an_outage_with_lost_history(self) -> None:
        """Guards against a version that is missed because of an outage and lost history.

        The store is unavailable when the operator writes, and has then dropped its history. An
        instance that only waited for the next change would have an old version until that change.
        """

        async def body(store: StandInStore, versions: list[int]) -> None:
            store.put(CONFIGURATION_KEY, _configuration(7))
            await trio.sleep(0.5)
            store.trouble.silent.add(NODE)
            await trio.sleep(3.0)
            store.put(CONFIGURATION_KEY, _configuration(8))
            store.put("other", b"")
            store.drop_history()
            store.trouble.silent.clear()
            await trio.sleep(2.5)
            self.assertEqual(versions, [7, 8])

        _play(body)
