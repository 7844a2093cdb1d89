"""Builds configuration keepers for the members of the in-memory fleet of the membership tests."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from ... import Address, ChangeId, Configuration, ConfigurationVersion, Region, RegionName
from ..._contract_codec import encode_contracts
from ...adapters import StoredValue
from ...decisions import (
    CONFIGURATION_KEY,
    ConfigurationOffer,
    Member,
    decode_configuration,
    encode_configuration,
)
from .._configuration_keeper import ConfigurationKeeper
from .._guard_channel import GuardQuestion, GuardReply
from .._membership import Membership
from .builders_membership import DirectChannel, Fleet, Network


@dataclass
class KeeperFleet:
    """Members, their keepers, and the versions that each keeper applied."""

    fleet: Fleet
    keepers: dict[Address, ConfigurationKeeper] = field(default_factory=dict)
    in_force: dict[Address, list[int]] = field(default_factory=dict)
    offers_sent: int = 0
    """The number of configurations that members sent to each other."""

    def keep(self, membership: Membership, address: Address) -> ConfigurationKeeper:
        """Start a keeper for a member; it replaces an earlier keeper, as after a restart."""
        versions = self.in_force.setdefault(address, [])

        def note(configuration: Configuration) -> None:
            versions.append(configuration.version)

        keeper = ConfigurationKeeper(self.fleet.store, note)
        keeper.attach(KeeperChannel(self, self.fleet.network, address), membership)
        self.keepers[address] = keeper
        self.fleet.nursery.start_soon(keeper.run, lambda: membership.is_watcher)
        return keeper

    async def keep_asking(self, membership: Membership, address: Address) -> None:
        """Exchange versions with the member's guard every 0.5 seconds until cancelled."""
        while True:
            guard_name = membership.record.guard_of(membership.member_id)
            guard = membership.record.members.get(guard_name) if guard_name else None
            if guard is not None and not self._cut(address, guard):
                keeper, guard_keeper = self.keepers[address], self.keepers[guard.address]
                guard_keeper.handle_peer_version(
                    membership.member_id, membership.configuration_version
                )
                keeper.handle_peer_version(guard.member_id, guard_keeper.version)
            await trio.sleep(0.5)

    def _cut(self, address: Address, guard: Member) -> bool:
        cut = self.fleet.network.cut
        return (address in cut) != (guard.address in cut)

    async def accept(self, version: int) -> None:
        """Write a configuration to the store, as an accepted change does."""
        stored: StoredValue | None = await self.fleet.store.read(CONFIGURATION_KEY)
        expected = stored.revision if stored is not None else 0
        value = encode_configuration(an_offer(version))
        await self.fleet.store.write(CONFIGURATION_KEY, value, expected)  # type: ignore[arg-type]


class KeeperChannel(DirectChannel):
    """Delivers configurations to the keepers of a test."""

    def __init__(self, keepers: KeeperFleet, network: Network, sender: Address) -> None:
        super().__init__(network, sender)
        self._keepers = keepers
        self._own = sender

    async def ask(self, peer: Member, question: GuardQuestion) -> GuardReply:
        """Raise NotImplementedError, since keepers don't send questions."""
        raise NotImplementedError

    async def offer_configuration(self, peer: Member, offer: ConfigurationOffer) -> None:
        """See ``GuardChannel``."""
        await self._reach("configuration", peer)
        self._keepers.offers_sent += 1
        sender = self._keepers.fleet.network.members[self._own].member_id
        self._keepers.keepers[peer.address].handle_offer(sender, offer)


def an_offer(version: int) -> ConfigurationOffer:
    """Return an offer of a small configuration with that version, encoded as in the store."""
    configuration = Configuration(
        ConfigurationVersion(version),
        ChangeId(f"change-{version}"),
        (Region(RegionName("viti"), ()),),
        (),
        (),
    )
    offer = ConfigurationOffer(
        configuration.version, configuration.change_id, encode_contracts(configuration)
    )
    assert decode_configuration(encode_configuration(offer)) == offer
    return offer
