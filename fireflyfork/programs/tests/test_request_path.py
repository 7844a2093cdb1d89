"""Tests of the whole path of requests through entries, on loopback sockets."""

import unittest
from collections.abc import Awaitable, Callable

import msgspec
import trio

from fireflyfork_standins import Switches

from ... import MemberId
from .builders_entries import RunningFleet, running_fleet

Body = Callable[[RunningFleet], Awaitable[None]]
GENEROUS_SECONDS = 60.0


def run_fleet(body: Body, **arrangement: object) -> None:
    """Run ``body`` with a fleet; ``arrangement`` is passed to ``running_fleet``."""

    async def main() -> None:
        with trio.fail_after(GENEROUS_SECONDS):
            async with running_fleet(**arrangement) as fleet:  # type: ignore[arg-type]
                await body(fleet)

    trio.run(main)


class RequestPathTest(unittest.TestCase):
    """Requests that succeed, and invalid input that is refused."""

    def test_a_booking_through_an_entry_that_owns_nothing(self) -> None:
        """The booking is answered completely, runs once, and each hop writes a span of one trace."""

        async def body(fleet: RunningFleet) -> None:
            caller = fleet.entries[2]
            head, answer = await caller.call("POST", "/desk/holds?room=1", b"clerk")
            self.assertEqual(head.status, 200, answer)
            self.assertEqual(msgspec.json.decode(answer)["path"], "/holds?room=1")
            self.assertEqual(msgspec.json.decode(answer)["body"], "clerk")
            self.assertEqual(head.header(b"fireflyfork-verdict"), "answered")
            self.assertEqual(fleet.runs(), [head.header(b"idempotency-key")])
            spans = await fleet.spans_when({"request", "forward", "peer-request", "target"})
            self.assertEqual(len({span.trace_id for span in spans}), 1)

        run_fleet(body)

    def test_only_traces_that_were_sampled_are_written(self) -> None:
        """Each hop follows the sampling flag of the caller's trace context."""

        async def body(fleet: RunningFleet) -> None:
            trace = (b"traceparent", b"00-" + b"1" * 32 + b"-" + b"2" * 16 + b"-00")
            await fleet.entries[2].call("POST", "/desk/x", headers=(trace,))
            await fleet.entries[2].call("POST", "/desk/x")
            spans = await fleet.spans_when({"request", "forward", "peer-request", "target"})
            self.assertNotIn("1" * 32, {span.trace_id for span in spans})

        run_fleet(body)

    def test_bodies_stream_whole_through_two_hops(self) -> None:
        """A body much larger than any buffer on the path is echoed unchanged."""

        async def body(fleet: RunningFleet) -> None:
            sent = b"0123456789abcdef" * 50_000
            head, answer = await fleet.entries[1].call("POST", "/desk/upload", sent)
            self.assertEqual(head.status, 200)
            self.assertEqual(msgspec.json.decode(answer)["body"].encode(), sent)

        run_fleet(body)

    def test_many_callers_each_get_their_own_answer(self) -> None:
        """Guards against swapped answers on a peer stream.

        Answers arrive there in another order than the requests were sent.
        """

        async def body(fleet: RunningFleet) -> None:
            async def send_one(number: int) -> None:
                entry = fleet.entries[number % 3]
                head, answer = await entry.call("POST", f"/desk/{number}", str(number).encode())
                self.assertEqual(head.status, 200, answer)
                self.assertEqual(msgspec.json.decode(answer)["body"], str(number))

            async with trio.open_nursery() as nursery:
                for number in range(60):
                    nursery.start_soon(send_one, number)
            self.assertEqual(len(set(fleet.runs())), 60)
            self.assertEqual(len(fleet.runs()), 60)
            for executor in fleet.executors.values():
                self.assertLessEqual(executor.most_busy, 2)

        run_fleet(body, owned_by={0: 0, 1: 1, 2: 2, 3: 1})

    def test_bad_input_is_refused_with_a_reason(self) -> None:
        """Each invalid request gets its status, a reason and the verdict "not-run", and none runs."""
        key = b"idempotency-key"
        cases = [
            ("GET", "/nothing/x", "100", (), 404, "no service"),
            ("GET", "/", "100", (), 400, "/SERVICE/PATH"),
            ("GET", "/desk/x", None, (), 400, "Request-Timeout-Ms"),
            ("GET", "/desk/x", "-5", (), 400, "Request-Timeout-Ms"),
            ("GET", "/desk/x", "soon", (), 400, "Request-Timeout-Ms"),
            ("GET", "/desk/x", "nan", (), 400, "Request-Timeout-Ms"),
            ("GET", "/desk/x", "99999999", (), 400, "Request-Timeout-Ms"),
            ("BREW", "/desk/x", "100", (), 405, "BREW"),
            ("POST", "/desk/x", "100", ((key, b"a b"),), 400, "Idempotency-Key"),
            ("POST", "/desk/x", "100", ((key, b""),), 400, "Idempotency-Key"),
            ("POST", "/desk/x", "100", ((key, b"a"), (key, b"b")), 400, "more than one"),
            ("GET", "/desk/x", "100", ((b"large", b"x" * 40_000),), 431, ""),
        ]

        async def body(fleet: RunningFleet) -> None:
            for method, path, timeout, headers, status, reason in cases:
                with self.subTest(method=method, path=path, timeout=timeout):
                    head, answer = await fleet.entries[0].call(
                        method, path, timeout_ms=timeout, headers=headers
                    )
                    self.assertEqual(head.status, status, answer)
                    self.assertIn(reason, msgspec.json.decode(answer)["error"])
                    self.assertEqual(msgspec.json.decode(answer)["verdict"], "not-run")
            self.assertEqual(fleet.runs(), [])

        run_fleet(body)

    def test_malformed_http_is_refused_and_ends_only_its_connection(self) -> None:
        """Guards against malformed input that disturbs other callers.

        Port scanners and broken clients send bytes that are not valid HTTP.
        """
        cases = [
            (b"\x16\x03\x01\x02\x00\x01\x00", b"400"),
            (b"GET /desk/x HTTP/1.1\r\nno colon\r\n\r\n", b"400"),
            (b"GET /desk/x HTTP/1.1\r\n\r\n", b"400"),
            (
                b"POST /desk/x HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
                b"400",
            ),
            (b"GET /" + b"x" * 70_000, b"431"),
        ]

        async def body(fleet: RunningFleet) -> None:
            address = fleet.entries[0].caller_address
            for sent, status in cases:
                with self.subTest(sent=sent[:40]):
                    stream = await trio.open_tcp_stream(address.host, address.port)
                    await stream.send_all(sent)
                    answer = b""
                    while part := await stream.receive_some(65_536):
                        answer += part
                    self.assertEqual(answer.split()[1], status, answer)
                    self.assertIn(b'"verdict":"not-run"', answer)
            head, _ = await fleet.entries[0].call("GET", "/desk/x")
            self.assertEqual(head.status, 200)

        run_fleet(body)

    def test_a_caller_that_sends_half_a_head_and_stops(self) -> None:
        """Guards against connections that are held open by an incomplete request.

        The connection is closed after a timeout, and other callers are served in the meantime.
        """

        async def body(fleet: RunningFleet) -> None:
            address = fleet.entries[0].caller_address
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(b"GET /desk/x HT")
            head, _ = await fleet.entries[0].call("GET", "/desk/x")
            self.assertEqual(head.status, 200)
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some(1)

        run_fleet(body)

    def test_an_oversized_body_is_refused(self) -> None:
        """A body longer than the service's limit is refused with status 413, and nothing runs."""

        async def body(fleet: RunningFleet) -> None:
            fleet.reconfigure(longest_body_bytes=1000)
            head, _ = await fleet.entries[1].call("POST", "/desk/x", b"x" * 2000)
            self.assertEqual(head.status, 413)
            self.assertEqual(fleet.runs(), [])

        run_fleet(body)


class VerdictOfFailureTest(unittest.TestCase):
    """The verdicts that callers get when a part of the path fails."""

    def test_an_answer_lost_after_the_run(self) -> None:
        """Guards against a repeated run after an executor's connection broke before the answer.

        The caller must get the verdict "may-have-run" immediately.
        """

        async def body(fleet: RunningFleet) -> None:
            for executor in fleet.executors.values():
                executor.switch(_switches(lose_answers=1))
            head, answer = await fleet.entries[1].call("POST", "/desk/x")
            self.assertEqual(head.status, 502)
            self.assertEqual(msgspec.json.decode(answer)["verdict"], "may-have-run")
            self.assertIsNotNone(head.header(b"retry-after"))
            self.assertEqual(len(fleet.runs()), 1)

        run_fleet(body)

    def test_a_silent_executor_costs_no_more_than_the_deadline(self) -> None:
        """Guards against callers that wait past their deadline for an executor that never answers."""

        async def body(fleet: RunningFleet) -> None:
            for executor in fleet.executors.values():
                executor.switch(_switches(silent=True))
            head, answer = await fleet.entries[1].call("POST", "/desk/x", timeout_ms="300")
            self.assertEqual(head.status, 504)
            self.assertEqual(msgspec.json.decode(answer)["verdict"], "may-have-run")

        run_fleet(body)

    def test_an_owner_without_the_right_runs_nothing(self) -> None:
        """Guards against runs at an owner that was paused and may have been replaced.

        Callers get the verdict "not-run".
        """

        async def body(fleet: RunningFleet) -> None:
            fleet.state.without_right.add(MemberId("entry-0"))
            for entry in fleet.entries[:2]:
                head, answer = await entry.call("GET", "/desk/x", timeout_ms="2000")
                self.assertEqual(head.status, 503, answer)
                self.assertEqual(msgspec.json.decode(answer)["verdict"], "not-run")
            self.assertEqual(fleet.runs(), [])

        run_fleet(body)

    def test_overload_is_refused_at_once(self) -> None:
        """Guards against an overloaded entry that lets all requests wait past their deadlines.

        Requests that can't be served in time are refused with the time to retry.
        """

        async def body(fleet: RunningFleet) -> None:
            statuses: list[int] = []

            async def send_one() -> None:
                head, answer = await fleet.entries[0].call("POST", "/desk/x", timeout_ms="400")
                statuses.append(head.status)
                if head.status != 200:
                    self.assertIsNotNone(head.header(b"retry-after"), answer)
                    verdict = msgspec.json.decode(answer)["verdict"]
                    self.assertEqual(verdict == "not-run", head.status == 503, answer)

            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(send_one)
            self.assertGreater(statuses.count(200), 0)
            self.assertGreater(statuses.count(503), 0)
            for executor in fleet.executors.values():
                self.assertLessEqual(executor.most_busy, 2)

        run_fleet(body, run_seconds=0.1)


def _switches(**changes: object) -> Switches:
    return Switches(**changes)  # type: ignore[arg-type]
