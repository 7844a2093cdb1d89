"""Replica of the keys under a prefix of the store, and its source for other instances."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf

import trio

from ..._ids import Revision
from ...adapters import (
    ReplicaAnswer,
    ReplicaQuery,
    ReplicaSource,
    Route,
    StoreChange,
    StoredItem,
    StoreListing,
)

MAX_WAIT_SECONDS = 0.8
"""Maximum wait of a request while there is no change. Each answer shows that the instance is alive.
"""
MIN_WAIT_SECONDS = 0.1
_NO_REVISION = Revision(0)


class KeyReplica:
    """Keys as of some revision, with the time up to which they are known to be current."""

    def __init__(self, changed: Callable[[StoreChange], None]) -> None:
        """Create an empty replica. ``changed`` is called for each key that is written or removed."""
        self._changed = changed
        self._items: dict[str, StoredItem] = {}
        self._as_of = _NO_REVISION
        self._known_at = -inf
        self._route = Route()
        self._advanced = trio.Event()

    @property
    def as_of(self) -> Revision:
        """Revision up to which all changes are known; 0 if none."""
        return self._as_of

    @property
    def known_at(self) -> float:
        """Time before which all changes are known."""
        return self._known_at

    @property
    def route(self) -> Route:
        """The way on which changes reach this replica."""
        return self._route

    def set_route(self, route: Route) -> None:
        """Change the route; queries that wait are answered with it."""
        if route != self._route:
            self._route = route
            self._wake_queries()

    def take_listing(self, listing: StoreListing) -> None:
        """Replace the content by a complete listing."""
        revisions = {item.key: item.revision for item in listing.items}
        self._drop_missing(revisions, listing.as_of)
        for item in listing.items:
            self._put(item)

    def take_change(self, change: StoreChange) -> None:
        """Apply one change."""
        if change.item is not None:
            self._put(change.item)
        else:
            self._remove(change.key, change.revision)

    def take_answer(self, answer: ReplicaAnswer) -> None:
        """Apply the answer of another instance."""
        self._drop_missing(answer.revisions, answer.as_of)
        for item in answer.changed:
            self._put(item)

    def note_known(self, as_of: Revision, known_at: float) -> None:
        """Record that all changes up to ``as_of``, and before ``known_at``, are included."""
        # An answer with a newer revision may have taken longer to arrive than the answer before it,
        # so its ``known_at`` may be earlier.
        advanced = as_of > self._as_of or known_at > self._known_at
        self._as_of = max(self._as_of, as_of)
        self._known_at = max(self._known_at, known_at)
        if advanced:
            self._wake_queries()

    def changed_after(self, revision: Revision) -> tuple[StoredItem, ...]:
        """Return the keys that have changed after a revision."""
        return tuple(item for item in self._items.values() if item.revision > revision)

    def revisions(self) -> dict[str, Revision]:
        """Return the revision of the last change of each existing key."""
        return {key: item.revision for key, item in self._items.items()}

    async def wait_advanced(self) -> None:
        """Wait until ``as_of`` or ``known_at`` advances, or the route changes."""
        await self._advanced.wait()

    def _wake_queries(self) -> None:
        self._advanced.set()
        self._advanced = trio.Event()

    def _put(self, item: StoredItem) -> None:
        current = self._items.get(item.key)
        if current is None or current.revision < item.revision:
            self._items[item.key] = item
            self._changed(StoreChange(item.key, item.revision, item))

    def _drop_missing(self, revisions: Mapping[str, Revision], as_of: Revision) -> None:
        for key in self._items.keys() - revisions.keys():
            self._remove(key, as_of)

    def _remove(self, key: str, revision: Revision) -> None:
        current = self._items.get(key)
        if current is not None and current.revision <= revision:
            del self._items[key]
            self._changed(StoreChange(key, revision, None))


class KeyReplicaSource(ReplicaSource):
    """Answers requests of other instances from a replica."""

    def __init__(self, replica: KeyReplica, now: Callable[[], float], stale_seconds: float) -> None:
        """Set up the source; ``stale_seconds`` is when followers leave an outdated replica."""
        self._replica = replica
        self._now = now
        self._stale_seconds = stale_seconds

    async def answer(self, query: ReplicaQuery) -> ReplicaAnswer:
        """See ReplicaSource."""
        received_at = self._now()
        replica = self._replica
        if self._is_unchanged(query):
            with trio.move_on_after(self._max_wait_seconds()):
                await replica.wait_advanced()
        return ReplicaAnswer(
            replica.as_of,
            self._now() - replica.known_at,
            self._now() - received_at,
            replica.known_at,
            replica.revisions(),
            replica.changed_after(query.after),
            replica.route,
        )

    def _is_unchanged(self, query: ReplicaQuery) -> bool:
        if query.mark is None:
            return False
        return self._replica.known_at <= query.mark and self._replica.as_of <= query.after

    def _max_wait_seconds(self) -> float:
        """Return the maximum time in seconds that a query waits for an update.

        A follower must receive an answer in time to leave this upstream if it is out of date.
        """
        until_stale = self._replica.known_at + self._stale_seconds - self._now()
        return min(max(until_stale, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)
