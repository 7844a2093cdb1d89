"""Callers' requests about jobs: hand in, ask, cancel, count."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from loguru import logger

from .._errors import (
    BadRequestError,
    StoreConflictError,
    StoreError,
    StoreRefusedError,
    StoreUnavailableError,
)
from .._ids import JobId, Revision
from ..adapters import CoordinationStore, Exchange, Header, HttpError, HttpHandler, Put, collect
from ..decisions.jobs import (
    JobState,
    QueueTable,
    QueueTerms,
    StoredFormatError,
    decode_progress,
    decode_stored_job,
    encode_job,
)
from ..platform import decode_job, encode_pending, encode_state, parse_job_id
from ._clocks import Clock
from ._metrics import Metrics
from ._scheduling_keys import cancel_key, job_key, pending_key, progress_key

LONGEST_BODY_BYTES = 262_144
"""What the platform's configuration allows a caller to send."""
WRITE_TRIES = 2
"""A write whose answer was lost is sent once more, which settles whether it was done. After that the
caller is better served by another instance."""
RETRY_AFTER: tuple[Header, ...] = ((b"retry-after", b"1"),)
"""A change of owner or a short outage of the store is over within seconds; the header takes whole
ones."""

_JSON: Header = (b"content-type", b"application/json")


class JobService(HttpHandler):
    """Answers callers. Nothing is kept here: a job is in the store before its caller hears of it."""

    def __init__(
        self,
        store: CoordinationStore,
        clock: Clock,
        metrics: Metrics,
        queues: Callable[[], QueueTable | None],
        accepted: Callable[[], None],
    ) -> None:
        """``queues`` tells the configuration in force; ``accepted`` is called after each job."""
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._queues = queues
        self._accepted = accepted

    async def handle(self, exchange: Exchange) -> None:
        """See HttpHandler."""
        head = exchange.head
        table = self._queues()
        if table is None:
            await self._refuse(exchange, 503, "no configuration yet")
            return
        path = head.target.partition("?")[0]
        host = (head.header(b"host") or "").rpartition(":")[0] or (head.header(b"host") or "")
        queue = table.find(host, path)
        if queue is None:
            await exchange.answer_json(404, {"error": "no such queue"})
            return
        rest = path[len(queue.path_prefix) :]
        try:
            await self._of_queue(exchange, queue, rest)
        except BadRequestError as error:
            await exchange.answer_json(error.status, {"error": error.reason})
        except StoreRefusedError as error:
            await self._refuse(exchange, 503, str(error))
        except StoreError as error:
            await self._refuse(exchange, 504, str(error))

    async def _of_queue(self, exchange: Exchange, queue: QueueTerms, rest: str) -> None:
        method = exchange.head.method
        if not rest and method == "GET":
            await self._pending(exchange, queue)
            return
        job = parse_job_id(rest)
        if job is None:
            await exchange.answer_json(404, {"error": f"{rest[:40]!r} is no job id"})
        elif method == "POST":
            await self._submit(exchange, queue, job)
        elif method == "GET":
            await self._state(exchange, job)
        elif method == "DELETE":
            await self._cancel(exchange, job)
        else:
            await exchange.answer_json(405, {"error": f"{method} is not allowed on a job"})

    async def _submit(self, exchange: Exchange, queue: QueueTerms, job: JobId) -> None:
        try:
            body = await collect(exchange.body(), LONGEST_BODY_BYTES)
        except HttpError as error:
            logger.info("job not received", job=job, error=str(error))
            exchange.abort()
            return
        begun = self._clock.now()
        spec = decode_job(body, job, queue, self._clock.unix_ms())
        await self._store_new(job_key(job), encode_job(spec))
        self._accepted()
        self._metrics.observe("accept_seconds", self._clock.now() - begun)
        await exchange.answer(200, b"{}", (_JSON,))

    async def _store_new(self, key: str, value: bytes) -> None:
        """Write a key that must not exist yet; one that exists is as good.

        Raises StoreRefusedError only if nothing can have been written by this call: a caller that is
        told "not accepted" must be able to rely on it.
        """
        unsure: StoreUnavailableError | None = None
        for _ in range(WRITE_TRIES):
            try:
                await self._store.commit({key: Revision(0)}, (Put(key, value),))
                return
            except StoreConflictError:
                return
            except StoreRefusedError as error:
                if unsure is None:
                    raise
                raise unsure from error
            except StoreUnavailableError as error:
                unsure = error
        if unsure is not None:
            raise unsure

    async def _state(self, exchange: Exchange, job: JobId) -> None:
        state = await self._stored_state(job)
        if state is None:
            await exchange.answer_json(410, {"error": "no such job"})
            return
        await exchange.answer(200, encode_state(state), (_JSON,))

    async def _stored_state(self, job: JobId) -> JobState | None:
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

    async def _cancel(self, exchange: Exchange, job: JobId) -> None:
        stored = await self._store.read(job_key(job))
        if stored is None:
            await exchange.answer_json(410, {"error": "no such job"})
            return
        await self._store_new(cancel_key(job), b"")
        self._accepted()
        await exchange.answer(200, b"{}", (_JSON,))

    async def _pending(self, exchange: Exchange, queue: QueueTerms) -> None:
        item = await self._store.read(pending_key(queue.service))
        counts = msgspec.json.decode(item.value, type=dict[str, int]) if item is not None else {}
        body = encode_pending(counts.get(queue.name, 0))
        await exchange.answer(200, body, (_JSON,))

    async def _refuse(self, exchange: Exchange, status: int, reason: str) -> None:
        self._metrics.count("refused_total", status=str(status))
        logger.info("refused", target=exchange.head.target[:80], status=status, reason=reason)
        await exchange.answer_json(status, {"error": reason}, RETRY_AFTER)
