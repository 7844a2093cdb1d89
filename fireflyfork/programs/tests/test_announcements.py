"""Tests of announcements by an instance that is suspended or busy during a call to the store."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ..._ids import FailureDomainName, NodeName
from .._announcements import Announcements
from .._clocks import Clock

FREEZE_SECONDS = 6.0
FAR_FACTOR = 10.0


class _SuspendableClock(Clock):
    """A clock that includes the time during which the instance is suspended."""

    def __init__(self) -> None:
        self.suspended_seconds = 0.0

    def now(self) -> float:
        """See Clock."""
        return trio.current_time() + self.suspended_seconds

    def unix_ms(self) -> int:
        """See Clock."""
        return int(self.now() * 1000)


def _play(
    body: Callable[[StandInStore, _SuspendableClock, Announcements], Awaitable[None]],
) -> None:
    async def main() -> None:
        store, clock = StandInStore(Random(1)), _SuspendableClock()
        node, domain = NodeName("n-0"), FailureDomainName("suva")
        announcements = Announcements(node, 1.0, 1000.0, store.client(node), clock, domain)
        await announcements.list_instances()
        await body(store, clock, announcements)

    trio.run(main, clock=MockClock(autojump_threshold=0))


class DistanceTest(unittest.TestCase):
    """Detection of whether the store is in another region."""

    def test_a_suspension_does_not_make_the_store_far(self) -> None:
        """Guards against an instance that considers the store far after a suspension.

        It would then follow an instance that follows it.
        """

        async def body(
            _: StandInStore, clock: _SuspendableClock, announcements: Announcements
        ) -> None:
            before = announcements.own
            async with trio.open_nursery() as nursery:
                nursery.start_soon(announcements.list_instances)
                await trio.lowlevel.checkpoint()
                clock.suspended_seconds += FREEZE_SECONDS
            self.assertEqual(announcements.own, before)

        _play(body)

    def test_a_longer_round_trip_makes_the_store_far(self) -> None:
        async def body(
            store: StandInStore, _: _SuspendableClock, announcements: Announcements
        ) -> None:
            self.assertTrue(announcements.own.near_store)
            store.trouble.slow_factor = FAR_FACTOR
            for _number in range(2):
                await announcements.list_instances()
            self.assertFalse(announcements.own.near_store)
            store.trouble.slow_factor = 1.0
            await announcements.list_instances()
            self.assertTrue(announcements.own.near_store)

        _play(body)
