"""Measures how failures affect callers; run by ``bash scripts/failures.sh``.

Bookings are sent at a steady rate through all entries, each with its own idempotency key, while
failures are injected into real processes one after the other. At the end the histories of the
executors show whether any booking ran twice, or ran although its caller received "not run".
"""

from __future__ import annotations

import os
import signal
import sys
import time
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from fireflyfork import Address, IdempotencyKey
from fireflyfork.adapters import HttpClient, HttpError
from fireflyfork_standins.demo_settings import ENTRIES, EXECUTORS_PER_RACK, RACKS

RATE = 60.0
"""Bookings per second, over all entries."""
TIMEOUT_MILLISECONDS = 3000
TIMED_SHARE = 0.9
"""Share of idempotency keys that are version 7 UUIDs; the others are version 4 UUIDs."""
STORE = Address("127.0.0.1", 9001)
INSTANCES = Address("127.0.0.1", 9002)
READY_SECONDS = 30.0

Action = Callable[["Trial"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RecordedRun:
    """A request that an executor ran."""

    key: IdempotencyKey
    started: float
    """Start time, in seconds since the Unix epoch."""


@dataclass(frozen=True, slots=True)
class History:
    """The history that an executor reports at ``/history``."""

    runs: tuple[RecordedRun, ...]
    most_busy: int


@dataclass(slots=True)
class Phase:
    """An injected failure and the outcomes that callers observed in its phase."""

    name: str
    action: Action
    seconds: float
    outcomes: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    last_answer: float = 0.0
    longest_gap: float = 0.0
    """Longest time in seconds without an answered booking, over all entries."""

    def record(self, outcome: str, begun: float, now: float) -> None:
        """Record the outcome and the latency of a booking."""
        self.outcomes[outcome] += 1
        self.latency.record_value(max(1, int((now - begun) * 1e6)))
        if outcome == "200 answered":
            self.longest_gap = max(self.longest_gap, now - self.last_answer)
            self.last_answer = now


class Trial:
    """Sends bookings, injects failures and checks the histories of the executors."""

    def __init__(self, folder: Path) -> None:
        """``folder`` is the run folder; the process ids are in its subfolder ``pids``."""
        self._folder = folder
        self._phase: Phase | None = None
        self._verdicts: dict[IdempotencyKey, str] = {}
        self._balanced_ports = [entry[3] for entry in ENTRIES]
        """Ports of the entries that the simulated load balancer uses."""
        self._random = Random(7)
        self.leaving_address = STORE
        self.leaving_id = ""
        self.leaving_since = 0.0
        """Time at which the list marked an executor as leaving, in seconds since the Unix epoch."""

    async def run(self) -> None:
        """Run all phases, then check the histories of the executors."""
        await self._wait_ready()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_all, nursery)
            for phase in PHASES:
                phase.last_answer = trio.current_time()
                self._phase = phase
                await phase.action(self)
                await trio.sleep(phase.seconds)
                _print_phase(phase)
            nursery.cancel_scope.cancel()
        await self._check_histories()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, found by its name."""
        os.kill(int((self._folder / "pids" / name).read_text("ascii")), number)

    def remove_from_balancer(self, port: int) -> None:
        """Make the load balancer stop sending requests to this entry."""
        self._balanced_ports = [each for each in self._balanced_ports if each != port]

    def return_to_balancer(self, port: int) -> None:
        """Make the load balancer use this entry again."""
        self._balanced_ports.append(port)

    async def _send_all(self, nursery: trio.Nursery) -> None:
        while True:
            port = self._random.choice(self._balanced_ports)
            nursery.start_soon(self._book, Address("127.0.0.1", port))
            await trio.sleep(1 / RATE)

    async def _book(self, address: Address) -> None:
        phase = self._phase
        assert phase is not None
        is_timed = self._random.random() < TIMED_SHARE
        key = IdempotencyKey(str(_time_ordered_uuid() if is_timed else uuid.uuid4()))
        headers = (
            (b"request-timeout-ms", str(TIMEOUT_MILLISECONDS).encode("ascii")),
            (b"idempotency-key", key.encode("ascii")),
        )
        client = HttpClient(address, TIMEOUT_MILLISECONDS / 1000 + 2)
        begun = trio.current_time()
        try:
            head, _ = await client.call("POST", "/booking-desk/holds", headers, b"room 4")
            verdict = head.header(b"fireflyfork-verdict") or "none"
            outcome = f"{head.status} {verdict}"
            if head.status != 200 and not is_timed:
                outcome = f"{outcome} for a key without a time"
        except HttpError:
            verdict, outcome = "broken", "connection broken"
        finally:
            client.close()
        self._verdicts[key] = verdict
        phase.record(outcome, begun, trio.current_time())

    async def _wait_ready(self) -> None:
        with trio.fail_after(READY_SECONDS):
            for entry in ENTRIES:
                while not await _is_ready(Address("127.0.0.1", entry[3] + 2)):
                    await trio.sleep(0.1)

    async def _check_histories(self) -> None:
        runs: Counter[IdempotencyKey] = Counter()
        most_busy = 0
        for _, _, first in RACKS:
            for number in range(EXECUTORS_PER_RACK):
                await switch(Address("127.0.0.1", first + number), {})
                history = await _history(Address("127.0.0.1", first + number))
                runs.update(run.key for run in history.runs)
                most_busy = max(most_busy, history.most_busy)
        twice = sum(1 for count in runs.values() if count > 1)
        verdicts = Counter(self._verdicts.values())
        refused = [key for key, verdict in self._verdicts.items() if verdict == "not-run"]
        misreported = sum(1 for key in refused if runs[key])
        lost = sum(
            1 for key, verdict in self._verdicts.items() if verdict == "answered" and not runs[key]
        )
        print(f"\nbookings by verdict: {dict(verdicts)}")
        print(
            f"ran twice: {twice}; 'not run' but ran: {misreported}; answered without a run: {lost}"
        )
        leaving = await _history(self.leaving_address)
        last = max((run.started - self.leaving_since for run in leaving.runs), default=0.0)
        print(f"the leaving executor's last request came {last:.1f} s after the list said so")
        print(f"most slots of 8 in use at any executor: {most_busy}")


async def switch(address: Address, switches: dict[str, object]) -> None:
    """Set the failure switches of a stand-in; switches that aren't given are turned off."""
    await _put(address, "/switches", msgspec.json.encode(switches))


async def _put(address: Address, target: str, body: bytes) -> None:
    client = HttpClient(address, 5.0)
    await client.call("PUT", target, (), body)
    client.close()


def _time_ordered_uuid() -> uuid.UUID:
    """Return a version 7 UUID with the current time."""
    milliseconds = time.time_ns() // 1_000_000
    value = milliseconds << 80 | uuid.uuid4().int & ((1 << 80) - 1)
    return uuid.UUID(int=value & ~(0xF << 76) | 0x7 << 76)


async def _is_ready(address: Address) -> bool:
    client = HttpClient(address, 1.0)
    try:
        head, _ = await client.call("GET", "/readyz")
        return head.status == 200
    except HttpError:
        return False
    finally:
        client.close()


async def _history(address: Address) -> History:
    client = HttpClient(address, 10.0)
    _, body = await client.call("GET", "/history")
    client.close()
    return msgspec.json.decode(body, type=History)


def _print_phase(phase: Phase) -> None:
    outcomes = ", ".join(f"{count} x {name}" for name, count in phase.outcomes.most_common())
    quantiles = [phase.latency.get_value_at_percentile(each) / 1000 for each in (50, 99)]
    print(
        f"{phase.name}: {outcomes}; p50 {quantiles[0]:.0f} ms, p99 {quantiles[1]:.0f} ms, "
        f"longest gap {phase.longest_gap:.2f} s",
        flush=True,
    )


async def _nothing(trial: Trial) -> None:
    """Inject no failure."""


async def _store_down(trial: Trial) -> None:
    await switch(STORE, {"down": True})


async def _store_slow(trial: Trial) -> None:
    await switch(STORE, {"slow_seconds": 0.8})


async def _store_back(trial: Trial) -> None:
    await switch(STORE, {})


async def _executor_silent(trial: Trial) -> None:
    await switch(Address("127.0.0.1", RACKS[0][2]), {"silent": True})


async def _executor_back(trial: Trial) -> None:
    await switch(Address("127.0.0.1", RACKS[0][2]), {})


async def _executor_leaves(trial: Trial) -> None:
    """Mark the executor that started the most recent request as leaving."""
    latest = 0.0
    for _, domain, first in RACKS:
        for number in range(EXECUTORS_PER_RACK):
            address = Address("127.0.0.1", first + number)
            started = max((run.started for run in (await _history(address)).runs), default=0.0)
            if started > latest:
                latest = started
                trial.leaving_address, trial.leaving_id = (
                    address,
                    f"booking-desk-{domain}-{number + 1}",
                )
    await _put(INSTANCES, f"/v1/instances/{trial.leaving_id}", b"leaving")
    trial.leaving_since = time.time()


async def _entry_paused(trial: Trial) -> None:
    trial.signal("entry-labasa-1", signal.SIGSTOP)
    await trio.sleep(6.0)
    trial.signal("entry-labasa-1", signal.SIGCONT)


async def _entry_killed(trial: Trial) -> None:
    trial.signal("entry-nadi-1", signal.SIGKILL)
    await trio.sleep(0.5)
    trial.remove_from_balancer(9021)


async def _entry_stopped(trial: Trial) -> None:
    """Stop an entry as planned; the load balancer then notices that it isn't ready.

    A real load balancer polls readiness about once a second.
    """
    trial.signal("entry-labasa-2", signal.SIGTERM)
    await trio.sleep(0.1)
    trial.remove_from_balancer(9041)


PHASES = (
    Phase("all well", _nothing, 10),
    Phase("store slow", _store_slow, 10),
    Phase("store down", _store_down, 15),
    Phase("store back", _store_back, 8),
    Phase("one executor silent", _executor_silent, 15),
    Phase("executor back", _executor_back, 8),
    Phase("one executor leaves", _executor_leaves, 10),
    Phase("one entry stopped (SIGTERM)", _entry_stopped, 12),
    Phase("one entry paused for 6 s", _entry_paused, 10),
    Phase("one entry killed", _entry_killed, 15),
    Phase("all well again", _nothing, 10),
)


def main() -> None:
    """Run all phases and print the total time."""
    begun = time.time()
    trio.run(Trial(Path(sys.argv[1])).run)
    print(f"took {time.time() - begun:.0f} s")


if __name__ == "__main__":
    main()
