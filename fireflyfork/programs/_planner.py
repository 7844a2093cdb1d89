"""Combines a planner's partitions, its endpoint for operators and the current configuration."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .._contracts import Configuration
from .._ids import PartitionId, RegionName
from ..adapters import HttpServer, Store, WorkerPlatform
from ..decisions import FirstFitPolicy, PlacementPolicy, partition_id
from ..decisions.placement import InterferenceAwarePolicy
from ._metrics import Metrics
from ._partition_plan import PartitionPlan, PlannerClock
from ._planner_endpoint import PlannerEndpoint
from ._planner_partition import PartitionRunner
from ._planner_rights import PartitionRights
from ._planner_settings import PlannerSettings, PolicyName

BATCH_REGION = RegionName("batch")
"""The region in the planners' fleet record. Any planner may own any share of the workers."""

_OWNERSHIP_CHECK_SECONDS = 1.0

_POLICIES: dict[PolicyName, Callable[[], PlacementPolicy]] = {
    PolicyName.INTERFERENCE_AWARE: InterferenceAwarePolicy,
    PolicyName.FIRST_FIT: FirstFitPolicy,
}


class Planner:
    """Runs the partitions that this planner owns and serves operators.

    Fleet membership and the clients of the store and the platform are passed in.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        store: Store,
        platform: WorkerPlatform,
        rights: PartitionRights,
    ) -> None:
        """Set up the partitions and the endpoint. Needs a running trio loop.

        The work starts with ``run``.
        """
        clock = PlannerClock()
        metrics = Metrics()
        self._rights = rights
        self._runners = {
            plan.partition: PartitionRunner(plan, store, platform, rights, clock, metrics)
            for plan in _partition_plans(settings)
        }
        self._server = HttpServer(PlannerEndpoint(self._runners, rights))
        self._stopping = False
        self._all_ended = trio.Event()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration to every partition."""
        for runner in self._runners.values():
            runner.configure(configuration)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until ``stop`` is called, then finish storing and answering pending requests."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._server.run, listeners)
            for partition in self._runners:
                nursery.start_soon(self._run_while_owned, partition)

    def stop(self) -> None:
        """Stop accepting requests. ``run`` returns once pending requests are stored and answered."""
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
                with trio.move_on_after(_OWNERSHIP_CHECK_SECONDS):
                    await self._rights.changed()


def _partition_plans(settings: PlannerSettings) -> list[PartitionPlan]:
    return [
        PartitionPlan(
            partition_id(BATCH_REGION, number),
            settings.regions,
            _POLICIES[settings.policy],
            number,
            settings.partitions,
            settings.rules,
            settings.pace,
        )
        for number in range(settings.partitions)
    ]
