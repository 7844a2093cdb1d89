"""Builds whole entries and executors in one event loop, on loopback sockets."""

from __future__ import annotations

import io
import uuid
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import msgspec
import trio

from fireflyfork_standins.executor import ExecutorHandler

from ... import (
    Address,
    ChangeId,
    Configuration,
    ConfigurationVersion,
    Epoch,
    FailureDomainName,
    MemberId,
    PartitionId,
    Region,
    RegionName,
    ServiceContract,
    ServiceName,
    TargetContract,
    TargetId,
    TeamName,
    Zone,
)
from ..._traces import Span
from ...adapters import HttpClient, HttpServer, ResponseHead, listen
from ...decisions import (
    Acquisition,
    FleetRecord,
    Member,
    OccupiedSlots,
    Ownership,
    partition_of,
)
from .._entry import Entry, EntryListeners
from .._ownership import Guard, OwnershipView
from .._span_writer import SpanWriter

REGION = RegionName("viti")
SERVICE = ServiceName("desk")
PEER_KEY = b"0123456789abcdef"
PARTITIONS = 4


@dataclass(slots=True)
class FleetState:
    """The fleet state that all entries of a test share; tests change it."""

    ownerships: dict[PartitionId, Ownership] = field(default_factory=dict)
    addresses: dict[MemberId, Address] = field(default_factory=dict)
    guards: dict[MemberId, MemberId] = field(default_factory=dict)
    guarded_since: dict[MemberId, Epoch] = field(default_factory=dict)
    without_right: set[MemberId] = field(default_factory=set)

    def set_owner(
        self,
        partition: PartitionId,
        owner: MemberId,
        acquired: Acquisition,
        occupied: tuple[OccupiedSlots, ...] = (),
    ) -> None:
        """Change the owner of a partition, in the next epoch of the partition."""
        before = self.ownerships.get(partition)
        since = Epoch(before.since + 1 if before else 1)
        self.ownerships[partition] = Ownership(owner, since, acquired, occupied)


class FixedOwnership(OwnershipView):
    """An ownership view of the shared fleet state, as seen by one member."""

    def __init__(self, own: MemberId, fleet: FleetState) -> None:
        self._own = own
        self._fleet = fleet

    @property
    def member_id(self) -> MemberId:
        return self._own

    @property
    def partitions_per_region(self) -> int:
        return PARTITIONS

    def ownership_of(self, partition: PartitionId) -> Ownership | None:
        return self._fleet.ownerships.get(partition)

    def may_dispatch(self, partition: PartitionId) -> bool:
        return self.owner_of(partition) == self._own and self._own not in self._fleet.without_right

    def region_of(self, member: MemberId) -> RegionName | None:
        return REGION if member in self._fleet.addresses else None

    def address_of(self, member: MemberId) -> Address | None:
        return self._fleet.addresses.get(member)

    def owners(self) -> dict[PartitionId, MemberId]:
        ownerships = self._fleet.ownerships.items()
        return {
            partition: owned.owner for partition, owned in ownerships if owned.owner is not None
        }

    def guard(self) -> Guard | None:
        member = self._fleet.guards.get(self._own)
        since = self._fleet.guarded_since.get(self._own, Epoch(1))
        return Guard(member, since) if member is not None else None

    def other_members(self) -> tuple[MemberId, ...]:
        return tuple(member for member in self._fleet.addresses if member != self._own)


@dataclass(slots=True)
class RunningEntry:
    """An entry under test, its address for callers and the spans it wrote."""

    entry: Entry
    caller_address: Address
    written: io.StringIO

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: str | None = "5000",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> tuple[ResponseHead, bytes]:
        """Send a caller's request on a new connection and return the answer."""
        client = HttpClient(self.caller_address, timeout=20.0)
        if timeout_ms is not None:
            headers = (*headers, (b"request-timeout-ms", timeout_ms.encode()))
        try:
            return await client.call(method, path, headers, body)
        finally:
            client.close()

    def spans(self) -> list[Span]:
        """Return the spans written so far."""
        lines = self.written.getvalue().splitlines()
        return [msgspec.json.decode(line, type=Span) for line in lines]


@dataclass(slots=True)
class RunningFleet:
    """Entries and executors under test."""

    state: FleetState
    entries: list[RunningEntry]
    executors: dict[TargetId, ExecutorHandler]
    configuration: Configuration

    def runs(self) -> list[str]:
        """Return the idempotency key, or the request id if there is no key, of each run."""
        return [
            run.key or run.request_id
            for executor in self.executors.values()
            for run in executor.history
        ]

    async def spans_when(self, names: set[str]) -> list[Span]:
        """Wait until spans of all ``names`` are written, then return all spans.

        A span is written only after its answer.
        """
        while True:
            spans = [span for running in self.entries for span in running.spans()]
            if names <= {span.name for span in spans}:
                return spans
            await trio.sleep(0.01)

    def move_all(self, to: int, acquired: Acquisition) -> None:
        """Make one entry the owner of all partitions. The other entries are refreshed first."""
        partitions = tuple(self.state.ownerships)
        occupied: dict[PartitionId, tuple[OccupiedSlots, ...]] = {}
        if acquired is Acquisition.MOVED:
            for running in self.entries:
                occupied.update(running.entry.occupied(partitions))
        for partition in partitions:
            owner = MemberId(f"entry-{to}")
            self.state.set_owner(partition, owner, acquired, occupied.get(partition, ()))
        for running in sorted(self.entries, key=lambda entry: entry is self.entries[to]):
            running.entry.refresh()

    def fence_entry(self, lost: int, to: int, epoch: int = 1) -> None:
        """Fence entry ``lost`` and assign its partitions to entry ``to``."""
        known = [
            member_id
            for member_id in self.state.addresses
            if member_id not in self.state.without_right
        ]
        before = self._record(epoch=epoch, members=tuple(known))
        for running in self.entries:
            running.entry.follow_fleet(before)
        fenced_member = MemberId(f"entry-{lost}")
        for partition, ownership in tuple(self.state.ownerships.items()):
            if ownership.owner == fenced_member:
                self.state.set_owner(partition, MemberId(f"entry-{to}"), Acquisition.TAKEN_OVER)
        self.state.without_right.add(fenced_member)
        remaining = tuple(member for member in known if member != fenced_member)
        after = self._record(epoch=epoch + 1, members=remaining)
        for running in self.entries:
            if running is not self.entries[lost]:
                running.entry.follow_fleet(after)

    def _record(self, epoch: int, members: tuple[MemberId, ...]) -> FleetRecord:
        zone = Zone(REGION, FailureDomainName("suva"))
        return FleetRecord(
            epoch=Epoch(epoch),
            partitions_per_region=PARTITIONS,
            members={
                member_id: Member(
                    member_id,
                    self.state.addresses[member_id],
                    zone,
                    self.state.guards.get(member_id),
                    self.state.guarded_since.get(member_id, Epoch(1)),
                )
                for member_id in members
            },
            owners=dict(self.state.ownerships),
        )

    def key_at(self, entry: int) -> str:
        """Return a key that contains no time and whose home is that entry."""
        while True:
            key = str(uuid.uuid4())
            home = self.state.ownerships[partition_of(REGION, key, PARTITIONS)].owner
            if home == f"entry-{entry}":
                return key

    def reconfigure(self, **changes: object) -> None:
        """Change the service's contract at all entries."""
        service = replace(self.configuration.services[0], **changes)  # type: ignore[arg-type]
        self.configuration = replace(self.configuration, services=(service,))
        for running in self.entries:
            running.entry.configure(self.configuration)


def a_service(**changes: object) -> ServiceContract:
    """Return a contract whose requests run for at most 2 seconds, with ``changes``."""
    service = ServiceContract(
        name=SERVICE,
        team=TeamName("desk-team"),
        longest_run_seconds=2.0,
        longest_timeout_seconds=10.0,
    )
    return replace(service, **changes)  # type: ignore[arg-type]


@asynccontextmanager
async def running_fleet(
    entries: int = 3,
    executors: int = 2,
    slots: int = 2,
    run_seconds: float = 0.02,
    owned_by: Mapping[int, int] | None = None,
) -> AsyncIterator[RunningFleet]:
    """Start entries and executors.

    ``owned_by`` maps partition numbers to entries; entry 0 owns the other partitions.
    """
    async with trio.open_nursery() as nursery:
        handlers, targets = await _start_executors(nursery, executors, slots, run_seconds)
        configuration = Configuration(
            version=ConfigurationVersion(1),
            change_id=ChangeId("test"),
            regions=(Region(REGION, (FailureDomainName("suva"),)),),
            services=(a_service(),),
            targets=targets,
        )
        fleet = FleetState()
        members = [MemberId(f"entry-{number}") for number in range(entries)]
        for number in range(PARTITIONS):
            owner = members[(owned_by or {}).get(number, 0)]
            fleet.set_owner(PartitionId(f"{REGION}/{number}"), owner, Acquisition.FIRST)
        running = [await _start_entry(nursery, member, fleet) for member in members]
        for running_entry in running:
            running_entry.entry.configure(configuration)
        yield RunningFleet(fleet, running, handlers, configuration)
        nursery.cancel_scope.cancel()


async def _start_executors(
    nursery: trio.Nursery, count: int, slots: int, run_seconds: float
) -> tuple[dict[TargetId, ExecutorHandler], tuple[TargetContract, ...]]:
    handlers: dict[TargetId, ExecutorHandler] = {}
    targets: list[TargetContract] = []
    for number in range(count):
        handler = ExecutorHandler(slots, run_seconds, Random(number))
        address = await _serve(nursery, HttpServer(handler))
        target_id = TargetId(f"desk-{number}")
        handlers[target_id] = handler
        targets.append(
            TargetContract(
                target_id, SERVICE, str(address), REGION, FailureDomainName("suva"), slots, 64
            )
        )
    return handlers, tuple(targets)


async def _serve(nursery: trio.Nursery, server: HttpServer) -> Address:
    listeners = await listen("127.0.0.1", 0)
    nursery.start_soon(server.run, listeners)
    return _address(listeners)


async def _start_entry(nursery: trio.Nursery, member: MemberId, fleet: FleetState) -> RunningEntry:
    listeners = EntryListeners(
        callers=await listen("127.0.0.1", 0),
        peers=await listen("127.0.0.1", 0),
        operators=await listen("127.0.0.1", 0),
    )
    fleet.addresses[member] = _address(listeners.peers)
    written = io.StringIO()
    entry = Entry(
        FixedOwnership(member, fleet), PEER_KEY, SpanWriter(member, written), Random(member)
    )
    nursery.start_soon(entry.run, listeners)
    return RunningEntry(entry, _address(listeners.callers), written)


def _address(listeners: list[trio.SocketListener]) -> Address:
    host, port = listeners[0].socket.getsockname()
    return Address(host, port)
