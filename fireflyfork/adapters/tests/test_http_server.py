"""Tests of the HTTP server on a loopback socket."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from .. import Exchange, HttpHandler, HttpServer, collect

TEST_TIMEOUT_SECONDS = 30.0
"""The timeout of a test that hangs."""


class _Handler(HttpHandler):
    async def handle(self, exchange: Exchange) -> None:
        if exchange.head.target == "/early":
            await exchange.answer(404, b"no")
        else:
            await exchange.answer(200, await collect(exchange.body(), 1000))


def _with_connection(talk: Callable[[trio.SocketStream], Awaitable[None]]) -> None:
    async def main() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(HttpServer(_Handler()).run, listeners)
                await talk(await trio.open_tcp_stream("127.0.0.1", port))
                nursery.cancel_scope.cancel()

    trio.run(main)


def _request(target: str, length: int) -> bytes:
    return f"POST {target} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n".encode("ascii")


async def _answer(stream: trio.SocketStream, end: bytes) -> bytes:
    answer = b""
    while not answer.endswith(end):
        data = await stream.receive_some(4096)
        if not data:
            break
        answer += data
    return answer


class EarlyAnswerTest(unittest.TestCase):
    """Responses that are sent before the whole request has arrived."""

    def test_an_answer_before_the_end_of_the_body_closes_the_connection(self) -> None:
        """Guards against closing a connection without announcing it in the response.

        A job for an unknown queue arrives in two packets, and is refused before the second one. The server
        then closes the connection. The client's next request on it would be read and never answered.
        """

        async def talk(stream: trio.SocketStream) -> None:
            await stream.send_all(_request("/early", 4))
            answer = await _answer(stream, b"no")
            self.assertTrue(answer.startswith(b"HTTP/1.1 404"))
            self.assertIn(b"connection: close", answer.lower())

        _with_connection(talk)

    def test_a_complete_request_keeps_the_connection_open(self) -> None:
        async def talk(stream: trio.SocketStream) -> None:
            for target, body, expected in (
                ("/early", b"data", b"no"),
                ("/late", b"data", b"data"),
                ("/early", b"", b"no"),
                ("/late", b"last", b"last"),
            ):
                await stream.send_all(_request(target, len(body)) + body)
                answer = await _answer(stream, expected)
                self.assertTrue(answer.endswith(b"\r\n\r\n" + expected), answer)
                self.assertNotIn(b"connection: close", answer.lower())

        _with_connection(talk)

    def test_a_body_in_parts_is_read_completely(self) -> None:
        async def talk(stream: trio.SocketStream) -> None:
            await stream.send_all(_request("/late", 6) + b"abc")
            await trio.sleep(0.01)
            await stream.send_all(b"def")
            self.assertTrue((await _answer(stream, b"abcdef")).endswith(b"abcdef"))

        _with_connection(talk)
