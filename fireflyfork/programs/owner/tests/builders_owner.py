"""Fixture that runs an owner against the stand-in store and executors."""

from __future__ import annotations

from random import Random

import trio

from fireflyfork_standins.scheduling import History, StandInExecutor, StandInMachines, StandInStore
from fireflyfork_standins.scheduling._executor_calls import StandInExecutorCalls
from fireflyfork_standins.scheduling._nodes import VirtualClock

from ...._ids import ExecutorId, FailureDomainName, LeaseId, NodeName
from ....adapters import ExecutorCalls, LoopTime, MachineCalls, NoAdvisor, Put
from ....decisions.jobs import ExecutorRoom, JobSpec, encode_job
from ....decisions.jobs.tests.builders_jobs import SERVICE, table
from ....platform import PlatformBounds
from ..._announcements import Announcements
from ..._external_clients import ExternalClients
from ..._metrics import Metrics
from ..._scheduling_keys import job_key, owner_key
from .._operator_requests import OperatorRequests
from .._service_lease import Term
from .._service_owner import ServiceOwner

NODE = NodeName("n-0")
EXECUTOR = ExecutorId("i-0")
BOUNDS = PlatformBounds(6.0, 0.2, 6.0, 120.0, 2.5)


def create_owner(
    term: Term,
    node: NodeName,
    store: StandInStore,
    calls: ExecutorCalls,
    machines: MachineCalls,
    requests: OperatorRequests,
) -> ServiceOwner:
    """Return an owner that makes its calls to stand-ins."""
    client, clock = store.client(node), VirtualClock()
    return ServiceOwner(
        term,
        node,
        ExternalClients(client, calls, NoAdvisor(), machines, LoopTime(), lambda: calls),
        clock,
        Metrics(),
        BOUNDS,
        requests,
        Announcements(node, 1.0, 1000.0, client, clock),
    )


class OwnerFixture:
    """A store, executors, and an owner at the start of its term."""

    def __init__(self, nursery: trio.Nursery, executor_count: int = 1) -> None:
        """Create the parts without starting them; delayed orders are executed in ``nursery``."""
        random = Random(1)
        self.evacuated_domains: frozenset[FailureDomainName] = frozenset()
        self.history = History()
        self.store = StandInStore(random)
        room = ExecutorRoom(8000, 16000, 0)
        names = [EXECUTOR, *(ExecutorId(f"i-{number}") for number in range(1, executor_count))]
        self.executors = {
            name: StandInExecutor(name, SERVICE, room, self.store, self.history, Random(1))
            for name in names
        }
        self.executor = self.executors[EXECUTOR]
        machines = StandInMachines(SERVICE, self.executors, self.history, random)
        calls = StandInExecutorCalls(NODE, self.executors, nursery, random)
        revision = self.store.apply({}, (Put(owner_key(SERVICE), b"n-0"),), ())
        self.owner = create_owner(
            Term(SERVICE, 1, LeaseId(0), revision),
            NODE,
            self.store,
            calls,
            machines.client(nursery),
            OperatorRequests(table, evacuated_domains=lambda: self.evacuated_domains),
        )

    def replace_owner(self) -> None:
        """End the ownership and give it to another instance."""
        self.store.remove(owner_key(SERVICE))
        self.store.put(owner_key(SERVICE), b"n-1")

    def accept_job(self, spec: JobSpec) -> None:
        """Store an accepted job of a caller."""
        self.history.jobs[spec.job] = spec
        self.store.put(job_key(spec.job), encode_job(spec))
