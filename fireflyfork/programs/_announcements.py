"""Announcements of instances in the store, by which capable instances are chosen as owners."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import msgspec
import trio
from loguru import logger

from .._decoding import decode_json
from .._errors import InvalidDataError, LeaseEndedError, SettingsError, StoreError
from .._ids import FailureDomainName, LeaseId, NodeName
from .._links import Address
from ..adapters import CoordinationStore, Put
from ..decisions.jobs import InstanceStanding, max_listing_age, review_seconds, strength
from ._clocks import Clock
from ._scheduling_keys import INSTANCE_PREFIX, instance_key

LEASE_SECONDS = 6.0
"""Maximum time for which a stopped instance is still listed. Each renewal costs a tenth of a read.
"""
RENEW_SECONDS = 2.0
REVIEW_SECONDS = 20.0
"""Mean interval at which each instance of a small fleet lists the others."""
FAR_STORE_SECONDS = 0.02
"""Round trips above this cross regions: they take 40 ms, compared to 5 ms within a region."""
FAILURE_PENALTY_SECONDS = 300.0
"""How long the strength of an instance is reduced after it failed as the owner of a service.

A thin link remains thin. If this were shorter than the slowest recovery, equally slow instances
would pass the service on forever, each before its recovery completes."""
FAILURE_PENALTY_FACTOR = 0.2
"""Factor applied to the strength of an instance during that time. The instance wins a service only
when hardly any other instance can."""


class _Record(msgspec.Struct, frozen=True):
    """The value of an instance's key."""

    strength: float
    failure_domain: str = ""
    relay: str = ""
    """Address of the instance's relay; empty if it has none."""
    replica: str = ""
    """Address of the instance's replica of the operator's keys; empty if it serves none."""
    near_store: bool = False


class Announcements:
    """Announces this instance and lists the other instances."""

    def __init__(
        self,
        node: NodeName,
        processors: float,
        link_mbps: float,
        store: CoordinationStore,
        clock: Clock,
        failure_domain: FailureDomainName | None = None,
        relay_address: Address | None = None,
        replica_address: Address | None = None,
    ) -> None:
        """Set up the announcements; ``run`` starts them.

        ``processors`` and ``link_mbps`` are the platform's limits for this instance.
        ``relay_address`` is where this instance accepts calls to executors for other instances,
        ``replica_address`` where it serves its replica of the operator's keys.
        """
        self._node = node
        self._processors = processors
        self._link_mbps = link_mbps
        self._store = store
        self._clock = clock
        self._failure_domain = failure_domain
        self._relay_address = relay_address
        self._replica_address = replica_address
        self._near = True
        self._near_measured = False
        self._last_was_far = False
        self._penalized_until = 0.0
        self._last_listed: list[InstanceStanding] = []
        self._listed_at = -inf
        self._changed = trio.Event()

    @property
    def own(self) -> InstanceStanding:
        """This instance with its current strength, reduced after a failure."""
        share = FAILURE_PENALTY_FACTOR if self.penalized else 1.0
        return replace(self.unpenalized, strength=share * self.unpenalized.strength)

    @property
    def unpenalized(self) -> InstanceStanding:
        """This instance with its full strength, regardless of failures."""
        return InstanceStanding(
            self._node,
            strength(self._processors, self._link_mbps, self._near),
            self._failure_domain,
            self._relay_address,
            self._replica_address,
            self._near and self._near_measured,
        )

    @property
    def penalized(self) -> bool:
        """Whether this instance failed as an owner in the last ``FAILURE_PENALTY_SECONDS``."""
        return self._clock.now() < self._penalized_until

    def note_round_trip(self, seconds: float) -> None:
        """Record the duration in seconds of a small call to the store.

        A store that is slow for all instances makes all of them far, which doesn't change their
        order. An instance that was near becomes far only after two long round trips in a row: the
        first may include a time during which this instance itself was suspended.
        """
        near = seconds <= FAR_STORE_SECONDS
        unconfirmed = self._near_measured and self._near and not near and not self._last_was_far
        self._last_was_far = not near
        if unconfirmed:
            return
        if near != self._near or not self._near_measured:
            self._near = near
            self._near_measured = True
            self._changed.set()

    def note_failure(self) -> None:
        """Record that this instance couldn't do an owner's work."""
        self._penalized_until = self._clock.now() + FAILURE_PENALTY_SECONDS
        self._changed.set()

    @property
    def review_seconds(self) -> float:
        """After how many seconds the other instances are to be listed again."""
        return review_seconds(self._node, len(self._last_listed), REVIEW_SECONDS)

    @property
    def has_recent_listing(self) -> bool:
        """Whether the last listing is recent enough for a fleet of its size."""
        max_age = max_listing_age(self._node, len(self._last_listed), REVIEW_SECONDS)
        return self._clock.now() - self._listed_at < max_age

    @property
    def last_listed(self) -> list[InstanceStanding]:
        """The announcements in the last listing; empty if there was none."""
        return self._last_listed

    async def recent_instances(self) -> list[InstanceStanding]:
        """Return the last listing if it is recent enough, and a new one otherwise.

        Raises StoreError.
        """
        if self.has_recent_listing:
            return self._last_listed
        return await self.list_instances()

    async def list_instances(self) -> list[InstanceStanding]:
        """Return the announcements of all instances, including this one. Raises StoreError."""
        sent_at = self._clock.now()
        listing = await self._store.list(INSTANCE_PREFIX)
        self.note_round_trip(self._clock.now() - sent_at)
        standings = []
        for item in listing.items:
            try:
                record = decode_json(item.value, _Record)
            except InvalidDataError as error:
                logger.error("announcement not readable", key=item.key, error=str(error))
                continue
            node = NodeName(item.key.removeprefix(INSTANCE_PREFIX))
            standings.append(_standing(node, record))
        self._last_listed, self._listed_at = standings, self._clock.now()
        return standings

    def _record(self) -> _Record:
        own = self.own
        return _Record(
            own.strength,
            own.failure_domain or "",
            str(own.relay or ""),
            str(own.replica or ""),
            own.near_store,
        )

    async def run(self) -> None:
        """Announce this instance in the store until cancelled.

        While the store is unavailable, no instance can announce itself or bid for an ownership.
        """
        lease: LeaseId | None = None
        announced: _Record | None = None
        while True:
            try:
                if lease is None:
                    lease = await self._store.grant_lease(LEASE_SECONDS)
                    announced = None
                record = self._record()
                if record != announced:
                    value = msgspec.json.encode(record)
                    await self._store.commit({}, (Put(instance_key(self._node), value, lease),))
                    announced = record
                else:
                    await self._store.keep_lease(lease)
            except LeaseEndedError:
                lease = None
                continue
            except StoreError as error:
                logger.debug("announcement not written", error=str(error))
            with trio.move_on_after(RENEW_SECONDS):
                await self._changed.wait()
            self._changed = trio.Event()


def _standing(node: NodeName, record: _Record) -> InstanceStanding:
    return InstanceStanding(
        node,
        record.strength,
        FailureDomainName(record.failure_domain) if record.failure_domain else None,
        _address(node, record.relay),
        _address(node, record.replica),
        record.near_store,
    )


def _address(node: NodeName, text: str) -> Address | None:
    if not text:
        return None
    try:
        return Address.parse(text)
    except SettingsError as error:
        logger.error("announced address not readable", node=node, error=str(error))
        return None
