"""Instances that see different announcements never depend on each other for the configuration.

Views differ for seconds after many instances restart: each announces a strength of its own, and
keys of the earlier processes are still listed.
"""

import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st

from ...._ids import NodeName, Revision
from ....adapters import ReplicaQuery, Route
from .._key_replica import KeyReplica, KeyReplicaSource
from .builders_replicas import BOUND_SECONDS, FixedUpstreams, Fleet, Follower, node, play

FIRST_VERSION_SECONDS = 0.5
"""Maximum time until instances that start together and reach the store have a configuration."""
MAX_INSTANCES = 6
SETTLED_SECONDS = 8.0

preferences = st.integers(2, MAX_INSTANCES).flatmap(
    lambda count: st.lists(
        st.tuples(
            st.lists(st.integers(0, count - 1), max_size=2, unique=True),
            st.booleans(),
        ),
        min_size=count,
        max_size=count,
    )
)
"""By instance: the instances that it prefers to the store, and whether it is far from the store."""


def _start_all(fleet: Fleet, drawn: list[tuple[list[int], bool]]) -> list[Follower]:
    followers = []
    for number, (preferred, far) in enumerate(drawn):
        upstreams = FixedUpstreams(*(other for other in preferred if other != number))
        upstreams.far_from_store = far
        followers.append(fleet.start(number, upstreams))
    return followers


def _cycle(followers: list[Follower]) -> list[NodeName]:
    """Return instances that follow each other in a cycle, or an empty list."""
    upstreams = {follower.node: follower.upstream for follower in followers}
    for first in upstreams:
        seen = [first]
        while (following := upstreams[seen[-1]]) is not None:
            if following in seen:
                return seen
            seen.append(following)
    return []


class UpstreamCyclesTest(unittest.TestCase):
    """Instances whose views of the fleet differ."""

    def test_a_pair_that_follows_each_other_at_the_start_gets_a_configuration(self) -> None:
        """Guards against two restarted instances that each wait for the other one."""
        for far in (False, True):
            with self.subTest(far=far):
                self._start_pair(far)

    def _start_pair(self, far: bool) -> None:
        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            pair = _start_all(fleet, [([1], far), ([0], far)])
            await trio.sleep(FIRST_VERSION_SECONDS)
            self.assertEqual([member.versions for member in pair], [[3], [3]])

        play(body)

    def test_followers_of_a_pair_that_follows_each_other_get_a_configuration(self) -> None:
        """Guards against a region without a configuration because its two heads form a cycle."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            followers = _start_all(
                fleet, [([1], False), ([0], False), ([0], True), ([2], True), ([1, 0], False)]
            )
            await trio.sleep(2 * FIRST_VERSION_SECONDS)
            self.assertEqual([follower.versions for follower in followers], [[3]] * 5)

        play(body)

    @given(preferences)
    def test_no_views_lead_to_a_cycle(self, drawn: list[tuple[list[int], bool]]) -> None:
        """Guards against instances that wait for each other, whatever announcements they saw."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            followers = _start_all(fleet, drawn)
            await trio.sleep(BOUND_SECONDS)
            self.assertEqual(_cycle(followers), [])
            self.assertEqual([each.versions for each in followers], [[3]] * len(followers))
            await trio.sleep(SETTLED_SECONDS)
            fleet.configure(8)
            await trio.sleep(BOUND_SECONDS)
            self.assertEqual([each.versions for each in followers], [[3, 8]] * len(followers))

        play(body)

    def test_a_cycle_that_forms_later_is_left_before_it_is_out_of_date(self) -> None:
        """Guards against a late change after a review at which two instances chose each other."""

        async def body(fleet: Fleet) -> None:
            fleet.configure(3)
            first, second = FixedUpstreams(), FixedUpstreams()
            pair = [fleet.start(0, first), fleet.start(1, second)]
            await trio.sleep(1.0)
            first.numbers, second.numbers = (1,), (0,)
            for version in range(8, 28):
                fleet.configure(version)
                await trio.sleep(BOUND_SECONDS / 2)
                self.assertEqual([member.versions[-1] for member in pair], [version] * 2)

        play(body)


class RouteAnswersTest(unittest.TestCase):
    """What a replica tells of the way on which it hears of changes."""

    def test_a_change_of_route_is_reported_at_once(self) -> None:
        """Guards against a cycle that is noticed only after the longest wait of a query."""
        replica = KeyReplica(lambda _: None)
        replica.note_known(Revision(7), 0.0)
        answers = KeyReplicaSource(replica, trio.current_time, 100.0)

        async def body(_: Fleet) -> None:
            async def changed() -> None:
                await trio.sleep(0.05)
                replica.set_route(Route((node(0), node(1))))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(changed)
                answer = await answers.answer(ReplicaQuery(Revision(7), 0.0))
            self.assertEqual(answer.route, Route((node(0), node(1))))
            self.assertLess(answer.waited_seconds, 0.1)

        play(body)
