"""``fireflyfork-scheduler``: schedules jobs on the executors of the platform.

Settings are read from the file that the platform names in the environment. ``FIREFLYFORK_POLICIES``
may name a file of JSON with comments that enables policies for heavy load.
"""

from __future__ import annotations

import os
import secrets
import signal
import sys
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random

import trio
from loguru import logger

from .._errors import SettingsError
from ..adapters import LoopTime, NoAdvisor, NoMachines, SocketReplicaPeers
from ..decisions.jobs import NO_POLICIES, PolicySettings
from ..platform import (
    NodeSettings,
    PlatformAdvisor,
    PlatformExecutors,
    PlatformMachines,
    PlatformStore,
    load_node_settings,
    settings_path,
)
from ._clocks import SystemClock
from ._external_clients import ExternalClients
from ._logs import configure_logs
from ._policy_file import load_policies
from ._scheduler_node import SchedulerNode

POLICIES_VARIABLE = "FIREFLYFORK_POLICIES"


async def run(settings: NodeSettings) -> None:
    """Serve until the platform requests a stop."""
    clock = SystemClock()
    random = Random(secrets.randbits(64))
    store = PlatformStore(settings.store_address)
    address = settings.advisor_address
    advisor = NoAdvisor() if address is None else PlatformAdvisor(address)
    address = settings.machines_address
    machines = NoMachines() if address is None else PlatformMachines(address)
    loop_time = LoopTime()
    relay_calls = partial(PlatformExecutors, loop_time)
    executors = relay_calls()
    clients = ExternalClients(
        store,
        executors,
        advisor,
        machines,
        loop_time,
        relay_calls,
        replica_peers=SocketReplicaPeers(loop_time),
    )
    node = SchedulerNode(settings, clients, clock, random)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, stop)
        await node.run(stop)
        nursery.cancel_scope.cancel()


async def _stop_on_signal(stop: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                logger.info("SIGHUP ignored: settings are only read at start")
                continue
            stop.set()


def _policies() -> PolicySettings:
    path = os.environ.get(POLICIES_VARIABLE)
    return load_policies(Path(path)) if path else NO_POLICIES


def main() -> None:
    """Start the program."""
    try:
        settings = replace(load_node_settings(settings_path()), policies=_policies())
    except SettingsError as error:
        sys.exit(f"fireflyfork-scheduler: {error}")
    configure_logs("INFO", {"node": settings.node}, sys.stdout)
    trio.run(run, settings)


if __name__ == "__main__":
    main()
