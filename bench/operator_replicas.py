"""Measures the cost of distributing the operator's configuration to a fleet.

Run ``python -m bench.operator_replicas``. The fleet runs on the stand-in platform with a virtual
clock. Half of the instances are in another region than the store, in three failure domains. For
each fleet size it prints the calls to the store and the bytes between the regions while nothing
changes, and the bytes and time of one change of a large configuration.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import trio

from fireflyfork._ids import ServiceName
from fireflyfork.decisions.jobs import QueueTable
from fireflyfork.programs._announcements import Announcements
from fireflyfork_standins.scheduling import (
    History,
    RegionProfile,
    RouteChange,
    StandInStore,
    run_deterministically,
)
from fireflyfork_standins.scheduling._nodes import PROCESSORS, VirtualClock
from fireflyfork_standins.scheduling._regions import RegionMap, instance_name

SIZES = (6, 43, 97, 300)
ROUTES = 1640
LINK_MBPS = 30.0
BOUND_SECONDS = 4.0
SETTLE_SECONDS = 40.0
QUIET_SECONDS = 60.0
CHANGE_SECONDS = 10.0
CHECK_SECONDS = 0.05
SEED = 1


@dataclass(slots=True)
class Costs:
    """The costs of a fleet of one size."""

    instances: int
    calls_per_second: float = 0.0
    quiet_bytes_per_second: float = 0.0
    """Bytes per second between the regions, in both directions."""
    change_bytes: int = 0
    change_seconds: float = 0.0
    """Seconds until the change is in force on all instances."""


class _Fleet:
    def __init__(self, instances: int) -> None:
        far = instances // 2
        profile = RegionProfile(
            link_mbps=LINK_MBPS,
            far_instances=far,
            far_domains=min(3, far),
            far_executors=0,
            changes=(RouteChange(0.0, ROUTES),),
        )
        self._costs = Costs(instances)
        self._map = RegionMap(profile, instances, 0)
        self._store = StandInStore(Random(SEED))
        operator = self._map.operator(self._store, ServiceName("desk"), History())
        assert operator is not None
        self._operator = operator
        self._latest = 0.0
        self._in_force = 0

    async def run(self) -> Costs:
        """Run the fleet and return its costs."""
        assert self._map.link is not None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._store.run)
            nursery.start_soon(self._map.link.run)
            self._operator.begin()
            for number in range(self._costs.instances):
                self._start(number, nursery)
            await trio.sleep(SETTLE_SECONDS)
            await self._measure_quiet()
            await self._measure_change()
            nursery.cancel_scope.cancel()
        return self._costs

    def _start(self, number: int, nursery: trio.Nursery) -> None:
        site = self._map.site(number, BOUND_SECONDS)
        assert site is not None
        clock, node = VirtualClock(), instance_name(number)
        client = site.store(self._store.client(node))
        announcements = Announcements(
            node,
            PROCESSORS,
            1000.0,
            client,
            clock,
            site.failure_domain,
            replica_address=site.replica,
        )
        source = site.make_source(
            client, clock, self._note_in_force, announcements, trio.lowlevel.checkpoint
        )
        nursery.start_soon(announcements.run)
        nursery.start_soon(source.run)

    def _note_in_force(self, _: QueueTable) -> None:
        self._latest = trio.current_time()
        self._in_force += 1

    async def _measure_quiet(self) -> None:
        calls, crossed = self._store.calls, self._crossed()
        await trio.sleep(QUIET_SECONDS)
        self._costs.calls_per_second = (self._store.calls - calls) / QUIET_SECONDS
        self._costs.quiet_bytes_per_second = (self._crossed() - crossed) / QUIET_SECONDS

    async def _measure_change(self) -> None:
        self._in_force = 0
        begun, crossed = trio.current_time(), self._crossed()
        await self._operator.run()
        with trio.fail_after(CHANGE_SECONDS):
            while self._in_force < self._costs.instances:
                await trio.sleep(CHECK_SECONDS)
        self._costs.change_seconds = self._latest - begun
        self._costs.change_bytes = self._crossed() - crossed

    def _crossed(self) -> int:
        assert self._map.link is not None
        return sum(self._map.link.crossed.values())


def main() -> None:
    """Print a line per fleet size."""
    print("instances  calls/s  quiet KB/s  change KB  change s")
    for instances in SIZES:
        costs = run_deterministically(SEED, _Fleet(instances).run)
        print(
            f"{costs.instances:9}  {costs.calls_per_second:7.1f}  {costs.quiet_bytes_per_second / 1e3:10.2f}"
            f"  {costs.change_bytes / 1e3:9.1f}  {costs.change_seconds:8.3f}"
        )


if __name__ == "__main__":
    main()
