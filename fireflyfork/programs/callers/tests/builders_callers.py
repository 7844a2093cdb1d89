"""Builders for an instance that answers callers from the configuration that it follows."""

from __future__ import annotations

from typing import cast

import h11
import msgspec
import trio

from fireflyfork_standins.scheduling import StandInStore

from ...._ids import NodeName
from ....adapters import Exchange, Header, RequestHead
from ....adapters._http_server import ServerConnection
from ..._clocks import SystemClock
from ..._metrics import Metrics
from ...replicas._queue_keeper import QueueKeeper
from .._job_requests import JobRequests
from .._job_service import JobService

HOST = "desk.example"
BOUND_SECONDS = 2.5
"""Maximum time from the store's acknowledgement of a configuration until it must be in force."""


class _Recorder:
    """Replaces a connection and records the status of the answer."""

    def __init__(self) -> None:
        self.status = 0

    async def send(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self.status = event.status_code


class CallerInstance:
    """The parts of an instance that answer callers, without a service owner."""

    def __init__(self, store: StandInStore, link_mbps: float) -> None:
        """Connect the instance to ``store`` over a link of ``link_mbps``."""
        client = store.client(NodeName("n-0"), link_mbps)
        self._keeper = QueueKeeper(
            NodeName("n-0"), client, lambda _: None, BOUND_SECONDS, trio.current_time
        )
        self._service = JobService(
            JobRequests(client, lambda: None),
            SystemClock(),
            Metrics(),
            lambda: self._keeper.table,
            lambda: self._keeper.is_current,
        )

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        await self._keeper.run()

    async def count(self, queue: str) -> int:
        """Request the number of waiting jobs of a queue and return the status of the answer."""
        host: Header = (b"host", HOST.encode("ascii"))
        recorder = _Recorder()
        head = RequestHead("GET", f"/{queue}/", (host,))
        await self._service.handle(Exchange(cast(ServerConnection, recorder), head))
        return recorder.status


def stored_configuration(version: int, *queues: str, padding: int = 0) -> bytes:
    """Return a configuration as the operator writes it, with ``padding`` additional bytes."""
    routes = [
        {"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": "desk"}
        for name in queues
    ]
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": "desk"}],
            "padding": "x" * padding,
        }
    )


async def request_statuses(instance: CallerInstance, queue: str, seconds: float) -> list[int]:
    """Request a queue ten times a second for ``seconds`` and return the statuses of the answers."""
    statuses = []
    for _ in range(round(seconds * 10)):
        statuses.append(await instance.count(queue))
        await trio.sleep(0.1)
    return statuses
