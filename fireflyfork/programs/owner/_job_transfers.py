"""Hands jobs that haven't begun to the service that their queue has now."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..._errors import StoreError, TransactionConflictError
from ..._ids import JobId, QueueName, Revision, ServiceName
from ...adapters import CoordinationStore, Put, StoredItem
from ...decisions.jobs import (
    JobSpec,
    Scheduler,
    StoredFormatError,
    decode_stored_job,
    encode_job,
)
from .._clocks import Clock
from .._scheduling_keys import cancel_key, job_key, owner_key, progress_key
from ._service_journal import OwnershipLostError
from ._service_lease import Term

RETRY_SECONDS = 0.25
MAX_JOBS_PER_TRANSFER = 7
"""Maximum number of jobs in one transaction, which takes 32 rows: the owner key, and for each job
its key twice, that of its progress and that of its cancellation."""
COUNTED_SECONDS = 2.0
"""How long a transferred job is counted as pending by its earlier owner as well. The new owner
hears of it by a watch, and stores its counts each half second."""


class JobTransfers:
    """One owner's transfers of jobs to other services.

    The job's key names the service that owns it, and is changed in one transaction that requires
    this term, the key's revision, and that the job was neither cancelled nor started. A transaction
    without an answer may be carried out seconds later, so a job stays under way, and starts
    nowhere, until a later one or a read shows where it is.
    """

    def __init__(
        self,
        store: CoordinationStore,
        scheduler: Scheduler,
        term: Term,
        clock: Clock,
        delay_seconds: float,
        request_dispatch: Callable[[], None],
    ) -> None:
        """Set up the transfers, ``delay_seconds`` after this owner learns of a queue's service.

        By then every instance that is in touch with the store has learned of it. The new owner
        would otherwise start tasks by a configuration that its own instance doesn't have yet.
        """
        self._store = store
        self._scheduler = scheduler
        self._term = term
        self._clock = clock
        self._delay_seconds = delay_seconds
        self._request_dispatch = request_dispatch
        self._rerouted_since: dict[tuple[QueueName, ServiceName], float] = {}
        self._settled: frozenset[QueueName] = frozenset()
        """The queues whose jobs are transferred."""
        self._due = trio.Event()

    async def run(self) -> None:
        """Transfer jobs until cancelled. Raises OwnershipLostError."""
        while True:
            await self._due.wait()
            self._due = trio.Event()
            while specs := self._scheduler.take_departing(self._settled, MAX_JOBS_PER_TRANSFER):
                try:
                    await self._transfer({spec.job: spec for spec in specs})
                except OwnershipLostError:
                    raise
                except StoreError as error:
                    logger.info("job transfer waits for the store", error=str(error))
                    await trio.sleep(RETRY_SECONDS)

    def check(self) -> None:
        """Wake ``run`` if queues have moved; called at each tick."""
        self._settled = self._settled_queues()
        if self._settled:
            self._due.set()

    def _settled_queues(self) -> frozenset[QueueName]:
        """Return the queues that have had another service for long enough."""
        now = self._clock.now()
        self._rerouted_since = {
            route: self._rerouted_since.get(route, now)
            for route in self._scheduler.rerouted_queues().items()
        }
        return frozenset(
            queue
            for (queue, _), since in self._rerouted_since.items()
            if now - since >= self._delay_seconds
        )

    async def _transfer(self, specs: dict[JobId, JobSpec]) -> None:
        """Store some jobs for the service of their queue. Raises StoreError."""
        stored = await self._read_all(tuple(specs))
        expected = {owner_key(self._term.service): self._term.owner_revision}
        moved: list[JobSpec] = []
        for name, item in stored.items():
            if item is None or self._service_of(item) != self._term.service:
                self._depart(name)
                continue
            expected[job_key(name)] = item.revision
            expected[cancel_key(name)] = expected[progress_key(name)] = Revision(0)
            moved.append(specs[name])
        if not moved:
            return
        puts = tuple(Put(job_key(spec.job), encode_job(spec)) for spec in moved)
        try:
            await self._store.commit(expected, puts)
        except TransactionConflictError as error:
            self._resolve_conflict(error, specs)
            return
        for spec in moved:
            self._depart(spec.job)
            logger.info("job transferred", job=spec.job, queue=spec.queue, service=spec.service)

    async def _read_all(self, names: tuple[JobId, ...]) -> dict[JobId, StoredItem | None]:
        items: dict[JobId, StoredItem | None] = {}

        async def read(name: JobId) -> None:
            items[name] = await self._store.read(job_key(name))

        try:
            async with trio.open_nursery() as nursery:
                for name in names:
                    nursery.start_soon(read, name)
        except* StoreError as errors:
            raise StoreError(f"jobs not read: {errors.exceptions[0]}") from errors
        return items

    def _service_of(self, item: StoredItem) -> ServiceName:
        try:
            return decode_stored_job(item.value).service
        except StoredFormatError as error:
            logger.error("job not readable", key=item.key, error=str(error))
            return self._term.service

    def _resolve_conflict(
        self, error: TransactionConflictError, specs: dict[JobId, JobSpec]
    ) -> None:
        """Keep the jobs that were cancelled or started; the others are read again."""
        present = error.current_versions
        owner = present.get(owner_key(self._term.service))
        if owner is None or owner.revision != self._term.owner_revision:
            raise OwnershipLostError("another owner has taken over, or the lease has ended")
        for name in specs:
            if cancel_key(name) in present or progress_key(name) in present:
                self._scheduler.stay(name, self._clock.now(), self._clock.unix_ms())
                self._request_dispatch()

    def _depart(self, name: JobId) -> None:
        now = self._clock.now()
        self._scheduler.depart(name, now + COUNTED_SECONDS, now)
