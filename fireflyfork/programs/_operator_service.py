"""HTTP service for the balancer and for operators: health, readiness, status, metrics, draining."""

from __future__ import annotations

from collections.abc import Callable

from ..adapters import Exchange, HttpHandler
from ._entry_messages import EntryStatus, OperatorErrorBody, Readiness
from ._metrics import METRICS_TEXT, Metrics

StatusOf = Callable[[], EntryStatus]


class OperatorService(HttpHandler):
    """Answers ``/healthz``, ``/readyz``, ``/status``, ``/metrics`` and ``POST /drain``."""

    def __init__(
        self,
        metrics: Metrics,
        ready: Callable[[], str],
        status: StatusOf,
        drain: Callable[[], None],
    ) -> None:
        """``ready`` returns an empty string, or the reason why callers should use other entries.

        ``drain`` starts the same graceful stop as SIGTERM.
        """
        self._metrics = metrics
        self._ready = ready
        self._status = status
        self._drain = drain

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of the balancer or an operator."""
        if exchange.head.target == "/drain":
            await self._handle_drain(exchange)
            return
        match exchange.head.target:
            case "/healthz":
                await exchange.answer_json(200, {"alive": True})
            case "/readyz":
                reason = self._ready()
                await exchange.answer_json(503 if reason else 200, Readiness(not reason, reason))
            case "/status":
                await exchange.answer_json(200, self._status())
            case "/metrics":
                await exchange.answer(200, self._metrics.text().encode("utf-8"), (METRICS_TEXT,))
            case _:
                await exchange.answer_json(404, OperatorErrorBody("no such path"))

    async def _handle_drain(self, exchange: Exchange) -> None:
        if exchange.head.method != "POST":
            await exchange.answer_json(405, OperatorErrorBody("use POST"))
            return
        self._drain()
        await exchange.answer_json(202, {"draining": True})
