"""Measures the real programs under overload: ``python -m bench.entry_overload``.

Four entries in two regions and six executors with four slots and runs of 200 ms share this machine.
Requests arrive at random times, independently of earlier answers (open loop). Half of them are
bookings with an idempotency key, half are reads. The programs have no naive variants;
``bench.overload`` compares those on a model.
"""

from __future__ import annotations

import os
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import trio

from fireflyfork.adapters import HttpClientConnection, HttpError, RequestHead
from fireflyfork.programs.tests.builders_processes import (
    EXECUTORS,
    SLOTS,
    Callers,
    EntryProcess,
    ProcessFleet,
    process_fleet,
)

RUN_SECONDS = 0.2
CAPACITY = len(EXECUTORS) * SLOTS / RUN_SECONDS
"""Requests per second that the executors can run."""
LOADS = (1.0, 2.0, 5.0)
SECONDS = 6.0
TIMEOUT = 1.0
SEEDS = (101, 102, 103)
_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Outcomes:
    """Latencies in seconds and counts of the outcomes that callers observed."""

    answered: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    """Seconds until a 503 (not run) with a Retry-After header."""
    late: int = 0
    """Number of 504 answers: the request was not answered by its deadline."""
    other: int = 0
    sent: int = 0


async def measure(fleet: ProcessFleet, load: float, seed: int) -> tuple[Outcomes, float]:
    """Send requests at ``load`` times the capacity.

    Returns the outcomes and the processor seconds that the entries used.
    """
    random, outcomes = Random(seed), Outcomes()
    before = _processor_seconds(fleet)
    async with trio.open_nursery() as nursery:
        end = trio.current_time() + SECONDS
        next_at = trio.current_time()
        while next_at < end:
            next_at += random.expovariate(load * CAPACITY)
            await trio.sleep_until(next_at)
            entry = random.choice(fleet.entries)
            nursery.start_soon(_call, entry, random.random() < 0.5, outcomes)
    return outcomes, _processor_seconds(fleet) - before


async def _call(entry: EntryProcess, booking: bool, outcomes: Outcomes) -> None:
    outcomes.sent += 1
    headers = (
        (b"host", b"desk"),
        (b"content-length", b"0"),
        (b"request-timeout-ms", str(int(TIMEOUT * 1000)).encode("ascii")),
    )
    head = RequestHead("POST" if booking else "GET", "/desk/rooms", headers)
    began = trio.current_time()
    connection = None
    try:
        connection = await HttpClientConnection.open(entry.callers, 2.0)
        answer, _ = await connection.request(head, b"", 1 << 20)
    except HttpError:
        outcomes.other += 1
        return
    finally:
        if connection is not None:
            connection.close()
    took = trio.current_time() - began
    if answer.status == 200:
        outcomes.answered.append(took)
    elif answer.status == 503 and answer.header(b"retry-after"):
        outcomes.refused.append(took)
    elif answer.status == 504:
        outcomes.late += 1
    else:
        outcomes.other += 1


def _processor_seconds(fleet: ProcessFleet) -> float:
    return sum(_processor_seconds_of(entry) for entry in fleet.entries)


def _processor_seconds_of(entry: EntryProcess) -> float:
    assert entry.process is not None
    with open(f"/proc/{entry.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def _row(load: float, seed: int, outcomes: Outcomes, processor: float) -> str:
    goodput = 100.0 * len(outcomes.answered) / SECONDS / CAPACITY
    cells = (
        f"{load:4.1f}x",
        f"{seed:5}",
        f"{outcomes.sent:6}",
        f"{goodput:9.1f}",
        f"{_quantile(outcomes.answered, 0.5) * 1e3:8.0f}",
        f"{_quantile(outcomes.answered, 0.99) * 1e3:8.0f}",
        f"{100.0 * len(outcomes.refused) / outcomes.sent:9.1f}",
        f"{_quantile(outcomes.refused, 0.5) * 1e3:9.1f}",
        f"{_quantile(outcomes.refused, 0.99) * 1e3:9.1f}",
        f"{100.0 * outcomes.late / outcomes.sent:7.2f}",
        f"{100.0 * outcomes.other / outcomes.sent:7.2f}",
        f"{processor / outcomes.sent * 1e3:9.2f}",
    )
    return " ".join(cells)


def _quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


async def run() -> None:
    """Print a row per load and seed."""
    print(f"capacity {CAPACITY:.0f}/s, {SECONDS:.0f} s each, timeout {TIMEOUT} s, {time.ctime()}")
    print(
        " load  seed   sent goodput %   p50 ms   p99 ms refused % r. p50 ms r. p99 ms  late % "
        "other % CPU ms each"
    )
    for load in LOADS:
        for seed in SEEDS:
            async with process_fleet(run_seconds=RUN_SECONDS) as fleet:
                await Callers(fleet, seed).settle()
                outcomes, processor = await measure(fleet, load, seed)
                print(_row(load, seed, outcomes, processor), flush=True)


if __name__ == "__main__":
    trio.run(run)
