"""Executors, which run tasks under leases and list the ends of their runs."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .store import Store
from .wire import HOST, Answer, Request, Server

STEP_SECONDS = 0.02
STARTUP_SECONDS = 0.2
MAX_HOLD_MS = 6000
MAX_LISTED_ENDS = 500
HEARTBEAT_SECONDS = 1.5

TicketCheck = Callable[[str, str, str], bool]
"""Returns whether an executor's id and a ticket fit the task's step: (id, task, ticket)."""


@dataclass
class _Run:
    task: str
    attempt: int
    spec: dict[str, Any]
    since: float
    stop_at: float | None = None

    @property
    def step(self) -> dict[str, Any]:
        """What the text of the job says of the task's step: its work and whether it fails."""
        steps: list[dict[str, Any]] = self.spec["steps"]
        return steps[int(self.task.split(".")[2])]

    def percent(self, now: float) -> int:
        if self.step.get("lasts"):
            return 100 if now - self.since > STARTUP_SECONDS else 0
        return min(99, int(100 * (now - self.since) * 1000 / self.step["work_ms"]))


class Executor:
    """One executor. Its tasks take as long as the text of their job says."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        labels: list[str],
        port: int,
        store: Store,
        record: Callable[[str], None],
        ticket_check: TicketCheck | None = None,
    ) -> None:
        """Prepare an executor that registers in ``store`` once it runs."""
        self.name = name
        self.labels = labels
        self.up = False
        self.running: dict[tuple[str, int], _Run] = {}
        self.starts: list[tuple[float, str, int]] = []
        """Time, task and attempt of each start."""
        self.failed_ends: list[tuple[float, str, int, int]] = []
        """Time, task, attempt and number of each end that was the task's own failure."""
        self.forgotten = 0
        self._service = service
        self._zone = zone
        self._port = port
        self._store = store
        self._record = record
        self._ticket_check = ticket_check
        self._server = Server(self._handle, port)
        self._ended: list[list[Any]] = []
        self._number = 0
        self._token = 0
        self._deadline_ms = 0
        self._barred: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._born_ms = 0
        self._born = 0.0

    async def start(self) -> None:
        """Listen and register."""
        self._born, self._born_ms = time.monotonic(), time.time_ns() // 1_000_000
        await self._server.start()
        self.up = True
        self._store.put(f"servers/{self.name}", json.dumps(self._entry()).encode())

    async def run(self) -> None:
        """Advance the runs until the executor crashes."""
        while self.up:
            await asyncio.sleep(STEP_SECONDS)
            self._advance()

    async def crash(self) -> None:
        """End at once, for good. The entry goes after three heartbeats of silence."""
        self.up = False
        self.running.clear()
        self._server.close()
        self._record(f"executor {self.name} is lost")
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self._store.remove(f"servers/{self.name}")

    def _entry(self) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": f"{HOST}:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "warmup_ms": 0,
            "room": {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
            "labels": self.labels,
            "born": self._born_ms,
            "seq": 1,
        }

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born) * 1000)

    async def _handle(self, request: Request) -> Answer:
        if request.headers.get("x-fireflyfork-expected-instance") != self.name:
            return 421, None
        body = request.json()
        if body.get("fencing_token", 0) < self._token:
            return self._refused("fence")
        self._token = body.get("fencing_token", 0)
        match request.method, request.path:
            case "POST", "/run-start":
                return self._start_run(body)
            case "POST", "/run-stop":
                return self._stop_run(body)
            case "POST", "/pace":
                return 200, {"clock_ms": self._clock_ms}
            case "POST", "/hold":
                return await self._hold(body)
        return 404, None

    def _refused(self, reason: str) -> Answer:
        return 409, {"clock_ms": self._clock_ms, "reason": reason}

    def _start_run(self, body: dict[str, Any]) -> Answer:
        task, attempt = body["task"], body["attempt"]
        if (task, attempt) in self.running:
            return 200, {"clock_ms": self._clock_ms}
        if body["deadline_ms"] <= self._clock_ms:
            return self._refused("late")
        self._extend(body["deadline_ms"])
        if attempt <= self._barred.get(task, 0):
            return self._refused("old")
        if self._ticket_check is not None and not self._ticket_check(
            self.name, task, body.get("ticket", "")
        ):
            return self._refused("ticket")
        now = time.monotonic()
        self.running[task, attempt] = _Run(task, attempt, json.loads(body["spec"]), now)
        self.starts.append((now, task, attempt))
        self._record(f"executor {self.name} starts {task} attempt {attempt}")
        return 200, {"clock_ms": self._clock_ms}

    def _stop_run(self, body: dict[str, Any]) -> Answer:
        task, attempt = body["task"], body["attempt"]
        self._barred[task] = max(self._barred.get(task, 0), attempt)
        run = self.running.get((task, attempt))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + 0.05
        return 200, {"clock_ms": self._clock_ms}

    async def _hold(self, body: dict[str, Any]) -> Answer:
        self.forgotten = max(self.forgotten, body["last_seen"])
        self._ended = [row for row in self._ended if row[0] > self.forgotten]
        if body.get("deadline_ms") is not None:
            self._extend(body["deadline_ms"])
        until = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self._ended and (left := until - time.monotonic()) > 0:
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [run.task, run.attempt, "", run.percent(now), 0] for run in self.running.values()
        ]
        return 200, {
            "clock_ms": self._clock_ms,
            "born": self._born_ms,
            "running": running,
            "ended": self._ended[:MAX_LISTED_ENDS],
        }

    def _extend(self, deadline_ms: int) -> None:
        limited = min(deadline_ms, self._clock_ms + MAX_HOLD_MS)
        self._deadline_ms = max(self._deadline_ms, limited)

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self._clock_ms > self._deadline_ms
        for run in tuple(self.running.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif run.stop_at is not None and run.stop_at <= now:
                self._end(run, "stopped")
            elif not run.step.get("lasts") and (now - run.since) * 1000 >= run.step["work_ms"]:
                self._end(run, "failed" if run.step.get("fails") else "done")

    def _end(self, run: _Run, how: str) -> None:
        del self.running[run.task, run.attempt]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.attempt)
        self._number += 1
        self._ended.append([self._number, run.task, run.attempt, how, ""])
        if how == "failed":
            self.failed_ends.append((time.monotonic(), run.task, run.attempt, self._number))
        self._record(f"executor {self.name} ended {run.task} attempt {run.attempt}: {how}")
        self._changed.set()
        self._changed = asyncio.Event()
