"""Tests of the scheduler and the simulated platform over real sockets, without virtual time."""

import os
import socket
import unittest
from functools import partial
from itertools import islice
from random import Random

import trio

from fireflyfork.adapters import HttpClient, LoopTime, NoAdvisor, NoMachines
from fireflyfork.platform import PlatformExecutors, PlatformStore, parse_node_settings
from fireflyfork.programs._clocks import SystemClock
from fireflyfork.programs._external_clients import ExternalClients
from fireflyfork.programs._scheduler_node import SchedulerNode
from fireflyfork_standins.scheduling import WireCallers, WireLayout, WirePlatform
from fireflyfork_standins.scheduling.processes import wait_ready

PORTS = range(31_000, 32_000, 20)
STUCK_SECONDS = 120.0
"""Limit that only ends a test that hangs."""


def _free_layout() -> WireLayout:
    """Return a layout whose ports don't accept connections, so they are most likely unused."""
    # Test runs at the same time begin to search at different ports.
    begin = os.getpid() % len(PORTS)
    firsts = (*PORTS[begin:], *PORTS[:begin])
    free = (WireLayout(first) for first in firsts if all(map(_is_free, range(first, first + 15))))
    return next(islice(free, 1))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


def _node(layout: WireLayout, number: int) -> SchedulerNode:
    settings = parse_node_settings(layout.settings(number))
    store = PlatformStore(settings.store_address)
    loop_time = LoopTime()
    relay_calls = partial(PlatformExecutors, loop_time)
    outside = ExternalClients(
        store, relay_calls(), NoAdvisor(), NoMachines(), loop_time, relay_calls
    )
    return SchedulerNode(settings, outside, SystemClock(), Random(number))


class WireTest(unittest.TestCase):
    """Callers use two instances over HTTP, which use the store and the executors over HTTP."""

    def test_jobs_end_and_bad_requests_are_refused(self) -> None:
        async def main() -> None:
            layout = _free_layout()
            platform = WirePlatform(layout, Random(1))
            fronts = tuple(layout.caller(number) for number in range(layout.instances))
            callers = WireCallers(fronts, platform.history, Random(1))
            stop = trio.Event()
            with trio.fail_after(STUCK_SECONDS):
                async with trio.open_nursery() as nursery:
                    await platform.run(nursery)
                    for number in range(layout.instances):
                        nursery.start_soon(_node(layout, number).run, stop)
                    for number in range(layout.instances):
                        await wait_ready(layout, number)
                    await callers.run(12, 20.0)
                    await self._refusals(layout)
                    nursery.cancel_scope.cancel()
            self.assertEqual(platform.history.violations, [])
            self.assertEqual(sum(callers.states.values()), 12)

        trio.run(main)

    async def _refusals(self, layout: WireLayout) -> None:
        client = HttpClient(layout.caller(0), 5.0)
        host = (b"host", b"desk.example")
        unknown = "/holds/00000000000000ff"
        for method, path, header, body, status in (
            ("GET", unknown, host, b"", 410),
            ("DELETE", unknown, host, b"", 410),
            ("GET", "/holds/", host, b"", 200),
            ("GET", "/holds/nonsense", host, b"", 404),
            ("POST", unknown, (b"host", b"other.example"), b"{}", 404),
            ("POST", unknown, host, b"{", 400),
            ("PUT", unknown, host, b"", 405),
        ):
            with self.subTest(method, path=path):
                head, _ = await client.call(method, path, (header,), body)
                self.assertEqual(head.status, status)
        client.close()
