"""The platform's store in memory, with the ways in which it fails."""

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
LATE_SECONDS = (0.5, 4.0)
"""When a change whose answer was lost takes effect, if it does so late."""
PAGE_ITEMS = 100
LINK_MBPS = 1000.0
"""The link of an instance that is not a thin one."""


@dataclass(slots=True)
class StoreTrouble:
    """What goes wrong at present."""

    refused: set[NodeName] = field(default_factory=set)
    """These nodes are turned away, and nothing of theirs is done."""
    silent: set[NodeName] = field(default_factory=set)
    """These get no answer, and nothing of theirs is done."""
    silent_watches: set[tuple[NodeName, str]] = field(default_factory=set)
    """Questions of a node for changes under a prefix get no answer; its other calls do."""
    down: bool = False
    """Nobody gets an answer."""
    slow_factor: float = 1.0
    lost_share: float = 0.0
    """This share of changes is made and not answered."""
    late_share: float = 0.0
    """Of those, this share is made seconds later."""


@dataclass(slots=True)
class _Lease:
    until: float
    seconds: float
    keys: set[str] = field(default_factory=set)


class StandInStore:
    """What all clients share."""

    def __init__(self, random: Random) -> None:
        """Empty, at revision 1."""
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
        """End leases and carry out late changes, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(0.02)
                self._end_leases()

    def client(self, node: NodeName, link_mbps: float = LINK_MBPS) -> StandInStoreClient:
        """The store as one instance reaches it, over a link of so many Mbit/s."""
        return StandInStoreClient(self, node, link_mbps)

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self._history.clear()
        self._oldest = self._revision
        self._notify()

    def revoke(self, key: str) -> None:
        """Take a key away though its lease lives on."""
        if key in self._items:
            self.apply({}, (), (key,))

    def put(self, key: str, value: bytes) -> None:
        """Write as the operator or an executor, whatever the trouble."""
        self.apply({}, (Put(key, value),), ())

    def remove(self, key: str) -> None:
        """Remove as an executor."""
        self.revoke(key)

    def get(self, key: str) -> StoredItem | None:
        """The item, for checks."""
        return self._items.get(key)

    def under(self, prefix: str) -> tuple[StoredItem, ...]:
        """All items whose keys start with ``prefix``, sorted."""
        return tuple(self._items[key] for key in sorted(self._items) if key.startswith(prefix))

    @property
    def revision(self) -> Revision:
        """The number of the last change."""
        return Revision(self._revision)

    def changes_after(self, prefix: str, after: Revision) -> tuple[StoreChange, ...]:
        """Changes under a prefix. Raises StoreHistoryLostError."""
        if after < self._oldest:
            raise StoreHistoryLostError(f"nothing is known before {self._oldest}")
        return tuple(
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        )

    def apply(
        self, expected: dict[str, Revision], puts: tuple[Put, ...], removals: tuple[str, ...]
    ) -> Revision:
        """One transaction. Raises TransactionConflictError, LeaseEndedError."""
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
        """A key goes with the lease that it was last written under, and with no earlier one."""
        before = self._lease_of.pop(key, None)
        if before is not None:
            self._leases[before].keys.discard(key)
        if lease is not None:
            self._lease_of[key] = lease
            self._leases[lease].keys.add(key)

    def grant(self, seconds: float) -> LeaseId:
        """A new lease."""
        lease = LeaseId(len(self._leases) + 1000)
        self._leases[lease] = _Lease(trio.current_time() + seconds, seconds)
        return lease

    def keep(self, lease: LeaseId) -> None:
        """Renew. Raises LeaseEndedError."""
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

    async def changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def later(
        self, expected: dict[str, Revision], puts: tuple[Put, ...], gone: tuple[str, ...]
    ) -> None:
        """Carry a transaction out in some seconds, if its condition still holds then."""
        if self._nursery is not None:
            self._nursery.start_soon(self._apply_late, expected, puts, gone)

    async def _apply_late(
        self, expected: dict[str, Revision], puts: tuple[Put, ...], gone: tuple[str, ...]
    ) -> None:
        await trio.sleep(self._random.uniform(*LATE_SECONDS))
        with suppress(TransactionConflictError, LeaseEndedError):
            self.apply(expected, puts, gone)

    def draws(self, share: float) -> bool:
        """Whether something that happens to this share happens now."""
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
    """One instance's calls."""

    def __init__(self, store: StandInStore, node: NodeName, link_mbps: float) -> None:
        """See StandInStore.client."""
        self._store = store
        self._node = node
        self._link_mbps = link_mbps

    @property
    def is_responsive(self) -> bool:
        """See CoordinationStore."""
        trouble = self._store.trouble
        away = self._node in trouble.refused or self._node in trouble.silent
        return not (trouble.down or away)

    async def read(self, key: str) -> StoredItem | None:
        """See CoordinationStore."""
        await self._reach()
        return self._store.get(key)

    async def list(self, prefix: str) -> StoreListing:
        """See CoordinationStore. Pages are not a snapshot."""
        await self._reach()
        as_of = self._store.revision
        items: list[StoredItem] = []
        while True:
            after = items[-1].key if items else ""
            page = [item for item in self._store.under(prefix) if item.key > after][:PAGE_ITEMS]
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
                await self._store.changed()
        self._fail_if_unreachable()
        found, as_of = self._store.changes_after(prefix, after), self._store.revision
        await self._transfer(len(change.item.value) for change in found if change.item)
        return StoreChanges(found, as_of)

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
                self._store.later(expected, puts, removals)
            else:
                # What became of it is what nobody hears.
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
        """Take as long as these values take on the link; the answer keeps coming all the while."""
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
            raise StoreRefusedError("turned away")
        if trouble.down or self._node in trouble.silent:
            raise StoreUnavailableError("the connection broke")
