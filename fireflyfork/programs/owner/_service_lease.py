"""Ownership of a service, represented by one key under a lease of the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import msgspec
import trio
from loguru import logger

from ..._decoding import Count, decode_json
from ..._errors import (
    InvalidDataError,
    LeaseEndedError,
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from ..._ids import FencingToken, LeaseId, NodeName, Revision, ServiceName
from ...adapters import CoordinationStore, Put, StoredItem
from ...decisions.jobs import (
    MAX_BID_DELAY,
    SUFFICIENT_STRENGTH,
    bid_delay,
    bid_spread_seconds,
)
from .._announcements import Announcements
from .._clocks import Clock
from .._scheduling_keys import owner_key, term_key

LEASE_SECONDS = 1.2
"""Close to the minimum of 1 s that the store grants, since it is most of the time between the
failure of an owner and the next start of a task."""
RENEW_SECONDS = 0.3
"""Three renewals may be lost before the lease ends. Each costs a tenth of a read."""
WATCH_SECONDS = 2.0
"""How long one request for changes waits.

A failed connection is noticed after this time, and one call every two seconds costs almost nothing.
"""
RETRY_SECONDS = 0.15
BID_JITTER_SECONDS = 0.03
"""Range of the random delay of bids, which lets one write usually settle the ownership."""


class OwnerRecord(msgspec.Struct, frozen=True):
    """The value of an owner key."""

    node: str
    nonce: str
    """Unique to the term, so that after a lost answer a read shows whether the write succeeded."""


@dataclass(frozen=True, slots=True)
class Term:
    """One instance's period of ownership of a service."""

    service: ServiceName
    number: int
    lease: LeaseId
    owner_revision: Revision
    """Revision of the owner key, on which every write of this owner is conditional."""

    @property
    def token(self) -> FencingToken:
        """Fencing token, which rises with each change of owner. Executors obey the highest token.

        It is a revision of the store.
        """
        return FencingToken(self.owner_revision)


class ServiceLease:
    """Acquires the ownership of a service when it is vacant, and keeps it."""

    def __init__(
        self,
        service: ServiceName,
        node: NodeName,
        store: CoordinationStore,
        clock: Clock,
        random: Random,
        announcements: Announcements,
    ) -> None:
        """Set up the lease of one candidate.

        ``random`` is used for the delays of bids and for nonces; ``announcements`` rank the
        candidates.
        """
        self._service = service
        self._node = node
        self._store = store
        self._clock = clock
        self._random = random
        self._announcements = announcements

    async def acquire(self) -> Term:
        """Wait until the service is vacant and acquire its ownership."""
        while True:
            try:
                await self._wait_vacant()
                await trio.sleep(await self._bid_delay())
                term = await self._write_owner_key()
            except StoreConflictError:
                continue
            except StoreError as error:
                logger.debug("ownership not acquired", service=self._service, error=str(error))
                await trio.sleep(RETRY_SECONDS * (1 + self._random.random()))
                continue
            if term is not None:
                return term

    async def keep(
        self, term: Term, on_renewal: Callable[[float, bool], None] = lambda *_: None
    ) -> None:
        """Renew the lease until it has ended; other errors of the store are ignored.

        ``on_renewal`` is called after each renewal with the time at which it was sent, and whether
        it succeeded.

        The end of this lease doesn't prove that the ownership is lost, and a renewal doesn't prove
        that it is kept: the store may have removed the key. Proof of the loss is a conditional
        write that fails, or an executor that has seen a higher token.
        """
        while True:
            sent_at = self._clock.now()
            try:
                await self._store.keep_lease(term.lease)
                on_renewal(sent_at, True)
            except LeaseEndedError:
                return
            except StoreError as error:
                logger.debug("lease not renewed", service=self._service, error=str(error))
                on_renewal(sent_at, False)
            await trio.sleep(RENEW_SECONDS)

    async def release(self, term: Term) -> None:
        """Remove the owner key, so that the service is vacant at once."""
        key = owner_key(self._service)
        try:
            await self._store.commit({key: term.owner_revision}, removals=(key,))
        except StoreError as error:
            logger.info("ownership left to lapse", service=self._service, error=str(error))

    async def _wait_vacant(self) -> None:
        key = owner_key(self._service)
        while True:
            sent_at = self._clock.now()
            listing = await self._store.list(key)
            self._announcements.note_round_trip(self._clock.now() - sent_at)
            if all(item.key != key for item in listing.items):
                return
            # The watch starts at the listing, not at the revision of the owner key, which the store
            # may have dropped from its history.
            if await self._wait_removed(key, listing.as_of):
                return

    async def _wait_removed(self, key: str, after: Revision) -> bool:
        while True:
            try:
                answer = await self._store.changes(key, after, WATCH_SECONDS)
            except StoreHistoryLostError:
                return False
            owner_changes = [change for change in answer.changes if change.key == key]
            if owner_changes and owner_changes[-1].item is None:
                return True
            after = max(after, answer.as_of)

    async def _bid_delay(self) -> float:
        # All instances of a fleet bid at once, and a listing of each would fill a link to the store.
        is_new = not self._announcements.has_recent_listing
        others = await self._announcements.recent_instances()
        spread = bid_spread_seconds(len(others), BID_JITTER_SECONDS)
        delay = bid_delay(self._announcements.own, others) + self._random.random() * spread
        if is_new or self._announcements.own.strength >= SUFFICIENT_STRENGTH:
            return delay
        # Stronger instances may be missing in an earlier listing.
        return delay + MAX_BID_DELAY

    async def _write_owner_key(self) -> Term | None:
        key, counter_key = owner_key(self._service), term_key(self._service)
        stored_number = await self._store.read(counter_key)
        number = _decoded_number(stored_number) + 1
        lease = await self._store.grant_lease(LEASE_SECONDS)
        record = OwnerRecord(self._node, f"{self._random.getrandbits(64):016x}")
        value = msgspec.json.encode(record)
        expected = {
            key: Revision(0),
            counter_key: stored_number.revision if stored_number is not None else Revision(0),
        }
        puts = (Put(key, value, lease), Put(counter_key, str(number).encode("ascii")))
        try:
            revision = await self._store.commit(expected, puts)
        except StoreUnavailableError:
            item = await self._store.read(key)
            if item is None or item.value != value:
                return None
            revision = item.revision
        return Term(self._service, number, lease, revision)


def _decoded_number(item: StoredItem | None) -> int:
    """Return the number of owners that a service has had; 0 if it isn't known.

    The number only identifies a term in logs and marks. Fencing tokens are revisions of the store.
    """
    if item is None:
        return 0
    try:
        return decode_json(item.value, Count)
    except InvalidDataError as error:
        logger.error("number of owners not readable", key=item.key, error=str(error))
        return 0
