"""Bids for the ownership of one service and runs its owner after each win."""

from __future__ import annotations

from random import Random

import trio

from ..._ids import NodeName, ServiceName
from ...decisions.jobs import NO_POLICIES, PolicySettings
from ...platform import PlatformBounds
from .._announcements import Announcements
from .._clocks import Clock
from .._external_clients import ExternalClients
from .._metrics import Metrics
from ._operator_requests import OperatorRequests
from ._service_lease import ServiceLease
from ._service_owner import HAND_OVER_SECONDS, ServiceOwner


class ServiceCandidate:
    """One instance's candidacy for the ownership of one service."""

    def __init__(
        self,
        service: ServiceName,
        node: NodeName,
        clients: ExternalClients,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        bounds: PlatformBounds,
        requests: OperatorRequests,
        announcements: Announcements,
        policies: PolicySettings = NO_POLICIES,
    ) -> None:
        """Set up the candidacy; ``run`` starts it."""
        self._service = service
        self._node = node
        self._external_clients = clients
        self._clock = clock
        self._metrics = metrics
        self._bounds = bounds
        self._requests = requests
        self._announcements = announcements
        self._policies = policies
        self._lease = ServiceLease(service, node, clients.store, clock, random, announcements)
        self._owner: ServiceOwner | None = None
        self._stopping = False
        self._bid_scope = trio.CancelScope()

    @property
    def owner(self) -> ServiceOwner | None:
        """The owner running on this instance, or None."""
        return self._owner

    async def run(self) -> None:
        """Bid for the ownership, run the owner and release the ownership, until ``stop``."""
        while not self._stopping:
            with trio.CancelScope() as self._bid_scope:
                term = await self._lease.acquire()
            if self._bid_scope.cancelled_caught:
                return
            self._owner = ServiceOwner(
                term,
                self._node,
                self._external_clients,
                self._clock,
                self._metrics,
                self._bounds,
                self._requests,
                self._announcements,
                self._policies,
            )
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._lease.keep, term, self._owner.note_renewal)
                    await self._owner.run()
                    nursery.cancel_scope.cancel()
                if not self._owner.ready:
                    self._announcements.note_failure()
            finally:
                self._owner = None
            with trio.move_on_after(HAND_OVER_SECONDS):
                await self._lease.release(term)

    async def stop(self) -> None:
        """Stop bidding, store all pending changes and release the ownership at once."""
        self._stopping = True
        self._bid_scope.cancel()
        if self._owner is not None:
            await self._owner.resign(HAND_OVER_SECONDS)
