"""Who owns a service: one key under a lease of the store."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec
import trio
from loguru import logger

from .._errors import (
    LeaseEndedError,
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from .._ids import FencingToken, LeaseId, NodeName, Revision, ServiceName
from ..adapters import CoordinationStore, Put
from ..decisions.jobs import bid_delay
from ._announcements import Announcements
from ._clocks import Clock
from ._scheduling_keys import owner_key, term_key

LEASE_SECONDS = 1.2
"""Near the shortest that the store grants, 1 s: it is most of the time from the death of an owner to
the next start."""
RENEW_SECONDS = 0.3
"""Three renewals may be lost before the lease ends; each costs a tenth of a read."""
FOLLOW_SECONDS = 2.0
"""How long one question for changes waits. A connection that went silent is noticed this long after,
and one call each two seconds costs next to nothing."""
RETRY_SECONDS = 0.15
SPREAD_SECONDS = 0.03
"""Candidates spread over this, so that one write usually settles it."""


class OwnerRecord(msgspec.Struct, frozen=True):
    """The value of an owner's key."""

    node: str
    nonce: str
    """Unique to this term, so that a lost answer can be settled by reading back."""


@dataclass(frozen=True, slots=True)
class Term:
    """One owner's time."""

    service: ServiceName
    number: int
    lease: LeaseId
    owner_revision: Revision
    """Every write of this owner is conditional on it."""

    @property
    def token(self) -> FencingToken:
        """Executors obey the highest. The store's revisions rise with each change of owner."""
        return FencingToken(self.owner_revision)


class ServiceLease:
    """Takes the ownership of a service when it is vacant, and keeps it."""

    def __init__(
        self,
        service: ServiceName,
        node: NodeName,
        store: CoordinationStore,
        clock: Clock,
        random: Random,
        announcements: Announcements,
    ) -> None:
        """``random`` spreads candidates and makes nonces; ``announcements`` rank them."""
        self._service = service
        self._node = node
        self._store = store
        self._clock = clock
        self._random = random
        self._announcements = announcements

    async def win(self) -> Term:
        """Wait until the service is vacant and take it."""
        while True:
            try:
                await self._wait_vacant()
                await trio.sleep(await self._delay())
                term = await self._take()
            except StoreConflictError:
                continue
            except StoreError as error:
                logger.debug("ownership not settled", service=self._service, error=str(error))
                await trio.sleep(RETRY_SECONDS * (1 + self._random.random()))
                continue
            if term is not None:
                return term

    async def keep(self, term: Term) -> None:
        """Renew until the lease has ended; errors of the store are borne.

        The end of this lease is no proof that the ownership is lost, nor is a renewal that it is
        kept: the store may have taken the key away. What counts is a conditional write that fails,
        or an executor that has seen a higher token.
        """
        while True:
            try:
                await self._store.keep_lease(term.lease)
            except LeaseEndedError:
                return
            except StoreError as error:
                logger.debug("lease not renewed", service=self._service, error=str(error))
            await trio.sleep(RENEW_SECONDS)

    async def resign(self, term: Term) -> None:
        """Make the service vacant at once."""
        key = owner_key(self._service)
        try:
            await self._store.commit({key: term.owner_revision}, removals=(key,))
        except StoreError as error:
            logger.info("ownership left to lapse", service=self._service, error=str(error))

    async def _wait_vacant(self) -> None:
        key = owner_key(self._service)
        while True:
            begun = self._clock.now()
            listing = await self._store.list(key)
            self._announcements.note_round_trip(self._clock.now() - begun)
            if all(item.key != key for item in listing.items):
                return
            # Not since the owner took over: the store may have forgotten what was then.
            if await self._wait_removed(key, listing.as_of):
                return

    async def _wait_removed(self, key: str, after: Revision) -> bool:
        while True:
            try:
                answer = await self._store.changes(key, after, FOLLOW_SECONDS)
            except StoreHistoryLostError:
                return False
            own = [change for change in answer.changes if change.key == key]
            if own and own[-1].item is None:
                return True
            after = max(after, answer.as_of)

    async def _delay(self) -> float:
        others = await self._announcements.others()
        spread = self._random.random() * SPREAD_SECONDS
        return bid_delay(self._announcements.own, others) + spread

    async def _take(self) -> Term | None:
        key, terms = owner_key(self._service), term_key(self._service)
        last = await self._store.read(terms)
        number = int(last.value) + 1 if last is not None else 1
        lease = await self._store.grant_lease(LEASE_SECONDS)
        record = OwnerRecord(self._node, f"{self._random.getrandbits(64):016x}")
        value = msgspec.json.encode(record)
        expected = {key: Revision(0), terms: last.revision if last is not None else Revision(0)}
        puts = (Put(key, value, lease), Put(terms, str(number).encode("ascii")))
        try:
            revision = await self._store.commit(expected, puts)
        except StoreUnavailableError:
            item = await self._store.read(key)
            if item is None or item.value != value:
                return None
            revision = item.revision
        return Term(self._service, number, lease, revision)
