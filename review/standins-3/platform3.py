"""Stand-ins for the platform: its store, executors and callers, with the standard library only.

They follow the users' pages and listen on free loopback ports. The schedulers are started as
separate processes with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
PORTS = 20000, 30000
ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.05
ANSWER_S = 0.004
HISTORY_S = 20.0
MAINTENANCE_S = 2.0

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], dict[str, str], Any], Awaitable[Answer | None]]


_taken: set[int] = set()
"""The ports that this process has given away."""


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens now, below those that outgoing connections get."""
    return [port for _ in range(count) for port in _ports_in_a_row(1)]


def _ports_in_a_row(count: int) -> range:
    for _ in range(1000):
        first = random.randrange(*PORTS)
        ports = range(first, first + count)
        if _taken.isdisjoint(ports) and all(map(_is_free, ports)):
            _taken.update(ports)
            return ports
    raise CouldNotRunError("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class HttpServer:
    """A small HTTP/1.1 server with JSON bodies and persistent connections."""

    def __init__(self, handler: Handler, port: int) -> None:
        self._handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def abort(self) -> None:
        """Stop listening and reset all connections, as when the process dies."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                raw = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                body = json.loads(raw) if raw else None
                answer = await self._handler(method, url.path, query, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                data = json.dumps(answer[1]).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (answer[0], len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass
class Item:
    """One key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


class Store:
    """The platform's metadata store."""

    def __init__(self, port: int) -> None:
        self.server = HttpServer(self._handle, port)
        self.items: dict[str, Item] = {}
        self.revision = 5
        self._events: list[tuple[float, int, str, dict[str, Any]]] = []
        self._dropped_to = 5
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    async def run(self) -> None:
        await self.server.start()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [each for each, (until, _) in self._leases.items() if until <= now]:
                self._end_lease(lease)
            while self._events and self._events[0][0] < now - HISTORY_S:
                self._dropped_to = self._events.pop(0)[1]

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key as the operator or an executor does."""
        self.revision += 1
        self._put(key, value, lease)
        self._notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key, if it exists."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _put(self, key: str, value: bytes, lease: int) -> None:
        before = self.items.get(key)
        created = before.created if before else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._events.append((time.monotonic(), self.revision, key, self._row(key)))

    def _remove(self, key: str) -> None:
        del self.items[key]
        row = {"key": key, "revision": self.revision, "deleted": True}
        self._events.append((time.monotonic(), self.revision, key, row))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        value = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._notify()

    async def _handle(
        self, method: str, path: str, query: dict[str, str], _: dict[str, str], body: Any
    ) -> Answer | None:
        await asyncio.sleep(ANSWER_S)
        if path == "/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"as_of": self.revision}
            return 200, {**self._row(key), "as_of": self.revision}
        if path == "/kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            rows = [self._row(key) for key in keys[:500]]
            return 200, {"items": rows, "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            self._next_lease += 1
            ttl = max(1000, body["ttl_ms"])
            self._leases[self._next_lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
            return 200, {"lease": self._next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            seconds = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"ttl_ms": int(1000 * seconds)}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._dropped_to:
                return 410, {}
            events = [
                row
                for _, revision, key, row in self._events
                if revision > after and key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[:500], "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _commit(self, body: Any) -> Answer:
        rows = body.get("expected_revision") or []
        puts, removals = body.get("puts") or [], body.get("remove") or []
        if len(rows) + len(puts) + len(removals) > 32:
            return 400, {}
        if any(each["key"].startswith(("op/", "servers/")) for each in puts):
            return 403, {}

        def current(key: str) -> int:
            return self.items[key].revision if key in self.items else 0

        if any(current(row["key"]) != row["revision"] for row in rows):
            items = [
                (
                    self._row(row["key"])
                    if row["key"] in self.items
                    else {"key": row["key"], "revision": 0}
                )
                for row in rows
            ]
            return 412, {"items": items}
        if any(each.get("lease") and each["lease"] not in self._leases for each in puts):
            return 404, {}
        self.revision += 1
        for each in puts:
            self._put(each["key"], base64.b64decode(each.get("value", "")), each.get("lease") or 0)
        for key in removals:
            if key in self.items:
                self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}


@dataclass
class Run:
    """One run on an executor."""

    task: str
    attempt: int
    step: dict[str, Any]
    seconds: float
    began: float
    saved: str = ""
    stop_at: float | None = None


@dataclass
class Life:
    """What one incarnation of an executor holds."""

    born: int
    began: float
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    barred: dict[str, int] = field(default_factory=dict)
    number: int = 0
    token: int = 0
    deadline_ms: int = 0


class Record:
    """What was sent, answered and run, for record.txt and for the checks."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Executor:
    """One executor across all its incarnations, at one address and under one id."""

    def __init__(
        self,
        platform: Platform,
        name: str,
        service: str,
        port: int,
        room: dict[str, int],
        labels: list[str],
        zone: str = "suva",
    ) -> None:
        self.name, self.service, self.port = name, service, port
        self.room, self.labels, self.zone = room, labels, zone
        self.draining = False
        self.up = False
        self.dark = False
        self.heard_at = -1e9
        self._platform = platform
        self._seq = 0
        self._server: HttpServer | None = None
        self.life = Life(0, 0.0)

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.life.began) * 1000)

    async def begin(self) -> None:
        """Start a new incarnation, which registers at once."""
        self.life = Life(int(time.time() * 1000), time.monotonic())
        self._seq = 0
        self._server = HttpServer(self._handle, self.port)
        await self._server.start()
        self.up = True
        self._platform.record.write(f"executor {self.name} up, labels {self.labels}")
        self.heard_at = -1e9

    def crash(self) -> None:
        """Die without a word."""
        self.up = False
        if self._server is not None:
            self._server.abort()
        for run in tuple(self.life.runs.values()):
            self._note_end(run, "crashed")
        self.life.runs.clear()
        self._platform.record.write(f"executor {self.name} crashed")

    def lose_power(self) -> None:
        """Be gone for good. Nothing answers any more, and connections stay silent."""
        self.up, self.dark = False, True
        for run in tuple(self.life.runs.values()):
            self._note_end(run, "lost power")
        self.life.runs.clear()
        self._platform.record.write(f"executor {self.name} lost power")

    def register(self) -> None:
        """Write the entry, as every heartbeat does."""
        self._seq += 1
        self.heard_at = time.monotonic()
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "capacity": 8,
            "state": "draining" if self.draining else "ready",
            "warmup_ms": 0,
            "seq": self._seq,
            "born": self.life.born,
            "room": self.room,
            "labels": self.labels,
        }
        self._platform.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def tick(self, now: float) -> None:
        """End what is over."""
        life = self.life
        if self.clock_ms() > life.deadline_ms:
            for run in tuple(life.runs.values()):
                self._end(run, "lapsed")
        for run in tuple(life.runs.values()):
            if run.stop_at is not None:
                if run.stop_at <= now:
                    self._end(run, "stopped")
            elif not run.step.get("long_running") and now - run.began >= run.seconds:
                self._end(run, "done")

    def _note_end(self, run: Run, how: str) -> None:
        record = self._platform.record
        record.ends.append((record.now(), run.task, run.attempt, self.name, how))
        record.write(f"end {run.task} run {run.attempt} on {self.name}: {how}")

    def _end(self, run: Run, how: str) -> None:
        life = self.life
        del life.runs[run.task, run.attempt]
        life.number += 1
        life.barred[run.task] = max(life.barred.get(run.task, 0), run.attempt)
        life.ends.append([life.number, run.task, run.attempt, how, run.saved])
        self._note_end(run, how)
        self._platform.ended.set()
        self._platform.ended = asyncio.Event()

    async def _handle(
        self, _: str, path: str, __: dict[str, str], headers: dict[str, str], body: Any
    ) -> Answer | None:
        life = self.life
        await asyncio.sleep(3600 if self.dark else 0.001)
        if headers.get("x-fireflyfork-expected-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        token = body.get("fencing_token", 0)
        if token < life.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        life.token = token
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            task, attempt = body["task"], body["attempt"]
            life.barred[task] = max(life.barred.get(task, 0), attempt)
            run = life.runs.get((task, attempt))
            if run is not None and run.stop_at is None:
                run.stop_at = time.monotonic() + STOP_S
                self._platform.record.write(f"stop {task} run {attempt} on {self.name}")
            return 200, {"clock_ms": self.clock_ms()}
        if path == "/hold":
            return await self._hold(body)
        if path == "/pace":
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            limit = self.clock_ms() + MAX_HOLD_MS
            self.life.deadline_ms = max(self.life.deadline_ms, min(deadline_ms, limit))

    def _start(self, body: Any) -> Answer:
        life, task, attempt = self.life, body["task"], body["attempt"]
        if (task, attempt) in life.runs:
            return 200, {"clock_ms": self.clock_ms()}
        if attempt <= life.barred.get(task, 0):
            self._extend(body.get("deadline_ms"))
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if body.get("deadline_ms", 0) <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        job, _, step_number, _ = task.split(".")
        spec = self._platform.jobs.get(job)
        if spec is None:
            return 400, {"clock_ms": self.clock_ms()}
        step = spec["steps"][int(step_number)]
        seconds = max(0.05, self._platform.seconds(step))
        life.runs[task, attempt] = Run(task, attempt, step, seconds, time.monotonic())
        self._extend(body.get("deadline_ms"))
        record = self._platform.record
        record.starts.append((record.now(), task, attempt, self.name))
        record.write(f"start {task} run {attempt} on {self.name} labels {self.labels}")
        self._platform.on_start(self, task, step)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body: Any) -> Answer | None:
        life, seen = self.life, body.get("last_seen", 0)
        self._extend(body.get("deadline_ms"))
        life.ends = [row for row in life.ends if row[0] > seen]
        until = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not life.ends and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._platform.ended.wait(), left)
            except TimeoutError:
                break
            if life is not self.life or not self.up:
                return None
        running = []
        for run in life.runs.values():
            age = time.monotonic() - run.began
            if run.step.get("long_running"):
                percent = 100 if age > 0.3 else 0
            else:
                percent = min(99, int(100 * age / run.seconds))
            running.append([run.task, run.attempt, run.saved, percent, 2])
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": life.born,
            "running": running,
            "ended": life.ends[:500],
        }


class Platform:
    """The store, the executors and the schedulers of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store(free_ports(1)[0])
        self.executors: dict[str, Executor] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.ended = asyncio.Event()
        self.cloud_port: int | None = None
        self.on_start: Callable[[Executor, str, dict[str, Any]], None] = lambda *_: None
        self.seconds: Callable[[dict[str, Any]], float] = lambda step: (
            step.get("estimate_ms", 0) / 1000
        )
        self.schedulers: list[Scheduler] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self._tasks.append(asyncio.create_task(self.store.run()))
        self._tasks.append(asyncio.create_task(self._tick()))
        await asyncio.sleep(0.1)

    async def add_executor(
        self, name: str, service: str, room: dict[str, int], labels: list[str], zone: str = "suva"
    ) -> Executor:
        executor = Executor(self, name, service, free_ports(1)[0], room, labels, zone)
        self.executors[name] = executor
        await executor.begin()
        return executor

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for executor in self.executors.values():
                if executor.up:
                    executor.tick(now)
                    if now - executor.heard_at >= HEARTBEAT_S:
                        executor.register()
                elif now - executor.heard_at > 3 * HEARTBEAT_S:
                    self.store.remove(f"servers/{executor.name}")

    def configure(self, version: int, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Write a version of the configuration."""
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": name, "enforces_capacity": False} for name in services],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record.write(f"configuration {version} acknowledged")

    async def start_schedulers(self, count: int) -> None:
        first = len(self.schedulers)
        self.schedulers.extend(Scheduler(self, first + number) for number in range(count))
        for each in self.schedulers[first:]:
            await each.start()
        for each in self.schedulers[first:]:
            await each.wait_ready(30.0)

    async def stop(self) -> None:
        for each in self.schedulers:
            await each.kill()
        for task in self._tasks:
            task.cancel()


class Cloud:
    """The platform's machines: one for each executor that is added to it."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self.server = HttpServer(self._handle, free_ports(1)[0])
        self.machines: dict[str, dict[str, Any]] = {}
        self.waves: dict[int, dict[str, Any]] = {}
        self.begun: set[tuple[int, str]] = set()
        self._tokens: dict[str, int] = {}
        self._returning: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        await self.server.start()
        self._platform.cloud_port = self.server.port

    def add(self, executor: Executor) -> None:
        """Let an executor be the first life of a machine of its own."""
        self.machines[f"m-{executor.name}"] = {"state": "up", "executor": executor}

    def request_wave(self, number: int, names: list[str], finish_by_s: int, maximum: int) -> None:
        """Write a wave of upkeep as the operator does."""
        wave = {
            "wave": number,
            "machines": names,
            "finish_by_s": finish_by_s,
            "maximum": maximum,
        }
        self.waves[number] = wave
        self._platform.store.put(f"op/wave/{number}", json.dumps(wave).encode())
        self._platform.record.write(f"wave requested: {wave}")

    async def _handle(
        self, _: str, path: str, __: dict[str, str], headers: dict[str, str], body: Any
    ) -> Answer | None:
        await asyncio.sleep(ANSWER_S)
        if path == "/machines":
            return 200, {
                "machines": [self._row(name) for name in sorted(self.machines)],
                "next_page_token": None,
            }
        if path == "/machine-upkeep":
            return self._begin_upkeep(body, int(headers["x-fireflyfork-fencing-token"]))
        return 404, {}

    def _row(self, name: str) -> dict[str, Any]:
        machine = self.machines[name]
        executor: Executor = machine["executor"]
        return {
            "machine": name,
            "pool": executor.service,
            "state": machine["state"],
            "zone": executor.zone,
            "labels": executor.labels,
            "room": executor.room,
            "id": executor.name if machine["state"] == "up" else None,
        }

    def _begin_upkeep(self, body: Any, token: int) -> Answer:
        name, wave = body["machine"], body["wave"]
        self._platform.record.write(f"upkeep of {name} ordered for wave {wave}")
        if name not in self.machines:
            return 400, {}
        if token < self._tokens.get(name, 0):
            return 409, {"reason": "fence"}
        self._tokens[name] = token
        if (wave, name) in self.begun:
            return 200, {}
        if name not in self.waves[wave]["machines"]:
            return 409, {"reason": "wave"}
        machine = self.machines[name]
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        self.begun.add((wave, name))
        machine["state"] = "upkeep"
        executor: Executor = machine["executor"]
        executor.crash()
        self._platform.store.remove(f"servers/{executor.name}")
        del self._platform.executors[executor.name]
        self._returning.append(asyncio.create_task(self._return(name, executor)))
        return 200, {}

    async def _return(self, name: str, before: Executor) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        executor = await self._platform.add_executor(
            f"{before.name}n", before.service, before.room, before.labels, before.zone
        )
        self.machines[name] = {"state": "up", "executor": executor}


class Scheduler:
    """One process of the deploy file's role."""

    def __init__(self, platform: Platform, number: int) -> None:
        self.number = number
        self._platform = platform
        self._ports = free_ports(2)
        self._inner = _ports_in_a_row(16)[0]
        self.process: asyncio.subprocess.Process | None = None
        self.exits: list[tuple[float, int | None]] = []
        self._log = (platform.folder / f"scheduler-{number}.log").open("ab")

    @property
    def front(self) -> int:
        return self._ports[0]

    def settings(self) -> str:
        """Return the settings, with the figures of naidu-rooms."""
        front, readiness = self._ports
        lines = f"""
node_name=edge-{self.number}
role=scheduler
machine_class=edge
serves=edge
ip={HOST}
zone=suva
region=viti
zones.suva=viti
listen.front={HOST}:{front}
listen.readiness={HOST}:{readiness}
port_range={self._inner},{self._inner + 15}
bootstrap=true
limits.cpu_share=0.43
limits.cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
heartbeat_ms=1500
bounds.stable_ms=4000
bounds.ack_ms=5000
bounds.drain_ms=2500
bounds.grace_s=6
bounds.config_apply_ms=2500
bounds.max_hold_ms={MAX_HOLD_MS}
bounds.stop_timeout_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=2
bounds.lease_ms=3000
bounds.pace_ms=100
control_mode=rpc
platform.address={HOST}:{self._platform.store.server.port}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""
        if self._platform.cloud_port is not None:
            lines += f"""cloud.address={HOST}:{self._platform.cloud_port}
cloud.rate_per_s=60.0
cloud.duty_per_s=60.0
bounds.notice_ms=5500
bounds.maintenance_s={MAINTENANCE_S}
bounds.require_fencing=true
"""
        return lines.lstrip()

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"]["scheduler"]
        path = self._platform.folder / f"scheduler-{self.number}.conf"
        path.write_text(self.settings(), "utf-8")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env.update(role.get("env", {}), FIREFLYFORK_SETTINGS=str(path))
        env.update(PYTHONPATH=str(ROOT / "target/deps"), PYTHONDONTWRITEBYTECODE="1")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )
        self._platform.record.write(f"scheduler {self.number} started")

    async def wait_ready(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                status, _ = await request(self._ports[1], "GET", "/readyz", "x", None, 1.0)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"scheduler {self.number} isn't ready")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
            self._platform.record.write(f"scheduler {self.number} killed")


class CouldNotRunError(Exception):
    """The case could not run."""


async def request(
    port: int, method: str, path: str, host: str, body: Any, seconds: float
) -> Answer:
    """Make one request on a connection of its own. Raises OSError or TimeoutError."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"X-Fireflyfork-Deadline-Ms: {int(seconds * 1000)}\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
            first = await reader.readuntil(b"\r\n\r\n")
            status = int(first.split(b" ", 2)[1])
            lines = first.decode("latin-1").lower().split("\r\n")
            length = next(
                (int(each.split(":")[1]) for each in lines if each.startswith("content-length:")), 0
            )
            raw = await reader.readexactly(length) if length else b""
            return status, json.loads(raw) if raw else None
        finally:
            writer.close()


class Caller:
    """Submits jobs and asks about them as the pages say."""

    def __init__(self, platform: Platform, host: str, prefix: str) -> None:
        self._platform, self._host, self._prefix = platform, host, prefix
        self.accepted: dict[str, float] = {}

    async def submit(self, job: str, spec: dict[str, Any]) -> int:
        """Submit a job until it is accepted or refused; any node may get the next attempt."""
        self._platform.jobs[job] = spec
        for number in range(5):
            status, _ = await self.call(number, "POST", job, spec)
            if status // 100 == 2:
                self.accepted[job] = self._platform.record.now()
                return status
            if status in (400, 404):
                return status
            await asyncio.sleep(0.3)
        return status

    async def call(
        self, number: int, method: str, job: str, body: Any = None, seconds: float = 3.0
    ) -> Answer:
        nodes = self._platform.schedulers
        node = nodes[number % len(nodes)]
        try:
            status, answer = await request(
                node.front, method, self._prefix + job, self._host, body, seconds
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status, answer = 0, repr(error)
        self._platform.record.write(
            f"{method} {self._prefix}{job} at scheduler {node.number}: {status} {answer}"
        )
        return status, answer


def route(name: str, service: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    plain = {
        "name": name,
        "host": "desk.example",
        "path_prefix": prefix,
        "service": service,
        "priority": 0,
        "attempts": 3,
        "stretch_factor": 2.0,
        "target_latency_ms": 1000,
        "timeout_ms": 3000,
    }
    return {**plain, **more}


def main(play: Callable[[Platform, bool], Awaitable[bool]], folder: Path) -> None:
    """Play a case. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        platform = Platform(Record(folder / "record.txt"))
        try:
            async with asyncio.timeout(115):
                await platform.start()
                return await play(platform, trouble)
        finally:
            await platform.stop()
            if "KEEP_LOGS" in os.environ:
                platform.record.write(f"logs of the schedulers: {platform.folder}")
            else:
                shutil.rmtree(platform.folder)

    try:
        broken = asyncio.run(run())
    except (CouldNotRunError, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
