"""HTTP interface for callers' requests about jobs."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from ..._errors import (
    BadRequestError,
    RequestError,
    StoppingError,
    StoreError,
    StoreRefusedError,
)
from ..._ids import JobId
from ..._verdict import Verdict
from ...adapters import (
    BodyTooLargeError,
    Exchange,
    Header,
    HttpError,
    HttpHandler,
    collect,
)
from ...decisions.jobs import QueueConfiguration, QueueTable
from ...platform import caller_timeout, decode_job, encode_pending, encode_state, parse_job_id
from .._clocks import Clock
from .._metrics import Metrics
from .._stop_deadline import StopDeadline
from ..admission import SubmissionGate
from ..containment._unexpected_errors import INTERNAL_ERRORS
from ._job_requests import JobRequests

MAX_BODY_BYTES = 262_144
"""Maximum body size that the platform's configuration allows callers to send."""
RETRY_AFTER: tuple[Header, ...] = ((b"retry-after", b"1"),)
"""Asks for a retry after 1 s, the smallest value of the header: a change of owner or a short outage
of the store is over within seconds."""

_JSON: Header = (b"content-type", b"application/json")


class JobService(HttpHandler):
    """Handles callers' HTTP requests."""

    def __init__(
        self,
        requests: JobRequests,
        clock: Clock,
        metrics: Metrics,
        queues: Callable[[], QueueTable | None],
        is_current: Callable[[], bool],
        gate: SubmissionGate | None = None,
    ) -> None:
        """Set up the handler.

        ``queues`` returns the configuration in force. ``is_current`` returns whether this instance
        has every version of it that must be in force by now. ``gate`` refuses jobs that can't be of
        use; without it all are submitted.
        """
        self._gate = gate
        self._requests = requests
        self._clock = clock
        self._metrics = metrics
        self._queues = queues
        self._is_current = is_current
        self._stop_deadline = StopDeadline()

    def end_in(self, seconds: float) -> None:
        """Refuse new requests from now on, and answer the requests in progress within ``seconds``.

        The store may answer only after the process has ended. A request that is still waiting at
        that point would lose its connection, and its caller would never learn the outcome.
        """
        self._stop_deadline.expire_in(seconds)

    async def handle(self, exchange: Exchange) -> None:
        """See HttpHandler."""
        if self._stop_deadline.is_ending:
            error = StoppingError(Verdict.NOT_RUN)
            await self._refuse(exchange, error.status, error.reason)
            return
        head = exchange.head
        table = self._queues()
        if table is None:
            await self._refuse(exchange, 503, "no configuration yet")
            return
        path = head.target.partition("?")[0]
        host = (head.header(b"host") or "").rpartition(":")[0] or (head.header(b"host") or "")
        queue = table.find(host, path)
        if queue is None:
            await self._answer_unknown_queue(exchange)
            return
        subpath = path[len(queue.path_prefix) :]
        try:
            await self._handle_queue_request(exchange, queue, subpath)
        except BadRequestError as error:
            self._count_refusal(exchange, error.status, error.reason)
            await exchange.answer_json(error.status, {"error": error.reason})
        except StoppingError as error:
            await self._refuse(exchange, error.status, error.reason)
        except RequestError as error:
            await self._refuse(exchange, error.status, error.reason, error.retry_after)
        except StoreRefusedError as error:
            await self._refuse(exchange, 503, str(error))
        except StoreError as error:
            await self._refuse(exchange, _status_without_outcome(exchange), str(error))
        except HttpError:
            raise
        except Exception as error:
            # Requests share no state, so a fault in the handling of one must not end the others.
            self._metrics.count(INTERNAL_ERRORS)
            logger.opt(exception=error).error("request failed", target=exchange.head.target[:80])
            if exchange.answer_started:
                exchange.abort()
            else:
                status = _status_without_outcome(exchange)
                await self._refuse(exchange, status, "internal error")

    async def _answer_unknown_queue(self, exchange: Exchange) -> None:
        if self._is_current():
            await exchange.answer_json(404, {"error": "no such queue"})
        else:
            # A caller that gets 404 doesn't retry, although the queue may exist.
            await self._refuse(
                exchange, 503, "no such queue in a configuration that may be outdated"
            )

    async def _handle_queue_request(
        self, exchange: Exchange, queue: QueueConfiguration, subpath: str
    ) -> None:
        method = exchange.head.method
        if not subpath and method == "GET":
            await self._pending(exchange, queue)
            return
        job = parse_job_id(subpath)
        if job is None:
            await exchange.answer_json(404, {"error": f"{subpath[:40]!r} is no job id"})
        elif method == "POST":
            await self._submit(exchange, queue, job)
        elif method == "GET":
            await self._state(exchange, job)
        elif method == "DELETE":
            await self._cancel(exchange, job)
        else:
            await exchange.answer_json(405, {"error": f"{method} is not allowed on a job"})

    async def _submit(self, exchange: Exchange, queue: QueueConfiguration, job: JobId) -> None:
        try:
            received_body = collect(exchange.body(), MAX_BODY_BYTES)
            body = await self._stop_deadline.wait(received_body, Verdict.NOT_RUN)
        except BodyTooLargeError as error:
            raise BadRequestError(str(error), 413) from error
        except HttpError as error:
            logger.info("job not received", job=job, error=str(error))
            exchange.abort()
            return
        started_at = self._clock.now()
        spec = decode_job(body, job, queue, self._clock.unix_ms())
        gate = self._gate
        submitted = (
            self._requests.submit(spec)
            if gate is None
            else gate.submit(spec, queue, caller_timeout(exchange.head))
        )
        await self._stop_deadline.wait(submitted, Verdict.MAY_HAVE_RUN)
        self._metrics.observe("fireflyfork_accept_seconds", self._clock.now() - started_at)
        await exchange.answer(200, b"{}", (_JSON,))

    async def _state(self, exchange: Exchange, job: JobId) -> None:
        state = await self._stop_deadline.wait(self._requests.state(job), Verdict.NOT_RUN)
        if state is None:
            await exchange.answer_json(410, {"error": "no such job"})
            return
        await exchange.answer(200, encode_state(state), (_JSON,))

    async def _cancel(self, exchange: Exchange, job: JobId) -> None:
        if await self._stop_deadline.wait(self._requests.cancel(job), Verdict.MAY_HAVE_RUN):
            await exchange.answer(200, b"{}", (_JSON,))
        else:
            await exchange.answer_json(410, {"error": "no such job"})

    async def _pending(self, exchange: Exchange, queue: QueueConfiguration) -> None:
        count = await self._stop_deadline.wait(self._requests.pending(queue), Verdict.NOT_RUN)
        await exchange.answer(200, encode_pending(count), (_JSON,))

    async def _refuse(
        self, exchange: Exchange, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        self._count_refusal(exchange, status, reason)
        headers = RETRY_AFTER
        if retry_after is not None:
            headers = ((b"retry-after", b"%d" % retry_after),)
        await exchange.answer_json(status, {"error": reason}, headers)

    def _count_refusal(self, exchange: Exchange, status: int, reason: str) -> None:
        self._metrics.count("fireflyfork_refused_total", status=str(status))
        logger.info("refused", target=exchange.head.target[:80], status=status, reason=reason)


def _status_without_outcome(exchange: Exchange) -> int:
    """Return the status for a request that may have been carried out."""
    # A read changes nothing, so 503 (not carried out) is correct.
    return 503 if exchange.head.method == "GET" else 504
