"""Answers to callers about queues while the configuration changes."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ...._ids import NodeName
from ....platform import CONFIGURATION_KEY
from .builders_callers import BOUND_SECONDS, CallerInstance, request_statuses, stored_configuration

THIN_MBPS = 0.05
LARGE_BYTES = 50_000
"""Takes eight seconds over the thin link."""


def _play(
    body: Callable[[StandInStore, CallerInstance], Awaitable[None]], link_mbps: float = 1000.0
) -> None:
    async def main() -> None:
        store = StandInStore(Random(1))
        instance = CallerInstance(store, link_mbps)
        store.put(CONFIGURATION_KEY, stored_configuration(3, "holds"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            nursery.start_soon(instance.run)
            await trio.sleep(3.3)
            await body(store, instance)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class UnknownQueuesTest(unittest.TestCase):
    """Callers get 404 for a queue only if it doesn't exist."""

    def test_no_404_while_a_newer_configuration_is_pending(self) -> None:
        """Guards against 404 for a queue that a newer configuration has added.

        A large configuration takes longer to arrive over a thin link than the time within which it
        has to be in force. A caller that gets 404 in that time doesn't try another instance.
        """

        async def body(store: StandInStore, instance: CallerInstance) -> None:
            large = stored_configuration(4, "holds", "letters", padding=LARGE_BYTES)
            store.put(CONFIGURATION_KEY, large)
            await trio.sleep(BOUND_SECONDS)
            statuses = await request_statuses(instance, "letters", 8.0)
            self.assertEqual(set(statuses), {503, 200})
            self.assertEqual(sorted(statuses, reverse=True), statuses)

        _play(body, THIN_MBPS)

    def test_no_404_while_the_store_does_not_answer(self) -> None:
        """Guards against 404 from an instance that is cut off from the store.

        Such an instance can't receive new versions.
        """

        async def body(store: StandInStore, instance: CallerInstance) -> None:
            store.trouble.silent.add(NodeName("n-0"))
            store.put(CONFIGURATION_KEY, stored_configuration(4, "holds", "letters"))
            await trio.sleep(BOUND_SECONDS)
            self.assertEqual(set(await request_statuses(instance, "letters", 5.0)), {503})
            store.trouble.silent.clear()
            await trio.sleep(2.5)
            self.assertEqual(set(await request_statuses(instance, "letters", 1.0)), {200})

        _play(body)

    def test_404_for_an_unknown_queue_in_normal_operation(self) -> None:
        """Guards against 503 for a queue that never existed, after which callers retry without use.

        The configuration changes now and then, without ever adding the queue.
        """

        async def body(store: StandInStore, instance: CallerInstance) -> None:
            for version in range(4, 20):
                store.put(CONFIGURATION_KEY, stored_configuration(version, "holds"))
                self.assertEqual(
                    set(await request_statuses(instance, "never", 0.7 * (1 + version % 7))), {404}
                )

        _play(body)
