"""Keeps an entry's configuration current: watches the store and exchanges versions with peers.

One entry of each failure domain watches the store and forwards changes to the other entries of the
domain. Each question to a guard also carries the version that its sender holds, and the side with
the lower version is sent the higher one. Configurations therefore spread even while the store is
down.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import trio
from loguru import logger

from .._contract_codec import decode_contracts
from .._contracts import Configuration
from .._errors import FireflyforkError, PeerError, SettingsError, StoreError
from .._ids import ConfigurationVersion, MemberId, Revision
from ..adapters import Store, StoredValue
from ..decisions import (
    CONFIGURATION_KEY,
    ConfigurationOffer,
    Member,
    MemberPhase,
    OfferOutcome,
    OfferSource,
    begin_register,
    decode_configuration,
    merge_offer,
    record_empty_store,
    record_peer_finished,
)
from ._guard_channel import GuardChannel
from ._membership import Membership

WATCH_SECONDS = 60.0
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 5.0

ApplyConfiguration = Callable[[Configuration], None]


_STARTUP_PEERS = MemberId("peers at the start")

TRUST_PEERS_SECONDS = 5.0
"""Time as an active member after which guard and wards have sent the highest version they hold."""


class ConfigurationKeeper:
    """Follows the configuration for one entry and applies new versions."""

    def __init__(self, store: Store, apply: ApplyConfiguration) -> None:
        """``apply`` is called with each configuration that comes into force."""
        self._store = store
        self._apply = apply
        self._state = begin_register((_STARTUP_PEERS,))
        self._revision = Revision(0)
        self._version_in_force = ConfigurationVersion(0)
        self._channel: GuardChannel | None = None
        self._membership: Membership | None = None
        self._nursery: trio.Nursery | None = None

    @property
    def version(self) -> ConfigurationVersion:
        """The highest version held, whether or not it is in force yet."""
        return self._state.version

    def attach(
        self,
        channel: GuardChannel,
        membership: Membership,
    ) -> None:
        """Exchange configurations over ``channel`` with the members that ``membership`` lists.

        The held version is set on ``membership``, which reports it to guard and wards.
        """
        self._channel = channel
        self._membership = membership

    def handle_offer(self, member: MemberId, offer: ConfigurationOffer) -> None:
        """Handle a configuration that a peer sent."""
        self._process_offer(offer, OfferSource.PEER)

    def handle_peer_version(self, member: MemberId, version: ConfigurationVersion) -> None:
        """Handle a peer's version: send it the held configuration if that is newer."""
        held = self._state.held
        if held is not None and version < held.version:
            self._send_offer(member, held)

    async def run(self, is_watcher: Callable[[], bool]) -> None:
        """Follow the store until cancelled; watch it while ``is_watcher`` returns True."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._trust_peers_later)
            await self._read_first()
            while True:
                if is_watcher():
                    await self._watch()
                else:
                    await trio.sleep(RETRY_SECONDS)

    async def _trust_peers_later(self) -> None:
        # A restarted entry that trusted the first peer could apply an older configuration than it
        # had before the restart. It therefore waits for the store, or until it has compared
        # versions with its guard and wards for `TRUST_PEERS_SECONDS`.
        while self._membership is None or self._membership.phase is not MemberPhase.ACTIVE:
            await trio.sleep(RETRY_SECONDS)
        await trio.sleep(TRUST_PEERS_SECONDS)
        self._state = record_peer_finished(self._state, _STARTUP_PEERS)
        self._apply_held()

    async def _read_first(self) -> None:
        # Until the store has answered once, the configurations that peers offer may be outdated;
        # they are held but not applied.
        wait = RETRY_SECONDS
        while not self._state.store_answered:
            try:
                self._handle_stored(await self._store.read(CONFIGURATION_KEY))
            except (StoreError, SettingsError) as error:
                logger.info("configuration could not be read", error=str(error))
                await trio.sleep(wait)
                wait = min(2 * wait, MAX_RETRY_SECONDS)

    async def _watch(self) -> None:
        try:
            stored = await self._store.wait(CONFIGURATION_KEY, self._revision, WATCH_SECONDS)
        except StoreError as error:
            logger.info("configuration watch failed", error=str(error))
            await trio.sleep(MAX_RETRY_SECONDS)
            return
        if stored is not None:
            self._handle_stored(stored)

    def _handle_stored(self, stored: StoredValue | None) -> None:
        if stored is None:
            self._state = record_empty_store(self._state)
            return
        self._revision = stored.revision
        offer = decode_configuration(stored.value)
        self._process_offer(offer, OfferSource.STORE)
        if self._membership is not None:
            for peer in self._membership.zone_peers:
                self._send_offer(peer.member_id, offer)

    def _process_offer(self, offer: ConfigurationOffer, source: OfferSource) -> None:
        self._state, outcome = merge_offer(self._state, offer, source)
        if outcome is OfferOutcome.CONFLICT:
            logger.error("two configuration changes have the same version", version=offer.version)
        if outcome is OfferOutcome.OLDER and source is OfferSource.STORE:
            logger.error("the store was set back", version=offer.version, held=self.version)
        if self._membership is not None:
            # A peer replies to a version lower than its own with the whole configuration, so the
            # reported version must be current.
            self._membership.configuration_version = self.version
        self._apply_held()

    def _apply_held(self) -> None:
        held = self._state.held
        if held is None or not self._state.ready or held.version <= self._version_in_force:
            return
        try:
            configuration = decode_contracts(held.value)
        except FireflyforkError as error:
            logger.error(
                "configuration could not be decoded", version=held.version, error=str(error)
            )
            return
        self._version_in_force = held.version
        logger.info("configuration in force", version=held.version)
        self._apply(configuration)

    def _send_offer(self, member: MemberId, offer: ConfigurationOffer) -> None:
        if self._membership is None or self._nursery is None:
            return
        peer = self._membership.record.members.get(member)
        if peer is not None:
            self._nursery.start_soon(partial(self._offer, peer, offer))

    async def _offer(self, peer: Member, offer: ConfigurationOffer) -> None:
        assert self._channel is not None
        try:
            await self._channel.offer_configuration(peer, offer)
        except PeerError as error:
            logger.debug("configuration not sent to peer", peer=peer.member_id, error=str(error))
