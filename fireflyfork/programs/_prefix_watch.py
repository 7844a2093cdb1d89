"""Follows all keys under a prefix of the store, through outages and lost history."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import trio
from loguru import logger

from .._errors import StoreError, StoreHistoryLostError
from .._ids import Revision
from ..adapters import CoordinationStore, StoreChange, StoreListing

RETRY_SECONDS = 0.1
"""After a call that failed: what is missed meanwhile comes with the next answer."""


class PrefixWatch:
    """One follower of one prefix."""

    def __init__(
        self,
        store: CoordinationStore,
        prefix: str,
        wait_seconds: float,
        listed: Callable[[StoreListing], None],
        changed: Callable[[StoreChange], None],
        answered: Callable[[], None] = lambda: None,
        gather_seconds: float = 0.0,
        confirm_seconds: float | None = None,
        now: Callable[[], float] = trio.current_time,
        heard: Callable[[float], None] = lambda _: None,
    ) -> None:
        """``listed`` gets everything there is, at first and whenever the store has lost its history;
        ``changed`` each change after that, in order; ``answered`` hears of every answer.

        A question waits for ``wait_seconds``; a connection that has gone silent is noticed a call's
        timeout later. After an answer the next question waits for ``gather_seconds``, so that one
        answer tells of many changes: the store's operators pay for each. After changes and failures the
        next question waits for ``confirm_seconds`` only, where that is given: see ``known_at``.

        ``heard`` is told, when what an answer said has been handed over, the time by ``now`` at which its
        question had been asked: up to then nothing is unknown.
        """
        self._store = store
        self._prefix = prefix
        self._wait_seconds = wait_seconds
        self._listed = listed
        self._changed = changed
        self._answered = answered
        self._gather_seconds = gather_seconds
        self._confirm_seconds = wait_seconds if confirm_seconds is None else confirm_seconds
        self._now = now
        self._heard = heard
        self._known_at = -inf
        self._asked_at = -inf
        self._as_of = Revision(0)

    @property
    def as_of(self) -> Revision:
        """All changes up to this one have been heard of; 0: none."""
        return self._as_of

    @property
    def known_at(self) -> float:
        """All changes that were made before this time, by ``now``, have been heard of.

        It is when a question was sent: its answer may have been on its way for long, and tells nothing of
        what happened meanwhile. A question that waited in vain was answered when its wait was over.
        """
        return self._known_at

    @property
    def asked_at(self) -> float:
        """When the last question was sent, by ``now``; what is handed over is its answer."""
        return self._asked_at

    async def run(
        self, after: Revision | None = None, until: Callable[[], bool] = lambda: False
    ) -> None:
        """Follow until cancelled, from a listing that is known already or from one made now.

        It also ends once ``until`` says so when an answer has been taken in, or none has come.
        """
        while not until():
            if after is None:
                await self._list(until)
            else:
                self._as_of = after
            await self._follow(until)
            after = None

    async def _list(self, until: Callable[[], bool]) -> None:
        while not until():
            asked = self._asked_at = self._now()
            try:
                listing = await self._store.list(self._prefix)
            except StoreError as error:
                logger.debug("not listed", prefix=self._prefix, error=str(error))
                await trio.sleep(RETRY_SECONDS)
                continue
            self._answered()
            self._listed(listing)
            self._as_of = listing.as_of
            self._known_at = asked
            self._heard(asked)
            return

    async def _follow(self, until: Callable[[], bool]) -> None:
        """Take changes until the history is lost."""
        wait = self._confirm_seconds
        while not until():
            asked = self._asked_at = self._now()
            try:
                answer = await self._store.changes(self._prefix, self._as_of, wait)
            except StoreHistoryLostError as error:
                logger.info("listed anew", prefix=self._prefix, reason=str(error))
                return
            except StoreError as error:
                logger.debug("not followed", prefix=self._prefix, error=str(error))
                wait = self._confirm_seconds
                await trio.sleep(RETRY_SECONDS)
                continue
            self._answered()
            for change in answer.changes:
                self._changed(change)
            self._as_of = max(self._as_of, answer.as_of)
            in_vain = not answer.changes
            self._known_at = min(asked + wait, self._now()) if in_vain else asked
            self._heard(asked)
            wait = self._wait_seconds if in_vain else self._confirm_seconds
            if self._gather_seconds and answer.changes:
                await trio.sleep(self._gather_seconds)
