"""Streams between entries: who may speak, and what happens when one side stops."""

import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from ... import PeerError
from .. import AnswerHead, IncomingCall, listen
from .._peer_connection import WINDOW_BYTES
from .builders_peers import FIGURES, TWO, PeerPair, Serve, answer_ok, peer_pair

GENEROUS_SECONDS = 30.0
LARGE_ANSWER = b"x" * (4 * WINDOW_BYTES)

Body = Callable[[PeerPair], Awaitable[None]]


def run_pair(body: Body, serve: Serve = answer_ok, key_of_two: bytes | None = None) -> None:
    """Run ``body`` with two peers."""

    async def main() -> None:
        with trio.fail_after(GENEROUS_SECONDS):
            keys = {} if key_of_two is None else {"key_of_two": key_of_two}
            async with peer_pair(serve, **keys) as pair:
                await body(pair)

    trio.run(main)


async def read_all(call: object) -> bytes:
    """The whole answer of a call."""
    event = await call.receive()  # type: ignore[attr-defined]
    assert isinstance(event, AnswerHead), event
    return b"".join([part async for part in call.body()])  # type: ignore[attr-defined]


class HandshakeTest(unittest.TestCase):
    """Only a process that knows the key and bears the right name is spoken to."""

    def test_a_peer_with_another_key_is_refused(self) -> None:
        """An instance of another fleet has this address now; bookings must not go there."""

        async def body(pair: PeerPair) -> None:
            with self.assertRaises(PeerError):
                await pair.one.stream(TWO)

        run_pair(body, key_of_two=b"another key, as long")

    def test_another_member_at_the_address_is_refused(self) -> None:
        """The peer was restarted and has a new member id; the old one owns nothing any more."""

        async def body(pair: PeerPair) -> None:
            pair.two._own = lambda: TWO.__class__("two-restarted")
            with self.assertRaises(PeerError):
                await pair.one.stream(TWO)

        run_pair(body)

    def test_garbage_ends_the_connection_and_nothing_else(self) -> None:
        """A port scanner connects to the peer port; calls of true peers go on."""

        async def body(pair: PeerPair) -> None:
            stranger = await trio.open_tcp_stream(pair.address.host, pair.address.port)
            await stranger.send_all(b"\xc1" * 100)
            while await stranger.receive_some(100):
                pass
            _, call = await pair.call()
            self.assertEqual(await read_all(call), b"ok")

        run_pair(body)


class CallTest(unittest.TestCase):
    """Calls that share a stream."""

    def test_a_slow_reader_does_not_hold_up_others(self) -> None:
        """One caller takes its large answer slowly; a clerk's short answer overtakes it."""

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
        """The caller has gone; the peer must not go on waiting for a slot on its behalf."""

        async def body(pair: PeerPair) -> None:
            _, call = await pair.call()
            await trio.sleep(0.1)
            call.close(finished=False)
            while not pair.handler.cancelled:
                await trio.sleep(0.01)

        run_pair(body, lambda call: trio.sleep_forever())

    def test_a_lost_stream_ends_its_calls_and_is_replaced(self) -> None:
        """The connection to a peer breaks; who waits on it hears so, and the next call works."""

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
        """Guards against requests that wait for their deadlines on a stream whose peer stands still."""

        async def body(pair: PeerPair) -> None:
            stream, call = await pair.call()
            silent = await listen("127.0.0.1", 0)
            stream._stream, old = await _connect_to(silent), stream._stream
            with self.assertRaises(PeerError):
                await call.receive()
            self.assertTrue(stream.lost)
            old.socket.close()

        run_pair(body, lambda call: trio.sleep_forever())


async def _connect_to(listeners: list[trio.SocketListener]) -> trio.SocketStream:
    host, port = listeners[0].socket.getsockname()
    return await trio.open_tcp_stream(host, port)
