"""How long the client of the store waits for answers, on streams in memory and a virtual clock."""

import unittest
from base64 import b64encode

import msgspec
import trio
from trio.testing import MockClock

from ..._errors import StoreUnavailableError
from ..._ids import Revision
from ..._links import Address
from ...adapters import StoreChanges
from ...adapters.tests.builders_http import Server, ServerStream, served_by
from .. import PlatformStore

VALUE = b"routes" * 50_000


def _large_answer() -> tuple[bytes, bytes]:
    """The two halves of a watch's answer that tells of one large value."""
    item = {"key": "op/config", "revision": 8, "value": b64encode(VALUE).decode("ascii")}
    body = msgspec.json.encode({"events": [item], "as_of": 8})
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
    return answer[: len(answer) // 2], answer[len(answer) // 2 :]


def _watch(server: Server) -> StoreChanges:
    """What one watch on a store that does this is told."""

    async def main() -> StoreChanges:
        async with served_by(server):
            store = PlatformStore(Address("10.0.0.1", 80))
            return await store.changes("op/", Revision(7), 1.5)

    return trio.run(main, clock=MockClock(autojump_threshold=0))


class LargeAnswersTest(unittest.TestCase):
    """Answers that many instances get at the same time."""

    def test_one_that_pauses_is_not_asked_for_again(self) -> None:
        """All instances of a region are told of a large configuration at once, over one link. The first
        parts of all their answers come before the second part of any, which takes longer than a call may
        stay without an answer. Each instance broke off, and had the whole value sent again, over the
        link that was full of it: for four seconds and more callers were told that new queues don't
        exist.
        """

        async def server(stream: ServerStream) -> None:
            first, second = _large_answer()
            await trio.sleep(1.4)
            await stream.send_all(first)
            await trio.sleep(2.0)
            await stream.send_all(second)

        (change,) = _watch(server).changes
        assert change.item is not None
        self.assertEqual(change.item.value, VALUE)

    def test_one_that_stops_is_given_up(self) -> None:
        """A firewall forgets a connection in the middle of an answer. An instance that waited on would
        never hear of another change.
        """

        async def server(stream: ServerStream) -> None:
            await stream.send_all(_large_answer()[0])
            await trio.sleep_forever()

        async def main() -> float:
            async with served_by(server):
                store = PlatformStore(Address("10.0.0.1", 80))
                begun = trio.current_time()
                with self.assertRaises(StoreUnavailableError):
                    await store.changes("op/", Revision(7), 1.5)
                return trio.current_time() - begun

        seconds = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertLess(seconds, 3.5)
