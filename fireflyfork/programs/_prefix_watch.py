"""Follows all keys under a prefix of the store, through outages and loss of the store's history."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf

import trio
from loguru import logger

from .._errors import StoreError, StoreHistoryLostError
from .._ids import Revision
from ..adapters import CoordinationStore, StoreChange, StoreListing

RETRY_SECONDS = 0.1
"""Delay after a failed call. The next answer includes the changes that were missed."""

STORE_AWAY_SECONDS = 1.0
"""How long calls must have failed until the store counts as away. A single call that is cut off
says nothing of the changes that the store has."""
RELIST_SECONDS = 1.5
"""Age of an incomplete answer from which all keys are listed anew. Keys that are written every
second or two have more changes by then than there are keys."""
MAX_REVISIONS = 256
"""Writes that are remembered to tell the age of an incomplete answer: some seconds of them."""
CATCH_UP_SECONDS = 0.05
"""Wait of a request that finds out whether more changes are left."""


class PrefixWatch:
    """Follows the keys under one prefix."""

    def __init__(
        self,
        store: CoordinationStore,
        prefix: str,
        wait_seconds: float,
        on_listing: Callable[[StoreListing], None],
        on_change: Callable[[StoreChange], None],
        on_answer: Callable[[], None] = lambda: None,
        gather_seconds: float = 0.0,
        confirm_seconds: float | None = None,
        now: Callable[[], float] = trio.current_time,
        on_confirmed: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Set up a watch that reports to callbacks; ``run`` starts it.

        ``on_listing`` gets all keys at the start and whenever the store has lost its history.
        ``on_change`` gets each later change, in order. ``on_answer`` is called for every
        answer that lacks no changes.

        A request waits for changes for up to ``wait_seconds``. A failed connection is noticed after
        this wait and a call's timeout. After an answer with changes, the next request is delayed by
        ``gather_seconds`` so that one answer carries many changes: the store's operators pay for
        each call. After changes and failures the next request waits for ``confirm_seconds`` only,
        if given (see ``known_at``). An answer that may lack changes is followed by the next request at
        once, since more changes may arrive in the meantime than one answer holds.

        Once an answer without missing changes has been processed, ``on_confirmed`` is called with the
        time, by ``now``, at which its request was sent. All changes before that time have been
        reported.
        """
        self._store = store
        self._prefix = prefix
        self._wait_seconds = wait_seconds
        self._on_listing = on_listing
        self._on_change = on_change
        self._on_answer = on_answer
        self._gather_seconds = gather_seconds
        self._confirm_seconds = wait_seconds if confirm_seconds is None else confirm_seconds
        self._now = now
        self._on_confirmed = on_confirmed
        self._known_at = -inf
        self._asked_at = -inf
        self._as_of = Revision(0)
        self._is_behind = False
        self._failing_since: float | None = None
        self._revisions: deque[tuple[float, Revision]] = deque(maxlen=MAX_REVISIONS)

    @property
    def is_behind(self) -> bool:
        """Whether the store has, or may have, changes that were not received yet.

        False once the store has not answered for ``STORE_AWAY_SECONDS``.
        """
        if self._failing_since is None:
            return self._is_behind
        return self._is_behind and self._now() - self._failing_since < STORE_AWAY_SECONDS

    def note_revision(self, sent_at: float, revision: Revision) -> None:
        """Record that a write sent at ``sent_at``, by ``now``, was carried out at ``revision``.

        Changes before that time have earlier revisions. They are all known once the watch has
        received the changes up to this one, even if more changes are left.
        """
        self._revisions.append((sent_at, revision))

    @property
    def as_of(self) -> Revision:
        """Revision up to which all changes have been received; 0 if none."""
        return self._as_of

    @property
    def known_at(self) -> float:
        """Time, by ``now``, before which all changes have been received.

        This is the time at which a request was sent: its answer may have been delayed, and contains
        nothing that happened in between. A request that waited without a change was answered at the
        end of its wait.
        """
        return self._known_at

    @property
    def asked_at(self) -> float:
        """When the last request was sent, by ``now``. Callbacks receive the answer to this request."""
        return self._asked_at

    async def run(
        self,
        after: Revision | None = None,
        until: Callable[[], bool] = lambda: False,
        listed_at: float | None = None,
    ) -> None:
        """Follow the prefix until cancelled, starting at revision ``after`` or with a new listing.

        Also returns once ``until`` returns True; it is checked after each answer and each failed
        call. ``listed_at`` is the time, by ``now``, at which the listing was requested that revision
        ``after`` is from. The watch is then considered to be behind until the first answer, and
        lists the keys anew if that is long ago.
        """
        if listed_at is not None:
            self._known_at = listed_at
            self._is_behind = True
            if self._now() - listed_at > RELIST_SECONDS:
                after = None
        while not until():
            if after is None:
                await self._list(until)
            else:
                self._as_of = after
            await self._follow(until)
            after = None

    async def _list(self, until: Callable[[], bool]) -> None:
        while not until():
            sent_at = self._asked_at = self._now()
            try:
                listing = await self._store.list(self._prefix)
            except StoreError as error:
                logger.debug("prefix not listed", prefix=self._prefix, error=str(error))
                self._note_failure(sent_at)
                await trio.sleep(RETRY_SECONDS)
                continue
            self._failing_since = None
            # The transfer of a long listing takes time, in which there may have been changes.
            self._is_behind = True
            self._on_answer()
            self._on_listing(listing)
            self._as_of = listing.as_of
            self._known_at = sent_at
            self._on_confirmed(sent_at)
            return

    async def _follow(self, until: Callable[[], bool]) -> None:
        """Process changes until the store has lost its history or ``until`` returns True."""
        wait = CATCH_UP_SECONDS if self._is_behind else self._confirm_seconds
        while not until():
            sent_at = self._asked_at = self._now()
            try:
                answer = await self._store.changes(self._prefix, self._as_of, wait)
            except StoreHistoryLostError as error:
                logger.info("prefix listed again", prefix=self._prefix, reason=str(error))
                self._failing_since = None
                self._is_behind = True
                return
            except StoreError as error:
                logger.debug("prefix not followed", prefix=self._prefix, error=str(error))
                self._note_failure(sent_at)
                wait = CATCH_UP_SECONDS if self._is_behind else self._confirm_seconds
                await trio.sleep(RETRY_SECONDS)
                continue
            self._failing_since = None
            if not answer.may_be_partial:
                self._on_answer()
            for change in answer.changes:
                self._on_change(change)
            self._as_of = max(self._as_of, answer.as_of)
            self._is_behind = answer.may_be_partial
            while self._revisions and self._revisions[0][1] <= self._as_of:
                self._known_at = max(self._known_at, self._revisions.popleft()[0])
            if answer.may_be_partial:
                if self._now() - self._known_at > RELIST_SECONDS:
                    logger.info("prefix listed again", prefix=self._prefix, reason="too far behind")
                    return
                wait = CATCH_UP_SECONDS
                continue
            unchanged = not answer.changes
            known_at = min(sent_at + wait, self._now()) if unchanged else sent_at
            self._known_at = max(self._known_at, known_at)
            self._on_confirmed(sent_at)
            wait = self._wait_seconds if unchanged else self._confirm_seconds
            if self._gather_seconds and answer.changes:
                await trio.sleep(self._gather_seconds)

    def _note_failure(self, sent_at: float) -> None:
        if self._failing_since is None:
            self._failing_since = sent_at
