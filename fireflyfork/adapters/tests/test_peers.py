"""Tests of streams between entries: authentication, concurrent calls and lost streams."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from ... import PeerError
from .. import AnswerHead, IncomingCall, listen
from .._peer_connection import WINDOW_BYTES
from .builders_peers import FIGURES, TWO, PeerPair, Serve, answer_ok, peer_pair

TEST_TIMEOUT_SECONDS = 30.0
LARGE_ANSWER = b"x" * (4 * WINDOW_BYTES)

Body = Callable[[PeerPair], Awaitable[None]]


def run_pair(body: Body, serve: Serve = answer_ok, key_of_two: bytes | None = None) -> None:
    """Run ``body`` with two peers, the second of which serves calls with ``serve``."""

    async def main() -> None:
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            keys = {} if key_of_two is None else {"key_of_two": key_of_two}
            async with peer_pair(serve, **keys) as pair:
                await body(pair)

    trio.run(main)


async def read_all(call: object) -> bytes:
    """Return the whole body of the answer to a call."""
    event = await call.receive()  # type: ignore[attr-defined]
    assert isinstance(event, AnswerHead), event
    return b"".join([part async for part in call.body()])  # type: ignore[attr-defined]


class HandshakeTest(unittest.TestCase):
    """A stream is opened only to a process that has the key and the expected member id."""

    def test_a_peer_with_another_key_is_refused(self) -> None:
        """Guards against sending bookings to an instance of another fleet that now has the address."""

        async def body(pair: PeerPair) -> None:
            with self.assertRaises(PeerError):
                await pair.one.stream(TWO)

        run_pair(body, key_of_two=b"another key, as long")

    def test_another_member_at_the_address_is_refused(self) -> None:
        """Guards against calls to a restarted peer under its old member id, which no longer owns anything."""

        async def body(pair: PeerPair) -> None:
            pair.two._own_id = lambda: TWO.__class__("two-restarted")
            with self.assertRaises(PeerError):
                await pair.one.stream(TWO)

        run_pair(body)

    def test_garbage_ends_the_connection_and_nothing_else(self) -> None:
        """Guards against a port scanner on the peer port that disturbs the calls of authenticated peers."""

        async def body(pair: PeerPair) -> None:
            stranger = await trio.open_tcp_stream(pair.address.host, pair.address.port)
            await stranger.send_all(b"\xc1" * 100)
            while await stranger.receive_some(100):
                pass
            _, call = await pair.call()
            self.assertEqual(await read_all(call), b"ok")

        run_pair(body)


class CallTest(unittest.TestCase):
    """Tests of calls that share a stream."""

    def test_a_slow_reader_does_not_hold_up_others(self) -> None:
        """Guards against a large answer that is read slowly and blocks a short one on the same stream."""

        async def serve(call: IncomingCall) -> None:
            call.start(200, (), FIGURES)
            first = call.forward.call == 1
            await call.send(LARGE_ANSWER if first else b"short", end=True)

        async def body(pair: PeerPair) -> None:
            _, slow = await pair.call()
            _, quick = await pair.call()
            self.assertEqual(await read_all(quick), b"short")
            self.assertEqual(await read_all(slow), LARGE_ANSWER)

        run_pair(body, serve)

    def test_a_call_that_was_given_up_is_cancelled_at_the_peer(self) -> None:
        """Guards against a peer that still waits for a slot after the caller has disconnected."""

        async def body(pair: PeerPair) -> None:
            _, call = await pair.call()
            await trio.sleep(0.1)
            call.close(finished=False)
            while not pair.handler.cancelled:
                await trio.sleep(0.01)

        run_pair(body, lambda call: trio.sleep_forever())

    def test_a_lost_stream_ends_its_calls_and_is_replaced(self) -> None:
        """Guards against calls that wait forever on a broken connection, and against using it again."""

        async def serve(call: IncomingCall) -> None:
            if call.forward.call == 1 and not pair_stream_lost:
                await trio.sleep_forever()
            await answer_ok(call)

        pair_stream_lost: list[bool] = []

        async def body(pair: PeerPair) -> None:
            stream, call = await pair.call()
            stream.close()
            pair_stream_lost.append(True)
            with self.assertRaises(PeerError):
                await call.receive()
            await trio.sleep(0.05)
            _, again = await pair.call()
            self.assertEqual(await read_all(again), b"ok")

        run_pair(body, serve)

    def test_a_silent_peer_is_given_up(self) -> None:
        """Guards against requests that wait until their deadlines on a stream to a stalled peer."""

        async def body(pair: PeerPair) -> None:
            stream, call = await pair.call()
            silent = await listen("127.0.0.1", 0)
            stream._stream, old = await _connect_to(silent), stream._stream
            with self.assertRaises(PeerError):
                await call.receive()
            self.assertTrue(stream.closed)
            old.socket.close()

        run_pair(body, lambda call: trio.sleep_forever())


async def _connect_to(listeners: list[trio.SocketListener]) -> trio.SocketStream:
    host, port = listeners[0].socket.getsockname()
    return await trio.open_tcp_stream(host, port)
