"""A small deployment: scheduler processes, the platform's store, executors and clients."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from .executors import Executor, TicketCheck
from .store import Store
from .wire import HOST, Server, call

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"suva": "viti", "nadi": "viti", "labasa": "vanua"}
SERVICE = "desk"
QUEUE_HOST = "nony24.example"
EXECUTORS_PER_RACK = 8
INSTANCE_PORTS = 10
RESTART_SECONDS = 0.5
READY_SECONDS = 20.0
GRACE_SECONDS = 6.0
DEADLINE_SECONDS = 3.0
FINISH_SECONDS = 14.0
"""The bound ``finish_s``: time after the end of the traffic at which jobs are asked for."""
IDLE_SECONDS = 3.0
"""Time for which a job may have nothing running although its turn has come."""

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes: the rule held, it was broken, the case couldn't run."""


class CaseError(Exception):
    """The case could not run as intended, so it shows nothing."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, with times."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in ``folder``."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_ports(count: int) -> int:
    """Return the first of ``count`` consecutive ports on which nothing listens."""
    for _ in range(200):
        first = random.randrange(20_000, 32_000 - count)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        return first
    raise CaseError("no free ports")


class Instance:
    """A scheduler process, which is restarted shortly after it ends."""

    def __init__(
        self, name: str, zone: str, port: int, store: int, advice: int, folder: Path, record: Record
    ) -> None:
        """Write the settings of the instance ``name``, whose first port is ``port``."""
        self.name = name
        self.port = port
        self.ended_by_itself = 0
        self._record = record
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(_settings(name, zone, port, store, advice), encoding="utf-8")
        self._process: asyncio.subprocess.Process | None = None
        self._stops = False

    async def run(self) -> None:
        """Keep the process running until cancelled, then end it."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["scheduler"]
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= role["env"]
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FIREFLYFORK_SETTINGS": str(self._settings),
        }
        try:
            while True:
                with self._log.open("ab") as log:
                    self._process = await asyncio.create_subprocess_exec(
                        *role["run"].split(" "), cwd=ROOT, env=environment, stdout=log, stderr=log
                    )
                    code = await self._process.wait()
                if self._stops:
                    self._record(f"instance {self.name} has ended after SIGTERM, code {code}")
                else:
                    self.ended_by_itself += 1
                    self._record(f"instance {self.name} ended by itself, code {code}")
                self._stops = False
                await asyncio.sleep(RESTART_SECONDS)
        finally:
            if self._process is not None and self._process.returncode is None:
                self._process.kill()
                await self._process.wait()

    async def terminate(self) -> None:
        """Stop the process gracefully: SIGTERM, and SIGKILL after the grace period."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        self._stops = True
        self._record(f"SIGTERM to instance {self.name}")
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await process.wait()
        except TimeoutError:
            process.kill()

    def last_error(self) -> str:
        """Return the last error that the process has printed as plain text."""
        lines = self._log.read_text("utf-8", "replace").splitlines()
        plain = [line.strip(" |+-") for line in lines if "Error" in line and "{" not in line[:1]]
        return plain[-1] if plain else ""


def _settings(name: str, zone: str, port: int, store: int, advice: int) -> str:
    lines = [
        f"node_name={name}",
        "role=scheduler",
        "machine_class=edge",
        "serves=edge",
        f"ip={HOST}",
        f"zone={zone}",
        f"region={ZONES[zone]}",
        *(f"zones.{each}={region}" for each, region in ZONES.items()),
        f"listen.front={HOST}:{port}",
        f"listen.readiness={HOST}:{port + 1}",
        f"listen.control={HOST}:{port + 2}",
        f"port_range={port + 3},{port + INSTANCE_PORTS - 1}",
        f"seeds={HOST}:{port + 2}",
        "bootstrap=true",
        "limits.cpu_share=0.43",
        "limits.cores=1",
        "limits.memory_mb=300",
        "limits.max_fds=4100",
        "limits.link_mbps=1000.0",
        "limits.disk_mb=0",
        "discovery=platform",
        "entry=vip",
        "heartbeat_ms=1500",
        "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
        "bounds.stable_ms=4000",
        "bounds.ack_ms=5000",
        "bounds.drain_ms=2500",
        "bounds.grace_s=6",
        "bounds.config_apply_ms=2500",
        "bounds.max_hold_ms=6000",
        "bounds.stop_timeout_ms=200",
        "bounds.cancel_ms=3000",
        "bounds.visible_ms=3000",
        "bounds.early_ms=250",
        "bounds.finish_s=14",
        "bounds.status_s=120",
        "bounds.far_x=2",
        "bounds.lease_ms=3000",
        "control_mode=rpc",
        f"advice={HOST}:{advice}",
        f"platform.address={HOST}:{store}",
        "platform.form=kv",
        "platform.writes_per_s=400",
        "platform.reads_per_s=2000",
        "platform.history_s=20",
        "platform.value_bytes=1048576",
        "platform.ttl_min_ms=1000",
    ]
    return "\n".join(lines) + "\n"


class Deployment:
    """All processes and stand-ins of a case."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        labels: list[str],
        instances: int = 3,
        ticket_check: TicketCheck | None = None,
    ) -> None:
        """Prepare a deployment with an executor of each of the given kinds."""
        self.record = record
        self.store = Store()
        first = free_ports(2 + len(labels) + instances * INSTANCE_PORTS)
        self.advice_port = first + 1
        self._store_server = Server(self.store.handle, first)
        zones = list(ZONES)
        self.executors = [
            Executor(
                f"i-{number:04x}",
                SERVICE,
                zones[number % len(zones)],
                [kind, f"r-{number // EXECUTORS_PER_RACK}"],
                first + 2 + number,
                self.store,
                record,
                ticket_check,
            )
            for number, kind in enumerate(labels)
        ]
        first += 2 + len(labels)
        self.instances = [
            Instance(
                f"edge-{zones[number % len(zones)]}-{number}",
                zones[number % len(zones)],
                first + number * INSTANCE_PORTS,
                first - 2 - len(labels),
                self.advice_port,
                folder,
                record,
            )
            for number in range(instances)
        ]
        self._version = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run something in the background until the end of the case."""

        async def run() -> None:
            await work

        task = asyncio.create_task(run())
        self._tasks.add(task)

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start everything, and wait until all instances are ready."""
        await self._store_server.start()
        self.spawn(self.store.run())
        for executor in self.executors:
            await executor.start()
            self.spawn(executor.run())
        self.configure(routes)
        for instance in self.instances:
            self.spawn(instance.run())
        until = time.monotonic() + READY_SECONDS
        for instance in self.instances:
            while (await call(instance.port + 1, "GET", "/readyz", {"host": HOST}))[0] != 200:
                if time.monotonic() > until:
                    raise CaseError(f"{instance.name} does not become ready")
                await asyncio.sleep(0.1)
        while self.owner() is None:
            if time.monotonic() > until:
                raise CaseError("no instance owns the service")
            await asyncio.sleep(0.1)
        self.record("all instances are ready")

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for executor in self.executors:
            executor.up = False

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Put a new version of the configuration; the store's answer is its acknowledgement."""
        self._version += 3
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": 64,
            "enforces_capacity": False,
            "standby": False,
        }
        content = {
            "version": self._version,
            "routes": routes,
            "services": [service],
            "limits": {"max_body_bytes": 262144},
        }
        self.store.put("op/config", json.dumps(content).encode())
        names = ", ".join(route["name"] for route in routes)
        self.record(f"configuration {self._version} acknowledged, routes: {names}")

    def owner(self) -> Instance | None:
        """Return the instance that holds the scheduler's key of the service, if any."""
        for key in self.store.keys("fireflyfork/"):
            if "/owner/" not in key:
                continue
            value = self.store.get(key) or b""
            for instance in self.instances:
                if instance.name.encode() in value:
                    return instance
        return None

    def runs_of(self, job: str) -> int:
        """Return how many tasks of a job run now."""
        return sum(
            task.startswith(f"{job}.") for each in self.executors for task, _ in each.running
        )

    def starts_of(self, job: str) -> int:
        """Return how many starts of tasks of a job there have been."""
        return sum(
            task.startswith(f"{job}.") for each in self.executors for _, task, _ in each.starts
        )

    async def submit(
        self, job: str, route: dict[str, Any], steps: list[dict[str, Any]], work: list[Any]
    ) -> bool:
        """Hand a job in, as a client does that tries again elsewhere. Return whether it is accepted.

        ``work`` tells the executors what the tasks of each step do.
        """
        body = {"spec": json.dumps({"steps": work}), "steps": steps}
        for attempt in range(5):
            instance = random.choice(self.instances)
            status, _ = await self._request(instance, "POST", f"{route['path_prefix']}{job}", body)
            self.record(
                f"POST {route['name']} {job} at {instance.name}, try {attempt + 1}: {status}"
            )
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job: str, route: dict[str, Any]) -> str:
        """Ask for the state of a job. Return "" if nobody answers."""
        for _ in range(5):
            instance = random.choice(self.instances)
            status, body = await self._request(instance, "GET", f"{route['path_prefix']}{job}")
            if status == 200:
                state = str(json.loads(body)["state"])
                self.record(f"GET {route['name']} {job} at {instance.name}: {state}")
                return state
            self.record(f"GET {route['name']} {job} at {instance.name}: {status}")
            await asyncio.sleep(0.5)
        return ""

    async def _request(
        self, instance: Instance, method: str, target: str, body: Any = None
    ) -> tuple[int, bytes]:
        headers = {
            "host": QUEUE_HOST,
            "x-fireflyfork-deadline-ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        return await call(instance.port, method, target, headers, body, DEADLINE_SECONDS)


def route(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": QUEUE_HOST,
        "path_prefix": f"/{name}/",
        "type": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": SERVICE,
        "attempts": 3,
        "stretch_factor": 1.5,
        **fields,
    }


def job_ids() -> Callable[[], str]:
    """Return a function that draws ids of jobs."""
    source = random.Random(time.time_ns())
    return lambda: f"{source.getrandbits(64):016x}"


def main(folder: Path, case: Callable[[Path, Record, bool], Awaitable[bool]]) -> None:
    """Run a case and exit with its result. ``case`` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"TROUBLE={int(trouble)}")
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as settings:
            held = asyncio.run(case(Path(settings), record, trouble))
        code = HELD if held else BROKEN
    except Exception as error:  # Whatever goes wrong here says nothing about the rule.
        record(f"the case could not run: {error!r}")
    record({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run"))
    record.close()
    with suppress(OSError):
        print((folder / "record.txt").read_text("utf-8").splitlines()[-1])
    sys.exit(code)
