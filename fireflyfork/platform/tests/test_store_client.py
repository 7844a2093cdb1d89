"""Tests of the timeouts and counters of the store client, with in-memory streams and a virtual clock."""

import unittest
from base64 import b64encode
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
import trio
from trio.testing import MockClock

from ..._errors import StoreRefusedError, StoreUnavailableError
from ..._ids import Revision
from ..._links import Address
from ...adapters import Put, StoreChanges, StoreListing
from ...adapters.tests.builders_http import Server, ServerStream, served_by
from .. import PlatformStore
from .._store_client import MAX_CONSECUTIVE_FAILURES

VALUE = b"routes" * 50_000


def _large_answer() -> tuple[bytes, bytes]:
    """Return the two halves of the answer to a watch that contains one large value."""
    item = {"key": "op/config", "revision": 8, "value": b64encode(VALUE).decode("ascii")}
    body = msgspec.json.encode({"events": [item], "as_of": 8})
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
    return answer[: len(answer) // 2], answer[len(answer) // 2 :]


def _watch(server: Server) -> StoreChanges:
    """Return the result of a watch on a store that behaves like ``server``."""

    async def main() -> StoreChanges:
        async with served_by(server):
            store = PlatformStore(Address("10.0.0.1", 80))
            return await store.changes("op/", Revision(7), 1.5)

    return trio.run(main, clock=MockClock(autojump_threshold=0))


class LargeAnswersTest(unittest.TestCase):
    """Large answers that many instances receive at the same time."""

    def test_an_answer_that_pauses_is_not_requested_again(self) -> None:
        """Guards against giving up a large answer between two of its parts.

        The answers with a new large configuration are sent to all instances of a region at once, over one
        link. The first parts of all answers arrive before the second part of any, and the pause is longer
        than the timeout for the beginning of an answer. When every instance gave up and requested the whole
        value again over the saturated link, callers were told for more than four seconds that new queues
        don't exist.
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

    def test_an_answer_that_stalls_times_out(self) -> None:
        """Guards against waiting forever in the middle of an answer.

        A firewall loses the state of a connection and drops the rest of the answer. The instance would
        never receive another change.
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


def _answering(body: bytes, status: bytes = b"200 OK") -> Server:
    async def server(stream: ServerStream) -> None:
        head = b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n" % (status, len(body))
        await stream.send_all(head + body)

    return server


async def _changes(prefix: str, store: PlatformStore) -> StoreChanges:
    return await store.changes(prefix, Revision(7), 1.5)


async def _listing(prefix: str, store: PlatformStore) -> StoreListing:
    return await store.list(prefix)


class FullAnswersTest(unittest.TestCase):
    """Answers to a watch that may lack changes."""

    def test_an_answer_of_the_store_s_limit_may_lack_changes(self) -> None:
        """Guards against an owner that takes a part of the changes for all of them."""
        for count, partial_answer in ((1, False), (400, False), (500, True)):
            with self.subTest(count=count):
                events = [
                    {"key": f"servers/{number}", "revision": 8 + number, "value": ""}
                    for number in range(count)
                ]
                body = msgspec.json.encode({"events": events, "as_of": 8 + count})
                self.assertIs(_watch(_answering(body)).may_be_partial, partial_answer)


class CountedBytesTest(unittest.TestCase):
    """The counts of calls and bytes by purpose."""

    def _after(self, server: Server, call: Callable[[PlatformStore], Awaitable[object]]) -> None:
        async def main() -> None:
            async with served_by(server):
                await call(self.store)

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def setUp(self) -> None:
        self.store = PlatformStore(Address("10.0.0.1", 80))

    def test_each_answer_counts_for_what_was_asked(self) -> None:
        """Guards against a saturated link whose traffic can't be attributed."""
        body = msgspec.json.encode({"events": [], "as_of": 8})
        for prefix in ("op/", "fireflyfork/work/", "op/"):
            self._after(_answering(body), partial(_changes, prefix))
        expected = {"watch op": 2 * len(body), "watch fireflyfork/work": len(body)}
        self.assertEqual(self.store.bytes_received, expected)
        self.assertEqual(self.store.calls, {"watch op": 2, "watch fireflyfork/work": 1})

    def test_a_write_counts_as_encoded(self) -> None:
        """Guards against counting values before their base64 encoding, which adds a third to their size."""
        body = msgspec.json.encode({"revision": 9})
        put = Put("fireflyfork/work/job/1", VALUE)
        self._after(_answering(body), lambda store: store.commit({}, (put,)))
        (sent,) = self.store.bytes_sent.values()
        self.assertGreater(sent, len(b64encode(VALUE)))
        self.assertEqual(self.store.bytes_received, {"commit fireflyfork/work/job": len(body)})

    def test_a_refusal_counts(self) -> None:
        """Guards against not counting the bytes of refused calls."""

        async def refused(store: PlatformStore) -> None:
            with self.assertRaises(StoreRefusedError):
                await store.read("op/config")

        self._after(_answering(b"later", b"503 Service Unavailable"), refused)
        self.assertEqual(self.store.bytes_received, {"read op": 5})

    def test_a_truncated_answer_counts_as_a_call_without_bytes(self) -> None:
        """Guards against not counting a call whose answer was truncated."""

        async def broken(stream: ServerStream) -> None:
            await stream.send_all(_large_answer()[0])
            await stream.aclose()

        async def asked(store: PlatformStore) -> None:
            with self.assertRaises(StoreUnavailableError):
                await store.changes("op/", Revision(7), 1.5)

        self._after(broken, asked)
        self.assertEqual(self.store.calls, {"watch op": 1})
        self.assertEqual(self.store.bytes_received, {})

    def test_the_owner_key_is_counted_apart_from_the_jobs(self) -> None:
        """Guards against counting the small reads of all instances together with the large reads of one owner."""
        body = msgspec.json.encode({"items": [], "has_more": False, "as_of": 8})
        for prefix in ("fireflyfork/work/", "fireflyfork/work/owner/desk"):
            self._after(_answering(body), partial(_listing, prefix))
        expected = {"list fireflyfork/work": 1, "list fireflyfork/work/owner": 1}
        self.assertEqual(self.store.calls, expected)

    def test_numbers_in_keys_are_not_part_of_the_purpose(self) -> None:
        """Guards against a new counter for each wave of upkeep."""
        body = msgspec.json.encode({"items": [], "has_more": False, "as_of": 8})
        for prefix in ("fireflyfork/upkeep/3/", "fireflyfork/upkeep/4/"):
            self._after(_answering(body), partial(_listing, prefix))
        self.assertEqual(self.store.calls, {"list fireflyfork/upkeep": 2})


class StaleReadsTest(unittest.TestCase):
    """Reads that may return old values, at a lower price."""

    def test_a_stale_read_does_not_show_that_the_store_answers(self) -> None:
        """Guards against jobs that wait for a store which can only answer with old values."""

        async def main() -> None:
            store = PlatformStore(Address("10.0.0.1", 80))
            async with served_by(_answering(b"later", b"503 Service Unavailable")):
                for _ in range(MAX_CONSECUTIVE_FAILURES):
                    with self.assertRaises(StoreRefusedError):
                        await store.read("op/config")
            async with served_by(_answering(b"", b"404 Not Found")):
                self.assertIsNone(await store.read_stale("fireflyfork/ahead/desk"))
            self.assertFalse(store.is_responsive)
            self.assertEqual(store.calls, {"read op": 3, "stale read fireflyfork/ahead": 1})

        trio.run(main, clock=MockClock(autojump_threshold=0))
