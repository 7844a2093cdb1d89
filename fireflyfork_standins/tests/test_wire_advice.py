"""Tests of the scheduler and a simulated advisor over real sockets, without virtual time."""

from __future__ import annotations

import os
import socket
import unittest
from functools import partial
from itertools import islice
from random import Random

import trio

from fireflyfork.adapters import LoopTime, NoMachines
from fireflyfork.platform import (
    PlatformAdvisor,
    PlatformExecutors,
    PlatformStore,
    parse_node_settings,
)
from fireflyfork.programs._clocks import SystemClock
from fireflyfork.programs._external_clients import ExternalClients
from fireflyfork.programs._scheduler_node import SchedulerNode
from fireflyfork_standins.scheduling import AdvisorProfile, WireCallers, WireLayout, WirePlatform
from fireflyfork_standins.scheduling.processes import wait_ready

FIRST_PORTS = range(25_000, 27_000, 20)
STUCK_SECONDS = 60.0
"""Limit that only ends a test that hangs."""
SCARCE_ADVISOR = AdvisorProfile(decision_seconds=0.15, executor_seconds=0.01)
SLOW_ADVISOR = AdvisorProfile(decision_seconds=2.2, executor_seconds=0.01)
BURST_JOBS = 40


def _free_layout() -> WireLayout:
    """Return a layout whose ports don't accept connections, so they are most likely unused."""
    # Test runs at the same time begin to search at different ports.
    begin = os.getpid() % len(FIRST_PORTS)
    firsts = (*FIRST_PORTS[begin:], *FIRST_PORTS[:begin])
    layouts = (WireLayout(first, instances=1, has_advisor=True) for first in firsts)
    free = (
        each for each in layouts if all(map(_is_free, range(each.first_port, each.first_port + 12)))
    )
    return next(islice(free, 1))


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


def _node(layout: WireLayout) -> SchedulerNode:
    settings = parse_node_settings(layout.settings(0))
    assert settings.advisor_address is not None
    store, loop_time = PlatformStore(settings.store_address), LoopTime()
    relay_calls = partial(PlatformExecutors, loop_time)
    advisor = PlatformAdvisor(settings.advisor_address)
    clients = ExternalClients(store, relay_calls(), advisor, NoMachines(), loop_time, relay_calls)
    return SchedulerNode(settings, clients, SystemClock(), Random(0))


async def _run(advisor: AdvisorProfile, jobs: int, per_second: float) -> WirePlatform:
    """Submit jobs to one instance and return the platform when all have ended."""
    layout = _free_layout()
    platform = WirePlatform(layout, Random(1), advisor)
    callers = WireCallers((layout.caller(0),), platform.history, Random(1))
    with trio.fail_after(STUCK_SECONDS):
        async with trio.open_nursery() as nursery:
            await platform.run(nursery)
            nursery.start_soon(_node(layout).run, trio.Event())
            await wait_ready(layout, 0)
            await callers.run(jobs, per_second)
            nursery.cancel_scope.cancel()
    return platform


class WireAdviceTest(unittest.TestCase):
    """Starts need tickets of an advisor, which handles one call at a time."""

    def test_the_advisor_answers_no_question_in_vain_after_a_burst(self) -> None:
        """Guards against calls that wait until they are given up, and are repeated for good."""
        platform = trio.run(_run, SCARCE_ADVISOR, BURST_JOBS, 20.0)
        self.assertEqual(platform.history.violations, [])
        assert platform.advisor is not None
        steps = sum(len(spec.steps) for spec in platform.history.jobs.values())
        self.assertLess(platform.advisor.counts["handled"], 2 * steps)
        self.assertEqual(platform.advisor.counts["rejected"], 0)

    def test_a_service_is_served_whose_calls_take_seconds(self) -> None:
        """Guards against a fixed timeout that is shorter than the stated cost of a call."""
        platform = trio.run(_run, SLOW_ADVISOR, 2, 1.0)
        self.assertEqual(platform.history.violations, [])
