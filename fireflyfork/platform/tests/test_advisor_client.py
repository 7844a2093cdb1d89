"""Tests of the client of the advisor, over sockets."""

from __future__ import annotations

import unittest

import trio

from ..._errors import AdvisorBusyError, AdvisorError
from ..._ids import ExecutorId
from ..._links import Address
from ...adapters import Advice, Exchange, HttpHandler, HttpServer, listen
from .._advisor_client import PlatformAdvisor

HOST = "127.0.0.1"
EXECUTORS = (ExecutorId("i-0"), ExecutorId("i-1"))


class _Handler(HttpHandler):
    def __init__(self, status: int, body: object) -> None:
        self._status, self._body = status, body

    async def handle(self, exchange: Exchange) -> None:
        async for _ in exchange.body():
            pass
        await exchange.answer_json(self._status, self._body)


async def _ask(status: int, body: object) -> Advice:
    async with trio.open_nursery() as nursery:
        listeners = await listen(HOST, 0)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(HttpServer(_Handler(status, body)).run, listeners)
        advice = await PlatformAdvisor(Address(HOST, port)).advise("s", EXECUTORS)
        nursery.cancel_scope.cancel()
    return advice


class AnswersTest(unittest.TestCase):
    """What the client makes of an answer."""

    def test_tickets(self) -> None:
        advice = trio.run(_ask, 200, {"good": [["i-0", "t"]], "valid_ms": 1500})
        self.assertEqual(advice, Advice({ExecutorId("i-0"): "t"}, 1.5))

    def test_fields_without_a_value_may_be_left_out(self) -> None:
        """Guards against executors that are asked about again and again since all are refused."""
        self.assertEqual(trio.run(_ask, 200, {}), Advice({}, None))

    def test_a_rejected_call(self) -> None:
        for status, error in ((429, AdvisorBusyError), (503, AdvisorError)):
            with self.subTest(status), self.assertRaises(BaseExceptionGroup) as caught:
                trio.run(_ask, status, {})
            self.assertIsNotNone(caught.exception.subgroup(error))
