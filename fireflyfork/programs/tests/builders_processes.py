"""Runs the real programs and the stand-ins as processes, with callers that record their calls."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from itertools import islice
from pathlib import Path
from random import Random

import msgspec
import trio

from ... import (
    Address,
    ChangeId,
    Configuration,
    ConfigurationVersion,
    FailureDomainName,
    IdempotencyKey,
    Region,
    RegionName,
    ServiceContract,
    ServiceName,
    TargetContract,
    TargetId,
    TeamName,
)
from ...adapters import HttpClient, HttpClientConnection, HttpError, HttpStore, RequestHead
from .._ctl_store import ConfigurationStore
from .builders_proxies import TcpProxy, start_proxy
from .history_checks import Call, CallEnd, ExecutorRun, Freeze, History

SLOTS = 4
CONNECTIONS = 2 * SLOTS
"""The fewest with which an owner and its successor can each use all slots."""
RUN_SECONDS = 0.03
LONGEST_RUN_SECONDS = 1.0
START_SECONDS = 30.0
STOP_SECONDS = 25.0
SETTLED_BOOKINGS = 40
PORTS = range(12_000, 30_000)
BALANCER_SECONDS = 0.1
"""The interval at which the balancer checks an entry's readiness."""
NOTICE_SECONDS = 0.6
"""How long a stopping entry reports not ready and still serves, so that the balancer reacts."""
PEER_KEY = "only-for-tests-on-loopback"
_LONGEST_ANSWER = 1 << 20

VITI, VANUA = RegionName("viti"), RegionName("vanua")
ZONES = ((VITI, "suva"), (VITI, "nadi"), (VANUA, "labasa"), (VANUA, "savusavu"))
"""The zones; one entry runs in each."""
EXECUTORS = (VITI, VITI, VITI, VITI, VANUA, VANUA)
"""The regions of the executors, one item per executor."""


def free_ports(count: int) -> list[int]:
    """Return free loopback ports below the range of outgoing connections.

    A port in that range could be taken by an outgoing connection while its entry restarts.
    """
    ports: list[int] = []
    start = os.getpid() * 101 % (PORTS.stop - PORTS.start)
    for port in (*PORTS[start:], *PORTS[:start]):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            break
    return ports


@dataclass(slots=True)
class EntryProcess:
    """An entry process, its settings file and its addresses."""

    name: str
    settings: Path
    callers: Address
    operators: Address
    process: subprocess.Popen[bytes] | None = None
    in_service: bool = False
    """Whether the balancer sends callers to this entry."""


@dataclass(slots=True)
class ProcessFleet:
    """The processes of one test, and the calls and freezes recorded so far."""

    folder: Path
    store: Address
    instances: Address
    executors: dict[TargetId, Address]
    entries: list[EntryProcess]
    proxies: dict[TargetId, TcpProxy] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    settled_calls: int = 0
    """The number of calls made before the scenario started."""
    freezes: list[Freeze] = field(default_factory=list)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def launch(self, name: str, *command: str) -> subprocess.Popen[bytes]:
        """Start a process whose output is appended to files in the folder."""
        with (
            open(self.folder / f"{name}.out", "ab") as out,
            open(self.folder / f"{name}.log", "ab") as log,
        ):
            process = subprocess.Popen(command, stdout=out, stderr=log)
        self.processes.append(process)
        return process

    def start_entry(self, entry: EntryProcess) -> None:
        """Start or restart an entry."""
        program = Path(sys.executable).with_name("fireflyfork-entry")
        entry.process = self.launch(entry.name, str(program), str(entry.settings))

    def signal_entry(self, entry: EntryProcess, number: signal.Signals) -> None:
        """Send a signal to an entry."""
        assert entry.process is not None
        entry.process.send_signal(number)

    async def freeze(self, entry: EntryProcess, seconds: float) -> None:
        """Stop an entry's process for ``seconds`` by SIGSTOP and record the freeze."""
        self.signal_entry(entry, signal.SIGSTOP)
        stopped_at = time.time()
        await trio.sleep(seconds)
        self.signal_entry(entry, signal.SIGCONT)
        self.freezes.append(Freeze(entry.name, stopped_at, time.time()))

    async def ended(self, entry: EntryProcess) -> int:
        """Wait for an entry's process to end and return its exit status."""
        assert entry.process is not None
        with trio.fail_after(STOP_SECONDS):
            while (status := entry.process.poll()) is None:
                await trio.sleep(0.05)
        return status

    async def switch(self, address: Address, **switches: object) -> None:
        """Set the failure switches of a stand-in."""
        await _put(address, "/switches", json.dumps(switches).encode())

    async def mark(self, target_id: TargetId, state: str) -> None:
        """Set the state of an instance in the platform's instance list."""
        await _put(self.instances, f"/v1/instances/{target_id}", state.encode())

    async def status(self, entry: EntryProcess) -> dict[str, object]:
        """Return the answer of an entry's ``/status``."""
        return await _get_json(entry.operators, "/status")

    async def ready(self, entry: EntryProcess) -> None:
        """Wait until an entry reports ready."""
        while True:
            try:
                answer = await _get_json(entry.operators, "/readyz")
                if answer["ready"]:
                    return
            except HttpError:
                pass
            await trio.sleep(0.05)

    async def balance(self, entry: EntryProcess) -> None:
        """Act as the balancer for an entry: send callers to it while it reports ready."""
        while True:
            try:
                answer = await _get_json(entry.operators, "/readyz", timeout=1.0)
                entry.in_service = bool(answer["ready"])
            except HttpError:
                entry.in_service = False
            await trio.sleep(BALANCER_SECONDS)

    async def all_targets_owned(self) -> None:
        """Wait until each target is owned by exactly one of the running entries."""
        while True:
            owned: list[str] = []
            for entry in self.entries:
                if entry.process is not None and entry.process.poll() is None:
                    owned += await self.own_targets(entry)
            if sorted(owned) == sorted(self.executors):
                return
            await trio.sleep(0.1)

    async def own_targets(self, entry: EntryProcess) -> list[str]:
        """Return the targets that an entry reports as its own."""
        services = (await self.status(entry)).get("services")
        desk = services.get("desk") if isinstance(services, dict) else None
        return list(desk["own_targets"]) if isinstance(desk, dict) else []

    async def history(self) -> History:
        """Return all calls so far and the runs of all executors."""
        runs: list[ExecutorRun] = []
        most_busy = {}
        for target_id, address in self.executors.items():
            answer = await _get_json(address, "/history")
            most_busy[target_id] = int(str(answer["most_busy"]))
            listed = answer["runs"]
            assert isinstance(listed, list)
            runs += [
                ExecutorRun(target_id, IdempotencyKey(run["key"]), run["started"])
                for run in listed
                if run["method"] == "POST"
            ]
        return History(
            tuple(self.calls),
            tuple(runs),
            most_busy,
            SLOTS,
            tuple(self.freezes),
            {target_id: relay.max_open for target_id, relay in self.proxies.items()},
            CONNECTIONS,
        )


class Callers:
    """Callers that send bookings to any entry and repeat unanswered ones with the same key."""

    def __init__(self, fleet: ProcessFleet, seed: int, timeout: float = 2.0) -> None:
        """``timeout`` is the request timeout of each call, in seconds."""
        self._fleet = fleet
        self._random = Random(seed)
        self._timeout = timeout

    async def settle(self) -> None:
        """Send bookings to each entry in turn until ``SETTLED_BOOKINGS`` in a row were answered."""
        answered = 0
        while answered < SETTLED_BOOKINGS:
            for entry in self._fleet.entries:
                call = await self.call(entry, _new_key(self._random), "settling")
                answered = answered + 1 if call.status == 200 else 0
            await trio.sleep(0.05)

    async def run(self, count: int, seconds: float) -> None:
        """Run ``count`` concurrent callers, each with one booking after the other, for ``seconds``."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._book_until, end, Random(self._random.random()), number)

    async def _book_until(self, end: float, random: Random, number: int) -> None:
        booked = 0
        while trio.current_time() < end:
            booked += 1
            await self._book(random, f"caller {number} booking {booked} ".ljust(200, "."))
            await trio.sleep(random.uniform(0.0, 0.1))

    async def _book(self, random: Random, body: str) -> None:
        key = _new_key(random)
        tried: list[EntryProcess] = []
        for _ in range(3):
            entries = [entry for entry in self._fleet.entries if entry.in_service]
            fresh = [entry for entry in entries if entry not in tried] or entries
            if not fresh:
                return
            tried.append(random.choice(fresh))
            call = await self.call(tried[-1], key, body)
            if call.status == 200:
                return
            await trio.sleep(random.uniform(0.05, 0.4))

    async def call(self, entry: EntryProcess, key: IdempotencyKey, body: str) -> Call:
        """Send one booking and record the call."""
        sent_at = time.time()
        end, status, verdict, retry_after, fields = CallEnd.BROKEN, 0, "", None, {}
        connection = None
        try:
            connection = await HttpClientConnection.open(entry.callers, 2.0)
            with trio.fail_after(self._timeout + 10.0):
                head, answer = await connection.request(
                    self._head(key, body), body.encode(), _LONGEST_ANSWER
                )
            end, status = CallEnd.ANSWERED, head.status
            verdict = head.header(b"fireflyfork-verdict") or ""
            retry_after = head.header(b"retry-after")
            fields = msgspec.json.decode(answer)
        except (HttpError, trio.TooSlowError):
            end = CallEnd.NOT_CONNECTED if connection is None else CallEnd.BROKEN
        finally:
            if connection is not None:
                connection.close()
        call = Call(
            key,
            entry.name,
            sent_at,
            time.time(),
            self._timeout,
            end,
            status,
            verdict,
            retry_after,
            body,
            str(fields.get("body", "")),
            str(fields.get("error", "")),
        )
        self._fleet.calls.append(call)
        return call

    def _head(self, key: IdempotencyKey, body: str) -> RequestHead:
        headers = (
            (b"host", b"desk"),
            (b"content-length", str(len(body)).encode("ascii")),
            (b"idempotency-key", key.encode("ascii")),
            (b"request-timeout-ms", str(int(self._timeout * 1000)).encode("ascii")),
        )
        return RequestHead("POST", "/desk/holds", headers)


@asynccontextmanager
async def process_fleet(
    proxied: bool = False, run_seconds: float = RUN_SECONDS
) -> AsyncIterator[ProcessFleet]:
    """Start all processes; with ``proxied``, entries reach executors through TCP proxies."""
    with tempfile.TemporaryDirectory(prefix="fireflyfork-test-") as name:
        async with trio.open_nursery() as nursery:
            fleet = _fleet(Path(name))
            try:
                with trio.fail_after(START_SECONDS):
                    await _start(fleet, nursery, proxied, run_seconds)
                yield fleet
            except BaseException as error:
                error.add_note(_errors_in_logs(fleet.folder))
                raise
            finally:
                _end(fleet)
                nursery.cancel_scope.cancel()


def _fleet(folder: Path) -> ProcessFleet:
    ports = free_ports(2 + len(EXECUTORS) + 3 * len(ZONES))
    addresses = [Address("127.0.0.1", port) for port in ports]
    store, instances = addresses[:2]
    executors = {
        TargetId(f"t{number}"): address
        for number, address in enumerate(addresses[2 : 2 + len(EXECUTORS)])
    }
    rest = addresses[2 + len(EXECUTORS) :]
    fleet = ProcessFleet(folder, store, instances, executors, [])
    for number, (region, domain) in enumerate(ZONES):
        callers, peers, operators = rest[3 * number : 3 * number + 3]
        settings = {
            "name": f"e{number}",
            "region": region,
            "failure_domain": domain,
            "caller_address": str(callers),
            "peer_address": str(peers),
            "operator_address": str(operators),
            "store_address": str(store),
            "instance_list_address": str(instances),
            "peer_key": PEER_KEY,
            "drain_notice_seconds": NOTICE_SECONDS,
        }
        path = folder / f"e{number}.jsonc"
        path.write_text(json.dumps(settings), "utf-8")
        fleet.entries.append(EntryProcess(f"e{number}", path, callers, operators))
    return fleet


async def _start(
    fleet: ProcessFleet, nursery: trio.Nursery, proxied: bool, run_seconds: float
) -> None:
    python, standins = sys.executable, "fireflyfork_standins"
    fleet.launch("store", python, "-m", f"{standins}.store", str(fleet.store))
    fleet.launch("instances", python, "-m", f"{standins}.instances", str(fleet.instances))
    settings = {
        "addresses": [str(address) for address in fleet.executors.values()],
        "slots": SLOTS,
        "run_seconds": run_seconds,
    }
    path = fleet.folder / "executors.jsonc"
    path.write_text(json.dumps(settings), "utf-8")
    fleet.launch("executors", python, "-m", f"{standins}.executor", str(path))
    reached = dict(fleet.executors)
    if proxied:
        for target_id, address in fleet.executors.items():
            fleet.proxies[target_id], reached[target_id] = await start_proxy(nursery, address)
    await _configure(fleet.store, reached)
    for entry in fleet.entries:
        fleet.start_entry(entry)
    for entry in fleet.entries:
        await fleet.ready(entry)
        entry.in_service = True
        nursery.start_soon(fleet.balance, entry)
    await fleet.all_targets_owned()


async def _configure(store: Address, reached: dict[TargetId, Address]) -> None:
    configured = ConfigurationStore(HttpStore(store))
    while True:
        try:
            current = await configured.current()
            break
        except Exception:
            await trio.sleep(0.05)
    proposed = configured.prepare(_configuration(reached), current, "for a test")
    await configured.replace(current, proposed)


def _configuration(reached: dict[TargetId, Address]) -> Configuration:
    domains = {VITI: FailureDomainName("suva"), VANUA: FailureDomainName("labasa")}
    regions = tuple(
        Region(region, tuple(FailureDomainName(d) for r, d in ZONES if r == region))
        for region in (VITI, VANUA)
    )
    service = ServiceContract(
        ServiceName("desk"), TeamName("desk-team"), LONGEST_RUN_SECONDS, longest_timeout_seconds=10
    )
    targets = tuple(
        TargetContract(
            target_id, service.name, str(at), region, domains[region], SLOTS, CONNECTIONS
        )
        for (target_id, at), region in zip(reached.items(), EXECUTORS, strict=True)
    )
    return Configuration(ConfigurationVersion(0), ChangeId(""), regions, (service,), targets)


def _end(fleet: ProcessFleet) -> None:
    for process in reversed(fleet.processes):
        if process.poll() is None:
            process.kill()
    for process in fleet.processes:
        process.wait()


def _errors_in_logs(folder: Path) -> str:
    """Return up to 20 error lines from the processes' logs, which are deleted after the test."""
    lines = (
        f"{path.stem}: {line}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text("utf-8", "replace").splitlines()
        if '"ERROR"' in line or "Error" in line
    )
    return "\n".join(islice(lines, 20))


def _new_key(random: Random) -> IdempotencyKey:
    value = time.time_ns() // 1_000_000 << 80 | 7 << 76 | 2 << 62 | random.getrandbits(62)
    region = random.choice(("", f"{VITI}.", f"{VANUA}."))
    return IdempotencyKey(f"{region}{uuid.UUID(int=value)}")


async def _put(address: Address, path: str, body: bytes) -> None:
    client = HttpClient(address, timeout=5.0)
    head, answer = await client.call("PUT", path, (), body)
    client.close()
    assert head.status == 200, answer


async def _get_json(address: Address, path: str, timeout: float = 2.0) -> dict[str, object]:
    client = HttpClient(address, timeout)
    try:
        _, body = await client.call("GET", path)
    finally:
        client.close()
    return msgspec.json.decode(body, type=dict[str, object])
