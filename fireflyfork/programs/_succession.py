"""An owner beside other instances: who could do its work better, and who makes calls for it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from itertools import count

import trio
from loguru import logger

from .._errors import StoreError
from .._ids import NodeName, ServiceName
from ..adapters import RelayedExecutors, RelayPlace
from ..decisions.jobs import Standing, can_do_better, choose_relays, should_hand_over
from ._announcements import Announcements

RECOVERY_SECONDS = 4.0
"""An able instance recovers within 0.3 s, or within 2 s while the store answers a hundred times slower
than usual."""
PERIODS_FOR_EQUALS = 2
"""After so many times that long, the ownership is left to an instance that is no abler as well: what is
wrong is wrong with this one."""
HAND_OVER_CHECK_SECONDS = 3.0
"""How often an owner looks whether a much abler instance could take its part."""


class Succession:
    """Watches what other instances announce, for one owner."""

    def __init__(
        self,
        service: ServiceName,
        node: NodeName,
        announcements: Announcements,
        calls: RelayedExecutors,
        executors: Callable[[], int],
    ) -> None:
        """``calls`` go over the relays that are found; ``executors`` tells how many there are."""
        self._service = service
        self._node = node
        self._announcements = announcements
        self._calls = calls
        self._executors = executors

    async def watch_recovery(self, ready: Callable[[], bool], recovery: trio.CancelScope) -> None:
        """Cancel a recovery that takes long, once another instance could be done sooner.

        Nobody else may place tasks while this instance holds the ownership. Renewals are small, so they
        would keep it for as long as a thin link takes to bring what there is to read.
        """
        for periods in count(1):
            await trio.sleep(RECOVERY_SECONDS)
            if ready():
                return
            own = self._announcements.capable
            others = [one for one in await self._announced() if one.node != own.node]
            # Given up for equals a second time, the service would go round among slow instances for ever.
            equals = periods >= PERIODS_FOR_EQUALS and not self._announcements.shaken
            if can_do_better(own, others, equals):
                logger.warning(
                    "ownership given up: recovery takes too long",
                    service=self._service,
                    seconds=periods * RECOVERY_SECONDS,
                )
                recovery.cancel()
                return

    async def follow_others(self, resign: Callable[[], Awaitable[None]]) -> None:
        """Use others as relays; resign once another instance could do this owner's work far better."""
        self._use_relays(await self._announced())
        while True:
            await trio.sleep(HAND_OVER_CHECK_SECONDS)
            own, others = self._announcements.own, await self._announced()
            if should_hand_over(own, others):
                logger.info("handing over", service=self._service, strength=own.strength)
                await resign()
                return
            self._use_relays(others)

    async def _announced(self) -> list[Standing]:
        """What all instances announce; nothing while the store doesn't answer."""
        try:
            return await self._announcements.others()
        except StoreError as error:
            logger.debug("other instances not listed", error=str(error))
            return []

    def _use_relays(self, others: list[Standing]) -> None:
        # Nobody is announced while the store doesn't answer; the relays are still there.
        if others:
            chosen = choose_relays(self._node, others, self._executors())
            self._calls.use(
                RelayPlace(one.node, one.failure_domain, one.relay)
                for one in chosen
                if one.relay is not None and one.failure_domain is not None
            )
