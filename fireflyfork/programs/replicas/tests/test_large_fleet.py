"""Listings of announcements in a fleet of 300 instances, a third of them behind a shared link.

Load: each listing has 78 KB at this size. If all instances of a region request one at the same time,
a link of 15 Mbit/s is full for four seconds, and no change of the configuration arrives meanwhile.
"""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore
from fireflyfork_standins.scheduling._nodes import VirtualClock

from ...._ids import FailureDomainName, NodeName
from ...._links import Address
from ....decisions.jobs.tests.builders_jobs import SERVICE
from ..._announcements import REVIEW_SECONDS, Announcements
from ...owner._service_lease import ServiceLease
from .._announced_upstreams import AnnouncedUpstreams

INSTANCES = 300
DOMAINS = (FailureDomainName("suva"), FailureDomainName("nadi"), FailureDomainName("labasa"))
REPLICA = Address("10.0.0.1", 1)


class _Fleet:
    """Instances that have announced themselves and have each listed the others once."""

    def __init__(self, size: int) -> None:
        self.store = StandInStore(Random(1))
        self.clock = VirtualClock()
        self.announcements = [
            Announcements(
                NodeName(f"n-{number:03}"),
                1.0,
                1000.0,
                self.store.client(NodeName(f"n-{number:03}")),
                self.clock,
                DOMAINS[number % len(DOMAINS)],
                replica_address=REPLICA,
            )
            for number in range(size)
        ]

    async def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.store.run)
        for each in self.announcements:
            nursery.start_soon(each.run)
        await trio.sleep(1.0)
        for each in self.announcements:
            await each.list_instances()

    async def calls_during(self, body: Callable[[], Awaitable[None]]) -> int:
        """Return the number of store calls that ``body`` causes, beside the announcements."""
        before = self.store.calls
        await body()
        return self.store.calls - before


def _play(size: int, body: Callable[[_Fleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = _Fleet(size)
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await body(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class LargeFleetTest(unittest.TestCase):
    """The traffic of listings grows as the fleet, not as its square."""

    def test_followers_of_a_lost_instance_do_not_all_list_the_fleet(self) -> None:
        """Guards against a full link because all followers of an instance look for another one."""

        async def body(fleet: _Fleet) -> None:
            followers = [AnnouncedUpstreams(each) for each in fleet.announcements[2::3]][3:]

            async def look_again() -> None:
                for follower in followers:
                    first, second = await follower.choose()
                    follower.note_lost(first.node)
                    replacement = await follower.choose()
                    self.assertEqual(replacement[0], second)
                    self.assertNotIn(first, replacement)

            self.assertEqual(await fleet.calls_during(look_again), 0)

        _play(INSTANCES, body)

    def test_bids_for_a_service_do_not_list_the_fleet(self) -> None:
        """Guards against a full link at each change of owner, when all instances bid at once."""

        async def body(fleet: _Fleet) -> None:
            leases = [
                ServiceLease(
                    SERVICE,
                    each.own.node,
                    fleet.store.client(each.own.node),
                    fleet.clock,
                    Random(1),
                    each,
                )
                for each in fleet.announcements
            ]

            async def bid() -> None:
                for lease in leases:
                    await lease._bid_delay()

            self.assertEqual(await fleet.calls_during(bid), 0)

        _play(INSTANCES, body)

    def test_instances_that_started_together_list_the_fleet_at_different_times(self) -> None:
        """Guards against a full link some seconds after all instances were started."""

        async def body(fleet: _Fleet) -> None:
            due = sorted(each.review_seconds for each in fleet.announcements)
            per_second = max(sum(start <= other < start + 1.0 for other in due) for start in due)
            self.assertLess(per_second, 10)
            self.assertLess(due[-1], 8 * REVIEW_SECONDS)

        _play(INSTANCES, body)

    def test_a_small_fleet_uses_new_listings(self) -> None:
        """Guards against bids that a small fleet ranks by instances that are gone."""

        async def body(fleet: _Fleet) -> None:
            self.assertFalse(any(each.has_recent_listing for each in fleet.announcements))

        _play(30, body)
