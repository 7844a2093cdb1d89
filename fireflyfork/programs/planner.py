"""``fireflyfork-planner SETTINGS``: places batch tasks and service replicas on the workers."""

from __future__ import annotations

import secrets
import signal
import sys
from pathlib import Path

import trio
from loguru import logger

from .._ids import MemberId, PartitionId
from .._links import Address
from .._zones import Zone
from ..adapters import HttpPlatform, HttpStore, Peers, listen
from ..decisions import Member, OccupiedSlots
from ._configuration_keeper import ConfigurationKeeper
from ._guard_messages import PeerGuardChannel, membership_handlers
from ._logs import configure_logs
from ._membership import Membership, MembershipSettings
from ._membership_view import MembershipView
from ._planner import BATCH_REGION, Planner
from ._planner_peers import ENDPOINT_TOPIC, PlannerDirectory, PlannerPeerService
from ._planner_rights import MembershipRights
from ._planner_settings import PlannerSettings
from ._settings import EXIT_BAD_SETTINGS, load_settings_or_exit

PLANNERS_KEY = "planners"
"""The store key of the planners' fleet record."""
MAX_STOP_SECONDS = 5.0
MAX_LEAVE_SECONDS = 4.0


class PlannerProgram:
    """A planner process: its planner, fleet membership, configuration and connections to peers."""

    def __init__(self, settings: PlannerSettings) -> None:
        """Set up all components without starting them. Needs a running trio loop."""
        self._settings = settings
        zone = Zone(BATCH_REGION, settings.failure_domain)
        self._view = MembershipView(zone)
        service = PlannerPeerService()
        key = settings.peer_key.encode("utf-8")
        self._peers = Peers(lambda: self._view.member_id, key, service, self._view.address_of)
        self._directory = PlannerDirectory(Address.parse(settings.operator_address))
        rights = MembershipRights(self._directory)
        store = HttpStore(Address.parse(settings.store_address))
        channel = PeerGuardChannel(self._peers)
        self._membership = Membership(
            Member(self._new_id(), Address.parse(settings.peer_address), zone),
            store,
            channel,
            self._new_id,
            _no_occupied_slots,
            rights.note_change,
            MembershipSettings(key=PLANNERS_KEY, partitions_per_region=settings.partitions),
        )
        self._view.attach(self._membership)
        rights.attach(self._membership)
        platform = HttpPlatform(Address.parse(settings.platform_address))
        self._planner = Planner(settings, store, platform, rights)
        self._keeper = ConfigurationKeeper(store, self._planner.configure)
        self._attach(channel, service)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave the fleet and return."""
        operators = await _listen(self._settings.operator_address)
        peers = await _listen(self._settings.peer_address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._peers.run, peers)
            nursery.start_soon(self._membership.run)
            nursery.start_soon(self._keeper.run, lambda: self._membership.is_watcher)
            nursery.start_soon(self._directory.announce, self._peers, self._view)
            async with trio.open_nursery() as serving:
                serving.start_soon(self._stop_on_signal, serving.cancel_scope)
                logger.info("serving", address=self._settings.operator_address)
                await self._planner.run(operators)
                serving.cancel_scope.cancel()
            handed_over = await self._membership.leave(MAX_LEAVE_SECONDS)
            logger.info("stopped", handed_over=handed_over)
            nursery.cancel_scope.cancel()

    async def _stop_on_signal(self, serving: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                logger.info("stopping")
                self._planner.stop()
                # If the store is unavailable, pending changes can't be stored. By this deadline
                # their submitters have been told that the outcome is unknown.
                serving.deadline = trio.current_time() + MAX_STOP_SECONDS

    def _attach(self, channel: PeerGuardChannel, service: PlannerPeerService) -> None:
        membership, keeper = self._membership, self._keeper
        keeper.attach(channel, membership)
        channel.attach(keeper)
        for topic, handler in membership_handlers(channel, membership, keeper).items():
            service.subscribe(topic, handler)
        service.subscribe(ENDPOINT_TOPIC, self._directory)

    def _new_id(self) -> MemberId:
        return MemberId(f"{self._settings.name}-{secrets.token_hex(4)}")


def _no_occupied_slots(
    partitions: tuple[PartitionId, ...],
) -> dict[PartitionId, tuple[OccupiedSlots, ...]]:
    # The partition's journal records what may run on the workers, and the next owner reads it
    # there.
    return {}


async def _listen(address: str) -> list[trio.SocketListener]:
    parsed = Address.parse(address)
    return await listen(parsed.host, parsed.port)


async def _run(settings: PlannerSettings) -> None:
    await PlannerProgram(settings).run()


def main() -> None:
    """Read the settings file named on the command line and serve."""
    if len(sys.argv) != 2 or sys.argv[1] in ("-h", "--help"):
        print("usage: fireflyfork-planner SETTINGS.jsonc", file=sys.stderr)
        sys.exit(0 if "--help" in sys.argv or "-h" in sys.argv else EXIT_BAD_SETTINGS)
    settings = load_settings_or_exit(Path(sys.argv[1]), PlannerSettings, PlannerSettings.check)
    configure_logs(settings.log_level, {"process": settings.name, "program": "planner"})
    try:
        trio.run(_run, settings)
    except* OSError as group:
        logger.error("can't serve: {}", "; ".join(map(str, group.exceptions)))
        sys.exit(1)


if __name__ == "__main__":
    main()
