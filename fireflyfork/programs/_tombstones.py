"""Tombstones of jobs: keys that bar the id of a job from being accepted, for a time."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .._ids import JobId, LeaseId
from ..adapters import CoordinationStore, Put
from ._scheduling_keys import tombstone_key

TOMBSTONE_SECONDS = 600.0
"""The longest lease that the store grants."""
LEASE_REUSE_SECONDS = 60.0
"""Period in which tombstones share a lease, which is granted by a call of its own. Each tombstone
stands this much less than the lease at worst."""


class Tombstones:
    """Writes tombstones that the store removes by itself.

    Nobody else ever would: an id that was cancelled may never have belonged to a job.
    """

    def __init__(
        self, store: CoordinationStore, now: Callable[[], float] = trio.current_time
    ) -> None:
        """Initialize without a lease.

        ``now`` returns seconds on a monotonic clock that keeps running during a suspension.
        """
        self._store = store
        self._now = now
        self._lease: LeaseId | None = None
        self._granted_at = 0.0

    async def puts(self, *jobs: JobId) -> tuple[Put, ...]:
        """Return the rows that write the tombstones of some jobs. Raises StoreError.

        The transaction raises LeaseEndedError if the store has lost the lease; then ``renew`` has
        to be called.
        """
        now = self._now()
        if self._lease is None or now - self._granted_at >= LEASE_REUSE_SECONDS:
            self._lease = await self._store.grant_lease(TOMBSTONE_SECONDS)
            self._granted_at = now
        return tuple(Put(tombstone_key(job), b"", self._lease) for job in jobs)

    def renew(self) -> None:
        """Have the next call request another lease."""
        self._lease = None
