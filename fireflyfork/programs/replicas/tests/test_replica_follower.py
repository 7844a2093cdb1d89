"""Distribution of a configuration from instance to instance.

A head follows the store, and the instances of its failure domain follow the head, while the head,
the store or the link between them fails.
"""

import unittest

import trio

from ...._ids import NodeName, Revision
from ....adapters import ReplicaQuery, StoreChange, StoredItem
from ....platform import OPERATOR_PREFIX
from .._key_replica import (
    MAX_WAIT_SECONDS,
    MIN_WAIT_SECONDS,
    KeyReplica,
    KeyReplicaSource,
)
from .._replica_follower import UPSTREAM_REVIEW_SECONDS
from .builders_replicas import BOUND_SECONDS, FixedUpstreams, Fleet, Follower, node, play

SETTLED_SECONDS = 6.0
SOON_SECONDS = 0.3
MEMBERS = 8
EVENT_TIME_COUNT = 8
"""Number of different times, within the wait of the pending requests, at which an event occurs."""


async def _domain(fleet: Fleet) -> tuple[Follower, list[Follower]]:
    """Start a head and instances that follow it, with version 3 in force."""
    fleet.configure(3)
    head = fleet.start(0, FixedUpstreams())
    members = [fleet.start(number, FixedUpstreams(0)) for number in range(1, 1 + MEMBERS)]
    await trio.sleep(SETTLED_SECONDS)
    return head, members


async def _domain_of_two_heads(fleet: Fleet) -> tuple[list[Follower], list[Follower]]:
    """Start two heads and instances that follow either, with version 3 in force.

    The second head follows the first.
    """
    fleet.configure(3)
    heads = [fleet.start(0, FixedUpstreams()), fleet.start(1, FixedUpstreams(0))]
    members = [fleet.start(number, FixedUpstreams(0, 1)) for number in range(2, 2 + MEMBERS)]
    await trio.sleep(SETTLED_SECONDS)
    return heads, members


class ReplicaFollowerTest(unittest.TestCase):
    """Changes are in force everywhere in time, whichever upstream reports them."""

    def _assert_versions(self, members: list[Follower], version: int) -> None:
        self.assertEqual([member.versions[-1] for member in members], [version] * len(members))

    def test_a_change_reaches_followers_at_once(self) -> None:
        async def body(fleet: Fleet) -> None:
            _, members = await _domain(fleet)
            fleet.configure(8)
            await trio.sleep(SOON_SECONDS)
            self._assert_versions(members, 8)

        play(body)

    def test_followers_of_an_instance_do_not_call_the_store(self) -> None:
        """Guards against a full link because each instance reads the whole configuration."""

        async def body(fleet: Fleet) -> None:
            head, members = await _domain(fleet)
            fleet.store.trouble.refused |= {member.node for member in members}
            fleet.configure(8)
            await trio.sleep(30.0)
            self._assert_versions([head, *members], 8)
            self.assertTrue(all(member.keeper.is_current for member in members))

        play(body)

    def test_a_change_is_in_force_in_time_when_the_head_fails(self) -> None:
        """Guards against a missed change when the head is killed, frozen or cut off from the store.

        The head fails just before or just after the change.
        """
        for failure in ("killed", "frozen", "turned away"):
            for lead in (-0.01, 0.01, 0.4):
                with self.subTest(failure, lead=lead):
                    self._lose_head(failure, lead)

    def _lose_head(self, failure: str, lead: float) -> None:
        async def body(fleet: Fleet) -> None:
            head, members = await _domain(fleet)
            if lead < 0:
                fleet.configure(8)
                await trio.sleep(-lead)
            if failure == "killed":
                fleet.kill(head)
            elif failure == "frozen":
                fleet.network.frozen.add(head.node)
            else:
                fleet.store.trouble.silent.add(head.node)
            if lead >= 0:
                await trio.sleep(lead)
                fleet.configure(8)
            await trio.sleep(BOUND_SECONDS + lead if lead < 0 else BOUND_SECONDS)
            self._assert_versions(members, 8)

        play(body)

    def test_an_outdated_upstream_reverts_nothing(self) -> None:
        """Guards against an outdated head that restores an old version with removed routes."""

        async def body(fleet: Fleet) -> None:
            head, members = await _domain(fleet)
            fleet.store.trouble.silent.add(head.node)
            fleet.configure(8)
            await trio.sleep(30.0)
            self._assert_versions(members, 8)
            self.assertTrue(all(member.versions == [3, 8] for member in members))

        play(body)

    def test_an_isolated_instance_is_not_current(self) -> None:
        """Guards against claiming to be current without reaching the head or the store."""

        async def body(fleet: Fleet) -> None:
            head, members = await _domain(fleet)
            self.assertTrue(all(member.keeper.is_current for member in members))
            fleet.store.trouble.down = True
            await trio.sleep(BOUND_SECONDS)
            self.assertFalse(any(member.keeper.is_current for member in [head, *members]))

        play(body)

    def test_a_delayed_answer_does_not_make_an_instance_current(self) -> None:
        """Guards against a delayed answer being taken as proof that no newer version is in force."""

        async def late(sender: NodeName, _receiver: NodeName, _size: int) -> None:
            if sender == "n-0":
                await trio.sleep(2 * BOUND_SECONDS)

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            fleet.start(0, FixedUpstreams())
            await trio.sleep(1.0)
            fleet.network.carry = late
            member = fleet.start(1, FixedUpstreams(0))
            fleet.store.trouble.silent.add(member.node)
            await trio.sleep(2 * BOUND_SECONDS + 1.0)
            self.assertEqual(member.versions, [3])
            self.assertFalse(member.keeper.is_current)

        play(body)

    def test_instances_that_start_together_wait_for_their_head(self) -> None:
        """Guards against a full link when all instances restart at once and read from the store."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            members = [fleet.start(number, FixedUpstreams(0)) for number in range(1, 1 + MEMBERS)]
            fleet.store.trouble.refused |= {member.node for member in members}
            await trio.sleep(0.6)
            fleet.start(0, FixedUpstreams())
            await trio.sleep(SOON_SECONDS)
            self._assert_versions(members, 3)

        play(body)

    def test_instances_far_from_the_store_wait_until_others_are_announced(self) -> None:
        """Guards against a full link after a power failure, when no instance is announced."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            upstreams = [FixedUpstreams() for _ in range(MEMBERS)]
            for each in upstreams:
                each.far_from_store = True
            members = [fleet.start(1 + number, each) for number, each in enumerate(upstreams)]
            fleet.store.trouble.refused |= {each.node for each in members}
            await trio.sleep(0.6)
            fleet.start(0, FixedUpstreams())
            for each in upstreams:
                each.numbers = (0,)
            await trio.sleep(2 * SOON_SECONDS)
            self._assert_versions(members, 3)

        play(body)

    def test_an_instance_far_from_the_store_starts_alone(self) -> None:
        """Guards against an instance that waits for other instances forever."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            upstreams = FixedUpstreams()
            upstreams.far_from_store = True
            instance = fleet.start(1, upstreams)
            await trio.sleep(BOUND_SECONDS)
            self.assertEqual(instance.versions, [3])

        play(body)

    def test_instances_start_without_a_failed_head(self) -> None:
        """Guards against waiting for a head that has failed but is still announced."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            members = [fleet.start(number, FixedUpstreams(0)) for number in range(1, 1 + MEMBERS)]
            await trio.sleep(BOUND_SECONDS)
            self._assert_versions(members, 3)

        play(body)

    def test_a_chain_of_heads_is_as_quick(self) -> None:
        """Guards against delays when the head of a far failure domain follows one near the store."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            fleet.start(0, FixedUpstreams())
            fleet.start(1, FixedUpstreams(0))
            last = fleet.start(2, FixedUpstreams(1))
            await trio.sleep(SETTLED_SECONDS)
            fleet.configure(8)
            await trio.sleep(SOON_SECONDS)
            self.assertEqual(last.versions, [3, 8])
            for _ in range(30):
                await trio.sleep(0.17)
                self.assertTrue(last.keeper.is_current)

        play(body)

    def test_instances_that_follow_each_other_switch_to_the_store(self) -> None:
        """Guards against instances that follow each other and each consider the other one current.

        This happens when they have seen different announcements.
        """

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            pair = [fleet.start(0, FixedUpstreams(1)), fleet.start(1, FixedUpstreams(0))]
            await trio.sleep(SETTLED_SECONDS)
            for version in range(8, 20):
                fleet.configure(version)
                await trio.sleep(BOUND_SECONDS)
                self._assert_versions(pair, version)

        play(body)

    def test_removals_reach_followers(self) -> None:
        """Guards against an owner that continues a withdrawn wave of upkeep."""

        async def body(fleet: Fleet) -> None:
            _, members = await _domain(fleet)
            key = f"{OPERATOR_PREFIX}wave/1"
            wave = b'{"wave": 1, "machines": ["m-1"], "finish_by_s": 60, "maximum": 1}'
            fleet.store.put(key, wave)
            await trio.sleep(SOON_SECONDS)
            self.assertTrue(all(len(member.keeper.waves) == 1 for member in members))
            fleet.store.remove(key)
            await trio.sleep(SOON_SECONDS)
            self.assertFalse(any(member.keeper.waves for member in members))

        play(body)

    def test_a_better_instance_is_followed_once_available(self) -> None:
        """Guards against staying with a far upstream after a better one has appeared.

        When all instances start together, the first one sees none of its own failure domain.
        """

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            fleet.start(0, FixedUpstreams())
            fleet.start(1, FixedUpstreams())
            upstreams = FixedUpstreams(0)
            member = fleet.start(2, upstreams)
            await trio.sleep(SETTLED_SECONDS)
            upstreams.numbers = (1,)
            await trio.sleep(2 * UPSTREAM_REVIEW_SECONDS)
            fleet.network.frozen.add(node(0))
            fleet.configure(8)
            await trio.sleep(SOON_SECONDS)
            self.assertEqual(member.versions, [3, 8])

        play(body)

    def test_a_change_is_in_force_in_time_when_both_upstreams_fail(self) -> None:
        """Guards against waits for two failed upstreams that together exceed the time bound."""
        for failure in ("killed", "frozen", "turned away"):
            for number in range(EVENT_TIME_COUNT):
                with self.subTest(failure, number=number):
                    self._lose_both_upstreams(failure, number * MAX_WAIT_SECONDS / EVENT_TIME_COUNT)

    def _lose_both_upstreams(self, failure: str, phase: float) -> None:
        async def body(fleet: Fleet) -> None:
            heads, members = await _domain_of_two_heads(fleet)
            await trio.sleep(phase)
            for head in heads:
                if failure == "killed":
                    fleet.kill(head)
                elif failure == "frozen":
                    fleet.network.frozen.add(head.node)
                else:
                    fleet.store.trouble.silent.add(head.node)
            fleet.configure(8)
            await trio.sleep(BOUND_SECONDS)
            self._assert_versions(members, 8)

        play(body)

    def test_changes_are_in_force_in_time_for_as_long_as_both_upstreams_are_cut_off(self) -> None:
        """Guards against repeated returns to upstreams that the store doesn't answer."""

        async def body(fleet: Fleet) -> None:
            heads, members = await _domain_of_two_heads(fleet)
            fleet.store.trouble.silent |= {head.node for head in heads}
            for version in range(8, 28):
                fleet.configure(version)
                await trio.sleep(BOUND_SECONDS)
                self._assert_versions(members, version)

        play(body)

    def test_changes_are_received_while_a_better_upstream_is_searched(self) -> None:
        """Guards against missed changes while the store takes long to list the instances."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            fleet.start(0, FixedUpstreams())
            upstreams = FixedUpstreams(0)
            members = [fleet.start(1, upstreams)]
            await trio.sleep(SETTLED_SECONDS)
            upstreams.seconds = 2 * BOUND_SECONDS
            for version in range(8, 38):
                fleet.configure(version)
                await trio.sleep(1.0)
                self._assert_versions(members, version)

        play(body)

    def test_known_upstreams_are_used_while_the_store_lists_none(self) -> None:
        """Guards against a follower that is cut off from the store and ignores known upstreams."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            head = fleet.start(0, FixedUpstreams())
            upstreams = FixedUpstreams(0)
            member = fleet.start(1, upstreams)
            await trio.sleep(SETTLED_SECONDS)
            fleet.network.frozen.add(head.node)
            await trio.sleep(BOUND_SECONDS)
            fleet.network.frozen.clear()
            fleet.store.trouble.silent.add(member.node)
            upstreams.seconds = 2 * BOUND_SECONDS
            await trio.sleep(2 * SETTLED_SECONDS)
            fleet.configure(8)
            await trio.sleep(BOUND_SECONDS)
            self._assert_versions([member], 8)

        play(body)


class ReplicaAnswersTest(unittest.TestCase):
    """Content and timing of a replica's answers."""

    def test_a_change_that_took_longer_is_reported_at_once(self) -> None:
        """Guards against late reports of a change that took longer than the preceding answer."""
        replica = KeyReplica(lambda _: None)
        replica.note_known(Revision(7), 10.0)
        answers = KeyReplicaSource(replica, trio.current_time, 100.0)

        async def body(_: Fleet) -> None:
            async def changed() -> None:
                await trio.sleep(MIN_WAIT_SECONDS)
                item = StoredItem("op/config", b"", Revision(8), Revision(3))
                replica.take_change(StoreChange(item.key, item.revision, item))
                replica.note_known(Revision(8), 9.99)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(changed)
                answer = await answers.answer(ReplicaQuery(Revision(7), 10.0))
            self.assertEqual(len(answer.changed), 1)
            self.assertLess(answer.waited_seconds, MAX_WAIT_SECONDS / 2)

        play(body)
