"""The choice of the instances that relay calls to executors.

An owner has hundreds of executors in several failure domains, on unequal instances.
"""

import unittest

from ...._ids import FailureDomainName, NodeName
from ...._links import Address
from .._instance_standing import (
    EXECUTORS_PER_RELAY,
    MIN_EXECUTORS_FOR_RELAYS,
    MIN_RELAYS_PER_DOMAIN,
    InstanceStanding,
    choose_relays,
)

OWN = NodeName("own")
RELAY = Address("10.0.0.1", 7721)
LARGE = MIN_EXECUTORS_FOR_RELAYS


def _fleet(domains: int, each: int) -> list[InstanceStanding]:
    return [
        InstanceStanding(
            NodeName(f"n-{domain}-{number}"), 0.1 * number, FailureDomainName(str(domain)), RELAY
        )
        for domain in range(domains)
        for number in range(each)
    ]


class RelayChoiceTest(unittest.TestCase):
    """Guards against more calls than one event loop can handle, and against unnecessary hops."""

    def test_the_strongest_instances_of_each_failure_domain_are_chosen(self) -> None:
        chosen = choose_relays(OWN, _fleet(6, 16), LARGE)
        self.assertEqual(len(chosen), 6 * MIN_RELAYS_PER_DOMAIN)
        self.assertGreaterEqual(min(standing.strength for standing in chosen), 0.1 * 12 - 1e-9)

    def test_relays_grow_with_the_executors(self) -> None:
        """Guards against relays that open connections for longer than a lease after a takeover.

        Pattern of the load: an owner of 3,000 executors is killed together with most relays.
        """
        chosen = choose_relays(OWN, _fleet(3, 60), 3_000)
        self.assertEqual(len(chosen), 3_000 // EXECUTORS_PER_RELAY)

    def test_a_small_fleet_is_called_directly(self) -> None:
        """Guards against an additional hop for each call of an owner that has enough CPU time."""
        self.assertEqual(choose_relays(OWN, _fleet(3, 3), LARGE - 1), ())

    def test_the_owner_and_instances_without_a_relay_are_passed_over(self) -> None:
        """Guards against calls sent to an instance of an earlier version, which does not relay."""
        old = InstanceStanding(NodeName("old"), 2.0, FailureDomainName("0"))
        own = InstanceStanding(OWN, 2.0, FailureDomainName("0"), RELAY)
        relay_instance = InstanceStanding(NodeName("n"), 0.1, FailureDomainName("0"), RELAY)
        self.assertEqual(choose_relays(OWN, [old, own, relay_instance], LARGE), (relay_instance,))
