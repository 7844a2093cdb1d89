"""Wires one entry: serves callers and peers, and sends their requests to targets and peers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

import trio

from .._contracts import Configuration
from .._ids import PartitionId, RegionName
from ..adapters import HttpServer, InstanceChange, InstanceState, Peers
from ..decisions import NO_VERSION, FleetRecord, LinkBudget, OccupiedSlots, region_of
from ._caller_service import CallerService
from ._entry_messages import EntryStatus, ServiceStatus
from ._forwarding import Forwarder
from ._key_copies import KEY_COPIED, KeyCopyHolder, KeyCopySender
from ._key_home import KeyHome
from ._key_table_transfer import KEY_TABLE, KeyTableTransfer
from ._keyed_requests import KeyedRequests
from ._metrics import Metrics
from ._operator_service import OperatorService
from ._ownership import OwnershipView
from ._peer_figures import PeerFigures
from ._peer_service import PeerParts, PeerService
from ._request_flow import RequestFlow
from ._slot_releases import SLOTS_RELEASED, SlotReleases
from ._span_writer import SpanWriter
from ._target_attempts import TargetAttempts
from ._target_group import TargetGroup
from ._target_groups import TargetGroups

REGION_WAIT_SECONDS = 5.0
"""How long a starting entry waits for owners of partitions in every region to become known."""


@dataclass(frozen=True, slots=True)
class EntryListeners:
    """The sockets that an entry accepts on."""

    callers: list[trio.SocketListener]
    peers: list[trio.SocketListener]
    operators: list[trio.SocketListener]


class Entry:
    """An entry, without its settings, its membership and its clients of the platform."""

    def __init__(
        self,
        ownership: OwnershipView,
        peer_key: bytes,
        spans: SpanWriter,
        random: Random,
        trace_share: float = 1.0,
    ) -> None:
        """``random`` selects the members that routing compares.

        ``trace_share`` is the share of the requests without a trace context that are traced.
        """
        self._ownership = ownership
        self._configuration: Configuration | None = None
        self._configured_at = float("inf")
        self._stopping = ""
        self.metrics = Metrics()
        self.drain_requested = trio.Event()
        self._figures = PeerFigures()
        self.peer_service = PeerService(ownership, self._figures, spans)
        self.peers = Peers(
            lambda: ownership.member_id, peer_key, self.peer_service, ownership.address_of
        )
        self._releases = SlotReleases(ownership, self.peers)
        self._targets = TargetGroups(ownership, self._releases)
        self._attempts = TargetAttempts(ownership, spans)
        forwarder = Forwarder(ownership, self.peers, self._figures, spans)
        self._flow = RequestFlow(
            ownership, self._targets, self._attempts, forwarder, self._figures, self.metrics, random
        )
        self._copies = copies = KeyCopySender(ownership, self.peers)
        self.peer_service.subscribe(KEY_COPIED, copies)
        self._copy_holder = KeyCopyHolder(ownership)
        for topic, handler in self._copy_holder.handlers().items():
            self.peer_service.subscribe(topic, handler)
        self._key_home = KeyHome(ownership, self._flow.dispatch, copies)
        keyed = KeyedRequests(ownership, self._key_home, forwarder, self._current_configuration)
        self.peer_service.attach(PeerParts(self._targets, self._flow, keyed))
        self.peer_service.subscribe(SLOTS_RELEASED, self._releases)
        self._key_tables = KeyTableTransfer(ownership, self.peers, self._key_home)
        self.peer_service.subscribe(KEY_TABLE, self._key_tables)
        callers = CallerService(
            self._flow,
            keyed,
            self._current_configuration,
            spans,
            self.metrics,
            lambda: random.random() < trace_share,
        )
        self._callers = HttpServer(callers)
        self._operators = HttpServer(
            OperatorService(
                self.metrics, self._unready_reason, self.status, self.drain_requested.set
            )
        )
        self._add_gauges()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None before the first."""
        return self._configuration

    @property
    def targets(self) -> TargetGroups:
        """The targets that this entry owns."""
        return self._targets

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration
        region = self._ownership.region_of(self._ownership.member_id)
        self._flow.set_links(dict(_link_budgets(configuration, region)))
        self.refresh()

    def refresh(self) -> None:
        """Apply a change of ownership."""
        if self._configuration is not None:
            self._configured_at = min(self._configured_at, trio.current_time())
            self._targets.refresh(self._configuration)
        self._key_tables.apply_ownership()
        members = self._ownership.other_members()
        self._figures.keep_only(frozenset(members))
        self.peers.forget_all_but(frozenset(members))
        self.peers.keep_open(members)

    def follow_fleet(self, record: FleetRecord) -> None:
        """Apply a change of the fleet record."""
        lost = self._copy_holder.apply_record(record)
        self.refresh()
        self._key_tables.send_copies(lost)

    def note_instances(self, changes: Iterable[InstanceChange]) -> None:
        """Apply changes of the platform's instance list: stop using targets that leave."""
        leaving = self._targets.leaving
        changes = tuple(changes)
        leaving_ids = [
            change.target_id for change in changes if change.state is not InstanceState.LIVE
        ]
        self._targets.note_leaving(leaving.mark_seen(leaving_ids, trio.current_time()))

    def occupied(
        self, partitions: tuple[PartitionId, ...]
    ) -> dict[PartitionId, tuple[OccupiedSlots, ...]]:
        """Return the slots in ``partitions`` that may still be busy, for their next owners."""
        return self._targets.occupied(frozenset(partitions))

    async def run(self, listeners: EntryListeners) -> None:
        """Serve until cancelled. Call ``stop_callers`` first for a graceful stop."""
        async with trio.open_nursery() as nursery:
            self._attempts.attach(nursery)
            self._releases.attach(nursery, self._targets.release_inherited)
            self._key_home.attach(nursery)
            self._key_tables.attach(nursery)
            nursery.start_soon(self.peers.run, listeners.peers)
            nursery.start_soon(self._operators.run, listeners.operators)
            nursery.start_soon(self._keep_streams_open)
            nursery.start_soon(self._copies.keep, self._ownership.owned_partitions)
            await self._callers.run(listeners.callers)
            await trio.sleep_forever()

    async def stop_callers(self, notice_seconds: float) -> None:
        """Report not ready for ``notice_seconds``, then accept no more and end open requests.

        The notice lets the balancer send callers to other entries first. Returns when all requests
        in flight have been answered.
        """
        self._stopping = "stopping"
        self._callers.announce_stop()
        await trio.sleep(notice_seconds)
        self._callers.stop()
        await self._callers.wait_ended()

    async def wait_for_calls(self) -> None:
        """Wait until all forwarded requests are served and all key tables are handed over."""
        await self.peer_service.wait_idle()
        await self._key_tables.wait_sent()

    def status(self) -> EntryStatus:
        """Return the answer of ``/status``."""
        configuration = self._configuration
        return EntryStatus(
            member=self._ownership.member_id,
            region=self._ownership.region_of(self._ownership.member_id),
            draining=bool(self._stopping),
            in_flight=self._callers.connection_count + self.peer_service.in_flight,
            configuration_version=configuration.version if configuration else NO_VERSION,
            other_members=self._ownership.other_members(),
            services={
                group.contract.name: _service_status(group) for group in self._targets.groups()
            },
        )

    async def _keep_streams_open(self) -> None:
        while True:
            self.peers.keep_open(self._ownership.other_members())
            await trio.sleep(1.0)

    def _current_configuration(self) -> Configuration | None:
        return self._configuration

    def _unready_reason(self) -> str:
        if self._stopping:
            return self._stopping
        if self._configuration is None:
            return "no configuration yet"
        regions_with_owners = {region_of(partition) for partition in self._ownership.owners()}
        if self._ownership.region_of(self._ownership.member_id) not in regions_with_owners:
            return "no owners known in the own region"
        # A caller's key may have its home in any region. An entry that reported ready before it had
        # these homes in its record would refuse its first callers. The loss of a whole region must
        # not make the other regions unready, so this applies only to the first
        # `REGION_WAIT_SECONDS`.
        missing = [
            region.name
            for region in self._configuration.regions
            if region.name not in regions_with_owners
        ]
        if missing and trio.current_time() - self._configured_at < REGION_WAIT_SECONDS:
            return f"no owners known in {', '.join(missing)}"
        return ""

    def _add_gauges(self) -> None:
        self.metrics.gauge("fireflyfork_peer_sent_bytes", lambda: self.peers.sent_bytes)
        self.metrics.gauge("fireflyfork_caller_connections", lambda: self._callers.connection_count)


def _service_status(group: TargetGroup) -> ServiceStatus:
    return ServiceStatus(tuple(sorted(group.targets)), group.figures().free_slots, group.queued)


def _link_budgets(
    configuration: Configuration, region: RegionName | None
) -> Iterator[tuple[RegionName, LinkBudget]]:
    for link in configuration.links:
        if region in link.regions:
            remote_region = link.regions[0] if link.regions[1] == region else link.regions[1]
            yield remote_region, LinkBudget(link.bytes_per_second * link.spill_share)
