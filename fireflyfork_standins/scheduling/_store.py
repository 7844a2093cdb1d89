"""An in-memory simulation of the platform's store with injected failures."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import trio

from fireflyfork import StoreUnavailableError
from fireflyfork._errors import (
    LeaseEndedError,
    StoredVersion,
    StoreHistoryLostError,
    StoreRefusedError,
    TransactionConflictError,
)
from fireflyfork._ids import LeaseId, NodeName, Revision
from fireflyfork.adapters import (
    CoordinationStore,
    Put,
    StoreChange,
    StoreChanges,
    StoredItem,
    StoreListing,
)

LATENCY_SECONDS = 0.004
TIMEOUT_SECONDS = 0.9
LATE_DELAY_SECONDS = (0.5, 4.0)
"""Range of the delay with which a change takes effect that was lost and applied late."""
PAGE_ITEMS = 100
MAX_CHANGES = 500
"""Number of changes in one answer to a watch; the rest follows in the next answers."""
LINK_MBPS = 1000.0
"""Default bandwidth between an instance and the store, in Mbit/s."""


@dataclass(slots=True)
class StoreTrouble:
    """Failures that currently affect calls to the store."""

    refused: set[NodeName] = field(default_factory=set)
    """Instances whose calls are refused without any effect."""
    silent: set[NodeName] = field(default_factory=set)
    """Instances whose calls get no answer and have no effect."""
    silent_watches: set[tuple[NodeName, str]] = field(default_factory=set)
    """Pairs of an instance and a key prefix whose watches get no answer. Other calls are answered."""
    down: bool = False
    """No call gets an answer."""
    slow_factor: float = 1.0
    lost_share: float = 0.0
    """Share of transactions that get no answer."""
    late_share: float = 0.0
    """Share of the transactions without an answer that are applied seconds later instead of at once."""


@dataclass(slots=True)
class _Lease:
    until: float
    seconds: float
    keys: set[str] = field(default_factory=set)


class StandInStore:
    """The state of the store, which all clients share."""

    def __init__(self, random: Random) -> None:
        """Create an empty store at revision 1."""
        self.trouble = StoreTrouble()
        self.calls = 0
        self._random = random
        self._items: dict[str, StoredItem] = {}
        self._lease_of: dict[str, LeaseId] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._history: list[StoreChange] = []
        self._revision = 1
        self._oldest = 1
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Expire leases and apply late transactions until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(0.02)
                self._end_leases()

    def client(self, node: NodeName, link_mbps: float = LINK_MBPS) -> StandInStoreClient:
        """Return the client of an instance whose link has ``link_mbps`` Mbit/s."""
        return StandInStoreClient(self, node, link_mbps)

    def drop_history(self) -> None:
        """Drop all changes so far, so that watches after an earlier revision fail."""
        self._history.clear()
        self._oldest = self._revision
        self._notify()

    def revoke(self, key: str) -> None:
        """Remove a key although its lease hasn't ended."""
        if key in self._items:
            self.apply({}, (), (key,))

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator or an executor does, unaffected by failures."""
        self.apply({}, (Put(key, value),), ())

    def remove(self, key: str) -> None:
        """Remove a key as an executor does."""
        self.revoke(key)

    def get(self, key: str) -> StoredItem | None:
        """Return the item of a key, or None."""
        return self._items.get(key)

    def items_under(self, prefix: str) -> tuple[StoredItem, ...]:
        """Return all items whose keys start with ``prefix``, sorted by key."""
        return tuple(self._items[key] for key in sorted(self._items) if key.startswith(prefix))

    @property
    def revision(self) -> Revision:
        """The revision of the last transaction."""
        return Revision(self._revision)

    def changes_after(self, prefix: str, after: Revision) -> tuple[StoreChange, ...]:
        """Return the changes under a prefix after a revision.

        Raises StoreHistoryLostError if some of them were dropped.
        """
        if after < self._oldest:
            raise StoreHistoryLostError(f"changes before revision {self._oldest} were dropped")
        return tuple(
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        )

    def apply(
        self, expected: dict[str, Revision], puts: tuple[Put, ...], removals: tuple[str, ...]
    ) -> Revision:
        """Apply a transaction and return its revision.

        Raises TransactionConflictError if a key has another revision than expected, LeaseEndedError
        if a lease of a put has ended.
        """
        present = {key: self._items[key].revision for key in expected if key in self._items}
        if any(present.get(key, 0) != revision for key, revision in expected.items()):
            raise TransactionConflictError(
                {
                    key: StoredVersion(self._items[key].revision, self._items[key].value)
                    for key in present
                }
            )
        for put in puts:
            if put.lease is not None and put.lease not in self._leases:
                raise LeaseEndedError(f"no lease {put.lease}")
        self._revision += 1
        revision = Revision(self._revision)
        for put in puts:
            known = self._items.get(put.key)
            created = known.created if known is not None else revision
            item = StoredItem(put.key, put.value, revision, created)
            self._items[put.key] = item
            self._history.append(StoreChange(put.key, revision, item))
            self._attach(put.key, put.lease)
        for key in removals:
            self._attach(key, None)
            if self._items.pop(key, None) is not None:
                self._history.append(StoreChange(key, revision, None))
        self._notify()
        return revision

    def _attach(self, key: str, lease: LeaseId | None) -> None:
        """Attach a key to the lease of its last write, and detach it from any earlier one."""
        before = self._lease_of.pop(key, None)
        if before is not None:
            self._leases[before].keys.discard(key)
        if lease is not None:
            self._lease_of[key] = lease
            self._leases[lease].keys.add(key)

    def grant(self, seconds: float) -> LeaseId:
        """Grant a lease of ``seconds`` and return its id."""
        lease = LeaseId(len(self._leases) + 1000)
        self._leases[lease] = _Lease(trio.current_time() + seconds, seconds)
        return lease

    def keep(self, lease: LeaseId) -> None:
        """Renew a lease. Raises LeaseEndedError."""
        known = self._leases.get(lease)
        if known is None or known.until < trio.current_time():
            raise LeaseEndedError(f"no lease {lease}")
        known.until = trio.current_time() + known.seconds

    def end(self, lease: LeaseId) -> None:
        """End a lease and remove its keys."""
        known = self._leases.get(lease)
        if known is not None:
            known.until = 0.0
            self._end_leases()

    async def wait_changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def schedule_late(
        self, expected: dict[str, Revision], puts: tuple[Put, ...], removals: tuple[str, ...]
    ) -> None:
        """Apply a transaction some seconds later, if its conditions still hold then."""
        if self._nursery is not None:
            self._nursery.start_soon(self._apply_late, expected, puts, removals)

    async def _apply_late(
        self, expected: dict[str, Revision], puts: tuple[Put, ...], removals: tuple[str, ...]
    ) -> None:
        await trio.sleep(self._random.uniform(*LATE_DELAY_SECONDS))
        with suppress(TransactionConflictError, LeaseEndedError):
            self.apply(expected, puts, removals)

    def draws(self, share: float) -> bool:
        """Draw whether a failure with this probability happens."""
        return share > 0 and self._random.random() < share

    def _end_leases(self) -> None:
        now = trio.current_time()
        ended = [one for one in self._leases.values() if one.until <= now and one.keys]
        for lease in ended:
            keys = tuple(sorted(key for key in lease.keys if key in self._items))
            lease.keys.clear()
            if keys:
                self.apply({}, (), keys)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


class StandInStoreClient(CoordinationStore):
    """The calls of one instance to the store."""

    def __init__(self, store: StandInStore, node: NodeName, link_mbps: float) -> None:
        """Create the client of ``node``, see ``StandInStore.client``."""
        self._store = store
        self._node = node
        self._link_mbps = link_mbps

    @property
    def is_responsive(self) -> bool:
        """See CoordinationStore."""
        trouble = self._store.trouble
        is_unreachable = self._node in trouble.refused or self._node in trouble.silent
        return not (trouble.down or is_unreachable)

    async def read(self, key: str) -> StoredItem | None:
        """See CoordinationStore."""
        await self._reach()
        return self._store.get(key)

    async def list(self, prefix: str) -> StoreListing:
        """See CoordinationStore. The pages of a listing are read at different revisions."""
        await self._reach()
        as_of = self._store.revision
        items: list[StoredItem] = []
        while True:
            after = items[-1].key if items else ""
            page = [item for item in self._store.items_under(prefix) if item.key > after][
                :PAGE_ITEMS
            ]
            items.extend(page)
            await self._transfer(len(item.value) for item in page)
            if len(page) < PAGE_ITEMS:
                return StoreListing(tuple(items), as_of)
            await self._reach()

    async def changes(self, prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
        """See CoordinationStore."""
        await self._reach()
        if (self._node, prefix) in self._store.trouble.silent_watches:
            await trio.sleep(wait_seconds + TIMEOUT_SECONDS)
            raise StoreUnavailableError("no answer")
        with trio.move_on_after(wait_seconds):
            while not self._store.changes_after(prefix, after):
                await self._store.wait_changed()
        self._fail_if_unreachable()
        changes, as_of = self._store.changes_after(prefix, after), self._store.revision
        is_full = len(changes) >= MAX_CHANGES
        if is_full:
            as_of = changes[MAX_CHANGES - 1].revision
            changes = tuple(change for change in changes if change.revision <= as_of)
        await self._transfer(len(change.item.value) for change in changes if change.item)
        return StoreChanges(changes, as_of, is_full)

    async def commit(
        self,
        expected: dict[str, Revision],
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> Revision:
        """See CoordinationStore."""
        await self._reach()
        trouble = self._store.trouble
        if self._store.draws(trouble.lost_share):
            if self._store.draws(trouble.late_share):
                self._store.schedule_late(expected, puts, removals)
            else:
                # The caller gets no answer, so it doesn't learn whether the transaction failed.
                with suppress(TransactionConflictError, LeaseEndedError):
                    self._store.apply(expected, puts, removals)
            await trio.sleep(TIMEOUT_SECONDS)
            raise StoreUnavailableError("the answer was lost")
        return self._store.apply(expected, puts, removals)

    async def grant_lease(self, seconds: float) -> LeaseId:
        """See CoordinationStore."""
        await self._reach()
        return self._store.grant(seconds)

    async def keep_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""
        await self._reach()
        self._store.keep(lease)

    async def end_lease(self, lease: LeaseId) -> None:
        """See CoordinationStore."""
        await self._reach()
        self._store.end(lease)

    async def _transfer(self, sizes: Iterable[int]) -> None:
        """Wait for as long as the transfer of values of these sizes takes on the link.

        There is no timeout, as parts of the answer arrive all the time.
        """
        await trio.sleep(sum(sizes) * 8 / (self._link_mbps * 1e6))

    async def _reach(self) -> None:
        self._store.calls += 1
        trouble = self._store.trouble
        if trouble.down or self._node in trouble.silent:
            await trio.sleep(TIMEOUT_SECONDS)
            raise StoreUnavailableError("no answer")
        await trio.sleep(LATENCY_SECONDS * trouble.slow_factor)
        self._fail_if_unreachable()

    def _fail_if_unreachable(self) -> None:
        trouble = self._store.trouble
        if self._node in trouble.refused:
            raise StoreRefusedError("the store refuses calls of this instance")
        if trouble.down or self._node in trouble.silent:
            raise StoreUnavailableError("connection lost")
