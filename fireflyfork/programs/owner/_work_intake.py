"""Follows the stored work of a service: its owner, its jobs and their cancellations."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from loguru import logger

from ..._ids import JobId, ServiceName
from ...adapters import CoordinationStore, StoreChange, StoredItem, StoreListing
from ...decisions.jobs import (
    JobSpec,
    Scheduler,
    StoredFormatError,
    StoredProgress,
    decode_progress,
    decode_stored_job,
)
from .._clocks import Clock
from .._prefix_watch import PrefixWatch
from .._scheduling_keys import CANCEL_PREFIX, JOB_PREFIX, PROGRESS_PREFIX, WORK_PREFIX, owner_key
from ._service_journal import OwnershipLostError
from ._service_lease import Term

WATCH_SECONDS = 2.0
"""How long one request for changes waits. A failed connection is noticed a second after that."""


class WorkIntake:
    """Passes stored jobs and cancellations to the scheduler of one owner."""

    def __init__(
        self,
        store: CoordinationStore,
        scheduler: Scheduler,
        term: Term,
        clock: Clock,
        note_ownership: Callable[[], None],
        request_dispatch: Callable[[], None],
        require_owner: Callable[[ServiceName], None] = lambda _: None,
    ) -> None:
        """Set up the intake; no call is made.

        ``note_ownership`` is called when the store shows that ``term`` continues,
        ``request_dispatch`` after each new job or cancellation, ``require_owner`` with the service
        of each job of another one.
        """
        self._require_owner = require_owner
        self._store = store
        self._scheduler = scheduler
        self._term = term
        self._clock = clock
        self._note_ownership = note_ownership
        self._request_dispatch = request_dispatch

    def watch(self) -> PrefixWatch:
        """Return a watch that passes changes to the scheduler.

        The watch raises OwnershipLostError from its ``run`` method.
        """
        return PrefixWatch(
            self._store,
            WORK_PREFIX,
            WATCH_SECONDS,
            self.take_listing,
            self._take_change,
            self._note_ownership,
            now=self._clock.now,
            on_confirmed=self._scheduler.record_ownership,
        )

    def stored_jobs(
        self, work: Iterable[StoredItem], progress: Iterable[StoredItem]
    ) -> tuple[tuple[JobSpec, StoredProgress | None], ...]:
        """Return the service's jobs with their progress. Unreadable items are logged and skipped."""
        progress_by_job: dict[str, StoredProgress] = {}
        for item in progress:
            try:
                progress_by_job[item.key.removeprefix(PROGRESS_PREFIX)] = decode_progress(
                    item.value
                )
            except StoredFormatError as error:
                logger.error("progress not readable", key=item.key, error=str(error))
        jobs = (self._decode_job(item) for item in work if item.key.startswith(JOB_PREFIX))
        return tuple((spec, progress_by_job.get(spec.job)) for spec in jobs if spec is not None)

    def take_cancellations(self, work: Iterable[StoredItem]) -> None:
        """Pass the cancellations among stored items to the scheduler."""
        for item in work:
            if item.key.startswith(CANCEL_PREFIX):
                self._cancel(item.key)

    def take_listing(self, listing: StoreListing) -> None:
        """Process the changes that the store lost from its history. Raises OwnershipLostError."""
        self.require_ownership(listing)
        jobs_first = sorted(listing.items, key=lambda item: item.key.startswith(CANCEL_PREFIX))
        for item in jobs_first:
            self._take_change(StoreChange(item.key, item.revision, item))

    def require_ownership(self, listing: StoreListing) -> None:
        """Raise OwnershipLostError if a listing shows another owner or none.

        Its jobs may then belong to a successor, which starts jobs accepted after its own listing
        without any confirmation. The owner key is on the last page of a listing: if it is still
        this owner's key, this instance also owned the jobs on the earlier pages.
        """
        owner_items = [item for item in listing.items if item.key == owner_key(self._term.service)]
        if not owner_items:
            raise OwnershipLostError("the owner key was removed")
        if owner_items[0].revision != self._term.owner_revision:
            raise OwnershipLostError("the owner key was replaced")

    def _take_change(self, change: StoreChange) -> None:
        if change.key == owner_key(self._term.service):
            if change.item is None or change.revision != self._term.owner_revision:
                raise OwnershipLostError("the owner key was replaced or removed")
        elif change.item is None:
            return
        elif change.key.startswith(JOB_PREFIX):
            self._accept(change.item)
        elif change.key.startswith(CANCEL_PREFIX):
            self._cancel(change.key)

    def _accept(self, item: StoredItem) -> None:
        spec = self._decode_job(item)
        if spec is not None:
            self._scheduler.accept(spec, self._clock.unix_ms())
            self._request_dispatch()

    def _decode_job(self, item: StoredItem) -> JobSpec | None:
        try:
            spec = decode_stored_job(item.value)
        except StoredFormatError as error:
            logger.error("job not readable", key=item.key, error=str(error))
            return None
        if spec.service != self._term.service:
            self._require_owner(spec.service)
            return None
        return spec

    def _cancel(self, key: str) -> None:
        job = JobId(key.removeprefix(CANCEL_PREFIX))
        self._scheduler.cancel(job, self._clock.now(), self._clock.unix_ms())
        self._request_dispatch()
