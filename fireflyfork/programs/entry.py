"""``fireflyfork-entry SETTINGS``: serves callers and peers on one entry instance."""

from __future__ import annotations

import secrets
import signal
import sys
from pathlib import Path
from random import Random

import trio
from loguru import logger

from .._errors import PlatformError
from .._ids import MemberId
from .._links import Address
from .._zones import Zone
from ..adapters import HttpInstanceList, HttpStore, InstanceList, listen
from ..decisions import Member
from ._configuration_keeper import ConfigurationKeeper
from ._entry import Entry, EntryListeners
from ._entry_settings import EntrySettings
from ._guard_messages import PeerGuardChannel, membership_handlers
from ._logs import configure_logs
from ._membership import FleetView, Membership
from ._membership_view import MembershipView
from ._settings import load_settings_or_exit
from ._span_writer import SpanWriter

MAX_LEAVE_SECONDS = 20.0
INSTANCE_WAIT_SECONDS = 20.0
RETRY_SECONDS = 1.0
FLUSH_SECONDS = 0.2
"""Time for the last messages queued for peers to be sent."""


class EntryProgram:
    """The entry process: its parts, its signals and its graceful stop."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create and wire the parts; ``run`` starts them."""
        self._settings = settings
        me = self._member()
        view = MembershipView(me.zone)
        spans = SpanWriter(settings.name)
        self._entry = Entry(
            view,
            settings.peer_key.encode("utf-8"),
            spans,
            Random(secrets.randbits(64)),
            settings.trace_share,
        )
        channel = PeerGuardChannel(self._entry.peers)
        self._store = HttpStore(Address.parse(settings.store_address))
        self._membership = Membership(
            me, self._store, channel, self._new_id, self._entry.occupied, self._fleet_changed
        )
        view.attach(self._membership)
        self._keeper = ConfigurationKeeper(self._store, self._entry.configure)
        self._attach(channel)

    async def run(self) -> None:
        """Serve until a signal or an operator requests a graceful stop, and complete the stop."""
        listeners = await self._listen()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._entry.run, listeners)
            nursery.start_soon(self._membership.run)
            nursery.start_soon(self._keeper.run, lambda: self._membership.is_watcher)
            nursery.start_soon(self._follow_instances)
            logger.info("serving", address=self._settings.caller_address)
            await self._wait_for_stop()
            await self._stop()
            nursery.cancel_scope.cancel()

    async def _wait_for_stop(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drain_on_signal)
            await self._entry.drain_requested.wait()
            nursery.cancel_scope.cancel()
        logger.info("stopping")

    async def _drain_on_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self._entry.drain_requested.set()

    async def _stop(self) -> None:
        await self._entry.stop_callers(self._settings.drain_notice_seconds)
        handed_over = await self._membership.leave(MAX_LEAVE_SECONDS)
        await self._entry.wait_for_calls()
        await trio.sleep(FLUSH_SECONDS)
        logger.info("stopped", handed_over=handed_over)

    async def _follow_instances(self) -> None:
        instances: InstanceList = HttpInstanceList(
            Address.parse(self._settings.instance_list_address)
        )
        cursor = 0
        while True:
            try:
                answer = await instances.changes(cursor, INSTANCE_WAIT_SECONDS)
            except PlatformError as error:
                logger.info("instance list could not be read", error=str(error))
                await trio.sleep(RETRY_SECONDS)
                continue
            cursor = answer.cursor
            self._entry.note_instances(answer.changes)

    def _fleet_changed(self, view: FleetView) -> None:
        self._entry.follow_fleet(view.record)

    def _attach(self, channel: PeerGuardChannel) -> None:
        membership, keeper = self._membership, self._keeper
        keeper.attach(channel, membership)
        channel.attach(keeper)
        service = self._entry.peer_service
        for topic, handler in membership_handlers(channel, membership, keeper).items():
            service.subscribe(topic, handler)

    async def _listen(self) -> EntryListeners:
        settings = self._settings
        addresses = map(
            Address.parse,
            (settings.caller_address, settings.peer_address, settings.operator_address),
        )
        return EntryListeners(*[await listen(address.host, address.port) for address in addresses])

    def _member(self) -> Member:
        zone = Zone(self._settings.region, self._settings.failure_domain)
        return Member(self._new_id(), Address.parse(self._settings.peer_address), zone)

    def _new_id(self) -> MemberId:
        return MemberId(f"{self._settings.name}-{secrets.token_hex(4)}")


def main() -> None:
    """Read the settings file named on the command line and serve."""
    if len(sys.argv) != 2 or sys.argv[1] in ("-h", "--help"):
        print("usage: fireflyfork-entry SETTINGS.jsonc", file=sys.stderr)
        sys.exit(0 if "--help" in sys.argv or "-h" in sys.argv else 2)
    settings = load_settings_or_exit(Path(sys.argv[1]), EntrySettings, EntrySettings.check)
    configure_logs(settings.log_level, {"process": settings.name, "program": "entry"})
    try:
        trio.run(EntryProgram(settings).run)
    except* OSError as group:
        logger.error("can't serve: {}", "; ".join(map(str, group.exceptions)))
        sys.exit(1)
