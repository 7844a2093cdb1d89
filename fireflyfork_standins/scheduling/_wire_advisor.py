"""The HTTP interface of the simulated advisor."""

from __future__ import annotations

import msgspec
import trio

from fireflyfork._errors import AdvisorBusyError, AdvisorError
from fireflyfork._ids import ExecutorId, NodeName
from fireflyfork.adapters import Exchange, HttpHandler, collect

from ._advisor import StandInAdvisor, StandInAdvisorCalls

LONGEST_BODY_BYTES = 1 << 20


class _Question(msgspec.Struct):
    step: str
    workers: list[str] = []


class AdvisorHttpHandler(HttpHandler):
    """Serves the calls of one instance to the advisor over HTTP.

    It doesn't notice that a caller hangs up, so abandoned calls are handled like others.
    """

    def __init__(self, node: NodeName, advisor: StandInAdvisor, nursery: trio.Nursery) -> None:
        """Have calls handled in ``nursery``, also after their callers have hung up."""
        self._calls = StandInAdvisorCalls(node, advisor, nursery)

    async def handle(self, exchange: Exchange) -> None:
        """See HttpHandler."""
        question = msgspec.json.decode(
            await collect(exchange.body(), LONGEST_BODY_BYTES), type=_Question
        )
        executors = tuple(map(ExecutorId, question.workers))
        try:
            advice = await self._calls.advise(question.step, executors)
        except AdvisorBusyError:
            await exchange.answer_json(429, {})
        except AdvisorError:
            exchange.abort()
        else:
            valid_ms = int(1000 * (advice.valid_seconds or 0.0))
            rows = list(advice.tickets.items())
            await exchange.answer_json(200, {"good": rows, "valid_ms": valid_ms})
