"""What instances announce of themselves in the store, so that the able ones own the services."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import trio
from loguru import logger

from .._errors import LeaseEndedError, SettingsError, StoreError
from .._ids import FailureDomainName, LeaseId, NodeName
from .._links import Address
from ..adapters import CoordinationStore, Put
from ..decisions.jobs import Standing, strength
from ._clocks import Clock
from ._scheduling_keys import INSTANCE_PREFIX, instance_key

LEASE_SECONDS = 6.0
"""An instance that went is counted with for so long at most; renewals cost a tenth of a read each."""
RENEW_SECONDS = 2.0
FAR_STORE_SECONDS = 0.02
"""A round trip above this crosses regions: 40 ms, against 5 ms inside one."""
SHAKEN_SECONDS = 300.0
"""An instance that had to give a service up leaves it to others for so long: a thin link stays thin. Were
it shorter than the slowest recovery, equally slow instances would hand the service on for ever, each
before it is done."""
SHAKEN_SHARE = 0.2
"""What it counts for meanwhile: it serves only when hardly any other can."""


class _Record(msgspec.Struct, frozen=True):
    """The value of an instance's key."""

    strength: float
    failure_domain: str = ""
    relay: str = ""
    """The address of its relay; instances without one leave it empty."""
    replica: str = ""
    """Where it tells what the operator has written; empty if it doesn't."""
    near_store: bool = False


class Announcements:
    """What this instance announces, and what the others do."""

    def __init__(
        self,
        node: NodeName,
        processors: float,
        link_mbps: float,
        store: CoordinationStore,
        clock: Clock,
        failure_domain: FailureDomainName | None = None,
        relay: Address | None = None,
        replica: Address | None = None,
    ) -> None:
        """``processors`` and ``link_mbps`` are what the platform grants this instance; ``relay`` is where it
        makes calls to executors for others, ``replica`` where it tells what the operator has written.
        """
        self._node = node
        self._processors = processors
        self._link_mbps = link_mbps
        self._store = store
        self._clock = clock
        self._failure_domain = failure_domain
        self._relay = relay
        self._replica = replica
        self._near = True
        self._near_measured = False
        self._seemed_far = False
        self._shaken_until = 0.0
        self._changed = trio.Event()

    @property
    def own(self) -> Standing:
        """What this instance counts for now."""
        share = SHAKEN_SHARE if self.shaken else 1.0
        return replace(self.capable, strength=share * self.capable.strength)

    @property
    def capable(self) -> Standing:
        """What this instance can carry, whatever it failed at."""
        return Standing(
            self._node,
            strength(self._processors, self._link_mbps, self._near),
            self._failure_domain,
            self._relay,
            self._replica,
            self._near and self._near_measured,
        )

    @property
    def shaken(self) -> bool:
        """Whether it had to give a service up not long ago."""
        return self._clock.now() < self._shaken_until

    def note_round_trip(self, seconds: float) -> None:
        """A small question to the store took so long.

        A store that is slow for all makes everybody far, which changes nothing among them. Once near, it takes
        two long ones in a row: the first may include a while for which this instance stood still itself.
        """
        near = seconds <= FAR_STORE_SECONDS
        doubtful = self._near_measured and self._near and not near and not self._seemed_far
        self._seemed_far = not near
        if doubtful:
            return
        if near != self._near or not self._near_measured:
            self._near = near
            self._near_measured = True
            self._changed.set()

    def note_failure(self) -> None:
        """This instance couldn't do an owner's work."""
        self._shaken_until = self._clock.now() + SHAKEN_SECONDS
        self._changed.set()

    async def others(self) -> list[Standing]:
        """What all instances announce. Raises StoreError."""
        begun = self._clock.now()
        listing = await self._store.list(INSTANCE_PREFIX)
        self.note_round_trip(self._clock.now() - begun)
        found = []
        for item in listing.items:
            try:
                record = msgspec.json.decode(item.value, type=_Record)
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                logger.error("announcement not readable", key=item.key, error=str(error))
                continue
            node = NodeName(item.key.removeprefix(INSTANCE_PREFIX))
            found.append(_standing(node, record))
        return found

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
        """Announce until cancelled. Without the store nothing is announced, and nobody can bid."""
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
                logger.debug("not announced", error=str(error))
            with trio.move_on_after(RENEW_SECONDS):
                await self._changed.wait()
            self._changed = trio.Event()


def _standing(node: NodeName, record: _Record) -> Standing:
    return Standing(
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
