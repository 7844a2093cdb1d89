"""Bids for the ownership of one service and runs its owner after each win."""

from __future__ import annotations

from random import Random

import trio
from loguru import logger

from ..._errors import DecisionError
from ..._ids import NodeName, ServiceName
from ...decisions.jobs import NO_POLICIES, PolicySettings
from ...platform import PlatformBounds
from .._announcements import Announcements
from .._clocks import Clock
from .._external_clients import ExternalClients
from .._metrics import Metrics
from ..containment._retry_delay import RetryDelay
from ..containment._unexpected_errors import UnexpectedErrors, single_errors
from ._operator_requests import OperatorRequests
from ._service_lease import ServiceLease, Term
from ._service_owner import HAND_OVER_SECONDS, ServiceOwner

MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 10.0
"""Longest time for which an instance doesn't bid after an error of its owner. The leases of runs
last half as long, so a service that no instance bids for loses its running work."""
STABLE_SECONDS = 60.0
"""Length of a term after which an error in it counts as the first one."""


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
        self._errors = UnexpectedErrors(metrics)
        self._pause = RetryDelay(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS, STABLE_SECONDS)
        self._stopping = False
        self._bid_scope = trio.CancelScope()

    @property
    def owner(self) -> ServiceOwner | None:
        """The owner running on this instance, or None."""
        return self._owner

    async def run(self) -> None:
        """Bid for the ownership, run the owner and release the ownership, until ``stop``.

        After an error that wasn't foreseen, the service is released, and another instance may own
        it. This one bids again after a pause, and begins with what is stored. Its other services
        and its callers are not affected.
        """
        while not self._stopping:
            with trio.CancelScope() as self._bid_scope:
                term = await self._errors.keep_running("bid", self._lease.acquire)
            if self._bid_scope.cancelled_caught:
                return
            await self._run_term(term)

    async def _run_term(self, term: Term) -> None:
        started_at = self._clock.now()
        failed = False
        self._owner = owner = ServiceOwner(
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
                nursery.start_soon(self._lease.keep, term, owner.note_renewal)
                await owner.run()
                nursery.cancel_scope.cancel()
        except* Exception as errors:
            failed = True
            self._report(errors)
        finally:
            self._owner = None
        if failed or not owner.ready:
            self._announcements.note_failure()
        with trio.move_on_after(HAND_OVER_SECONDS):
            await self._lease.release(term)
        if failed:
            await self._pause_bids(self._clock.now() - started_at)

    def _report(self, errors: ExceptionGroup[Exception]) -> None:
        # The first error of a decision has a cause; the ones after it only say that there was one.
        singles = list(single_errors(errors))
        causes = [
            cause
            for error in singles
            if (cause := error.__cause__ if isinstance(error, DecisionError) else error) is not None
        ]
        for cause in causes or singles:
            self._errors.report("owner", cause, service=self._service)

    async def _pause_bids(self, term_seconds: float) -> None:
        seconds = self._pause.after_failure(term_seconds)
        logger.error(
            "service given up after an internal error",
            service=self._service,
            term_seconds=round(term_seconds, 3),
            pause_seconds=seconds,
        )
        with trio.CancelScope() as self._bid_scope:
            await trio.sleep(seconds)

    async def stop(self) -> None:
        """Stop bidding, store all pending changes and release the ownership at once."""
        self._stopping = True
        self._bid_scope.cancel()
        if self._owner is not None:
            await self._owner.resign(HAND_OVER_SECONDS)
