"""Whoever else writes during a day: the operator, other programs, and callers of unusual jobs.

They draw from a generator of their own, so that a seed plays the same day with and without them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from itertools import cycle
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from fireflyfork._ids import ConfigurationVersion, ExecutorId, ServiceName
from fireflyfork.decisions.jobs import QueueConfiguration, QueueTable, StepSpec, queue_table
from fireflyfork.platform import REGISTRATION_PREFIX

from ._executors import FAILURE_DOMAIN, StandInExecutor
from ._store import StandInStore

if TYPE_CHECKING:
    from ._nodes import StandInNode

CHANGE_SECONDS = 1.5
"""Mean interval of changes of the configuration."""
ENTRY_SECONDS = 0.8
"""Mean interval of entries of another writer."""
KIND_SECONDS = 2.0
"""Mean interval of restarts as another kind."""
KINDS = ("a", "b")
LABELLED_SHARE = 0.4
HEARTBEAT_SECONDS = 1.5
REMOVED_SHARE = 0.4
"""Share of the versions of the configuration that lack the route."""
FOREIGN_ADDRESSES = (
    "[::1%r\u00e9seau]:8080",
    "[::1%" + "x" * 70 + "]:8080",
    "[::1%eth\x000]:8080",
    "[::1]:9",
    "[::]:9",
    "0.0.0.0:9",
    "127.0.0.1:9",
    "127.0.0.1:+9",
    "localhost:9",
    "",
)
"""Addresses of entries. They lead nowhere, or to a port on loopback on which nobody listens."""
FOREIGN_FIELDS: tuple[dict[str, object], ...] = (
    {},
    {"state": "asleep"},
    {"room": {}},
    {"room": {"cpu": 2**60, "mem_mb": -1}},
    {"born": "yesterday"},
    {"labels": [1, None]},
    {"zone": None},
    {"capacity": "many"},
)
FOREIGN_NAMES = ("x-0", "x-1", "x\u00e9", "x y", "")


class FurtherWriters:
    """Writes entries among the executors, and reduces steps to what they need."""

    def __init__(self, random: Random, store: StandInStore, service: ServiceName) -> None:
        """Draw from ``random``; nothing is written yet."""
        self._random = random
        self._store = store
        self._service = service

    async def write_entries(self, seconds: float) -> None:
        """Write and remove entries under the prefix of the executors, none of which is one."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(1 / ENTRY_SECONDS))
            key = f"{REGISTRATION_PREFIX}{self._random.choice(FOREIGN_NAMES)}"
            if self._random.random() < 0.3:
                self._store.remove(key)
            else:
                self._store.put(key, self._entry())
        for name in FOREIGN_NAMES:
            self._store.remove(f"{REGISTRATION_PREFIX}{name}")

    def _entry(self) -> bytes:
        entry: dict[str, object] = {
            "service": self._service,
            "address": self._random.choice(FOREIGN_ADDRESSES),
            "zone": FAILURE_DOMAIN,
            "state": "ready",
            "room": {"cpu": 8000, "mem_mb": 16000},
            "labels": ["a"],
            "born": 1_700_000_000_000,
            **self._random.choice(FOREIGN_FIELDS),
        }
        return msgspec.json.encode(entry)

    def reduced(self, step: StepSpec) -> StepSpec:
        """Return a step that may request nothing of some kinds, or share an image with others."""
        draw = self._random.random
        return replace(
            step,
            cpu_millis=0 if draw() < 0.4 else step.cpu_millis,
            memory_mb=0 if draw() < 0.3 else step.memory_mb,
            image=self._random.choice(("", "", "letters")),
            speculative=False,
            uses_leftover_cpu=step.uses_leftover_cpu or (not step.long_running and draw() < 0.2),
        )


class KindChanges:
    """Executors that crash and come back as another kind, and steps that require a kind.

    A new incarnation answers calls at once, and its registration comes up to a heartbeat later.
    """

    def __init__(self, random: Random, executors: Mapping[ExecutorId, StandInExecutor]) -> None:
        """Give every second executor the other kind."""
        self._random = random
        self._executors = executors
        self._last_kinds = dict(zip(executors, cycle(KINDS), strict=False))
        """The kind that each executor has at the beginning and in the end."""
        for name, kind in self._last_kinds.items():
            executors[name].kind = kind

    def labelled(self, step: StepSpec, executor: ExecutorId | None = None) -> StepSpec:
        """Return a step that may require a kind: the last one of ``executor``, or any."""
        if self._random.random() >= LABELLED_SHARE:
            return step
        kind = self._random.choice(KINDS) if executor is None else self._last_kinds[executor]
        return replace(step, required_label=kind)

    async def run(self, seconds: float) -> None:
        """Restart executors for a time. At the end both kinds are there."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(1 / KIND_SECONDS))
            executor = self._random.choice(tuple(self._executors.values()))
            await self._restart_as(executor, self._random.choice(KINDS))
        for name, kind in self._last_kinds.items():
            while self._executors[name].kind != kind:
                await self._restart_as(self._executors[name], kind)
                await trio.sleep(0.1)

    async def _restart_as(self, executor: StandInExecutor, kind: str) -> None:
        """Restart an executor as a kind, unless another trouble has it down."""
        if not executor.up:
            return
        executor.crash()
        await trio.sleep(self._random.uniform(0.05, 1.0))
        if executor.up:
            return
        executor.kind = kind
        executor.restart(registers=False)
        await trio.sleep(self._random.uniform(0.0, HEARTBEAT_SECONDS))
        if executor.up:
            executor.register()


class RouteChanges:
    """The operator of a day, who removes the route, adds it again, and changes its priority."""

    def __init__(self, random: Random, service: ServiceName, queue: QueueConfiguration) -> None:
        """Begin with a configuration that has ``queue``."""
        self._random = random
        self._service = service
        self.queue = queue
        """The queue as it was last configured."""
        self.table = self._table(1, (queue,))
        """The configuration in force."""

    async def run(self, nodes: Iterable[StandInNode], seconds: float) -> None:
        """Change the configuration for a time, and add the route again at the end."""
        nodes = tuple(nodes)
        end = trio.current_time() + seconds
        version = 1
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(1 / CHANGE_SECONDS))
            version += 1
            is_removed = self._random.random() < REMOVED_SHARE
            self._configure(nodes, version, has_queue=not is_removed)
        self._configure(nodes, version + 1, has_queue=True)

    def _configure(self, nodes: Iterable[StandInNode], version: int, has_queue: bool) -> None:
        if has_queue:
            priority = self._random.choice((0, 2))
            number = ConfigurationVersion(version)
            self.queue = replace(self.queue, priority=priority, version=number)
        self.table = self._table(version, (self.queue,) if has_queue else ())
        for node in nodes:
            node.configure(self.table)

    def _table(self, version: int, queues: tuple[QueueConfiguration, ...]) -> QueueTable:
        return queue_table(ConfigurationVersion(version), queues, frozenset({self._service}))
