"""A stand-in for the worker platform: ``python -m fireflyfork_standins.platform SETTINGS``.

It simulates workers that run tasks under leases, and records a history of all attempts. The failure
switches that all stand-ins have are set at ``PUT /switches``, the faults of the workers at
``PUT /faults``. ``GET /history`` returns the history.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import jsonc
import msgspec
import trio

from fireflyfork import Address, Resources, Worker
from fireflyfork.adapters import (
    Exchange,
    RenewCall,
    StartOrder,
    StopCall,
    ThrottleCall,
    collect,
)

from ._program import serve_until_stopped
from ._simulated_workers import Faults, SimulatedWorkers
from ._switches import SwitchedHandler

_LONGEST_CALL_BYTES = 1 << 24


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """A number of workers of the same capacity in one rack."""

    region: str
    failure_domain: str
    rack: str
    count: int
    capacity: Resources


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings file, which is JSON with comments."""

    listen: str
    """IP address and port."""
    groups: tuple[WorkerGroup, ...]
    report_interval_seconds: float = 1.0
    """Time between two usage reports of a running attempt."""
    report_lag_seconds: float = 0.5
    """Age of a report when it can first be read."""

    def workers(self) -> Iterator[Worker]:
        """Yield the workers of all groups."""
        for group in self.groups:
            for index in range(group.count):
                yield msgspec.convert(
                    {
                        "worker_id": f"{group.rack}-{index}",
                        "region": group.region,
                        "failure_domain": group.failure_domain,
                        "rack": group.rack,
                        "capacity": msgspec.to_builtins(group.capacity),
                    },
                    Worker,
                )


class PlatformHandler(SwitchedHandler):
    """Serves the platform's calls over HTTP."""

    def __init__(self, workers: SimulatedWorkers, report_interval_seconds: float) -> None:
        """Serve ``workers``. Long polls check for new reports four times per report interval."""
        super().__init__()
        self._workers = workers
        self._report_interval_seconds = report_interval_seconds

    async def run_clock(self) -> None:
        """Advance the workers to the current time four times per report interval, until cancelled."""
        while True:
            self._workers.advance(trio.current_time())
            await trio.sleep(self._report_interval_seconds / 4)

    async def serve(self, exchange: Exchange) -> None:
        """Advance the workers to the current time and answer one call."""
        self._workers.advance(trio.current_time())
        parts = urlsplit(exchange.head.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if exchange.head.method == "GET":
            await self._serve_get(exchange, parts.path, query)
            return
        try:
            body = await collect(exchange.body(), _LONGEST_CALL_BYTES)
            answer = self._change(parts.path, body)
        except msgspec.DecodeError as error:
            await exchange.answer_json(400, {"error": str(error)})
            return
        if answer is None:
            await exchange.answer_json(404, {"error": "no such path"})
        elif self.loses_this_answer():
            exchange.abort()
        else:
            await exchange.answer_json(200, answer)

    async def _serve_get(self, exchange: Exchange, path: str, query: dict[str, str]) -> None:
        if path == "/v1/workers":
            await exchange.answer_json(200, self._workers.in_region(query["region"]))
        elif path == "/v1/report":
            await self._report(exchange, query)
        elif path == "/history":
            await exchange.answer_json(200, self._workers.history)
        else:
            await exchange.answer_json(404, {"error": "no such path"})

    async def _report(self, exchange: Exchange, query: dict[str, str]) -> None:
        region = query["region"]
        cursor = int(query["cursor"])
        deadline = trio.current_time() + float(query["wait"])
        report = self._workers.report(region, cursor)
        while not report.runs and trio.current_time() < deadline:
            await trio.sleep(self._report_interval_seconds / 4)
            report = self._workers.report(region, cursor)
        await exchange.answer_json(200, report)

    def _change(self, path: str, body: bytes) -> object:
        now = trio.current_time()
        if path == "/v1/start":
            orders = msgspec.json.decode(body, type=tuple[StartOrder, ...])
            return [self._workers.start(order, now) for order in orders]
        if path == "/v1/stop":
            return self._workers.stop(msgspec.json.decode(body, type=StopCall), now)
        if path == "/v1/throttle":
            self._workers.throttle(msgspec.json.decode(body, type=ThrottleCall))
            return {}
        if path == "/v1/renew":
            return self._workers.renew(msgspec.json.decode(body, type=RenewCall), now)
        if path == "/faults":
            self._workers.faults = msgspec.json.decode(body, type=Faults)
            return {}
        return None


async def run(settings: PlatformSettings) -> None:
    """Serve until SIGTERM or SIGINT."""
    workers = SimulatedWorkers(
        tuple(settings.workers()), settings.report_interval_seconds, settings.report_lag_seconds
    )
    handler = PlatformHandler(workers, settings.report_interval_seconds)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handler.run_clock)
        await serve_until_stopped(handler, Address.parse(settings.listen))
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the stand-in with the settings file given on the command line."""
    raw = jsonc.loads(Path(sys.argv[1]).read_text("utf-8"))
    trio.run(run, msgspec.convert(raw, PlatformSettings))


if __name__ == "__main__":
    main()
