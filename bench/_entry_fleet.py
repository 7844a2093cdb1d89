"""Starts a store, an instance list, executors and entries as separate processes to measure."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from fireflyfork import (
    Address,
    ChangeId,
    Configuration,
    ConfigurationVersion,
    FailureDomainName,
    Region,
    RegionName,
    Revision,
    ServiceContract,
    ServiceName,
    TargetContract,
    TargetId,
    TeamName,
)
from fireflyfork._contract_codec import encode_contracts
from fireflyfork.adapters import HttpClient, HttpError, HttpStore
from fireflyfork.decisions import CONFIGURATION_KEY, ConfigurationOffer, encode_configuration

FIRST_PORT = 14_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DOMAINS = tuple(FailureDomainName(name) for name in ("suva", "nadi"))
REGION = RegionName("viti")


@dataclass(slots=True)
class MeasuredProcess:
    """A running process with its memory and processor use."""

    name: str
    process: subprocess.Popen[bytes]

    @property
    def resident_megabytes(self) -> float:
        """Resident memory, in megabytes of 1,000,000 bytes."""
        pages = Path(f"/proc/{self.process.pid}/statm").read_text("ascii").split()[1]
        return int(pages) * PAGE_BYTES / 1e6

    @property
    def processor_seconds(self) -> float:
        """User and system processor time used so far, in seconds."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text("ascii")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


@dataclass(slots=True)
class MeasuredEntry(MeasuredProcess):
    """An entry process with the addresses that it listens on."""

    caller_address: Address
    operator_address: Address

    async def wait_until_ready(self) -> None:
        """Wait until the entry reports that it is ready."""
        while True:
            try:
                if (await get_json(self.operator_address, "/readyz"))["ready"]:
                    return
            except HttpError:
                pass
            await trio.sleep(0.05)

    async def peer_bytes(self) -> float:
        """Return the bytes sent to peers so far on the streams that are currently open."""
        _, body = await _call(self.operator_address, "/metrics")
        for line in body.decode("utf-8").splitlines():
            if line.startswith("fireflyfork_peer_sent_bytes "):
                return float(line.split()[1])
        return 0.0

    async def own_targets(self) -> list[str]:
        """Return the ids of the targets that the entry owns."""
        services = (await get_json(self.operator_address, "/status"))["services"]
        assert isinstance(services, dict)
        return [target for service in services.values() for target in service["own_targets"]]


@dataclass(slots=True)
class MeasuredFleet:
    """All processes of a fleet, with the addresses needed to query them."""

    store: Address
    entries: list[MeasuredEntry]
    executors: int
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    async def store_calls(self) -> dict[str, object]:
        """Return the number of calls that the store has received, by kind of call."""
        return await get_json(self.store, "/statistics")

    async def wait_owned(self) -> None:
        """Wait until the running entries together own all targets."""
        living = [entry for entry in self.entries if entry.process.poll() is None]
        while True:
            try:
                owned = [target for entry in living for target in await entry.own_targets()]
            except HttpError:
                owned = []
            if len(owned) == self.executors:
                return
            await trio.sleep(0.05)


async def get_json(address: Address, path: str) -> dict[str, object]:
    """Return the JSON object at ``path``.

    Raises HttpError if the call fails or the status is 500 or above. ``/readyz`` may answer 503,
    because its body is JSON then too.
    """
    status, body = await _call(address, path)
    if status >= 500 and path != "/readyz":
        raise HttpError(f"{path} answered {status}")
    return msgspec.json.decode(body, type=dict[str, object])


@asynccontextmanager
async def measured_fleet(
    entries: int, executors: int = 8, slots: int = 8, run_seconds: float = 0.0
) -> AsyncIterator[MeasuredFleet]:
    """Start all processes, wait until all targets are owned, and kill the processes on exit."""
    ports = iter(range(FIRST_PORT, FIRST_PORT + 3 * entries + executors + 2))
    store, instances = _address(next(ports)), _address(next(ports))
    targets = [_address(next(ports)) for _ in range(executors)]
    fleet = MeasuredFleet(store, [], executors)
    with tempfile.TemporaryDirectory(prefix="fireflyfork-bench-") as folder:
        try:
            python = (sys.executable, "-m")
            _launch(fleet, *python, "fireflyfork_standins.store", str(store))
            _launch(fleet, *python, "fireflyfork_standins.instances", str(instances))
            settings = {
                "addresses": [str(target) for target in targets],
                "slots": slots,
                "run_seconds": run_seconds,
            }
            path = _write_settings(Path(folder) / "executors.jsonc", settings)
            _launch(fleet, *python, "fireflyfork_standins.executor", path)
            await _configure(store, targets, slots)
            for number in range(entries):
                addresses = [_address(next(ports)) for _ in range(3)]
                _start_entry(fleet, Path(folder), number, addresses, store, instances)
            for entry in fleet.entries:
                await entry.wait_until_ready()
            await fleet.wait_owned()
            yield fleet
        finally:
            for process in fleet.processes:
                process.kill()
            for process in fleet.processes:
                process.wait()


def _start_entry(
    fleet: MeasuredFleet,
    folder: Path,
    number: int,
    addresses: list[Address],
    store: Address,
    instances: Address,
) -> None:
    callers, peers, operators = addresses
    settings = {
        "name": f"entry-{number}",
        "region": REGION,
        "failure_domain": DOMAINS[number % len(DOMAINS)],
        "caller_address": str(callers),
        "peer_address": str(peers),
        "operator_address": str(operators),
        "store_address": str(store),
        "instance_list_address": str(instances),
        "peer_key": "only-for-measurements",
        "trace_share": 0.0,
    }
    path = _write_settings(folder / f"entry-{number}.jsonc", settings)
    program = Path(sys.executable).with_name("fireflyfork-entry")
    process = _launch(fleet, str(program), path)
    fleet.entries.append(MeasuredEntry(f"entry-{number}", process, callers, operators))


def _launch(fleet: MeasuredFleet, *command: str) -> subprocess.Popen[bytes]:
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    fleet.processes.append(process)
    return process


async def _configure(store: Address, targets: list[Address], slots: int) -> None:
    service = ServiceContract(ServiceName("desk"), TeamName("desk"), 2.0, 5.0)
    configuration = Configuration(
        ConfigurationVersion(1),
        ChangeId("bench"),
        (Region(REGION, DOMAINS),),
        (service,),
        tuple(
            TargetContract(
                TargetId(f"t{number}"), service.name, str(one), REGION, DOMAINS[0], slots, 64
            )
            for number, one in enumerate(targets)
        ),
    )
    offer = ConfigurationOffer(
        configuration.version, configuration.change_id, encode_contracts(configuration)
    )
    client = HttpStore(store)
    with trio.fail_after(20):
        while True:
            try:
                await client.write(CONFIGURATION_KEY, encode_configuration(offer), Revision(0))
                return
            except Exception:
                await trio.sleep(0.1)


async def _call(address: Address, path: str) -> tuple[int, bytes]:
    client = HttpClient(address, timeout=5.0)
    try:
        head, body = await client.call("GET", path)
        return head.status, body
    finally:
        client.close()


def _address(port: int) -> Address:
    return Address("127.0.0.1", port)


def _write_settings(path: Path, settings: dict[str, object]) -> str:
    path.write_text(json.dumps(settings), "utf-8")
    return str(path)
