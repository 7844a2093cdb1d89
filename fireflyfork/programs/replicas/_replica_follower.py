"""Keeps a replica of keys of the store up to date, from other instances or the store.

Other instances are followed if possible.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from math import inf

import trio
from loguru import logger

from ..._errors import PeerError
from ..._ids import NodeName
from ...adapters import (
    CoordinationStore,
    ReplicaAnswer,
    ReplicaEndpoint,
    ReplicaPeer,
    ReplicaPeers,
    ReplicaQuery,
    Route,
)
from .._prefix_watch import PrefixWatch
from ._key_replica import KeyReplica

WATCH_SECONDS = 1.5
"""How long one request to the store waits. A failed connection is noticed after this time plus a
call's timeout."""
CONFIRM_SECONDS = 0.1
"""Wait of the first request after a change, until the store confirms that there is no newer one."""
STORE_REVIEW_SECONDS = 5.0
"""How long the store is followed before the instance looks for an upstream again."""
UPSTREAM_REVIEW_SECONDS = 20.0
"""How long an upstream is followed before the instance looks for a better one.

When many instances start together, the first ones see only some of the others."""
NEXT_UPSTREAM_SECONDS = 0.4
"""Time for the next upstream to report a newer state after one has failed.

It may itself be switching to the store. The silence of an upstream is tolerated for most of the
time within which a change has to be in force, but only once."""
CHOOSE_SECONDS = 0.5
"""Maximum time to look for other upstreams, during which no upstream is queried for changes.

A search that takes longer than a few round trips to the store is left for the next review."""
START_SECONDS = 1.5
"""How long an instance without any state waits for upstreams, which may be starting as well.

If all instances that start together read everything from the store, the link between two regions
would be full for seconds."""
START_RETRY_SECONDS = 0.1
START_CHOOSE_SECONDS = 0.3
"""Interval of reads of the announcements during the start; each read crosses the link."""


class Upstreams(ABC):
    """The instances whose replicas this instance may follow."""

    @property
    def review_seconds(self) -> float:
        """How long an upstream is followed before the instance looks for a better one."""
        return UPSTREAM_REVIEW_SECONDS

    @abstractmethod
    def note_lost(self, upstream: NodeName) -> None:
        """Record that an upstream doesn't answer.

        ``choose`` may return others until it has read the announcements again.
        """

    @abstractmethod
    async def choose(self) -> tuple[ReplicaEndpoint, ...]:
        """Return the upstreams in order of preference, or none to follow the store."""

    @abstractmethod
    def alternatives(self, excluded: frozenset[NodeName]) -> tuple[ReplicaEndpoint, ...]:
        """Return the upstreams without the excluded instances, from what ``choose`` last read."""

    @property
    @abstractmethod
    def worth_waiting_for(self) -> bool:
        """Whether a better upstream than the store may be announced soon by a starting instance."""


class NoUpstreams(Upstreams):
    """Makes the follower use the store only."""

    def note_lost(self, upstream: NodeName) -> None:
        """See Upstreams."""

    @property
    def worth_waiting_for(self) -> bool:
        """See Upstreams."""
        return False

    async def choose(self) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams."""
        return ()

    def alternatives(self, excluded: frozenset[NodeName]) -> tuple[ReplicaEndpoint, ...]:
        """See Upstreams."""
        return ()


class ReplicaFollower:
    """Keeps one replica up to date while it runs."""

    def __init__(
        self,
        node: NodeName,
        replica: KeyReplica,
        store: CoordinationStore,
        prefix: str,
        upstreams: Upstreams,
        peers: ReplicaPeers | None,
        now: Callable[[], float],
        stale_seconds: float,
    ) -> None:
        """Set up the follower of the instance ``node``; ``run`` starts it.

        The follower leaves an upstream whose answers have been out of date for
        ``stale_seconds``. Without ``peers``, only the store is followed.
        """
        self._node = node
        self._replica = replica
        self._upstreams = upstreams
        self._peers = peers
        self._now = now
        self._stale_seconds = stale_seconds
        self._chosen: tuple[ReplicaEndpoint, ...] = ()
        self._upstream: NodeName | None = None
        self._followers: frozenset[NodeName] = frozenset()
        """Instances that were seen to follow this one, directly or through others, since the store
        was last followed."""
        self._asked_at = now()
        self._watch = PrefixWatch(
            store,
            prefix,
            WATCH_SECONDS,
            replica.take_listing,
            replica.take_change,
            confirm_seconds=CONFIRM_SECONDS,
            now=now,
            on_confirmed=self._note_store_answer,
        )

    @property
    def upstream(self) -> NodeName | None:
        """The instance that is followed now; None if the store is followed."""
        return self._upstream

    @property
    def asked_at(self) -> float:
        """When the request was sent whose answer is being processed."""
        return self._watch.asked_at if self._upstream is None else self._asked_at

    async def run(self) -> None:
        """Keep the replica up to date until cancelled."""
        if self._peers is not None:
            await self._get_first_state(self._peers)
        while True:
            await self._follow_store()
            if self._peers is not None:
                await self._follow_first_usable(await self._choose(self._chosen), self._peers)

    async def _get_first_state(self, peers: ReplicaPeers) -> None:
        """Get the first state from another instance, if any is available or may be soon."""
        deadline = self._now() + START_SECONDS
        self._chosen = await self._upstreams.choose()
        while not self._replica.as_of and self._now() < deadline:
            if self._chosen:
                await self._follow_first_usable(self._chosen, peers)
                self._chosen = tuple(
                    upstream for upstream in self._chosen if upstream.node not in self._followers
                )
                await trio.sleep(START_RETRY_SECONDS if self._chosen else 0)
            elif self._upstreams.worth_waiting_for and not self._followers:
                await trio.sleep(START_CHOOSE_SECONDS)
                self._chosen = await self._choose(())
            else:
                return

    async def _choose(self, fallback: tuple[ReplicaEndpoint, ...]) -> tuple[ReplicaEndpoint, ...]:
        """Return the upstreams, or ``fallback`` if they aren't known in ``CHOOSE_SECONDS``."""
        with trio.move_on_after(CHOOSE_SECONDS):
            self._chosen = await self._upstreams.choose()
            return self._chosen
        return fallback

    async def _follow_first_usable(
        self, upstreams: tuple[ReplicaEndpoint, ...], peers: ReplicaPeers
    ) -> None:
        """Follow the first usable upstream, or better ones that appear in the meantime."""
        first_answer_seconds = inf
        while upstreams:
            first, *remaining = upstreams
            better = await self._follow(first, peers, first_answer_seconds)
            upstreams = better or tuple(remaining)
            # Without any state, the replica can't cause an outdated configuration to be used.
            first_answer_seconds = (
                inf if better or not self._replica.as_of else NEXT_UPSTREAM_SECONDS
            )

    async def _follow_store(self) -> None:
        """Follow the store until it is time to look for an upstream."""
        self._followers = frozenset()
        self._replica.set_route(Route((self._node,), reaches_store=True))
        review_at = self._now() + STORE_REVIEW_SECONDS if self._peers is not None else inf
        after = self._replica.as_of or None
        await self._watch.run(after, lambda: self._now() >= review_at)

    def _note_store_answer(self, _: float) -> None:
        self._replica.note_known(self._watch.as_of, self._watch.known_at)

    async def _follow(
        self, upstream: ReplicaEndpoint, peers: ReplicaPeers, first_answer_seconds: float
    ) -> tuple[ReplicaEndpoint, ...]:
        """Follow an upstream for as long as it answers and is itself up to date.

        The first answer, and the first that is up to date, must arrive within
        ``first_answer_seconds``. An upstream that follows this instance is left at once. Returns
        the upstreams to follow instead if there is a better one.
        """
        logger.info("following an instance", upstream=upstream.node)
        self._upstream = upstream.node
        self._replica.set_route(Route((self._node, upstream.node)))
        better: tuple[ReplicaEndpoint, ...] = ()
        try:
            async with peers.connect(upstream) as peer:
                better = await self._follow_while_fresh(peer, upstream, first_answer_seconds)
            reason = "a better instance is available" if better else "out of date"
            if upstream.node in self._followers:
                reason = "it follows this instance"
            elif not better:
                self._upstreams.note_lost(upstream.node)
        except PeerError as error:
            reason = str(error)
            self._upstreams.note_lost(upstream.node)
        finally:
            self._upstream = None
        logger.info("upstream left", upstream=upstream.node, reason=reason)
        return better

    async def _follow_while_fresh(
        self, peer: ReplicaPeer, upstream: ReplicaEndpoint, first_answer_seconds: float
    ) -> tuple[ReplicaEndpoint, ...]:
        started_at = self._now()
        tolerated_seconds = min(first_answer_seconds, self._stale_seconds)
        if not self._replica.as_of:
            tolerated_seconds = min(tolerated_seconds, START_SECONDS)
        tolerated_until = started_at + tolerated_seconds
        review_at = started_at + self._upstreams.review_seconds
        mark: float | None = None
        while self._is_fresh() or self._now() <= tolerated_until:
            if self._now() >= review_at:
                candidates = await self._choose(())
                if candidates and candidates[0] != upstream:
                    return candidates
                review_at = self._now() + self._upstreams.review_seconds
            self._asked_at = self._now()
            query = ReplicaQuery(self._replica.as_of, mark)
            answer = await peer.ask(query, first_answer_seconds if mark is None else inf)
            if self._node in answer.route.hops:
                self._followers |= {upstream.node}
                return self._upstreams.alternatives(self._followers)
            self._apply_answer(answer)
            mark = answer.mark
        return ()

    def _is_fresh(self) -> bool:
        return self._now() - self._replica.known_at <= self._stale_seconds

    def _apply_answer(self, answer: ReplicaAnswer) -> None:
        """Apply an answer to the replica.

        The answer may have been delayed. Its content is therefore assumed to have been current only
        until the send time of the request plus the time that the request waited at the upstream.
        """
        self._replica.take_answer(answer)
        self._replica.set_route(answer.route.via(self._node))
        valid_at = min(self._asked_at + answer.waited_seconds, self._now())
        self._replica.note_known(answer.as_of, valid_at - answer.age_seconds)
