"""Serves callers: validates each request, runs it, and answers it with a verdict."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import trio
from loguru import logger

from .._contracts import Configuration, ServiceContract
from .._errors import BadRequestError, FireflyforkError, RequestError
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import Exchange, HttpError, HttpHandler
from ._bodies import RequestBody
from ._caller_requests import read_request
from ._keyed_requests import KeyedRequests
from ._metrics import Metrics
from ._request_flow import RequestFlow
from ._sinks import CallerSink
from ._span_writer import SpanWriter


class CallerService(HttpHandler):
    """Handles the HTTP requests of callers."""

    def __init__(
        self,
        flow: RequestFlow,
        keyed: KeyedRequests,
        configuration: Callable[[], Configuration | None],
        spans: SpanWriter,
        metrics: Metrics,
        is_sampled: Callable[[], bool],
    ) -> None:
        """``configuration`` returns the configuration in force, or None before the first.

        ``is_sampled`` decides whether spans are written for a request without a trace context.
        """
        self._is_sampled = is_sampled
        self._flow = flow
        self._keyed = keyed
        self._configuration = configuration
        self._spans = spans
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        started_at = trio.current_time()
        sink = CallerSink(exchange)
        try:
            await self._serve(exchange, sink, started_at)
        except RequestError as error:
            await sink.fail(error)
            self._count(sink, error.verdict, error.status)
        except HttpError:
            # The caller closed the connection or stopped responding, so no answer can be delivered.
            exchange.abort()
            self._metrics.count("fireflyfork_callers_lost_total")
        except Exception as error:
            # An error in the handling of one request must not end the process and with it all
            # other requests. It is reported only by this log line.
            logger.opt(exception=error).error("request failed")
            await sink.fail(RequestError(500, "internal error", Verdict.MAY_HAVE_RUN))

    async def malformed(self, exchange: Exchange, status: int, reason: str) -> None:
        """Refuse input that is not valid HTTP."""
        self._metrics.count("fireflyfork_malformed_total")
        await CallerSink(exchange).fail(BadRequestError(reason, status))

    async def _serve(self, exchange: Exchange, sink: CallerSink, started_at: float) -> None:
        request, contract = read_request(
            exchange.head, self._configuration(), started_at, self._is_sampled()
        )
        if not request.idempotent:
            request = self._keyed.with_key(request)
        sink.request = request
        with self._spans.span("request", request.trace, **_span_attributes(request)) as span:
            await self._run(exchange, sink, replace(request, trace=span.context), contract)
            span.attributes["status"] = "answered"
        self._count(sink, Verdict.ANSWERED, 200)
        elapsed = trio.current_time() - started_at
        self._metrics.observe("fireflyfork_request_seconds", elapsed, service=request.service)

    async def _run(
        self,
        exchange: Exchange,
        sink: CallerSink,
        request: ServiceRequest,
        contract: ServiceContract,
    ) -> None:
        body = RequestBody(exchange.body(), contract.longest_body_bytes)
        with trio.move_on_at(request.deadline):
            await body.fill()
        if trio.current_time() >= request.deadline:
            raise RequestError(408, "the body did not come in time", Verdict.NOT_RUN)
        try:
            if request.idempotent:
                await self._flow.dispatch(request, body, sink)
            else:
                await self._keyed.run(request, body, sink)
        except HttpError:
            raise
        except RequestError:
            raise
        except FireflyforkError as error:
            raise RequestError(502, str(error), Verdict.MAY_HAVE_RUN, 1.0) from error

    def _count(self, sink: CallerSink, verdict: Verdict, status: int) -> None:
        service = sink.request.service if sink.request is not None else ""
        self._metrics.count(
            "fireflyfork_requests_total",
            service=service,
            verdict=verdict.value,
            status=str(status),
        )


def _span_attributes(request: ServiceRequest) -> dict[str, str]:
    attributes = {"service": request.service, "request_id": request.request_id}
    return {**attributes, "key": request.key} if request.key else {**attributes}
