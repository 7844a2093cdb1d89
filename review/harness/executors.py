"""A stand-in of the executors, which follows PROTOCOL.md (control mode ``rpc``)."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .store import Store
from .wire import Answer, Request, Server

HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 6_000
STOP_SECONDS = 0.05
STEP_SECONDS = 0.01
Record = Callable[[str], None]


@dataclass
class Step:
    """What the stand-in knows of a task's work: how long it takes, and whether an attempt fails."""

    seconds: float
    failures: int = 0
    """Number of the first runs of each task that end ``failed``, by the task's own fault."""
    lasts: bool = False
    needs: str = ""
    """The label that the step requires."""


@dataclass
class Run:
    """One run of a task."""

    task: str
    attempt: int
    step: Step
    fails: bool
    began: float
    stop_at: float | None = None
    pace: int = 100


class Work:
    """The tasks that clients have submitted, by job, and how often each has run."""

    def __init__(self) -> None:
        """Know no jobs."""
        self.steps: dict[str, list[Step]] = {}
        self.failed_runs: dict[str, int] = {}
        self.begun: set[str] = set()
        """The jobs of which a task has started."""
        self.starts = 0
        """Number of starts of all tasks."""
        self.done: set[str] = set()
        """The tasks that have ended ``done``."""
        self.misplaced: list[str] = []
        """Starts on executors without the required label."""

    def has_begun(self, job: str) -> bool:
        """Return whether a task of a job has started."""
        return job in self.begun

    def step(self, task: str) -> Step:
        """Return the step of a task."""
        job, _, step, _ = task.split(".")
        return self.steps[job][int(step)]

    def next_run_fails(self, task: str) -> bool:
        """Return whether the next run of a task fails."""
        return self.failed_runs.get(task, 0) < self.step(task).failures


class Executor:
    """One executor, over all its incarnations."""

    def __init__(
        self,
        name: str,
        service: str,
        rack: str,
        kind: str,
        store: Store,
        work: Work,
        record: Record,
    ) -> None:
        """Create an executor that is not running yet."""
        self.name, self.kind = name, kind
        self._service, self._rack = service, rack
        self._store, self._work, self._record = store, work, record
        self.room = {"cpu": 16_000, "mem_mb": 64_000, "gpu": 0}
        self.server = Server(self._handle)
        self.refuses_starts = False
        """Whether the executor is unhealthy and answers starts with 503."""
        self.registers = True
        self.needs_ticket: Callable[[str, str, str], bool] = lambda name, task, ticket: True
        self.up = False
        self.port = 0
        self._reset()

    @property
    def running(self) -> list[str]:
        """The names of the tasks that run."""
        return [run.task for run in self._runs.values()]

    def _reset(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self._began = time.monotonic()
        self._runs: dict[tuple[str, int], Run] = {}
        self._ends: list[list[Any]] = []
        self._barred: dict[str, int] = {}
        self._token = self._deadline_ms = self._number = self._seen = self._seq = 0
        self._ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The executor's steady clock."""
        return int((time.monotonic() - self._began) * 1000)

    async def start(self) -> None:
        """Begin a new incarnation at the same address, and register it."""
        self._reset()
        self.port = await self.server.open(self.port)
        self.up = True
        self.register()
        self._record(f"{self.name} starts, kind {self.kind}, born {self.born}")

    async def crash(self) -> None:
        """End the process: all runs are gone, and nothing is reported."""
        self._record(f"{self.name} crashes; it ran {self.running}")
        self.up = False
        self._runs.clear()
        await self.server.close()

    def register(self) -> None:
        """Write the executor's entry."""
        if not self.registers:
            return
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "suva",
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "warmup_ms": 0,
            "room": self.room,
            "labels": [self.kind, self._rack],
            "born": self.born,
        }
        self._store.put(f"servers/{self.name}", entry)

    async def run(self) -> None:
        """Advance the runs and write heartbeats."""
        beat = time.monotonic()
        while True:
            await asyncio.sleep(STEP_SECONDS)
            if not self.up:
                continue
            if time.monotonic() - beat >= HEARTBEAT_SECONDS:
                beat = time.monotonic()
                self.register()
            self._advance()

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self.clock_ms > self._deadline_ms
        for run in tuple(self._runs.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(run, "stopped")
            elif not run.step.lasts and now - run.began >= run.step.seconds:
                self._end(run, "failed" if run.fails else "done")

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task, run.attempt]
        self._number += 1
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.attempt)
        self._ends.append([self._number, run.task, run.attempt, how, ""])
        if how == "done":
            self._work.done.add(run.task)
        if how == "failed":
            self._work.failed_runs[run.task] = self._work.failed_runs.get(run.task, 0) + 1
        self._record(f"{self.name}: run {run.attempt} of {run.task} ends {how}")
        self._ended.set()
        self._ended = asyncio.Event()

    async def _handle(self, request: Request) -> Answer:
        if request.path == "/healthz":
            return Answer(503 if self.refuses_starts else 200)
        if request.headers.get("x-fireflyfork-expected-instance", self.name) != self.name:
            return Answer(421)
        body = request.json()
        if request.path == "/run-start" and self.refuses_starts:
            self._record(f"{self.name}: start of {body['task']} refused with 503, nothing done")
            return Answer(503)
        if body.get("fencing_token", 0) < self._token:
            return self._answer(409, reason="fence")
        self._token = body.get("fencing_token", 0)
        match request.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/pace":
                run = self._runs.get((body["task"], body["attempt"]))
                if run is not None:
                    run.pace = body["percent"]
                return self._answer(200)
            case "/hold":
                return await self._hold(body)
        return Answer(404)

    def _answer(self, status: int, **more: Any) -> Answer:
        return Answer(status, {"clock_ms": self.clock_ms, **more})

    def _extend(self, deadline_ms: int) -> None:
        limited = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        self._deadline_ms = max(self._deadline_ms, limited)

    def _start(self, body: dict[str, Any]) -> Answer:
        task, attempt = body["task"], body["attempt"]
        if (task, attempt) in self._runs:
            return self._answer(200)
        if body["deadline_ms"] < self.clock_ms:
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        if attempt <= self._barred.get(task, 0):
            return self._answer(409, reason="old")
        if not self.needs_ticket(self.name, task, body.get("ticket", "")):
            return self._answer(409, reason="ticket")
        fails = self._work.next_run_fails(task)
        step = self._work.step(task)
        self._work.begun.add(task.split(".")[0])
        self._work.starts += 1
        if step.needs and step.needs not in (self.kind, self._rack):
            self._work.misplaced.append(f"{task} on {self.name}")
            self._record(f"WRONG: {task} needs {step.needs}, {self.name} is of kind {self.kind}")
        self._runs[task, attempt] = Run(task, attempt, step, fails, time.monotonic())
        self._record(
            f"{self.name} (kind {self.kind}): run {attempt} of {task} starts, "
            f"token {body.get('fencing_token', 0)}"
        )
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, attempt = body["task"], body["attempt"]
        self._barred[task] = max(self._barred.get(task, 0), attempt)
        run = self._runs.get((task, attempt))
        if run is not None and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_SECONDS
        return self._answer(200)

    async def _hold(self, body: dict[str, Any]) -> Answer:
        self._seen = max(self._seen, body.get("last_seen", 0))
        self._ends = [row for row in self._ends if row[0] > self._seen]
        if body.get("deadline_ms") is not None:
            self._extend(body["deadline_ms"])
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self._ends and (left := end - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._ended.wait(), left)
            except TimeoutError:
                break
        running = [[r.task, r.attempt, "", self._percent(r), 0] for r in self._runs.values()]
        rows = {"running": running, "ended": self._ends[:500], "born": self.born}
        return self._answer(200, **rows)

    @staticmethod
    def _percent(run: Run) -> int:
        age = time.monotonic() - run.began
        if run.step.lasts:
            return 100 if age > 0.3 else 0
        return min(99, int(100 * age / run.step.seconds))
