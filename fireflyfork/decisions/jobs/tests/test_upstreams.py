"""The choice of the instances from which the configuration is read.

Dozens of instances are in several failure domains of two regions, and configurations are large for
the link between the regions.
"""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import FailureDomainName, NodeName
from ...._links import Address
from .._instance_standing import InstanceStanding
from .._upstreams import UPSTREAMS, choose_upstreams

DOMAINS = {"suva": True, "nadi": True, "labasa": False, "taveuni": False}
"""Whether the store is in the region of a failure domain."""


def _instance(
    number: int, domain: str, strength: float, near: bool | None = None
) -> InstanceStanding:
    return InstanceStanding(
        NodeName(f"n-{number}"),
        strength,
        FailureDomainName(domain),
        replica=Address("10.0.0.1", 1 + number),
        near_store=DOMAINS[domain] if near is None else near,
    )


instances = st.tuples(st.sampled_from(sorted(DOMAINS)), st.sampled_from((0.3, 0.3, 1.0, 2.0)))
fleets = st.lists(instances, min_size=1, max_size=24).map(
    lambda drawn: [_instance(number, *fields) for number, fields in enumerate(drawn)]
)


def _upstream(own: InstanceStanding, fleet: list[InstanceStanding]) -> InstanceStanding | None:
    return next(iter(choose_upstreams(own, fleet)), None)


class UpstreamsTest(unittest.TestCase):
    """Which instances follow which."""

    @given(fleets)
    def test_following_leads_to_the_store(self, fleet: list[InstanceStanding]) -> None:
        """Guards against instances that follow each other in a cycle and never receive a change."""
        for own in fleet:
            seen = [own]
            while (upstream := _upstream(seen[-1], fleet)) is not None:
                self.assertNotIn(upstream, seen)
                seen.append(upstream)
            self.assertTrue(
                seen[-1].near_store or not any(standing.near_store for standing in fleet)
            )

    @given(fleets)
    def test_each_failure_domain_receives_changes_once_from_outside(
        self, fleet: list[InstanceStanding]
    ) -> None:
        """Guards against sending a large configuration between regions once per instance."""
        from_outside = Counter(
            own.failure_domain
            for own in fleet
            if (upstream := _upstream(own, fleet)) is None
            or upstream.failure_domain != own.failure_domain
        )
        self.assertEqual(from_outside, Counter({standing.failure_domain for standing in fleet}))

    @given(fleets)
    def test_the_number_of_upstreams_is_limited(self, fleet: list[InstanceStanding]) -> None:
        for own in fleet:
            chosen = choose_upstreams(own, fleet)
            self.assertLessEqual(len(chosen), UPSTREAMS)
            self.assertNotIn(own, chosen)

    def test_a_domain_far_from_the_store_follows_one_near_it(self) -> None:
        far = _instance(0, "labasa", 2.0)
        near = [_instance(1, "suva", 0.3), _instance(2, "suva", 1.0), _instance(3, "nadi", 0.5)]
        self.assertEqual(set(choose_upstreams(far, [far, *near])), {near[1], near[2]})

    def test_without_an_instance_near_the_store_heads_follow_the_store(self) -> None:
        """A slow store makes every instance measure that it is far from the store."""
        fleet = [_instance(number, "suva", 1.0, near=False) for number in range(3)]
        self.assertEqual(choose_upstreams(fleet[0], fleet), ())

    def test_instances_without_a_replica_are_not_followed(self) -> None:
        """Some instances have no spare port to serve a replica."""
        mute = InstanceStanding(NodeName("n-1"), 2.0, FailureDomainName("suva"), near_store=True)
        own = _instance(2, "suva", 1.0)
        self.assertEqual(choose_upstreams(own, [mute, own]), ())
