"""Tests of the planner's endpoint over real sockets, with an in-memory store and platform."""

import json
import unittest
from collections.abc import Awaitable, Callable

import trio

from fireflyfork_standins import SimulatedWorkers

from ... import Address, JobId, Resources, TeamName
from ...adapters import HttpClient, HttpServer, listen
from ...decisions import TaskState
from .._batch_client import BatchCallError, BatchClient
from .._batch_messages import JobRequest
from .._planner_endpoint import PlannerEndpoint
from .._planner_partition import PartitionRunner
from .builders_planner import (
    PARTITION,
    FixedRights,
    MemoryStore,
    SimulatedPlatform,
    make_runner,
    make_workers,
    until,
)

Body = Callable[["Served"], Awaitable[None]]


class Served:
    """A planner that serves on a socket, and clients connected to it."""

    def __init__(self, store: MemoryStore, runner: PartitionRunner, address: Address) -> None:
        self.store = store
        self.runner = runner
        self.address = address
        self.client = BatchClient((address,), timeout=5.0)
        self.http = HttpClient(address, 5.0)


def run_served(body: Body) -> None:
    """Run ``body`` with a planner on a free port."""

    async def main() -> None:
        store = MemoryStore()
        runner = make_runner(store, SimulatedPlatform(SimulatedWorkers(make_workers(2))))
        rights = FixedRights()
        server = HttpServer(PlannerEndpoint({PARTITION: runner}, rights))
        listeners = await listen("127.0.0.1", 0)
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(runner.run)
            nursery.start_soon(server.run, listeners)
            await until(lambda: runner.state is not None and bool(runner.state.workers))
            await body(Served(store, runner, Address("127.0.0.1", port)))
            nursery.cancel_scope.cancel()

    trio.run(main)


def make_request(name: str = "night", **fields: object) -> JobRequest:
    """Return a job of confirmation letters."""
    values: dict[str, object] = {
        "job_id": JobId(name),
        "team": TeamName("letters"),
        "task_class": "letter",
        "resources": Resources(1000, 1 << 30),
        "run_seconds": 3600.0,
        "tasks": 2,
    }
    return JobRequest(**{**values, **fields})  # type: ignore[arg-type]


class EndpointTest(unittest.TestCase):
    """The answers to operators' requests."""

    def test_a_repeated_submission_changes_nothing(self) -> None:
        """A submission that is repeated after a lost answer has no further effect."""

        async def body(served: Served) -> None:
            first = await served.client.submit(make_request())
            again = await served.client.submit(make_request())
            self.assertEqual((first.tasks, again.tasks), (2, 2))
            with self.assertRaises(BatchCallError) as raised:
                await served.client.submit(make_request(tasks=3))
            self.assertEqual(raised.exception.status, 409)
            self.assertEqual(raised.exception.problem.accepted, "no")

        run_served(body)

    def test_impossible_jobs_are_refused_with_a_reason(self) -> None:
        """A job that could never run must be refused at once instead of waiting forever."""
        cases: list[tuple[dict[str, object], int, str]] = [
            ({"resources": Resources(5000, 1)}, 409, "no worker is large enough"),
            ({"team": TeamName("nobody")}, 409, "no team"),
            ({"resources": Resources(0, 1)}, 400, "needs processor time"),
            ({"resources": Resources(1, -1)}, 400, "negative"),
            ({"run_seconds": 0.0}, 400, "run_seconds"),
            ({"tasks": 0}, 409, "1 to"),
            ({"job_id": JobId("a/b")}, 400, "job_id"),
        ]

        async def body(served: Served) -> None:
            for fields, status, words in cases:
                with self.subTest(fields=fields), self.assertRaises(BatchCallError) as raised:
                    await served.client.submit(make_request("night", **fields))
                self.assertEqual(raised.exception.status, status)
                self.assertIn(words, raised.exception.problem.error)
            assert served.runner.state is not None
            self.assertEqual(served.runner.state.table.jobs, {})

        run_served(body)

    def test_a_submission_is_answered_only_when_stored(self) -> None:
        """While the store is down, a submission must not be answered.

        An answer would promise a job that the next owner of the partition does not have.
        """

        async def body(served: Served) -> None:
            served.store.down = True
            answered = False

            async def submit() -> None:
                nonlocal answered
                await served.client.submit(make_request())
                answered = True

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await until(lambda: bool(served.runner.state and served.runner.state.table.jobs))
                await trio.sleep(0.5)
                self.assertFalse(answered)
                served.store.down = False
            self.assertTrue(answered)

        run_served(body)

    def test_status_explain_and_cancel(self) -> None:
        """An operator reads a job's status, explains its tasks and cancels them."""

        async def body(served: Served) -> None:
            await served.client.submit(make_request(tasks=10))
            job_id = JobId("night")

            def all_run() -> bool:
                assert served.runner.state is not None
                tasks = served.runner.state.table.tasks.values()
                return sum(task.state is TaskState.RUNNING for task in tasks) == 8

            await until(all_run)
            status = await served.client.status(job_id)
            self.assertEqual(status.states, {"running": 8, "waiting": 2})
            running = await served.client.explain(job_id, 0)
            self.assertIn("attempt 1 is running on w0", running.words)
            waiting = await served.client.explain(job_id, 9)
            self.assertIn("no worker has room", waiting.words)
            await served.client.cancel(job_id, 9)
            self.assertEqual((await served.client.status(job_id)).states["cancelled"], 1)
            await served.client.cancel(job_id)
            for call in (served.client.status(JobId("none")), served.client.explain(job_id, 10)):
                with self.assertRaises(BatchCallError) as raised:
                    await call
                self.assertEqual(raised.exception.status, 404)
            self.assertEqual((await served.client.metrics()).partitions[0].owned, True)

        run_served(body)

    def test_metrics_for_a_scraper(self) -> None:
        """The metrics include each partition's values and how long tasks waited for their start."""

        async def body(served: Served) -> None:
            await served.client.submit(make_request(tasks=2))
            job_id = JobId("night")
            with trio.fail_after(30.0):
                while (await served.client.status(job_id)).states.get("running", 0) < 2:
                    await trio.sleep(0.1)
            _, text = await served.http.call("GET", "/metrics")
            self.assertIn(b'fireflyfork_partition_open_tasks{partition="', text)
            self.assertIn(b'fireflyfork_start_wait_seconds_count{urgency="ordinary"} 2', text)

        run_served(body)

    def test_malformed_calls(self) -> None:
        """Malformed requests get an error status and a JSON reason, and the planner keeps serving."""
        cases = [
            ("POST", "/v1/jobs", b"{", 400),
            ("POST", "/v1/jobs", b'{"job_id": 1}', 400),
            ("POST", "/v1/jobs", b" " * 70_000, 413),
            ("GET", "/v1/tasks/night/first", b"", 400),
            ("GET", "/nowhere", b"", 404),
            ("DELETE", "/v1/jobs/night", b"", 404),
            ("GET", "/healthz", b"", 200),
            ("GET", "/readyz", b"", 200),
        ]

        async def body(served: Served) -> None:
            for method, target, content, status in cases:
                with self.subTest(target=target, content=content[:20]):
                    head, answer = await served.http.call(method, target, (), content)
                    self.assertEqual(head.status, status)
                    self.assertIsInstance(json.loads(answer), dict)

        run_served(body)

    def test_a_refused_connection_proves_that_nothing_was_accepted(self) -> None:
        """A refused connection is reported as not accepted, and the next planner is tried.

        Reported as unknown, it would force the operator to check whether the job was stored.
        """

        async def body(served: Served) -> None:
            listeners = await listen("127.0.0.1", 0)
            unreachable = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            await listeners[0].aclose()
            with self.assertRaises(BatchCallError) as raised:
                await BatchClient((unreachable,)).submit(make_request())
            self.assertEqual(raised.exception.problem.accepted, "no")
            status = await BatchClient((unreachable, served.address)).submit(make_request())
            self.assertEqual(status.tasks, 2)

        run_served(body)

    def test_another_planner_redirects_to_the_owner(self) -> None:
        """A planner that does not own the job's partition redirects to the owner."""

        async def body(served: Served) -> None:
            rights = FixedRights(frozenset(), {PARTITION: served.address})
            idle = make_runner(served.store, SimulatedPlatform(SimulatedWorkers(())), rights)
            server = HttpServer(PlannerEndpoint({PARTITION: idle}, rights))
            listeners = await listen("127.0.0.1", 0)
            other = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run, listeners)
                status = await BatchClient((other,)).submit(make_request())
                self.assertEqual(status.tasks, 2)
                nursery.cancel_scope.cancel()

        run_served(body)
