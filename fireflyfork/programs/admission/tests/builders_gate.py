"""Builds an instance's gate beside a stand-in store that holds the owner's figures."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ...._ids import NodeName
from ....decisions.jobs import AdmissionSettings
from ....decisions.jobs.admission import WorkFigures, encode_figures
from ....decisions.jobs.admission.tests.builders_admission import LARGE, figures_of, large_job
from ....decisions.jobs.tests.builders_jobs import START_MS
from ..._clocks import Clock
from ..._metrics import Metrics
from ..._scheduling_keys import work_ahead_key
from ...callers._job_requests import JobRequests
from .. import SubmissionGate

NODE = NodeName("n-0")
OWNER = NodeName("n-1")
SETTINGS = AdmissionSettings(enabled=True, retry_after_outages=True)
PRESSED = figures_of((40, large_job(900)))
"""More work than can be done while a large job is of use."""

Body = Callable[[StandInStore, SubmissionGate], Awaitable[None]]


class VirtualClock(Clock):
    """A clock that follows trio's."""

    def now(self) -> float:
        """See Clock."""
        return trio.current_time()

    def unix_ms(self) -> int:
        """See Clock."""
        return START_MS + int(trio.current_time() * 1000)


def put_figures(store: StandInStore, figures: WorkFigures) -> None:
    """Store figures as an owner does."""
    store.put(work_ahead_key(LARGE.service), encode_figures(figures))


def play(body: Body, settings: AdmissionSettings = SETTINGS) -> None:
    """Run ``body`` beside a store and a gate that has seen no request yet."""

    async def main() -> None:
        store = StandInStore(Random(1))
        client = store.client(NODE)
        requests = JobRequests(client, lambda: None)
        gate = SubmissionGate(
            settings, requests.submit, client, VirtualClock(), Metrics(), lambda: False
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            nursery.start_soon(gate.run)
            await body(store, gate)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
