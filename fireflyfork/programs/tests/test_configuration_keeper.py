"""Tests that accepted configurations are applied at all entries within seconds and never revert."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from ... import Address
from .builders_keepers import KeeperFleet, an_offer
from .builders_membership import Fleet

_PLACES = (("a", "viti/suva", 1), ("b", "viti/nadi", 2), ("c", "viti/suva", 3))
_ADDRESSES = [Address("127.0.0.1", port) for _, _, port in _PLACES]
_SETTLED_SECONDS = 25.0
_IN_FORCE_SECONDS = 7.0

Scenario = Callable[[KeeperFleet], Awaitable[None]]


def run_keepers(scenario: Scenario) -> None:
    """Run a scenario with three members that have all applied version 1."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            keepers = KeeperFleet(Fleet(nursery))
            await keepers.accept(1)
            for place, address in zip(_PLACES, _ADDRESSES, strict=True):
                membership = keepers.fleet.start(*place)
                keepers.keep(membership, address)
                nursery.start_soon(keepers.keep_asking, membership, address)
            await trio.sleep(_SETTLED_SECONDS)
            await scenario(keepers)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class ConfigurationKeeperTest(unittest.TestCase):
    """Keepers of three entries in two failure domains."""

    def test_an_accepted_configuration_is_in_force_everywhere(self) -> None:
        """Each entry applies each version once, in order."""

        async def scenario(keepers: KeeperFleet) -> None:
            for version in (2, 3):
                await keepers.accept(version)
                await trio.sleep(_IN_FORCE_SECONDS)
            for address in _ADDRESSES:
                self.assertEqual(keepers.in_force[address], [1, 2, 3])

        run_keepers(scenario)

    def test_nothing_is_sent_while_all_hold_the_same(self) -> None:
        """Guards against entries at rest that send each other the whole configuration.

        This happens if a member reports a version lower than the one it holds. It cost 7 KB/s for
        each entry, and the cost grows with the number of targets.
        """

        async def scenario(keepers: KeeperFleet) -> None:
            before = keepers.offers_sent
            await trio.sleep(60.0)
            self.assertEqual(keepers.offers_sent, before)

        run_keepers(scenario)

    def test_the_store_fails_right_after_the_acceptance(self) -> None:
        """Guards against an accepted change that is lost because the store goes down.

        Only one entry has read the change when the store fails. The operator was told that it was
        accepted, so the other entries must get it from that entry.
        """

        async def scenario(keepers: KeeperFleet) -> None:
            keepers.fleet.store.down = True
            first = keepers.fleet.network.members[_ADDRESSES[0]].member_id
            keepers.keepers[_ADDRESSES[1]].handle_offer(first, an_offer(2))
            await trio.sleep(_IN_FORCE_SECONDS)
            for address in _ADDRESSES:
                self.assertEqual(keepers.in_force[address], [1, 2])

        run_keepers(scenario)

    def test_a_restarted_entry_does_not_apply_the_first_offer(self) -> None:
        """Guards against a restarted entry that applies an older configuration than before.

        It restarts while the store is down, and the first peer that offers a configuration lags.
        """

        async def scenario(keepers: KeeperFleet) -> None:
            await keepers.accept(3)
            await trio.sleep(_IN_FORCE_SECONDS)
            keepers.fleet.store.down = True
            address = _ADDRESSES[0]
            membership = keepers.fleet.network.members[address]
            keepers.in_force[address].clear()
            keepers.keep(membership, address).handle_offer(membership.member_id, an_offer(2))
            await trio.sleep(_IN_FORCE_SECONDS)
            self.assertEqual(keepers.in_force[address], [3])

        run_keepers(scenario)

    def test_a_lower_version_is_never_put_in_force(self) -> None:
        """Guards against a return to an older version, which would use removed targets again.

        A peer that was cut off offers its older version, and an operator's tool writes an older
        version to the store.
        """

        async def scenario(keepers: KeeperFleet) -> None:
            await keepers.accept(5)
            await trio.sleep(_IN_FORCE_SECONDS)
            sender = keepers.fleet.network.members[_ADDRESSES[1]].member_id
            keepers.keepers[_ADDRESSES[0]].handle_offer(sender, an_offer(4))
            await keepers.accept(3)
            await trio.sleep(_IN_FORCE_SECONDS)
            for address in _ADDRESSES:
                self.assertEqual(keepers.in_force[address], [1, 5])

        run_keepers(scenario)
