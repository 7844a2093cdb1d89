"""Fixture with two services, each with executors and an owner, and queues that move between them."""

from __future__ import annotations

from random import Random

import trio

from fireflyfork_standins.scheduling import History, StandInExecutor, StandInMachines, StandInStore
from fireflyfork_standins.scheduling._executor_calls import StandInExecutorCalls
from fireflyfork_standins.scheduling._nodes import VirtualClock

from ...._ids import ConfigurationVersion, ExecutorId, JobId, LeaseId, NodeName, ServiceName
from ....adapters import Put
from ....decisions.jobs import ExecutorRoom, JobSpec, QueueTable, StepSpec, encode_job, queue_table
from ....decisions.jobs.tests.builders_jobs import job, queue
from ..._scheduling_keys import cancel_key, job_key, owner_key, pending_key
from ...callers._job_requests import JobRequests
from .._operator_requests import OperatorRequests
from .._service_lease import Term
from .._service_owner import ServiceOwner
from .builders_owner import BOUNDS, create_owner

DESK, ANNEX = ServiceName("desk"), ServiceName("annex")
CONFIGURATION_SECONDS = BOUNDS.configuration_delay
CALLER = NodeName("n-caller")


class Service:
    """One service: its executors, and the instance that owns it."""

    def __init__(self, name: ServiceName, services: Services, executors: int) -> None:
        """Create the executors without starting them."""
        self.name = name
        self.node = NodeName(f"n-{name}")
        self.queues = services.queues
        """The configuration that the instance has in force."""
        self.owner: ServiceOwner | None = None
        self._services = services
        self._terms = 0
        self._scope = trio.CancelScope()
        room = ExecutorRoom(8000, 16000, 0)
        names = [ExecutorId(f"i-{name}-{number}") for number in range(executors)]
        self.executors = {
            executor: StandInExecutor(
                executor, name, room, services.store, services.history, Random(1), fail_share=0.0
            )
            for executor in names
        }

    def configure(self, queues: QueueTable) -> None:
        """Put a configuration in force on the instance."""
        self.queues = queues
        if self.owner is not None:
            self.owner.configure(queues)

    async def run(self) -> None:
        """Run the executors, and one owner after the other."""
        async with trio.open_nursery() as nursery:
            for executor in self.executors.values():
                nursery.start_soon(executor.run)
            await trio.sleep(0.1)
            while True:
                with trio.CancelScope() as self._scope:
                    await self._run_owner()

    def replace_owner(self) -> None:
        """Kill the owner; its successor recovers."""
        self._scope.cancel()

    async def _run_owner(self) -> None:
        store, random = self._services.store, Random(1)
        store.remove(owner_key(self.name))
        self._terms += 1
        revision = store.apply({}, (Put(owner_key(self.name), self.node.encode("ascii")),), ())
        async with trio.open_nursery() as nursery:
            calls = StandInExecutorCalls(self.node, self.executors, nursery, random)
            machines = StandInMachines(self.name, self.executors, self._services.history, random)
            self.owner = create_owner(
                Term(self.name, self._terms, LeaseId(0), revision),
                self.node,
                store,
                calls,
                machines.client(nursery),
                OperatorRequests(lambda: self.queues),
            )
            await self.owner.run()


class Services:
    """Two services, and callers that don't fail."""

    def __init__(self, seed: int = 1, executors: int = 1) -> None:
        """Create a store in which ``queue`` belongs to the first service."""
        self.store = StandInStore(Random(seed))
        self.history = History()
        self.version = 0
        self.queues = self._next_queues(DESK)
        self.desk, self.annex = (Service(name, self, executors) for name in (DESK, ANNEX))
        self.requests = JobRequests(self.store.client(CALLER), lambda: None)
        self._jobs = 0

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.store.run)
            nursery.start_soon(self.desk.run)
            nursery.start_soon(self.annex.run)

    def move_queue(self, service: ServiceName) -> None:
        """Store a configuration that sends the queue to a service; ``configure`` puts it in force."""
        self.queues = self._next_queues(service)

    def configure(self) -> None:
        """Put the newest configuration in force on both instances."""
        self.desk.configure(self.queues)
        self.annex.configure(self.queues)

    def submit(self, *steps: StepSpec) -> JobId:
        """Store a job as an instance with the newest configuration accepts it."""
        (rerouted,) = self.queues.queues
        name = f"{self._jobs:016x}"
        self._jobs += 1
        spec = job(
            name,
            *steps,
            service=rerouted.service,
            queue_terms=rerouted.terms,
            accepted_ms=VirtualClock().unix_ms(),
        )
        self.history.jobs[spec.job] = spec
        self.store.put(job_key(spec.job), encode_job(spec))
        return spec.job

    def cancel(self, name: JobId) -> None:
        """Store a cancellation."""
        self.history.cancelling.add(name)
        self.history.cancelled[name] = trio.current_time()
        self.store.put(cancel_key(name), b"")

    async def pending(self) -> int:
        """Return the number of jobs of the queue that wait, as callers are told."""
        return await self.requests.pending(self.queues.queues[0])

    def counted(self, service: ServiceName) -> bytes:
        """Return the counts that the owner of one service has stored."""
        item = self.store.get(pending_key(service))
        return item.value if item is not None else b""

    @property
    def jobs(self) -> dict[JobId, JobSpec]:
        """All jobs that were submitted."""
        return self.history.jobs

    def _next_queues(self, service: ServiceName) -> QueueTable:
        self.version += 1
        version = ConfigurationVersion(self.version)
        moved = queue(service=service, version=version, attempts=9)
        return queue_table(version, (moved,), frozenset({DESK, ANNEX}))
