"""Health, readiness, status and metrics of an entry, for the balancer and for operators."""

from __future__ import annotations

from collections.abc import Callable

from ..adapters import Exchange, HttpHandler
from ._metrics import Metrics

StatusOf = Callable[[], dict[str, object]]
_TEXT = (b"content-type", b"text/plain; version=0.0.4")


class OperatorService(HttpHandler):
    """Answers ``/healthz``, ``/readyz``, ``/status`` and ``/metrics``."""

    def __init__(self, metrics: Metrics, ready: Callable[[], str], status: StatusOf) -> None:
        """``ready`` returns an empty string, or the reason why callers should go elsewhere."""
        self._metrics = metrics
        self._ready = ready
        self._status = status

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        match exchange.head.target:
            case "/healthz":
                await exchange.answer_json(200, {"alive": True})
            case "/readyz":
                reason = self._ready()
                answer = {"ready": not reason, "reason": reason}
                await exchange.answer_json(503 if reason else 200, answer)
            case "/status":
                await exchange.answer_json(200, self._status())
            case "/metrics":
                await exchange.answer(200, self._metrics.text().encode("utf-8"), (_TEXT,))
            case _:
                await exchange.answer_json(404, {"error": "no such path"})
