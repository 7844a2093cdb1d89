"""Stores the decisions and the learned interference of a service's owner, in order."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import TypeVar

import msgspec
import trio
from loguru import logger

from ..._errors import StoreError, TransactionConflictError
from ..._ids import JobId, QueueName, Revision
from ...adapters import CoordinationStore, Put, StoredItem
from ...decisions.jobs import (
    ExecutorRegistration,
    LearnedFit,
    QueueTerms,
    Scheduler,
    StoredEstimates,
    StoredFormatError,
    StoredShare,
    decode_estimates,
    decode_learned,
    decode_registrations,
    decode_shares,
    decode_terms,
    encode_learned,
    encode_progress,
    encode_registrations,
    encode_terms,
)
from ...decisions.jobs.admission import encode_figures
from .._scheduling_keys import (
    cancel_key,
    executors_key,
    job_key,
    journal_key,
    learned_key,
    owner_key,
    pending_key,
    progress_key,
    queue_terms_key,
    work_ahead_key,
)
from .._tombstones import Tombstones
from ._service_lease import Term

MAX_JOBS_PER_WRITE = 25
"""Maximum number of jobs in one write.

A transaction takes 32 rows. The two conditions, the journal's number, the pending counts, the known
executors, the terms of queues and the learned interference use seven of them. Figures of the work
ahead, where they are measured, take the place of one job."""
MAX_JOBS_PER_REMOVAL = 7
"""Maximum number of jobs in one removal, with four keys each, within the same 32 rows."""
WRITE_BATCH_SECONDS = 0.025
"""How long changes are collected before they are written together.

Each call to the store takes 4 ms and is paid for."""
RETRY_SECONDS = 0.1
PENDING_INTERVAL_SECONDS = 0.5
"""Minimum interval between writes of the counts of waiting jobs, which may be up to 2 s old."""
LEARNED_INTERVAL_SECONDS = 2.0
"""Minimum interval between writes of the learned interference, which are added to other writes.

The value is about 3 KB, and two more seconds of observations hardly change any learned effect."""


_Value = TypeVar("_Value")


class OwnershipLostError(StoreError):
    """Raised when another instance owns the service, or none does."""


class ServiceJournal:
    """Performs the owner's writes one after the other.

    A write without an answer may still be executed seconds later. Without an order of writes, it
    would replace newer progress with older: a caller would see a completed job run again, and the
    next owner would run its tasks again. Each write is therefore conditional on the previous one.
    """

    def __init__(
        self,
        store: CoordinationStore,
        term: Term,
        scheduler: Scheduler,
        on_written: Callable[[bool], None],
        now: Callable[[], float] = trio.current_time,
        on_revision: Callable[[float, Revision], None] = lambda _sent_at, _revision: None,
    ) -> None:
        """Set up the journal; ``open`` must be called before the first write.

        ``on_written`` is called after each write, with True if the write stored executors, which may
        then get runs. ``on_revision`` is called with the time by ``now`` at which the write was
        sent, and its revision.
        """
        self._now = now
        self._on_revision = on_revision
        self._store = store
        self._term = term
        self._scheduler = scheduler
        self._on_written = on_written
        self._tombstones = Tombstones(store, now)
        self._last_write = Revision(0)
        self._write_count = 0
        self._changed = trio.Event()
        self._stored = trio.Event()
        self._stored_pending: dict[str, int] | None = None
        """None before the first write, as an earlier owner may have stored other counts."""
        self._pending_at = 0.0
        self._learned_at = 0.0
        self._figures_number = 0
        self._figures_pressed = False

    async def open(self) -> None:
        """Read the revision of the last write of earlier owners. Raises StoreError."""
        item = await self._store.read(journal_key(self._term.service))
        self._last_write = item.revision if item is not None else Revision(0)

    async def last_known_executors(self) -> tuple[ExecutorRegistration, ...] | None:
        """Return the executors that an earlier owner had stored, or None if they aren't readable.

        Raises StoreError.
        """
        nothing: tuple[ExecutorRegistration, ...] = ()
        key = executors_key(self._term.service)
        return await self._read_stored_value(key, decode_registrations, missing=nothing)

    async def last_terms(self) -> dict[QueueName, QueueTerms]:
        """Return the terms of queues that an earlier owner had stored. Raises StoreError."""
        key = queue_terms_key(self._term.service)
        return await self._read_stored_value(key, decode_terms, missing={}) or {}

    async def last_learned(
        self,
    ) -> tuple[tuple[LearnedFit, ...], tuple[StoredShare, ...], StoredEstimates | None]:
        """Return the learned interference, the shares and the estimates that an earlier owner stored.

        Raises StoreError.
        """
        key = learned_key(self._term.service)
        item = await self._store.read(key)
        learned = _decoded(item, key, decode_learned) or ()
        shares = _decoded(item, key, decode_shares) or ()
        return learned, shares, _decoded(item, key, decode_estimates)

    def notify(self) -> None:
        """Wake the journal, because there may be changes to store."""
        self._changed.set()

    async def wait_stored(self, seconds: float) -> None:
        """Wait until the next write succeeds, for at most ``seconds``."""
        with trio.move_on_after(seconds):
            await self._stored.wait()

    async def run(self) -> None:
        """Store changes as they are made. Raises OwnershipLostError."""
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            await self._wait_for_batch()
            while self._has_work():
                if not await self.flush():
                    await trio.sleep(RETRY_SECONDS)

    async def flush(self) -> bool:
        """Store one batch. Return False if the store was unavailable. Raises OwnershipLostError."""
        changes = self._scheduler.jobs.changes
        max_jobs = MAX_JOBS_PER_WRITE - (self._scheduler.work_figures is not None)
        jobs = changes.take(max_jobs)
        pending = self._pending_to_store()
        executors = self._scheduler.take_changed_executors()
        terms = self._scheduler.take_changed_terms()
        try:
            await self._write(jobs, pending, executors, terms)
        except TransactionConflictError as error:
            self._restore_unstored(executors, terms)
            self._resolve_conflict(error)
            return False
        except Exception as error:
            self._restore_unstored(executors, terms)
            if isinstance(error, OwnershipLostError) or not isinstance(error, StoreError):
                raise
            logger.debug("journal not written", service=self._term.service, error=str(error))
            return False
        changes.mark_stored()
        if pending is not None:
            self._stored_pending = pending
            self._pending_at = trio.current_time()
        self._scheduler.release_stored_ends()
        if executors is not None:
            self._scheduler.executors_stored(executors)
        self._on_written(executors is not None)
        self._stored.set()
        self._stored = trio.Event()
        return True

    async def remove_expired(self, before_ms: int) -> bool:
        """Remove some jobs that ended before ``before_ms``. Return whether there may be more.

        Raises OwnershipLostError. A job's key identifies late repeats of its request, so it is kept
        much longer than most repeats take. After that a tombstone bars them, which isn't listed.
        """
        jobs = self._scheduler.jobs.expired(before_ms, MAX_JOBS_PER_REMOVAL)
        if not jobs:
            return False
        keys = tuple(key(name) for name in jobs for key in (job_key, cancel_key, progress_key))
        expected = {owner_key(self._term.service): self._term.owner_revision}
        try:
            await self._store.commit(expected, await self._tombstones.puts(*jobs), keys)
        except TransactionConflictError as error:
            raise OwnershipLostError("another owner has taken over") from error
        except StoreError as error:
            self._tombstones.renew()
            logger.debug("old jobs not removed", service=self._term.service, error=str(error))
            return False
        self._scheduler.jobs.forget(jobs)
        return len(jobs) == MAX_JOBS_PER_REMOVAL

    async def _read_stored_value(
        self, key: str, decode: Callable[[bytes], _Value], missing: _Value
    ) -> _Value | None:
        """Return the value stored by an earlier owner, ``missing`` if there is none.

        Returns None if it can't be read.
        """
        item = await self._store.read(key)
        return missing if item is None else _decoded(item, key, decode)

    async def _wait_for_batch(self) -> None:
        """Wait for more changes, unless executors have to be stored before they can get runs."""
        with trio.move_on_after(WRITE_BATCH_SECONDS):
            while not self._scheduler.executors_changed:
                await self._changed.wait()
                self._changed = trio.Event()

    def _restore_unstored(
        self,
        executors: tuple[ExecutorRegistration, ...] | None,
        terms: dict[QueueName, QueueTerms] | None,
    ) -> None:
        self._scheduler.jobs.changes.put_back()
        if executors is not None:
            self._scheduler.executors_not_stored()
        if terms is not None:
            self._scheduler.terms_not_stored()

    def _has_work(self) -> bool:
        jobs = self._scheduler.jobs
        if len(jobs.changes) or jobs.stored_terms.changed or self._scheduler.executors_changed:
            return True
        return self._pending_to_store() is not None

    def _pending_to_store(self) -> dict[str, int] | None:
        counts = self._scheduler.jobs.pending(self._now())
        pending = {str(queue): n for queue, n in counts.items()}
        due = trio.current_time() - self._pending_at >= PENDING_INTERVAL_SECONDS
        return pending if due and pending != self._stored_pending else None

    async def _write(
        self,
        jobs: tuple[JobId, ...],
        pending: dict[str, int] | None,
        executors: tuple[ExecutorRegistration, ...] | None,
        terms: dict[QueueName, QueueTerms] | None,
    ) -> None:
        service = self._term.service
        self._write_count += 1
        mark = f"{self._term.number}.{self._write_count}".encode("ascii")
        puts = [Put(journal_key(service), mark)]
        for name in jobs:
            job = self._scheduler.jobs.get(name)
            if job is not None:
                puts.append(Put(progress_key(name), encode_progress(job.to_stored())))
        if pending is not None:
            puts.append(Put(pending_key(service), msgspec.json.encode(pending)))
        if trio.current_time() - self._learned_at >= LEARNED_INTERVAL_SECONDS:
            # If this write fails, the next one follows two seconds later; no other state depends on
            # it.
            self._learned_at = trio.current_time()
            learned = encode_learned(
                self._scheduler.learned(),
                self._scheduler.shares(),
                self._scheduler.learned_estimates(),
            )
            puts.append(Put(learned_key(service), learned))
        puts.extend(self._figures_to_store())
        if executors is not None:
            puts.append(Put(executors_key(service), encode_registrations(executors)))
        if terms is not None:
            puts.append(Put(queue_terms_key(service), encode_terms(terms)))
        expected = {
            owner_key(service): self._term.owner_revision,
            journal_key(service): self._last_write,
        }
        figures = self._scheduler.work_figures
        sent_at = self._now()
        self._last_write = await self._store.commit(expected, tuple(puts))
        self._on_revision(sent_at, self._last_write)
        self._figures_pressed = figures is not None and figures.is_pressed

    def _figures_to_store(self) -> Iterator[Put]:
        """Yield the figures of the work ahead while tasks wait for room, and once after that.

        They are added to other writes. If a write fails, the next one has newer figures; without
        any, they become too old to refuse a job by.
        """
        figures = self._scheduler.work_figures
        if figures is None or figures.number == self._figures_number:
            return
        self._figures_number = figures.number
        if figures.is_pressed or self._figures_pressed:
            value = encode_figures(replace(figures, term=self._term.number))
            yield Put(work_ahead_key(self._term.service), value)

    def _resolve_conflict(self, error: TransactionConflictError) -> None:
        """Resolve a conflict, caused either by an own write that got no answer or by a new owner."""
        owner = error.current_versions.get(owner_key(self._term.service))
        if owner is None or owner.revision != self._term.owner_revision:
            raise OwnershipLostError("another owner has taken over, or the lease has ended")
        journal_item = error.current_versions.get(journal_key(self._term.service))
        self._last_write = journal_item.revision if journal_item is not None else Revision(0)


def _decoded(item: StoredItem | None, key: str, decode: Callable[[bytes], _Value]) -> _Value | None:
    """Return a stored value, or None if it is missing or unreadable."""
    if item is None:
        return None
    try:
        return decode(item.value)
    except StoredFormatError as error:
        # Without this the service would have no owner for as long as the value is unreadable,
        # which is worse than starting without it.
        logger.error("state of an earlier owner not readable", key=key, error=str(error))
        return None
