"""A small deployment: scheduler processes as the deploy file starts them, and their platform."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

from .executors import Executor, Step, Work
from .store import Store
from .wire import HOST, call, free_port

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "booking-desk"
QUEUE_HOST = "desk.example"
OWNER_KEY = "/".join(("fireflyfork", "work", "owner", SERVICE))
"""The key of the store under which the owner of the service is named."""
MAX_SECONDS = 110.0
GRACE_SECONDS = 6.0
READY_SECONDS = 30.0


class CannotRunError(Exception):
    """The case couldn't be run, so it shows nothing."""


class Record:
    """What was sent, answered and run, written to ``record.txt`` beside the script."""

    def __init__(self, path: Path) -> None:
        """Begin a new record at ``path``."""
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Add a line."""
        line = f"{time.monotonic() - self._began:7.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self(text)
        print(text, flush=True)


class Instance:
    """One scheduler process."""

    def __init__(self, name: str, folder: Path, settings: str, ports: list[int]) -> None:
        """Write the settings file; ``start`` starts the process."""
        self.name = name
        self.front, self.readiness, self.metrics = ports[0], ports[1], ports[3]
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(settings, "utf-8")
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.codes: list[int] = []
        """Exit codes of the processes that ended by themselves."""
        self.expected_end = False

    def start(self) -> None:
        """Start the process with the command and the variables of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))["roles"]["scheduler"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "FIREFLYFORK_SETTINGS": str(self._settings),
        }
        command = shlex.split(role["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        self.expected_end = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process that this test has started, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.expected_end = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    async def wait_end(self, seconds: float) -> bool:
        """Wait until the process has ended; return whether it has."""
        end = time.monotonic() + seconds
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.02)
        return True

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace, as the platform does."""
        self.expected_end = True
        self.signal(signal.SIGTERM)
        if not await self.wait_end(GRACE_SECONDS):
            self.kill()
            await self.wait_end(1.0)


class Deployment:
    """The store, the executors and the scheduler processes of one run."""

    def __init__(self, record: Record, folder: Path, instances: int, executors: int) -> None:
        """Create all parts; ``open`` starts them."""
        self.record = record
        self.store = Store()
        self.work = Work()
        self._folder = folder
        self._count = instances
        self.instances: list[Instance] = []
        self.executors = [
            Executor(
                f"i-{number:08x}", SERVICE, f"r1-{number // 4}", "a", self.store, self.work, record
            )
            for number in range(executors)
        ]
        self.settings: dict[str, str] = {}
        """Further settings of each process."""
        self._version = 0
        self._tasks: list[asyncio.Task[Any]] = []
        self._restarts = False

    async def open(self, routes: list[dict[str, Any]]) -> None:
        """Start everything and wait until all processes are ready."""
        store_port = await self.store.server.open()
        self._tasks.append(asyncio.create_task(self.store.run()))
        for executor in self.executors:
            await executor.start()
            self._tasks.append(asyncio.create_task(executor.run()))
        self.configure(routes)
        for number in range(self._count):
            ports = _free_ports()
            name = f"edge-suva-{number + 1}"
            settings = "\n".join(self._settings(name, ports, store_port))
            self.instances.append(Instance(name, self._folder, settings, ports))
        for instance in self.instances:
            instance.start()
        self._tasks.append(asyncio.create_task(self._watch_processes()))
        for instance in self.instances:
            await self.wait_ready(instance)

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Store a new version of the configuration, as the operator does."""
        self._version += 3
        configuration = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/healthz",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "enforces_capacity": False,
                    "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", configuration)
        names = [route["name"] for route in routes]
        self.record(f"operator: configuration {self._version} acknowledged, routes {names}")

    async def wait_ready(self, instance: Instance) -> None:
        """Wait until a process reports that it is ready."""
        end = time.monotonic() + READY_SECONDS
        while (await call(instance.readiness, "GET", "/readyz", timeout=1.0))[0] != 200:
            if time.monotonic() > end:
                raise CannotRunError(f"{instance.name} doesn't get ready")
            await asyncio.sleep(0.05)

    async def owner(self) -> Instance:
        """Return the process that owns the service, by what it has logged and the store holds."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            value = self.store.get(OWNER_KEY)
            for instance in self.instances:
                if value is not None and f'"{instance.name}"'.encode() in value:
                    return instance
            await asyncio.sleep(0.02)
        raise CannotRunError("nobody owns the service")

    async def submit(
        self, job: str, prefix: str, steps: list[dict[str, Any]], work: list[Step]
    ) -> float:
        """Hand a job in, with retries at other processes, and return when it was accepted."""
        self.work.steps[job] = work
        for attempt in range(20):
            instance = self.instances[attempt % len(self.instances)]
            body = {"spec": "booking", "steps": steps}
            status, _ = await self.ask(instance, "POST", f"{prefix}{job}", body)
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(0.2)
        raise CannotRunError(f"job {job} is not accepted")

    async def ask(
        self, instance: Instance, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Make a client's call and record it."""
        status, value = await call(instance.front, method, path, body, QUEUE_HOST)
        self.record(f"client: {method} {path} at {instance.name} -> {status} {value}")
        return status, value

    async def _watch_processes(self) -> None:
        """Start processes again that have ended by themselves, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            for instance in self.instances:
                process = instance.process
                if process is None or process.poll() is None or instance.expected_end:
                    continue
                instance.codes.append(process.returncode)
                self.record(f"{instance.name} ended by itself, status {process.returncode}")
                instance.start()

    def _settings(self, name: str, ports: list[int], store_port: int) -> Iterator[str]:
        front, readiness, control, first = ports
        fields = {
            "node_name": name,
            "role": "scheduler",
            "machine_class": "edge",
            "serves": "edge",
            "ip": HOST,
            "zone": "suva",
            "region": "viti",
            "zones.suva": "viti",
            "listen.front": f"{HOST}:{front}",
            "listen.readiness": f"{HOST}:{readiness}",
            "listen.control": f"{HOST}:{control}",
            "port_range": f"{first},{first + 2}",
            "bootstrap": "true",
            "limits.cpu_share": "0.43",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1500",
            "bounds.stable_ms": "4000",
            "bounds.ack_ms": "5000",
            "bounds.drain_ms": "2500",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "2500",
            "bounds.max_hold_ms": "6000",
            "bounds.stop_timeout_ms": "200",
            "bounds.cancel_ms": "3000",
            "bounds.visible_ms": "3000",
            "bounds.finish_s": "14",
            "bounds.status_s": "120",
            "bounds.far_x": "2",
            "bounds.lease_ms": "3000",
            "control_mode": "rpc",
            "platform.address": f"{HOST}:{store_port}",
            "platform.form": "kv",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
            **self.settings,
        }
        return (f"{key}={value}" for key, value in fields.items())

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
        await self.store.server.close()
        for executor in self.executors:
            await executor.server.close()


def route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": QUEUE_HOST,
        "path_prefix": prefix,
        "type": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": SERVICE,
        "attempts": 3,
        "stretch_factor": 1.5,
        **more,
    }


def _free_ports() -> list[int]:
    """Return four free ports; two more are free after the last one."""
    return [free_port(), free_port(), free_port(), free_port(3)]


Case = Callable[[Deployment, bool], Awaitable[bool]]
"""Runs a case; the flag tells whether to make the disruption. Returns whether the rule held."""


def run_case(case: Case, script: str, instances: int = 3, executors: int = 8) -> None:
    """Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    here = Path(script).resolve().parent
    record = Record(here / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"disruption: {'yes' if trouble else 'no'}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory(prefix="fireflyfork-review-") as folder:
        try:
            held = asyncio.run(_run(case, record, Path(folder), trouble, instances, executors))
        except (CannotRunError, TimeoutError, OSError) as error:
            record.say(f"could not run: {error!r}")
            sys.exit(2)
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                Path(keep).mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    record.say("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)


async def _run(
    case: Case, record: Record, folder: Path, trouble: bool, instances: int, executors: int
) -> bool:
    deployment = Deployment(record, folder, instances, executors)
    try:
        async with asyncio.timeout(MAX_SECONDS):
            return await case(deployment, trouble)
    finally:
        await deployment.close()
