"""The choice of the instances that relay calls to executors.

An owner has hundreds of executors in several failure domains, on unequal instances.
"""

import unittest

from ...._ids import FailureDomainName, NodeName
from ...._links import Address
from .._standing import RELAYS_FOR_A_DOMAIN, RELAYS_FROM_EXECUTORS, Standing, choose_relays

OWN = NodeName("own")
RELAY = Address("10.0.0.1", 7721)
LARGE = RELAYS_FROM_EXECUTORS


def _fleet(domains: int, each: int) -> list[Standing]:
    return [
        Standing(
            NodeName(f"n-{domain}-{number}"), 0.1 * number, FailureDomainName(str(domain)), RELAY
        )
        for domain in range(domains)
        for number in range(each)
    ]


class RelayChoiceTest(unittest.TestCase):
    """Guards against more calls than one event loop can handle, and against unnecessary hops."""

    def test_each_failure_domain_has_its_strongest(self) -> None:
        chosen = choose_relays(OWN, _fleet(6, 16), LARGE)
        self.assertEqual(len(chosen), 6 * RELAYS_FOR_A_DOMAIN)
        self.assertGreaterEqual(min(one.strength for one in chosen), 0.1 * 12 - 1e-9)

    def test_a_small_fleet_is_called_directly(self) -> None:
        """Guards against an additional hop for each call of an owner that has enough CPU time."""
        self.assertEqual(choose_relays(OWN, _fleet(3, 3), LARGE - 1), ())

    def test_the_owner_and_instances_without_a_relay_are_passed_over(self) -> None:
        """Guards against calls sent to an instance of an earlier version, which does not relay."""
        old = Standing(NodeName("old"), 2.0, FailureDomainName("0"))
        own = Standing(OWN, 2.0, FailureDomainName("0"), RELAY)
        other = Standing(NodeName("n"), 0.1, FailureDomainName("0"), RELAY)
        self.assertEqual(choose_relays(OWN, [old, own, other], LARGE), (other,))
