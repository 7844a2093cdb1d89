"""A stand-in for a service's executors: ``python -m fireflyfork_standins.executor SETTINGS``.

One process serves many executors, each at its own port. ``GET /history`` returns the requests that
an executor ran, its slots, and the maximum number of requests that it ran at the same time.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import trio

from fireflyfork import Address
from fireflyfork.adapters import Exchange, HttpServer, collect, listen
from fireflyfork.programs import load_settings_or_exit

from ._program import stop_on_signal
from ._switches import SwitchedHandler

_LONGEST_BODY = 1 << 24


@dataclass(frozen=True, slots=True)
class ExecutorSettings:
    """The settings file of the process."""

    addresses: tuple[str, ...]
    """IP address and port of each executor."""
    slots: int
    run_seconds: float
    """Mean duration of a request. Durations are distributed uniformly between 0.5 and 1.5 times the
    mean."""
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Run:
    """One request that an executor received and ran."""

    request_id: str
    key: str
    method: str
    path: str
    started: float
    """Seconds since the Unix epoch."""
    body_length: int


class ExecutorHandler(SwitchedHandler):
    """The HTTP handler of one executor."""

    def __init__(self, slots: int, run_seconds: float, random: Random) -> None:
        """Create an idle executor; ``run_seconds`` is the mean duration of a request."""
        super().__init__()
        self._slots = slots
        self._run_seconds = run_seconds
        self._random = random
        self._busy = 0
        self._most_busy = 0
        self._history: list[Run] = []

    @property
    def most_busy(self) -> int:
        """The maximum number of requests that ran at the same time."""
        return self._most_busy

    @property
    def history(self) -> tuple[Run, ...]:
        """All requests, in the order of their starts."""
        return tuple(self._history)

    async def serve(self, exchange: Exchange) -> None:
        """Run one request, or return the history."""
        if exchange.head.target == "/history":
            counts = {"slots": self._slots, "most_busy": self._most_busy, "runs": self._history}
            await exchange.answer_json(200, counts)
            return
        self._busy += 1
        self._most_busy = max(self._most_busy, self._busy)
        try:
            await self._run(exchange)
        finally:
            self._busy -= 1

    async def _run(self, exchange: Exchange) -> None:
        head = exchange.head
        body = await collect(exchange.body(), _LONGEST_BODY)
        run = Run(
            head.header(b"request-id") or "",
            head.header(b"idempotency-key") or "",
            head.method,
            head.target,
            time.time(),
            len(body),
        )
        self._history.append(run)
        await trio.sleep(self._run_seconds * self._random.uniform(0.5, 1.5))
        if self.loses_this_answer():
            exchange.abort()
            return
        echo = {"ran": run.request_id, "path": run.path, "body": body.decode("utf-8", "replace")}
        await exchange.answer_json(200, echo)


async def run_executors(settings: ExecutorSettings) -> None:
    """Serve all executors until SIGTERM or SIGINT."""
    random = Random(settings.seed)
    servers: list[HttpServer] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, servers, nursery.cancel_scope)
        async with trio.open_nursery() as serving:
            for text in settings.addresses:
                address = Address.parse(text)
                handler = ExecutorHandler(settings.slots, settings.run_seconds, random)
                server = HttpServer(handler)
                servers.append(server)
                serving.start_soon(server.run, await listen(address.host, address.port))
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the stand-in with the settings file given on the command line."""
    trio.run(run_executors, load_settings_or_exit(Path(sys.argv[1]), ExecutorSettings))


if __name__ == "__main__":
    main()
