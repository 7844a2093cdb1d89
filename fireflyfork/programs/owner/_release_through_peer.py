"""Gives a service up through another instance when its owner can't reach the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from ..._errors import StoreError, TransactionConflictError
from ..._ids import FailureDomainName, Revision, ServiceName
from ...adapters import CoordinationStore, RelayedExecutors
from ...decisions.jobs.sharding import ReleasePeer, StoreContact, release_order
from .._clocks import Clock
from .._metrics import Metrics
from .._scheduling_keys import owner_key
from ._service_lease import LEASE_SECONDS, Term

CHECK_SECONDS = 0.05
ANSWER_SECONDS = 0.25
"""Longest wait for one instance; three of them fit into the rest of the lease. A removal takes 10 ms
near the store, and 100 ms through an instance in another region."""


class ReleaseThroughPeer:
    """Follows the contact of one owner with the store, and gives its service up when it is lost."""

    def __init__(
        self,
        term: Term,
        failure_domain: FailureDomainName | None,
        calls: RelayedExecutors,
        clock: Clock,
        metrics: Metrics,
        confirmed_owner_at: Callable[[], float],
    ) -> None:
        """Set up for one term; ``run`` starts it.

        ``confirmed_owner_at`` returns when the store last showed that this instance is the owner.
        """
        self._term = term
        self._failure_domain = failure_domain
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._confirmed_owner_at = confirmed_owner_at
        self._contact = StoreContact(LEASE_SECONDS, clock.now())

    def note_renewal(self, sent_at: float, renewed: bool) -> None:
        """Record a renewal of the lease that was sent at ``sent_at``, and whether it succeeded."""
        self._contact = self._contact.confirmed(sent_at) if renewed else self._contact.failed()

    async def run(self, resign: Callable[[], Awaitable[None]]) -> None:
        """Wait until another instance has released the service, then ``resign``.

        The owner continues until then, as it would while nobody knows that it lost the store. A
        successor that starts sooner is protected by its higher token.
        """
        while True:
            await trio.sleep(CHECK_SECONDS)
            self._contact = self._contact.confirmed(self._confirmed_owner_at())
            if not self._contact.should_release(self._clock.now()):
                continue
            if await self._release():
                await resign()
                return
            self._contact = self._contact.refused(self._clock.now())

    async def _release(self) -> bool:
        relays = {relay.node: relay for relay in self._calls.usable_relays}
        peers = [ReleasePeer(relay.node, relay.failure_domain) for relay in relays.values()]
        silent_seconds = round(self._clock.now() - self._contact.confirmed_at, 3)
        for peer in release_order(self._failure_domain, peers):
            released = await self._calls.release(
                relays[peer.node], self._term.service, self._term.owner_revision, ANSWER_SECONDS
            )
            logger.info(
                "service released by another instance" if released else "service not released",
                service=self._term.service,
                peer=peer.node,
                failures=self._contact.failures,
                silent_seconds=silent_seconds,
            )
            if released:
                self._metrics.count(
                    "fireflyfork_released_through_peer_total", service=self._term.service
                )
                return True
        return False


async def release_service(
    store: CoordinationStore, service: ServiceName, owner_revision: Revision
) -> bool:
    """Remove the owner key of a service at the request of its owner.

    Returns whether the owner's term is over: its key is removed now, or was already. The removal is
    conditional on the revision of the key, so a late request ends no later term.
    """
    key = owner_key(service)
    try:
        await store.commit({key: owner_revision}, removals=(key,))
    except TransactionConflictError:
        logger.info("owner's service already vacant or taken", service=service)
    except StoreError as error:
        logger.info("owner's service not released", service=service, error=str(error))
        return False
    else:
        logger.info("owner's service released", service=service, revision=owner_revision)
    return True
