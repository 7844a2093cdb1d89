"""The choice of the instance to own a service."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import NodeName
from .._instance_standing import (
    InstanceStanding,
    bid_delay,
    has_stronger,
    should_hand_over,
    strength,
)

strengths = st.floats(0.01, 8.0)
fleets = st.lists(strengths, min_size=1, max_size=12).map(
    lambda values: [InstanceStanding(NodeName(f"n-{i}"), value) for i, value in enumerate(values)]
)


class StrengthTest(unittest.TestCase):
    """The capacity of an instance."""

    def test_strength_is_limited_by_processor_or_link(self) -> None:
        for processors, link_mbps, near, expected in (
            (2.0, 1000.0, True, 2.0),
            (2.0, 10.0, True, 0.25),
            (0.5, 100.0, True, 0.5),
            (2.0, 1000.0, False, 1.0),
        ):
            with self.subTest(processors=processors, link_mbps=link_mbps, near=near):
                self.assertAlmostEqual(strength(processors, link_mbps, near), expected)


class BidDelayTest(unittest.TestCase):
    """The order in which instances bid for a vacant service."""

    @given(fleets)
    def test_the_strongest_never_waits(self, fleet: list[InstanceStanding]) -> None:
        strongest = max(fleet, key=lambda standing: standing.strength)
        self.assertEqual(bid_delay(strongest, fleet), 0.0)

    @given(fleets)
    def test_a_stronger_instance_never_waits_longer(self, fleet: list[InstanceStanding]) -> None:
        ordered = sorted(fleet, key=lambda standing: standing.strength)
        delays = [bid_delay(standing, fleet) for standing in ordered]
        self.assertEqual(delays, sorted(delays, reverse=True))

    def test_equally_strong_instances_do_not_wait_for_each_other(self) -> None:
        """The ranking costs no time in a fleet of equal instances."""
        fleet = [InstanceStanding(NodeName(f"n-{i}"), 0.43) for i in range(9)]
        self.assertEqual({bid_delay(standing, fleet) for standing in fleet}, {0.0})


class HandOverTest(unittest.TestCase):
    """When an owner hands its service over to another instance."""

    @given(fleets)
    def test_hand_overs_do_not_continue_forever(self, fleet: list[InstanceStanding]) -> None:
        """Guards against a service that is handed over again and again, and has no owner half of
        the time.

        Each hand-over goes to a much stronger instance, so their number is limited.
        """
        owner, hand_overs = min(fleet, key=lambda standing: standing.strength), 0
        while should_hand_over(owner, fleet):
            stronger = [
                standing
                for standing in fleet
                if bid_delay(standing, fleet) < bid_delay(owner, fleet)
            ]
            owner = min(stronger, key=lambda standing: standing.strength)
            hand_overs += 1
        self.assertLessEqual(hand_overs, len(fleet))

    def test_a_recovery_is_given_up_only_for_a_stronger_instance(self) -> None:
        own = InstanceStanding(NodeName("own"), 0.2)
        for other, equals, expected in (
            (1.0, False, True),
            (0.2, False, False),
            (0.2, True, True),
            (0.1, True, False),
        ):
            with self.subTest(other=other, equals=equals):
                others = [InstanceStanding(NodeName("other"), other)]
                self.assertIs(has_stronger(own, others, equals), expected)
        self.assertFalse(has_stronger(own, [], equals=True))
