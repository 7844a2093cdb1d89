"""Keeps a replica of keys of the store up to date, from other instances where there are any, else from the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from math import inf

import trio
from loguru import logger

from .._errors import PeerError
from .._ids import NodeName
from ..adapters import (
    CoordinationStore,
    ReplicaAnswer,
    ReplicaPeer,
    ReplicaPeers,
    ReplicaPlace,
    ReplicaQuestion,
)
from ._key_replica import KeyReplica
from ._prefix_watch import PrefixWatch

WATCH_SECONDS = 1.5
"""A connection to the store that has gone silent is noticed this long plus a call's timeout after it did."""
CONFIRM_SECONDS = 0.1
"""After a change, until the store says that there is no newer one."""
STORE_REVIEW_SECONDS = 5.0
"""How long the store is followed before other instances are looked for again."""
UPSTREAM_REVIEW_SECONDS = 20.0
"""How long an instance is followed before a better one is looked for. When many start together the first ones
see only some of the others."""
TURN_SECONDS = 0.4
"""After one upstream has failed, the next one has so long to tell something newer; it may just be turning to the
store itself. Silence is borne for most of the time within which a change has to be in force, but only once."""
CHOOSE_SECONDS = 0.5
"""Nobody is asked for changes while others are looked for. What takes longer than a few ways to the store and back
is left for the next time."""
START_SECONDS = 1.5
"""For so long an instance that knows nothing waits for its upstreams, which may be starting as well. If all that
start at once read everything from the store, the link between two regions would be full for seconds."""
START_RETRY_SECONDS = 0.1
START_CHOOSE_SECONDS = 0.3
"""Between looks at who is announced, each of which crosses the link."""


class Upstreams(ABC):
    """The instances that this one may follow."""

    @abstractmethod
    async def choose(self) -> tuple[ReplicaPlace, ...]:
        """Them, the first choice first; none: the store."""

    @property
    @abstractmethod
    def awaited(self) -> bool:
        """Whether one that is only starting may be told of soon, and is better than the store."""


class NoUpstreams(Upstreams):
    """Nobody but the store."""

    @property
    def awaited(self) -> bool:
        """See Upstreams."""
        return False

    async def choose(self) -> tuple[ReplicaPlace, ...]:
        """See Upstreams."""
        return ()


class ReplicaFollower:
    """Brings one replica up to date for as long as it runs."""

    def __init__(
        self,
        replica: KeyReplica,
        store: CoordinationStore,
        prefix: str,
        upstreams: Upstreams,
        peers: ReplicaPeers | None,
        now: Callable[[], float],
        stale_seconds: float,
    ) -> None:
        """An upstream is left when what it tells has been out of date for ``stale_seconds``."""
        self._replica = replica
        self._upstreams = upstreams
        self._peers = peers
        self._now = now
        self._stale_seconds = stale_seconds
        self._chosen: tuple[ReplicaPlace, ...] = ()
        self._upstream: NodeName | None = None
        self._asked_at = now()
        self._watch = PrefixWatch(
            store,
            prefix,
            WATCH_SECONDS,
            replica.take_listing,
            replica.take_change,
            confirm_seconds=CONFIRM_SECONDS,
            now=now,
            heard=self._heard_from_store,
        )

    @property
    def upstream(self) -> NodeName | None:
        """The instance that is followed now; None: the store."""
        return self._upstream

    @property
    def asked_at(self) -> float:
        """When the question was sent whose answer is being taken in."""
        return self._watch.asked_at if self._upstream is None else self._asked_at

    async def run(self) -> None:
        """Follow until cancelled."""
        if self._peers is not None:
            await self._start(self._peers)
        while True:
            await self._follow_store()
            if self._peers is not None:
                await self._follow_any(await self._choose(self._chosen), self._peers)

    async def _start(self, peers: ReplicaPeers) -> None:
        """Hear from another instance first, where there is one or may soon be one."""
        until = self._now() + START_SECONDS
        self._chosen = await self._upstreams.choose()
        while not self._replica.as_of and self._now() < until:
            if self._chosen:
                await self._follow_any(self._chosen, peers)
                await trio.sleep(START_RETRY_SECONDS)
            elif self._upstreams.awaited:
                await trio.sleep(START_CHOOSE_SECONDS)
                self._chosen = await self._choose(())
            else:
                return

    async def _choose(self, otherwise: tuple[ReplicaPlace, ...]) -> tuple[ReplicaPlace, ...]:
        """The instances to follow, or ``otherwise`` if they can't be found out soon."""
        with trio.move_on_after(CHOOSE_SECONDS):
            self._chosen = await self._upstreams.choose()
            return self._chosen
        return otherwise

    async def _follow_any(self, places: tuple[ReplicaPlace, ...], peers: ReplicaPeers) -> None:
        """Follow one of some instances, the first that is of use, or a better one that appears meanwhile."""
        patience = inf
        while places:
            first, *others = places
            better = await self._follow(first, peers, patience)
            places = better or tuple(others)
            # An instance that knows nothing yet takes nothing for configured that no longer is.
            patience = inf if better or not self._replica.as_of else TURN_SECONDS

    async def _follow_store(self) -> None:
        """Follow the store until it is time to look for another instance."""
        review_at = self._now() + STORE_REVIEW_SECONDS if self._peers is not None else inf
        after = self._replica.as_of or None
        await self._watch.run(after, lambda: self._now() >= review_at)

    def _heard_from_store(self, _: float) -> None:
        self._replica.note_known(self._watch.as_of, self._watch.known_at)

    async def _follow(
        self, place: ReplicaPlace, peers: ReplicaPeers, patience: float
    ) -> tuple[ReplicaPlace, ...]:
        """Follow another instance for as long as it answers and is itself up to date.

        Its first answer, and one that is up to date, have to come within ``patience`` seconds.
        Returns the instances to follow instead, if it is left for a better one.
        """
        logger.info("following an instance", upstream=place.node)
        self._upstream = place.node
        better: tuple[ReplicaPlace, ...] = ()
        try:
            async with peers.connect(place) as peer:
                better = await self._ask_while_fresh(peer, place, patience)
            reason = "another one is better" if better else "out of date"
        except PeerError as error:
            reason = str(error)
        self._upstream = None
        logger.info("upstream left", upstream=place.node, reason=reason)
        return better

    async def _ask_while_fresh(
        self, peer: ReplicaPeer, place: ReplicaPlace, patience: float
    ) -> tuple[ReplicaPlace, ...]:
        begun = self._now()
        borne_until = begun + min(patience, self._stale_seconds)
        review_at = begun + UPSTREAM_REVIEW_SECONDS
        mark: float | None = None
        while self._is_fresh() or self._now() <= borne_until:
            if self._now() >= review_at:
                places = await self._choose(())
                if places and places[0] != place:
                    return places
                review_at = self._now() + UPSTREAM_REVIEW_SECONDS
            self._asked_at = self._now()
            question = ReplicaQuestion(self._replica.as_of, mark)
            answer = await peer.ask(question, patience if mark is None else inf)
            self._take(answer)
            mark = answer.mark
        return ()

    def _is_fresh(self) -> bool:
        return self._now() - self._replica.known_at <= self._stale_seconds

    def _take(self, answer: ReplicaAnswer) -> None:
        """Take an answer in.

        It may have been on its way for long. What it tells held, at the latest, when the question had waited
        at the other side since it was asked.
        """
        self._replica.take_answer(answer)
        told_at = min(self._asked_at + answer.waited_seconds, self._now())
        self._replica.note_known(answer.as_of, told_at - answer.age_seconds)
