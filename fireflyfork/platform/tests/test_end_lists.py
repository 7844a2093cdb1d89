"""Tests of the detection of truncated lists of ends in the answers of executors."""

import unittest
from unittest.mock import patch

import msgspec
import trio

from ..._ids import ExecutorId, FencingToken
from ..._links import Address
from ...adapters import ANY_INCARNATION, ExecutorEndpoint, LoopTime
from ...decisions.jobs import PollAnswer, PollRequest
from .. import PlatformExecutors
from .._http_calls import CallAnswer, JsonCalls


def _poll(ends: int) -> PollAnswer:
    """Return the decoded answer to a poll that lists the given number of ends."""
    rows = [[number + 1, f"a.0.0.{number}", 1, "done", ""] for number in range(ends)]
    body = msgspec.json.encode({"clock_ms": 5, "running": [], "ended": rows})

    async def answered(*_: object, **__: object) -> CallAnswer:
        return CallAnswer(200, body)

    endpoint = ExecutorEndpoint(ExecutorId("i-0"), Address("10.0.0.1", 80), ANY_INCARNATION)

    async def main() -> PollAnswer:
        return await PlatformExecutors(LoopTime()).poll(
            endpoint, FencingToken(1), PollRequest(0, None, 0.0, 1.0)
        )

    with patch.object(JsonCalls, "call", answered):
        return trio.run(main)


class EndListsTest(unittest.TestCase):
    """Tests of polls of executors, which list at most 500 ends."""

    def test_a_list_of_the_greatest_length_may_be_cut(self) -> None:
        """Guards against an owner that treats a truncated list of ends as complete.

        The list doesn't contain the 501st end, although its run is over. The owner would start that task again.
        """
        for ends, cut in ((0, False), (499, False), (500, True)):
            with self.subTest(ends):
                answer = _poll(ends)
                self.assertEqual((len(answer.ended), answer.ends_may_be_cut), (ends, cut))
