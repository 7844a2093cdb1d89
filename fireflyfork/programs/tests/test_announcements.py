"""An instance's own announcement, when it is suspended or busy during a call to the store."""

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


class _Stalling(Clock):
    """A clock that includes the time during which the instance is suspended."""

    def __init__(self) -> None:
        self.stood_still = 0.0

    def now(self) -> float:
        """See Clock."""
        return trio.current_time() + self.stood_still

    def unix_ms(self) -> int:
        """See Clock."""
        return int(self.now() * 1000)


def _play(body: Callable[[StandInStore, _Stalling, Announcements], Awaitable[None]]) -> None:
    async def main() -> None:
        store, clock = StandInStore(Random(1)), _Stalling()
        node, domain = NodeName("n-0"), FailureDomainName("suva")
        announcements = Announcements(node, 1.0, 1000.0, store.client(node), clock, domain)
        await announcements.others()
        await body(store, clock, announcements)

    trio.run(main, clock=MockClock(autojump_threshold=0))


class DistanceTest(unittest.TestCase):
    """Detection of whether the store is in another region."""

    def test_a_freeze_makes_no_instance_far(self) -> None:
        """Guards against an instance that considers the store far after a suspension.

        It would then follow an instance that follows it.
        """

        async def body(_: StandInStore, clock: _Stalling, announcements: Announcements) -> None:
            before = announcements.own
            async with trio.open_nursery() as nursery:
                nursery.start_soon(announcements.others)
                await trio.lowlevel.checkpoint()
                clock.stood_still += FREEZE_SECONDS
            self.assertEqual(announcements.own, before)

        _play(body)

    def test_a_way_that_has_become_long_does(self) -> None:
        async def body(store: StandInStore, _: _Stalling, announcements: Announcements) -> None:
            self.assertTrue(announcements.own.near_store)
            store.trouble.slow_factor = FAR_FACTOR
            for _number in range(2):
                await announcements.others()
            self.assertFalse(announcements.own.near_store)
            store.trouble.slow_factor = 1.0
            await announcements.others()
            self.assertTrue(announcements.own.near_store)

        _play(body)
