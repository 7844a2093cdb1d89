"""Operations on jobs that callers may request, independent of HTTP: submit, read the state, cancel,
count.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..._decoding import Count, decode_json
from ..._errors import (
    InvalidDataError,
    JobGoneError,
    LeaseEndedError,
    StoreRefusedError,
    StoreUnavailableError,
    TransactionConflictError,
)
from ..._ids import JobId, Revision
from ...adapters import CoordinationStore, Put
from ...decisions.jobs import (
    JobSpec,
    JobState,
    QueueConfiguration,
    StoredFormatError,
    decode_progress,
    decode_stored_job,
    encode_job,
)
from .._scheduling_keys import (
    PENDING_PREFIX,
    cancel_key,
    job_key,
    progress_key,
    tombstone_key,
)
from .._tombstones import Tombstones

MAX_WRITE_ATTEMPTS = 2
"""A write whose answer was lost is sent once more, which settles whether it succeeded. After that
the caller is better served by another instance."""


class JobRequests:
    """Carries out requests about jobs.

    The class holds no state of jobs: a job is stored before its caller gets the answer. Every
    method raises StoreRefusedError if nothing was done, and StoreUnavailableError if the outcome is
    unknown.
    """

    def __init__(
        self,
        store: CoordinationStore,
        changed: Callable[[], None],
        repeats_in_outages: bool = True,
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        """Set up; ``changed`` is called after each stored job or cancellation.

        With ``repeats_in_outages`` a write without an answer is sent once more even if the store
        has meanwhile stopped answering this instance. ``now`` returns seconds on a monotonic clock
        that keeps running while the instance is suspended.
        """
        self._store = store
        self._tombstones = Tombstones(store, now)
        self._repeats_in_outages = repeats_in_outages
        self._changed = changed

    async def submit(self, spec: JobSpec) -> None:
        """Accept a job. A job that any instance has accepted before is left unchanged.

        Raises JobGoneError if it was cancelled before it could be accepted: a caller that leaves
        and cancels may be answered before its request is read.
        """
        self._refuse_without_store()
        key, tombstone = job_key(spec.job), tombstone_key(spec.job)
        present = await self._write_if_absent((key, tombstone), Put(key, encode_job(spec)))
        if tombstone in present and key not in present:
            logger.info("job not accepted: barred", job=spec.job)
            raise JobGoneError()
        logger.info(
            "job accepted",
            job=spec.job,
            queue=spec.queue,
            tasks=spec.task_count,
            work=spec.work,
        )
        self._changed()

    async def state(self, job: JobId) -> JobState | None:
        """Return the stored state of a job, or None if there is no such job."""
        self._refuse_without_store()
        progress = await self._store.read(progress_key(job))
        try:
            if progress is not None:
                return decode_progress(progress.value).state
            stored = await self._store.read(job_key(job))
            if stored is None:
                return None
            decode_stored_job(stored.value)
        except StoredFormatError as error:
            raise StoreUnavailableError(str(error)) from error
        return JobState.QUEUED

    async def cancel(self, job: JobId) -> bool:
        """Cancel a job. Return False if there is no such job.

        That answer has to hold: a request that is on its way may be carried out at any later time.
        So it is given only with a tombstone, which bars the job from being accepted.
        """
        self._refuse_without_store()
        if await self._store.read(job_key(job)) is None and await self._bar(job):
            logger.info("job barred", job=job)
            return False
        await self._write_if_absent((cancel_key(job),), Put(cancel_key(job), b""))
        logger.info("job cancelled", job=job)
        self._changed()
        return True

    async def _bar(self, job: JobId) -> bool:
        """Write the tombstone of a job. Return False if the job has been accepted meanwhile."""
        try:
            present = await self._write_tombstone(job)
        except LeaseEndedError:
            self._tombstones.renew()
            present = await self._write_tombstone(job)
        return job_key(job) not in present

    async def _write_tombstone(self, job: JobId) -> frozenset[str]:
        (tombstone,) = await self._tombstones.puts(job)
        return await self._write_if_absent((job_key(job), tombstone.key), tombstone)

    async def pending(self, queue: QueueConfiguration) -> int:
        """Return how many jobs of a queue wait for their first start; the count may be 2 s old.

        Jobs of a queue that had other services before may wait there: each owner counts its own.
        """
        self._refuse_without_store()
        listing = await self._store.list(PENDING_PREFIX)
        try:
            counts = [decode_json(item.value, dict[str, Count]) for item in listing.items]
        except InvalidDataError as error:
            raise StoreUnavailableError(f"the stored counts can't be read: {error}") from error
        return sum(count.get(queue.name, 0) for count in counts)

    def _refuse_without_store(self) -> None:
        """Raise StoreRefusedError at once while the store doesn't answer this instance.

        The caller's next attempt reaches another instance, which the store may answer. Waiting here
        for a timeout would use up a third of the time that the caller has.
        """
        if not self._store.is_responsive:
            raise StoreRefusedError("the store does not answer this instance")

    async def _write_if_absent(self, keys: tuple[str, ...], put: Put) -> frozenset[str]:
        """Write a key if none of ``keys`` exists. Return those that do, none if it was written.

        Raises StoreRefusedError only if this call can't have written anything: a caller that gets
        the answer "not accepted" must be able to rely on it.
        """
        unknown_outcome: StoreUnavailableError | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await self._store.commit(dict.fromkeys(keys, Revision(0)), (put,))
                return frozenset()
            except TransactionConflictError as error:
                return frozenset(error.current_versions)
            except StoreRefusedError as error:
                if unknown_outcome is None:
                    raise
                raise unknown_outcome from error
            except StoreUnavailableError as error:
                unknown_outcome = error
                if not (self._repeats_in_outages or self._store.is_responsive):
                    # Waiting for a second timeout would use up the time that the caller has left.
                    break
        assert unknown_outcome is not None
        raise unknown_outcome
