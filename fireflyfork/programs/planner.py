"""``fireflyfork-planner SETTINGS``: places batch tasks and replicas of services on the workers."""

from __future__ import annotations

import signal
import sys
import uuid
from pathlib import Path

import trio
from loguru import logger

from .._errors import SettingsError
from .._ids import MemberId, PartitionId
from .._links import Address
from ..adapters import HttpPlatform, HttpServer, HttpStore, Store, WorkerPlatform, listen
from ..decisions import FirstFitPolicy
from ._logs import configure_logs
from ._planner_endpoint import PlannerEndpoint
from ._planner_partition import PartitionPlan, PartitionRunner, PlannerClock
from ._planner_rights import PartitionRights, SettledRights
from ._planner_settings import PlannerSettings
from ._settings import EXIT_BAD_SETTINGS, load_settings_or_exit


class Planner:
    """All partitions that this process may own, and its endpoint."""

    def __init__(
        self,
        settings: PlannerSettings,
        store: Store,
        platform: WorkerPlatform,
        rights: PartitionRights,
    ) -> None:
        """Nothing happens before ``run``. Needs a running trio loop."""
        clock = PlannerClock()
        self._rights = rights
        self._runners = {
            plan.partition: PartitionRunner(plan, store, platform, rights, clock)
            for plan in _plans(settings)
        }
        self._endpoint = PlannerEndpoint(self._runners, rights)
        self._server = HttpServer(self._endpoint)
        self._stopping = False

    @property
    def endpoint(self) -> PlannerEndpoint:
        """What answers operators."""
        return self._endpoint

    @property
    def runners(self) -> dict[PartitionId, PartitionRunner]:
        """The runner of each partition."""
        return self._runners

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until ``stop``; what is under way is stored and answered first."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._server.run, listeners)
            for partition in self._runners:
                nursery.start_soon(self._run_while_owned, partition)

    def stop(self) -> None:
        """End gracefully."""
        self._stopping = True
        for runner in self._runners.values():
            runner.stop()
        self._server.stop()

    async def _run_while_owned(self, partition: PartitionId) -> None:
        runner = self._runners[partition]
        while not self._stopping:
            if partition in self._rights.owned():
                await runner.run()
            if not self._stopping:
                with trio.move_on_after(1.0):
                    await self._rights.changed()


def _plans(settings: PlannerSettings) -> list[PartitionPlan]:
    return [
        PartitionPlan(
            partition.partition,
            partition.regions,
            FirstFitPolicy(),
            settings.teams,
            settings.weights,
            settings.rules,
            settings.pace,
        )
        for partition in settings.partitions
    ]


def settled_rights(settings: PlannerSettings) -> SettledRights:
    """The rights that the settings give to this process."""
    owners = {
        partition.partition: Address.parse(partition.owner) for partition in settings.partitions
    }
    own = Address.parse(settings.listen)
    owned = frozenset(partition for partition, owner in owners.items() if owner == own)
    member = MemberId(f"{settings.name}-{uuid.uuid4().hex[:12]}")
    return SettledRights(member, owned, owners)


async def run(settings: PlannerSettings) -> None:
    """Run until SIGTERM or SIGINT."""
    address = Address.parse(settings.listen)
    store = HttpStore(Address.parse(settings.store))
    platform = HttpPlatform(Address.parse(settings.platform))
    planner = Planner(settings, store, platform, settled_rights(settings))
    listeners = await listen(address.host, address.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, planner)
        logger.info("listening on {}", address)
        await planner.run(listeners)
        nursery.cancel_scope.cancel()


async def _stop_on_signal(planner: Planner) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            logger.info("stopping")
            planner.stop()
            return


def main() -> None:
    """Run the program; exit status 2 for unusable settings."""
    if len(sys.argv) != 2:
        print("usage: fireflyfork-planner SETTINGS", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    path = Path(sys.argv[1])
    settings = load_settings_or_exit(path, PlannerSettings)
    try:
        settings.check(str(path))
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    configure_logs(
        settings.log_level,
        {
            "program": "planner",
            "name": settings.name,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
        },
    )
    trio.run(run, settings)


if __name__ == "__main__":
    main()
