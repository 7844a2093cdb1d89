"""Tests of the replication of the operator's keys between instances, over streams on the loopback interface."""

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from unittest.mock import patch

import msgspec
import trio

from ..._errors import PeerError
from ..._ids import NodeName, Revision
from ..._links import Address
from .. import (
    LoopTime,
    ReplicaAnswer,
    ReplicaEndpoint,
    ReplicaPeer,
    ReplicaQuery,
    ReplicaServer,
    ReplicaSource,
    SocketReplicaPeers,
    StoredItem,
)
from .. import _replica_client as client
from .. import _replica_server as server
from .._message_stream import encode_frame
from .._replica_messages import REPLICA_VERSION, Ask, Hello, Item, Update

LARGE = msgspec.json.encode(
    [{"prefix": f"/q{number * 7919 % 100_003}/", "timeout_ms": 3000} for number in range(8_000)]
)
TEST_TIMEOUT_SECONDS = 30.0
"""The timeout of a test that hangs."""


def _item(value: bytes) -> StoredItem:
    return StoredItem("op/config", value, Revision(7), Revision(3))


class RecordingReplica(ReplicaSource):
    """A replica that records queries and answers each with one item after ``delay`` seconds."""

    def __init__(self, value: bytes = b"", delay: float = 0.0) -> None:
        """Start without recorded queries."""
        self.asked: list[ReplicaQuery] = []
        self._value = value
        self._delay = delay

    async def answer(self, question: ReplicaQuery) -> ReplicaAnswer:
        """Record the query and answer it."""
        self.asked.append(question)
        await trio.sleep(self._delay)
        item = _item(self._value)
        changed = (item,) if question.after < item.revision else ()
        return ReplicaAnswer(Revision(9), 0.5, self._delay, 4.0, {item.key: Revision(7)}, changed)


@asynccontextmanager
async def _listening(
    serve: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[ReplicaEndpoint]:
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
        port = listeners[0].socket.getsockname()[1]
        yield ReplicaEndpoint(NodeName("n-1"), Address("127.0.0.1", port))
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def _followed(source: ReplicaSource) -> AsyncIterator[ReplicaPeer]:
    async with (
        _listening(ReplicaServer(source)._serve) as endpoint,
        SocketReplicaPeers(LoopTime()).connect(endpoint) as peer,
    ):
        yield peer


def _play(body: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            await body()

    trio.run(main)


class ReplicasTest(unittest.TestCase):
    """Tests of queries to a replica and their answers."""

    def test_a_large_value_arrives_as_it_is_in_the_store(self) -> None:
        async def body() -> None:
            async with _followed(RecordingReplica(LARGE)) as peer:
                answer = await peer.ask(ReplicaQuery(Revision(0)))
            self.assertEqual(answer.changed, (_item(LARGE),))
            self.assertEqual((answer.as_of, answer.age_seconds, answer.mark), (9, 0.5, 4.0))

        _play(body)

    def test_a_large_value_is_sent_compressed(self) -> None:
        """Guards against a large configuration that saturates the link between regions.

        Uncompressed, it would occupy the link several times as long.
        """
        sent = len(msgspec.msgpack.encode(Item.of(_item(LARGE))))
        self.assertLess(sent, len(LARGE) / 4)

    def test_unchanged_items_are_not_sent_again(self) -> None:
        async def body() -> None:
            source = RecordingReplica(LARGE)
            async with _followed(source) as peer:
                first = await peer.ask(ReplicaQuery(Revision(0)))
                second = await peer.ask(ReplicaQuery(first.as_of, first.mark))
            self.assertEqual(second.changed, ())
            self.assertEqual(
                source.asked, [ReplicaQuery(Revision(0)), ReplicaQuery(Revision(9), 4.0)]
            )

        _play(body)


class BadUpstreamsTest(unittest.TestCase):
    """An unreliable upstream is detected, and none of its data is used."""

    def _assert_connection_fails(
        self, serve: Callable[[trio.SocketStream], Awaitable[None]], why: str
    ) -> None:
        async def body() -> None:
            async with _listening(serve) as endpoint:
                with self.assertRaisesRegex(PeerError, why):
                    async with SocketReplicaPeers(LoopTime()).connect(endpoint) as peer:
                        await peer.ask(ReplicaQuery(Revision(0)))

        _play(body)

    def _serve_messages(self, *messages: object) -> Callable[[trio.SocketStream], Awaitable[None]]:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.send_all(encode_frame(messages))
            await trio.sleep_forever()

        return serve

    def test_an_upstream_that_accepts_connections_and_is_silent(self) -> None:
        """Guards against a frozen upstream: its connections stay open, and followers would wait forever."""
        with patch.object(client, "SILENT_SECONDS", 0.1):
            self._assert_connection_fails(self._serve_messages(Hello(REPLICA_VERSION)), "silent")

    def test_a_silent_upstream_with_a_short_timeout(self) -> None:
        """Guards against a second silent upstream that is awaited for as long as the first one."""

        async def body() -> None:
            async with _listening(self._serve_messages(Hello(REPLICA_VERSION))) as endpoint:
                with self.assertRaisesRegex(PeerError, "silent"):
                    async with SocketReplicaPeers(LoopTime()).connect(endpoint) as peer:
                        await peer.ask(ReplicaQuery(Revision(0)), 0.1)

        with patch.object(client, "SILENT_SECONDS", 2 * TEST_TIMEOUT_SECONDS):
            _play(body)

    def test_an_upstream_that_closes_the_stream(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.aclose()

        self._assert_connection_fails(serve, "closed|broke")

    def test_an_upstream_of_another_version(self) -> None:
        self._assert_connection_fails(
            self._serve_messages(Hello(REPLICA_VERSION + 1)), f"version {REPLICA_VERSION + 1}"
        )

    def test_an_upstream_that_sends_an_unexpected_message(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.send_all(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            await trio.sleep_forever()

        self._assert_connection_fails(serve, "too long|not a frame")

    def test_a_value_corrupted_in_transit(self) -> None:
        """Guards against a corrupt configuration that would be in force on this instance only."""
        for compressed, content in ((False, b"other"), (True, b"other"), (True, b"")):
            with self.subTest(compressed=compressed, content=content):
                item = Item("op/config", 7, 3, 1, compressed, content)
                update = Update(9, 0.0, 0.0, 1.0, {"op/config": 7}, [item], [], False)
                self._assert_connection_fails(
                    self._serve_messages(Hello(REPLICA_VERSION), update), "op/config"
                )

    def test_no_upstream_at_the_address(self) -> None:
        async def body() -> None:
            async with _listening(self._serve_messages()) as endpoint:
                pass
            with self.assertRaisesRegex(PeerError, "can't connect"):
                async with SocketReplicaPeers(LoopTime()).connect(endpoint):
                    pass

        _play(body)

    def test_a_slow_answer_is_read_to_its_end(self) -> None:
        """Guards against a timeout of a large value, whose transfer over a saturated link takes longer than the
        maximum silence.
        """

        async def serve(stream: trio.SocketStream) -> None:
            update = Update(9, 0.0, 0.0, 1.0, {"op/config": 7}, [Item.of(_item(LARGE))], [], False)
            frame = encode_frame((Hello(REPLICA_VERSION), update))
            step = len(frame) // 8 + 1
            for begin in range(0, len(frame), step):
                await trio.sleep(0.15)
                await stream.send_all(frame[begin : begin + step])
            await trio.sleep_forever()

        async def body() -> None:
            async with (
                _listening(serve) as endpoint,
                SocketReplicaPeers(LoopTime()).connect(endpoint) as peer,
            ):
                answer = await peer.ask(ReplicaQuery(Revision(0)))
            self.assertEqual(answer.changed, (_item(LARGE),))

        with patch.object(client, "SILENT_SECONDS", 0.6):
            _play(body)


class SilentFollowersTest(unittest.TestCase):
    """Tests of followers that have ended without closing their connections."""

    def test_a_connection_without_queries_is_closed(self) -> None:
        """Guards against file descriptors that are exhausted by dead connections."""

        async def body() -> None:
            async with _listening(ReplicaServer(RecordingReplica())._serve) as endpoint:
                address = endpoint.address
                stream = await trio.open_tcp_stream(address.host, address.port)
                await stream.send_all(encode_frame((Hello(REPLICA_VERSION), Ask(0, None))))
                while await stream.receive_some():
                    pass

        with patch.object(server, "IDLE_SECONDS", 0.1, create=True):
            _play(body)
