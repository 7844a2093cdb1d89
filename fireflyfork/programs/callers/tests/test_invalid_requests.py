"""Requests of callers that no instance expects, sent to a real server."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random
from unittest.mock import patch

import msgspec
import trio

from fireflyfork_standins.scheduling import StandInStore

from ...._ids import NodeName
from ...._links import Address
from ....adapters import HttpClient, HttpServer
from ....decisions.jobs.tests.builders_jobs import queue, table
from ....platform.tests.builders_foreign_bytes import invalid_documents, nested, with_field
from ..._clocks import SystemClock
from ..._metrics import Metrics
from .._job_requests import JobRequests
from .._job_service import MAX_BODY_BYTES, JobService

STEP: dict[str, object] = {"count": 1, "cpu": 10, "mem_mb": 10, "estimate_ms": 10}
VALID: dict[str, object] = {"steps": [STEP], "spec": "text"}

Post = Callable[[bytes], Awaitable[tuple[int, bytes]]]


def _serve(body: Callable[[Post, StandInStore, JobRequests], Awaitable[None]]) -> None:
    """Run ``body`` with a function that submits a job to a server and returns the answer."""

    async def main() -> None:
        store = StandInStore(Random(1))
        requests = JobRequests(store.client(NodeName("n-0")), lambda: None)
        service = JobService(
            requests, SystemClock(), Metrics(), lambda: table(queue()), lambda: True
        )
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        client = HttpClient(Address(host, port), timeout=5.0)
        numbers = iter(range(100_000))

        async def post(content: bytes) -> tuple[int, bytes]:
            head, answer = await client.call(
                "POST", f"/q/{next(numbers):016x}", ((b"host", b"h"),), content
            )
            return head.status, answer

        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            nursery.start_soon(HttpServer(service).run, listeners)
            await body(post, store, requests)
            nursery.cancel_scope.cancel()

    trio.run(main)


class InvalidRequestsTest(unittest.TestCase):
    """A request that can't be carried out gets an error, and the next request is served."""

    def test_invalid_jobs_get_an_error_and_the_next_job_is_accepted(self) -> None:
        """Guards against a small request that ends each instance it is sent to."""

        async def body(post: Post, store: StandInStore, _: JobRequests) -> None:
            documents = [
                *nested(),
                *(with_field(VALID, "ignored", value) for value in nested()),
                *invalid_documents(STEP),
                b'{"steps":[{"count":20000000}]}',
                b'{"steps":[{"count":9223372036854775807}]}',
                b'{"steps":[{"count":1,"cpu":99999999999999999999}]}',
            ]
            for document in documents:
                with self.subTest(document=document[:60]):
                    status, answer = await post(document[:MAX_BODY_BYTES])
                    self.assertEqual(status, 400)
                    self.assertIn("error", msgspec.json.decode(answer))
            self.assertEqual(store.items_under("fireflyfork/"), ())
            self.assertEqual((await post(msgspec.json.encode(VALID)))[0], 200)

        _serve(body)

    def test_a_body_that_is_too_large_gets_an_error(self) -> None:
        """Guards against a connection that ends without an answer, so the caller repeats it."""

        async def body(post: Post, _: StandInStore, __: JobRequests) -> None:
            large = msgspec.json.encode({**VALID, "ignored": "x" * MAX_BODY_BYTES})
            self.assertEqual((await post(large))[0], 413)
            self.assertEqual((await post(msgspec.json.encode(VALID)))[0], 200)

        _serve(body)

    def test_a_fault_in_one_request_does_not_end_the_others(self) -> None:
        """Guards against a fault that nobody foresaw, which would end all requests in progress."""

        async def body(post: Post, _: StandInStore, requests: JobRequests) -> None:
            with patch.object(JobRequests, "submit", side_effect=ZeroDivisionError):
                self.assertEqual((await post(msgspec.json.encode(VALID)))[0], 504)
            self.assertEqual((await post(msgspec.json.encode(VALID)))[0], 200)

        _serve(body)
