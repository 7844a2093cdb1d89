"""One instance of the scheduler: serves callers' requests and owns the services that it wins."""

from __future__ import annotations

from functools import partial
from random import Random

import trio
from loguru import logger

from .._ids import ServiceName
from ..adapters import (
    Exchange,
    ExecutorCalls,
    HttpHandler,
    HttpServer,
    RelayServer,
    ReplicaServer,
    listen,
)
from ..decisions.jobs import QueueTable
from ..platform import READINESS_PATH, NodeSettings
from ._announcements import Announcements
from ._clocks import Clock
from ._external_clients import ExternalClients
from ._loop_report import LoopReport
from ._metrics import METRICS_TEXT, Metrics
from ._scheduler_metrics import EXECUTORS_WITHOUT_REGISTRATION
from .admission import create_gate
from .callers._job_requests import JobRequests
from .callers._job_service import JobService
from .containment._contained_calls import ContainedExecutorCalls
from .containment._unexpected_errors import UnexpectedErrors
from .owner._operator_requests import OperatorRequests
from .owner._release_through_peer import release_service
from .owner._service_candidate import ServiceCandidate
from .owner._service_owner import ServiceOwner
from .replicas._announced_upstreams import AnnouncedUpstreams
from .replicas._queue_keeper import QueueKeeper

NOTICE_SECONDS = 2.5
"""Minimum time between failing the readiness check and closing callers' connections.

The load balancer sends no new connections after two failed checks, which are a second apart."""
CLOSE_MARGIN_SECONDS = 1.2
"""Time before the platform kills the process at which requests of callers are no longer started."""
LAST_REQUESTS_SECONDS = CLOSE_MARGIN_SECONDS / 4
"""Time for the requests in progress at that point.

A healthy store answers within a sixth of it, also from another region."""
LAST_ANSWERS_SECONDS = CLOSE_MARGIN_SECONDS / 4
"""Time to send the answers to requests that were given up. The rest of the margin is reserve for a
slow machine."""


class _Readiness(HttpHandler):
    def __init__(self, node: SchedulerNode) -> None:
        self._node = node

    async def handle(self, exchange: Exchange) -> None:
        is_readiness_path = exchange.head.target.partition("?")[0] == READINESS_PATH
        await exchange.answer((200 if self._node.ready else 503) if is_readiness_path else 404, b"")


class _MetricsPage(HttpHandler):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        await exchange.answer(200, self._metrics.text().encode("utf-8"), (METRICS_TEXT,))


class SchedulerNode:
    """Connects and runs all parts of one instance."""

    def __init__(
        self,
        settings: NodeSettings,
        clients: ExternalClients,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create and connect all parts; ``run`` starts them."""
        self._settings = settings
        self._store = clients.store
        self._external_clients = clients
        self._clock = clock
        self._random = random
        self._metrics = Metrics()
        self._errors = UnexpectedErrors(self._metrics)
        self._announcements = Announcements(
            settings.node,
            settings.processors,
            settings.link_mbps,
            self._store,
            clock,
            settings.failure_domain,
            settings.relay_address,
            settings.replica_address,
        )
        self._keeper = QueueKeeper(
            settings.node,
            self._store,
            self._apply_configuration,
            settings.bounds.configuration_delay,
            clock.now,
            AnnouncedUpstreams(self._announcements),
            clients.replica_peers,
        )
        self._relay = RelayServer(
            self._relay_calls,
            release=partial(release_service, clients.store),
            on_error=partial(self._errors.report, "relay"),
        )
        self._report = LoopReport(
            clients.loop_profile,
            lambda: clients.loop_time.lag,
            clients.store,
            clients.relay_traffic,
            self._metrics,
        )
        self._metrics.gauge(
            "fireflyfork_evacuated_failure_domains",
            lambda: len(self._keeper.evacuated_domains),
        )
        self._metrics.gauge(
            EXECUTORS_WITHOUT_REGISTRATION,
            lambda: sum(
                owner.scheduler.executors_without_registration(clock.now())
                for owner in self._owners()
            ),
        )
        self._candidates: dict[ServiceName, ServiceCandidate] = {}
        self._nursery: trio.Nursery | None = None
        self._stopping = False
        admission = settings.policies.admission
        requests = JobRequests(
            self._store, self._job_changed, not admission.retry_after_outages, clock.now
        )
        self._gate = create_gate(
            admission,
            requests.submit,
            self._store,
            clock,
            self._metrics,
            lambda: self._keeper.is_current,
        )
        self._job_service = JobService(
            requests,
            clock,
            self._metrics,
            lambda: self._keeper.table,
            lambda: self._keeper.is_current,
            self._gate,
        )
        self._callers = self._make_server("callers", self._job_service)
        self._readiness = self._make_server("readiness", _Readiness(self))

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections to this instance."""
        return not self._stopping and self._keeper.table is not None and self._store.is_responsive

    async def run(self, stop: trio.Event) -> None:
        """Serve until ``stop`` is set, then end gracefully."""
        caller_address, readiness_address = (
            self._settings.caller_address,
            self._settings.readiness_address,
        )
        metrics_address = self._settings.metrics_address
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(
                self._callers.run, await listen(caller_address.host, caller_address.port)
            )
            nursery.start_soon(
                self._readiness.run, await listen(readiness_address.host, readiness_address.port)
            )
            metrics_server = self._make_server("metrics", _MetricsPage(self._metrics))
            nursery.start_soon(
                metrics_server.run, await listen(metrics_address.host, metrics_address.port)
            )
            relay_address = self._settings.relay_address
            if relay_address is not None:
                nursery.start_soon(
                    self._relay.run, await listen(relay_address.host, relay_address.port)
                )
            replica_address = self._settings.replica_address
            if replica_address is not None:
                replica_server = ReplicaServer(
                    self._keeper.replica_source, on_error=partial(self._errors.report, "replica")
                )
                nursery.start_soon(
                    replica_server.run, await listen(replica_address.host, replica_address.port)
                )
            nursery.start_soon(self._errors.keep_running, "operator keys", self._keeper.run)
            nursery.start_soon(self._errors.keep_running, "announcements", self._announcements.run)
            nursery.start_soon(self._errors.keep_running, "loop report", self._report.run)
            if self._gate is not None:
                nursery.start_soon(self._errors.keep_running, "admission", self._gate.run)
            logger.info(
                "serving", callers=str(caller_address), failure_domain=self._settings.failure_domain
            )
            await stop.wait()
            await self._stop()
            nursery.cancel_scope.cancel()

    def _make_server(self, part: str, handler: HttpHandler) -> HttpServer:
        return HttpServer(handler, on_error=partial(self._errors.report, part))

    def _relay_calls(self) -> ExecutorCalls:
        return ContainedExecutorCalls(self._external_clients.relay_calls(), self._errors)

    async def _stop(self) -> None:
        started_at = self._clock.now()
        logger.info(
            "stopping", owned=sorted(name for name, each in self._candidates.items() if each.owner)
        )
        self._stopping = True
        self._relay.announce_stop()
        async with trio.open_nursery() as nursery:
            for candidate in self._candidates.values():
                nursery.start_soon(candidate.stop)
        await trio.sleep(max(0.0, NOTICE_SECONDS - (self._clock.now() - started_at)))
        self._callers.announce_stop()
        accepting_seconds = self._settings.bounds.termination_grace - CLOSE_MARGIN_SECONDS
        await trio.sleep(max(0.0, accepting_seconds - (self._clock.now() - started_at)))
        # Connections stay open during the wait: a new request on one is refused rather than cut
        # off.
        self._job_service.end_in(LAST_REQUESTS_SECONDS)
        await trio.sleep(LAST_REQUESTS_SECONDS)
        self._callers.stop()
        with trio.move_on_after(LAST_ANSWERS_SECONDS):
            await self._callers.wait_ended()
        logger.info("stopped", connections=self._callers.connection_count)

    def _apply_configuration(self, table: QueueTable) -> None:
        for owner in self._owners():
            owner.configure(table)
        for service in sorted(table.services):
            self._require_owner(service)

    def _require_owner(self, service: ServiceName) -> None:
        """Be a candidate for the ownership of a service from now on.

        Jobs of a service that the configuration doesn't name any more need an owner as well.
        """
        if service in self._candidates or self._nursery is None or self._stopping:
            return
        candidate = self._candidates[service] = self._create_candidate(service)
        self._nursery.start_soon(self._errors.keep_running, "candidate", candidate.run)

    def _job_changed(self) -> None:
        for owner in self._owners():
            owner.request_dispatch()

    def _owners(self) -> list[ServiceOwner]:
        candidates = self._candidates.values()
        return [owner for candidate in candidates if (owner := candidate.owner) is not None]

    def _create_candidate(self, service: ServiceName) -> ServiceCandidate:
        return ServiceCandidate(
            service,
            self._settings.node,
            self._external_clients,
            self._clock,
            self._random,
            self._metrics,
            self._settings.bounds,
            OperatorRequests(
                self._queues,
                lambda: self._keeper.waves,
                lambda: self._keeper.evacuated_domains,
                self._require_owner,
            ),
            self._announcements,
            self._settings.policies,
        )

    def _queues(self) -> QueueTable:
        table = self._keeper.table
        if table is None:
            raise RuntimeError("no configuration has been read yet")
        return table
