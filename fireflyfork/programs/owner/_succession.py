"""Follows the other instances for one owner: possible successors, and relays for its calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from itertools import count

import trio
from loguru import logger

from ..._errors import StoreError
from ..._ids import NodeName, ServiceName
from ...adapters import RelayedExecutors, RelayEndpoint
from ...decisions.jobs import (
    InstanceStanding,
    choose_relays,
    has_stronger,
    needs_relays,
    should_hand_over,
)
from .._announcements import Announcements

RECOVERY_CHECK_SECONDS = 4.0
"""Period after which a recovery is checked for an instance that could complete it sooner.

A capable instance recovers within 0.3 s, or within 2 s while the store is a hundred times slower
than usual."""
PERIODS_FOR_EQUALS = 2
"""Number of periods after which the ownership is also given up to an instance that is no stronger,
because the cause of the delay must be this instance."""
RELAY_WAIT_SECONDS = 0.8
"""Longest wait for relays before the first calls of a term. Leases have some three seconds left
then."""
RELAYS_NEEDED_CHECK_SECONDS = 0.2
HELD_CHECK_SECONDS = 0.5
MAX_HELD_SECONDS = 12.0
"""How long an owner may hold its starts. A successor has to recover and to catch up as well, which
takes some seconds with thousands of executors."""
HAND_OVER_CHECK_SECONDS = 3.0
"""Interval at which an owner checks whether a much stronger instance could replace it."""


class Succession:
    """Follows the announcements of other instances for one owner."""

    def __init__(
        self,
        service: ServiceName,
        node: NodeName,
        announcements: Announcements,
        calls: RelayedExecutors,
        executor_count: Callable[[], int],
    ) -> None:
        """Set up without making a call.

        ``calls`` are sent through the chosen relays; ``executors`` returns the number of executors.
        """
        self._service = service
        self._node = node
        self._announcements = announcements
        self._calls = calls
        self._executor_count = executor_count

    async def watch_recovery(self, ready: Callable[[], bool], recovery: trio.CancelScope) -> None:
        """Cancel a slow recovery once another instance could complete one sooner.

        No other instance may place tasks while this one holds the ownership. Renewals are small and
        succeed even over a thin link, so the ownership would be kept for as long as the link takes
        to transfer the stored state.
        """
        for periods in count(1):
            await trio.sleep(RECOVERY_CHECK_SECONDS)
            if ready():
                return
            own = self._announcements.unpenalized
            others = [
                instance for instance in await self._list_instances() if instance.node != own.node
            ]
            # If the ownership were given up to an equal a second time, the service would be passed
            # around among slow instances forever.
            accept_equals = periods >= PERIODS_FOR_EQUALS and not self._announcements.penalized
            if has_stronger(own, others, accept_equals):
                logger.warning(
                    "ownership given up: recovery takes too long",
                    service=self._service,
                    seconds=periods * RECOVERY_CHECK_SECONDS,
                )
                recovery.cancel()
                return

    async def watch_starts(
        self, held_seconds: Callable[[], float], resign: Callable[[], Awaitable[None]]
    ) -> None:
        """Resign once starts have been held for long and another instance may keep up better.

        An owner that receives changes more slowly than executors write them stays behind, and its
        renewals, which are small, succeed all the while.
        """
        while True:
            await trio.sleep(HELD_CHECK_SECONDS)
            if held_seconds() < MAX_HELD_SECONDS:
                continue
            own = self._announcements.unpenalized
            others = [
                instance for instance in await self._list_instances() if instance.node != own.node
            ]
            if has_stronger(own, others, equals=not self._announcements.penalized):
                logger.warning("ownership given up: starts are held", service=self._service)
                self._announcements.note_failure()
                await resign()
                return

    async def connect_relays(self) -> None:
        """Use other instances as relays, and wait a moment for the streams to them.

        Calls made before that would open a connection to each executor, which takes an owner of
        thousands longer than the leases of their runs last.
        """
        if not needs_relays(self._executor_count()):
            return
        with trio.move_on_after(RELAY_WAIT_SECONDS):
            self._use_relays(await self._list_instances())
            await self._calls.wait_connected()

    async def follow_others(self, resign: Callable[[], Awaitable[None]]) -> None:
        """Use other instances as relays. Resign once one of them could do the work far better."""
        while True:
            await self._wait_for_check()
            own, others = self._announcements.own, await self._list_instances()
            if should_hand_over(own, others):
                logger.info("handing over", service=self._service, strength=own.strength)
                await resign()
                return
            self._use_relays(others)

    async def _wait_for_check(self) -> None:
        """Wait for the next check, which comes sooner once so many executors have registered that
        relays are needed."""
        with trio.move_on_after(HAND_OVER_CHECK_SECONDS):
            if needs_relays(self._executor_count()):
                await trio.sleep_forever()
            while not needs_relays(self._executor_count()):
                await trio.sleep(RELAYS_NEEDED_CHECK_SECONDS)

    async def _list_instances(self) -> list[InstanceStanding]:
        """Return all instances' announcements, or an empty list if the store doesn't answer."""
        try:
            return await self._announcements.list_instances()
        except StoreError as error:
            logger.debug("other instances not listed", error=str(error))
            return []

    def _use_relays(self, others: list[InstanceStanding]) -> None:
        # The list is empty while the store doesn't answer, but the relays are still available.
        if others:
            chosen = choose_relays(self._node, others, self._executor_count())
            self._calls.set_relays(
                RelayEndpoint(instance.node, instance.failure_domain, instance.relay)
                for instance in chosen
                if instance.relay is not None and instance.failure_domain is not None
            )
