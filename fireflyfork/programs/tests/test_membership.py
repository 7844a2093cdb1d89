"""Tests of several memberships with one in-memory store and a mock clock."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from ..._links import Address
from ...decisions import Acquisition, MemberPhase
from .._membership import Membership, boot_time
from .builders_membership import Fleet

_PLACES = (("a", "viti/suva", 1), ("b", "viti/nadi", 2), ("c", "viti/suva", 3))


_SETTLED_SECONDS = 25
"""Time for joins, moves and the change to better guards to complete."""


def _with_fleet(scenario: Callable[[Fleet, list[Membership]], Awaitable[None]]) -> None:
    """Run a scenario with three members after ``_SETTLED_SECONDS``."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            members = [fleet.start(*place) for place in _PLACES]
            await trio.sleep(_SETTLED_SECONDS)
            await scenario(fleet, members)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class MembershipTest(unittest.TestCase):
    """Joins, store outages, takeovers and planned stops."""

    def test_members_share_evenly_and_agree(self) -> None:
        """After the start each partition has exactly one owner that may dispatch."""

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            self.assertEqual(
                sorted(len(member.owned_partitions) for member in members), [10, 11, 11]
            )
            self.assertEqual({member.revision for member in members}, {members[0].revision})
            for partition in members[0].record.owners:
                self.assertEqual(sum(member.may_dispatch(partition) for member in members), 1)

        _with_fleet(scenario)

    def test_idle_fleet_leaves_the_store_alone(self) -> None:
        """Guards against regular store calls, whose number would grow with the fleet."""

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            fleet.store.calls.clear()
            await trio.sleep(900)
            self.assertEqual(set(fleet.store.calls), {"watch"})
            self.assertLessEqual(fleet.store.calls["watch"], 2 * 4)

        _with_fleet(scenario)

    def test_store_outage_stops_no_member(self) -> None:
        """Guards against members that stop serving while the store is down, here for 10 minutes."""

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            fleet.store.down = True
            fleet.store.calls.clear()
            for _ in range(600):
                await trio.sleep(1)
                self.assertTrue(all(member.holds_right for member in members))
            self.assertLess(fleet.store.calls.total(), 2 * 600 / 5 + 2)

        _with_fleet(scenario)

    def test_dead_member_is_replaced(self) -> None:
        """Guards against targets without an owner after the owner's instance was lost."""

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            lost = members[1].owned_partitions
            fleet.kill("b", 2)
            await trio.sleep(6)
            living = [members[0], members[2]]
            for partition in lost:
                self.assertEqual(sum(member.may_dispatch(partition) for member in living), 1)
            taken = members[0].record.owners[lost[0]]
            self.assertIs(taken.acquired, Acquisition.TAKEN_OVER)

        _with_fleet(scenario)

    def test_isolated_member_stops_and_rejoins(self) -> None:
        """Guards against targets with two owners, one of which is cut off from peers and store."""

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            cut = members[1]
            fleet.network.cut.add(Address("127.0.0.1", 2))
            fleet.store.down = True
            await trio.sleep(2.5)
            self.assertFalse(cut.holds_right)
            fleet.store.down = False
            await trio.sleep(0.5)
            fleet.network.cut.clear()
            await trio.sleep(15)
            self.assertTrue(all(member.holds_right for member in members))
            self.assertEqual(sum(len(member.owned_partitions) for member in members), 32)

        _with_fleet(scenario)

    def test_fenced_member_rejoins(self) -> None:
        """Guards against a fenced member that never rejoins.

        A process that was frozen for longer than its right lasts is fenced while it is frozen.
        """

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            members[0].report_terminated(members[1].member_id)
            await trio.sleep(15)
            self.assertEqual(members[1].member_id, "b-2")
            self.assertIs(members[1].phase, MemberPhase.ACTIVE)
            self.assertIn(len(members[1].owned_partitions), (10, 11))
            self.assertEqual(sum(len(member.owned_partitions) for member in members), 32)
            phases = [view.phase for view in fleet.views["b"]]
            self.assertIn(MemberPhase.FENCED, phases)

        _with_fleet(scenario)

    def test_unreachable_member_does_not_rejoin_repeatedly(self) -> None:
        """Guards against targets that change owners every few seconds.

        A member that reaches the store but not its peers would rejoin and be fenced repeatedly.
        """

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            fleet.network.cut.add(Address("127.0.0.1", 2))
            await trio.sleep(300)
            joins = int(members[1].member_id.removeprefix("b-"))
            self.assertLessEqual(joins, 10)
            fleet.network.cut.clear()
            await trio.sleep(80)
            self.assertTrue(all(member.holds_right for member in members))

        _with_fleet(scenario)

    def test_planned_stop_hands_over_occupied_slots(self) -> None:
        """Guards against overloaded executors after a planned stop.

        Requests in flight at the old owner hold slots that the new owner must count as busy.
        """

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            given = members[0].owned_partitions
            self.assertTrue(await members[0].leave(5))
            self.assertFalse(any(members[0].may_dispatch(partition) for partition in given))
            await trio.sleep(1)
            owners = members[1].record.owners
            self.assertTrue(all(owners[partition].occupied for partition in given))
            for partition in given:
                self.assertEqual(sum(member.may_dispatch(partition) for member in members[1:]), 1)

        _with_fleet(scenario)

    def test_planned_stop_during_an_outage(self) -> None:
        """Guards against a gap in service: the hand-over can't be written, so the entry serves on."""

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            fleet.store.down = True
            self.assertFalse(await members[0].leave(20))
            self.assertTrue(members[0].may_dispatch(members[0].owned_partitions[0]))

        _with_fleet(scenario)

    def test_lost_answers_change_nothing(self) -> None:
        """Guards against wrong conclusions from a write that took effect although its answer was lost.

        The answers to four writes are lost while a fourth entry joins.
        """

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            fleet.store.answers_to_lose = 4
            members.append(fleet.start("d", "viti/nadi", 4))
            await trio.sleep(20)
            self.assertEqual(fleet.store.answers_to_lose, 0)
            self.assertEqual(sorted(len(member.owned_partitions) for member in members), [8] * 4)
            for partition in members[0].record.owners:
                self.assertEqual(sum(member.may_dispatch(partition) for member in members), 1)

        _with_fleet(scenario)

    def test_changes_can_be_followed(self) -> None:
        """Guards against a request path that forwards to a former owner."""

        async def scenario(fleet: Fleet, members: list[Membership]) -> None:
            async for view in members[0].changes():
                if view.record.owned_by(members[1].member_id) == ():
                    break
                if view.revision == members[0].revision and "b" in fleet.scopes:
                    fleet.kill("b", 2)
                    del fleet.scopes["b"]

        _with_fleet(scenario)

    def test_clock_continues_during_suspension(self) -> None:
        """The default clock, which includes the time of suspension, is available."""
        self.assertGreater(boot_time(), 0)
