"""Callers of the demo: ``python -m fireflyfork_standins.demo FOLDER``.

Books rooms through all entries, submits a batch of confirmation letters, and prints the results.
"""

from __future__ import annotations

import sys
import uuid
from collections import Counter
from pathlib import Path

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from fireflyfork import Address, JobId, Resources, TeamName
from fireflyfork.adapters import HttpClient, HttpError
from fireflyfork.programs import BatchClient, JobRequest

from .demo_settings import ENTRIES, GIB, PLANNERS, RACKS

BOOKINGS = 600
CALLERS = 24
LETTERS = 48
READY_SECONDS = 30.0
BATCH_SECONDS = 60.0


class Demo:
    """Runs the demo and counts its outcomes."""

    def __init__(self) -> None:
        """Create a demo with all bookings still to be made."""
        self._outcomes: Counter[str] = Counter()
        self._latency = HdrHistogram(1, 60_000_000, 3)
        self._left = BOOKINGS
        self._traces: list[str] = []

    async def run(self) -> None:
        """Wait for all processes, run bookings and batch concurrently, and print the results."""
        with trio.fail_after(READY_SECONDS):
            for entry in ENTRIES:
                await _wait_ready(Address("127.0.0.1", entry[3] + 2))
            for planner in PLANNERS:
                await _wait_ready(Address("127.0.0.1", planner[3]))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_letters)
            for number in range(CALLERS):
                port = ENTRIES[number % len(ENTRIES)][3]
                nursery.start_soon(self._book, Address("127.0.0.1", port))
        await self._print_bookings()

    async def _book(self, address: Address) -> None:
        client = HttpClient(address, timeout=15.0)
        while self._left > 0:
            self._left -= 1
            begun = trio.current_time()
            headers = (
                (b"request-timeout-ms", b"5000"),
                (b"idempotency-key", str(uuid.uuid4()).encode("ascii")),
            )
            try:
                head, _ = await client.call("POST", "/booking-desk/holds", headers, b"room 4")
            except HttpError as error:
                self._outcomes[f"broken: {error}"] += 1
                continue
            self._outcomes[f"{head.status} {head.header(b'fireflyfork-verdict')}"] += 1
            self._latency.record_value(int((trio.current_time() - begun) * 1e6))
            self._traces.append(head.header(b"trace-id") or "")
        client.close()

    async def _send_letters(self) -> None:
        planners = tuple(Address("127.0.0.1", planner[3]) for planner in PLANNERS)
        client = BatchClient(planners)
        job = JobRequest(
            JobId("confirmation-letters"),
            TeamName("letters"),
            "letters",
            Resources(millicores=500, memory=GIB),
            run_seconds=1.0,
            tasks=LETTERS,
        )
        begun = trio.current_time()
        await client.submit(job)
        with trio.fail_after(BATCH_SECONDS):
            while (status := await client.status(job.job_id)).states.get("finished", 0) < LETTERS:
                await trio.sleep(0.2)
        seconds = trio.current_time() - begun
        print(f"batch: {status.states} of {LETTERS} letters after {seconds:.1f} s")

    async def _print_bookings(self) -> None:
        for outcome, count in sorted(self._outcomes.items()):
            print(f"bookings: {count} x {outcome}")
        quantiles = {q: self._latency.get_value_at_percentile(q) / 1000 for q in (50, 99)}
        print(f"latency: p50 {quantiles[50]:.1f} ms, p99 {quantiles[99]:.1f} ms")
        runs, most_busy = await _executor_history()
        print(f"executors: {runs} runs, at most {most_busy} of 8 slots of any in use")
        print(f"one trace id: {self._traces[-1]}")


async def _wait_ready(operators: Address) -> None:
    client = HttpClient(operators, timeout=2.0)
    while True:
        try:
            head, _ = await client.call("GET", "/readyz")
            if head.status == 200:
                client.close()
                return
        except HttpError:
            pass
        await trio.sleep(0.1)


async def _executor_history() -> tuple[int, int]:
    runs, most_busy = 0, 0
    for _, _, first in RACKS:
        for number in range(8):
            client = HttpClient(Address("127.0.0.1", first + number), timeout=5.0)
            _, body = await client.call("GET", "/history")
            client.close()
            history = msgspec.json.decode(body)
            runs += len(history["runs"])
            most_busy = max(most_busy, history["most_busy"])
    return runs, most_busy


def main() -> None:
    """Run the demo and print where its traces are."""
    trio.run(Demo().run)
    print(f"traces: {Path(sys.argv[1]) / 'traces'}/entry-*.jsonl, a span per line and hop")


if __name__ == "__main__":
    main()
