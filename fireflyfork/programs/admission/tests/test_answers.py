"""What a caller hears, by the interface for jobs, when its job can't be served."""

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from random import Random
from typing import cast

import h11
import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ....adapters import Exchange, RequestHead
from ....adapters._http_server import ServerConnection
from ....decisions.jobs.admission.tests.builders_admission import LARGE, large_job
from ....decisions.jobs.tests.builders_jobs import START_MS, table
from ....platform._names import CALLER_DEADLINE_HEADER
from ..._metrics import Metrics
from ...callers._job_requests import JobRequests
from ...callers._job_service import JobService
from .. import SubmissionGate
from .builders_gate import NODE, PRESSED, SETTINGS, VirtualClock, put_figures

BODY = b'{"spec":"","steps":[{"count":10,"cpu":2000,"mem_mb":1000,"estimate_ms":2000}]}'
TIMEOUT_SECONDS = 0.9


class _Connection:
    """Replaces a connection: sends one job and records the answer."""

    def __init__(self) -> None:
        self.status = 0
        self.retry_after: int | None = None

    async def receive_body(self) -> AsyncIterator[bytes]:
        yield BODY

    async def send(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self.status = event.status_code
            headers = dict(event.headers.raw_items())
            waits = headers.get(b"retry-after")
            self.retry_after = int(waits) if waits is not None else None


class _Instance:
    """The interface for jobs with a gate in front of a stand-in store."""

    def __init__(self, store: StandInStore) -> None:
        client = store.client(NODE)
        requests = JobRequests(client, lambda: None, repeats_in_outages=False)
        clock, metrics = VirtualClock(), Metrics()
        self.gate = SubmissionGate(SETTINGS, requests.submit, client, clock, metrics, lambda: False)
        self._service = JobService(
            requests, clock, metrics, lambda: table(LARGE), lambda: True, self.gate
        )

    async def post(self, number: int, deadline_ms: int = 30_000) -> tuple[int, int | None, float]:
        """Post a large job. Return status, Retry-After and the seconds until the answer."""
        connection, begun = _Connection(), trio.current_time()
        headers = (b"host", b"h"), (CALLER_DEADLINE_HEADER, str(deadline_ms).encode("ascii"))
        head = RequestHead("POST", f"/l/{large_job(number).job}", headers)
        await self._service.handle(Exchange(cast(ServerConnection, connection), head))
        return connection.status, connection.retry_after, trio.current_time() - begun


def _play(body: Callable[[StandInStore, _Instance], Awaitable[None]]) -> None:
    async def main() -> None:
        store = StandInStore(Random(1))
        instance = _Instance(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            nursery.start_soon(instance.gate.run)
            await body(store, instance)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class AnswersTest(unittest.TestCase):
    """Refusals come at once, are true and say when to return."""

    def test_a_job_of_no_use_is_answered_with_429(self) -> None:
        async def body(store: StandInStore, instance: _Instance) -> None:
            put_figures(store, replace(PRESSED, as_of_ms=START_MS))
            self.assertEqual((await instance.post(1))[:2], (200, None))
            await trio.sleep(0.2)
            status, retry_after, seconds = await instance.post(2)
            self.assertEqual((status, retry_after), (429, 12))
            self.assertLess(seconds, 0.05)
            self.assertEqual((await instance.post(1))[0], 200)

        _play(body)

    def test_an_instance_without_the_store_says_when_to_return(self) -> None:
        async def body(store: StandInStore, instance: _Instance) -> None:
            await trio.sleep(1.0)
            store.trouble.silent.add(NODE)
            await trio.sleep(3.5)
            status, retry_after, seconds = await instance.post(1)
            self.assertEqual((status, retry_after, seconds), (503, 2, 0.0))
            impatient = await instance.post(1, deadline_ms=3_000)
            self.assertEqual(impatient, (503, 1, 0.0))

        _play(body)

    def test_a_write_is_given_up_when_the_store_stops_answering(self) -> None:
        """Guards against callers who are held until their deadline by a store that went away."""

        async def body(store: StandInStore, instance: _Instance) -> None:
            store.trouble.lost_share = 1.0

            async def go_away() -> None:
                await trio.sleep(0.5)
                store.trouble.silent.add(NODE)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(go_away)
                status, _, seconds = await instance.post(1)
            self.assertEqual(status, 504)
            self.assertLess(seconds, 1.5 * TIMEOUT_SECONDS)
            self.assertEqual((await instance.post(1))[0], 504)

        _play(body)
