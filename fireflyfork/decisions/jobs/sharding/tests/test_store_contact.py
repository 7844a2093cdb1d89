"""An owner that loses the store while other instances reach it, and one that loses it with them.

Load: the store is away for some instances, silent, refusing or slow, for seconds.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ....._ids import FailureDomainName, NodeName
from .._store_contact import MAX_PEERS, MIN_FAILURES, ReleasePeer, StoreContact, release_order

LEASE_SECONDS = 1.2
RENEW_SECONDS = 0.3
NEAR, FAR = FailureDomainName("suva"), FailureDomainName("labasa")

_EVENTS = st.lists(
    st.tuples(st.floats(0.01, 0.6), st.sampled_from(["confirmed", "failed", "refused", "time"])),
    max_size=20,
)


def _contact() -> StoreContact:
    return StoreContact(LEASE_SECONDS, 0.0)


class StoreContactTest(unittest.TestCase):
    """A service is released only by an owner without contact, and once for each loss of it."""

    def test_a_store_that_refuses_this_instance_is_noticed_before_the_lease_ends(self) -> None:
        """Guards against a service without a usable owner until the lease of its key has ended."""
        contact = _contact().failed()
        self.assertFalse(contact.should_release(RENEW_SECONDS))
        self.assertTrue(contact.failed().should_release(2 * RENEW_SECONDS))

    def test_a_silent_store_is_noticed_before_the_lease_ends(self) -> None:
        """Guards against an owner that waits for the timeout of its first renewal."""
        self.assertTrue(_contact().should_release(0.75 * LEASE_SECONDS))

    def test_a_slow_store_ends_no_ownership(self) -> None:
        """Guards against a service that passes from owner to owner while the store is slow."""
        contact, round_trip = _contact(), 60 * 0.004
        for number in range(1, 20):
            sent_at = number * (RENEW_SECONDS + round_trip)
            self.assertFalse(contact.should_release(sent_at + round_trip))
            contact = contact.confirmed(sent_at)

    def test_an_outage_for_all_ends_no_ownership(self) -> None:
        """Guards against an owner that gives up although no instance can take over."""
        contact = _contact().failed().failed().refused(0.6)
        self.assertFalse(any(contact.failed().should_release(time / 10) for time in range(6, 60)))

    @settings(derandomize=True)
    @given(_EVENTS)
    def test_a_release_follows_only_a_loss_of_contact(
        self, events: list[tuple[float, str]]
    ) -> None:
        """Whatever happens, an owner with a recent answer keeps its service."""
        contact, now, failures, refused = _contact(), 0.0, 0, False
        for seconds, event in events:
            now += seconds
            if event == "confirmed":
                contact, failures, refused = contact.confirmed(now), 0, False
            elif event == "failed":
                contact, failures = contact.failed(), failures + 1
            elif event == "refused":
                contact, refused = contact.refused(now), True
            if contact.should_release(now):
                silent_seconds = now - contact.confirmed_at
                self.assertFalse(refused)
                self.assertLess(silent_seconds, LEASE_SECONDS)
                self.assertTrue(failures >= MIN_FAILURES or silent_seconds > LEASE_SECONDS / 2)

    def test_instances_of_other_domains_are_asked_first(self) -> None:
        """Guards against asking only instances that lost the store with the owner."""
        peers = [ReleasePeer(NodeName(f"a-{number}"), NEAR) for number in range(4)]
        other = ReleasePeer(NodeName("b-0"), FAR)
        order = release_order(NEAR, [*peers, other])
        self.assertEqual(len(order), MAX_PEERS)
        self.assertEqual(order[0], other)
