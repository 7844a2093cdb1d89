"""The simulated platform on loopback sockets, for schedulers that run as processes."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random

import msgspec
import trio

from fireflyfork._ids import ExecutorId, NodeName, ServiceName, TaskName
from fireflyfork._links import Address
from fireflyfork.adapters import ANY_INCARNATION, ExecutorEndpoint, HttpHandler, HttpServer, listen
from fireflyfork.decisions.jobs import ExecutorRoom
from fireflyfork.platform import CONFIGURATION_KEY

from ._advisor import AdvisorProfile, StandInAdvisor
from ._executor_calls import StandInExecutorCalls
from ._executors import StandInExecutor
from ._history import History
from ._store import StandInStore
from ._wire_advisor import AdvisorHttpHandler
from ._wire_executor import ExecutorHttpHandler
from ._wire_store import StoreHttpHandler

HOST = "127.0.0.1"
SERVICE = ServiceName("desk")
QUEUE_HOST, QUEUE_PREFIX = "desk.example", "/holds/"
ANY_INSTANCE = NodeName("everybody")
"""Placeholder for the calling instance, as calls over loopback don't identify it."""


@dataclass(frozen=True, slots=True)
class WireLayout:
    """The ports of the platform and of the scheduler's instances."""

    first_port: int
    """Port of the store. The next ports are one for each executor, then five for each instance of the
    scheduler."""
    executors: int = 4
    instances: int = 2
    has_advisor: bool = False
    """Whether there is an advisor, with a port for each instance after all other ports. The advisor
    distinguishes the instances by their ports, since all of them have the same address."""

    @property
    def store(self) -> Address:
        """The address of the store."""
        return Address(HOST, self.first_port)

    def executor(self, number: int) -> Address:
        """Return the address of an executor."""
        return Address(HOST, self.first_port + 1 + number)

    def caller(self, number: int) -> Address:
        """Return the address at which an instance of the scheduler serves callers."""
        return Address(HOST, self._base(number))

    def readiness(self, number: int) -> Address:
        """Return the address at which an instance reports its readiness."""
        return Address(HOST, self._base(number) + 1)

    def advisor(self, number: int) -> Address:
        """Return the address at which an instance reaches the advisor."""
        return Address(HOST, self._base(self.instances) + number)

    def settings(self, number: int) -> str:
        """Return the text of the settings file of an instance."""
        base = self._base(number)
        return "\n".join(
            (
                f"node_name=edge-{number}",
                "zone=suva",
                "region=viti",
                "zones.suva=viti",
                f"listen.front={HOST}:{base}",
                f"listen.readiness={HOST}:{base + 1}",
                f"port_range={base + 2},{base + 4}",
                "bounds.max_hold_ms=6000",
                "bounds.stop_timeout_ms=200",
                "limits.cpu_share=1.0",
                "limits.cores=1",
                "limits.link_mbps=1000.0",
                "bounds.grace_s=6",
                "bounds.status_s=120",
                "bounds.config_apply_ms=2500",
                "bounds.drain_ms=2500",
                f"platform.address={self.store}",
                *((f"advice={self.advisor(number)}",) if self.has_advisor else ()),
                "",
            )
        )

    def _base(self, number: int) -> int:
        return self.first_port + 1 + self.executors + 5 * number


class WirePlatform:
    """The store and the executors, served over HTTP."""

    def __init__(
        self, layout: WireLayout, random: Random, advisor: AdvisorProfile | None = None
    ) -> None:
        """Create the store, the executors and the advisor, if any; ``run`` serves them."""
        self.history = History()
        self._executors: dict[ExecutorId, StandInExecutor] = {}
        self.advisor = None if advisor is None else self._make_advisor(advisor, random)
        self.store = StandInStore(random)
        self._layout = layout
        self._random = random
        self._version = 0
        for number in range(layout.executors):
            name = ExecutorId(f"i-{number}")
            self._executors[name] = StandInExecutor(
                name,
                SERVICE,
                ExecutorRoom(8000, 16000, 0),
                self.store,
                self.history,
                random,
                layout.executor(number),
                ticket_check=self._has_ticket,
            )

    async def run(self, nursery: trio.Nursery) -> None:
        """Serve in ``nursery``. Returns when all sockets listen."""
        await self._serve(nursery, StoreHttpHandler(self.store, ANY_INSTANCE), self._layout.store)
        nursery.start_soon(self.store.run)
        calls = StandInExecutorCalls(ANY_INSTANCE, self._executors, nursery, self._random)
        for number, (name, executor) in enumerate(self._executors.items()):
            place = ExecutorEndpoint(name, self._layout.executor(number), ANY_INCARNATION)
            executor_handler = ExecutorHttpHandler(calls, place, partial(_incarnation_of, executor))
            await self._serve(nursery, executor_handler, place.address)
            nursery.start_soon(executor.run)
        if self.advisor is not None:
            for number in range(self._layout.instances):
                node = NodeName(f"edge-{number}")
                handler = AdvisorHttpHandler(node, self.advisor, nursery)
                await self._serve(nursery, handler, self._layout.advisor(number))
        self.configure()

    def configure(self, has_queue: bool = True, priority: int = 0) -> None:
        """Store a new version of the configuration, which has one more route than the last.

        Without ``has_queue`` it lacks the route of the callers; otherwise this has ``priority``.
        """
        self._version += 1
        routes = [
            *([_route(priority, self.advisor)] if has_queue else ()),
            *map(_further_route, range(2, self._version + 1)),
        ]
        self.store.put(CONFIGURATION_KEY, _configuration(self._version, routes))

    def _make_advisor(self, profile: AdvisorProfile, random: Random) -> StandInAdvisor:
        return StandInAdvisor(profile, random, self._executors)

    def _has_ticket(self, executor: ExecutorId, task: TaskName, ticket: str) -> bool:
        return self.advisor is None or self.advisor.is_valid(executor, task, ticket)

    @property
    def executors(self) -> dict[ExecutorId, StandInExecutor]:
        """The executors by id."""
        return self._executors

    @staticmethod
    async def _serve(nursery: trio.Nursery, handler: HttpHandler, address: Address) -> None:
        listeners = await listen(address.host, address.port)
        nursery.start_soon(HttpServer(handler).run, listeners)


def _incarnation_of(executor: StandInExecutor) -> int:
    return executor.incarnation


def _configuration(version: int, routes: list[dict[str, object]]) -> bytes:
    return msgspec.json.encode(
        {"version": version, "routes": routes, "services": [{"name": SERVICE}], "limits": {}}
    )


def _route(priority: int, advisor: StandInAdvisor | None) -> dict[str, object]:
    route: dict[str, object] = {
        "name": "holds",
        "host": QUEUE_HOST,
        "path_prefix": QUEUE_PREFIX,
        "service": SERVICE,
        "priority": priority,
        "attempts": 3,
        "stretch_factor": 2.0,
        "target_latency_ms": 1000,
        "timeout_ms": 3000,
    }
    if advisor is not None:
        route["advice"] = _advice(advisor.profile)
    return route


def _further_route(number: int) -> dict[str, object]:
    return {
        "name": f"holds-{number}",
        "host": QUEUE_HOST,
        "path_prefix": f"/holds-{number}/",
        "service": SERVICE,
        "attempts": 3,
    }


def _advice(profile: AdvisorProfile) -> dict[str, int]:
    return {
        "decision_ms": round(1000 * profile.decision_seconds),
        "each_ms": round(1000 * profile.executor_seconds),
        "valid_ms": round(1000 * profile.valid_seconds),
    }
