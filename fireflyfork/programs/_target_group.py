"""The targets of one service that this entry owns: their slots, and the requests waiting for one."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import trio

from .._contracts import ServiceContract, TargetContract
from .._errors import OverloadedError, RequestError
from .._ids import Epoch, PartitionId, RequestId, TargetId
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import HttpClientConnection, ServiceFigures
from ..decisions import (
    ConnectionId,
    ConnectionPool,
    ConnectionTerms,
    OwnTarget,
    SlotLedger,
    SlotRefusal,
    SlotTerms,
)

_FIRST_GUESS_SECONDS = 0.05
_LEARNING_RATE = 0.1
_BUSY_STATUS = 503


@dataclass(slots=True)
class OwnedTarget:
    """One executor that this entry owns, with its connections."""

    contract: TargetContract
    partition: PartitionId
    since: Epoch
    """When this member acquired the partition. If it lost and regained it, the ledger is stale."""
    ledger: SlotLedger
    pool: ConnectionPool
    newest: ConnectionId
    """The number of the connection opened last."""
    connections: dict[ConnectionId, HttpClientConnection] = field(default_factory=dict)
    """Idle connections by number."""

    def close_connections(self, numbers: tuple[ConnectionId, ...]) -> None:
        """Close these idle connections."""
        for number in numbers:
            connection = self.connections.pop(number, None)
            if connection is not None:
                connection.close()
                self.pool = self.pool.closed(number)
                self.ledger = self.ledger.close_connection()


class TargetGroup:
    """The owned targets of one service, and a bounded queue in front of them."""

    def __init__(self, contract: ServiceContract) -> None:
        """No targets yet."""
        self._contract = contract
        self._targets: dict[TargetId, OwnedTarget] = {}
        self._waiting: deque[trio.Event] = deque()
        self._run_seconds = _FIRST_GUESS_SECONDS

    @property
    def contract(self) -> ServiceContract:
        """The service's contract in force."""
        return self._contract

    @property
    def targets(self) -> dict[TargetId, OwnedTarget]:
        """The owned targets by id."""
        return self._targets

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return len(self._waiting)

    @property
    def drain_per_second(self) -> float:
        """Requests that the owned targets end in a second when all slots are busy."""
        slots = sum(target.contract.slots for target in self._targets.values())
        return slots / self._run_seconds

    @property
    def expected_run_seconds(self) -> float:
        """How long a request has lately taken at an executor."""
        return self._run_seconds

    def figures(self) -> ServiceFigures:
        """What peers are told."""
        free = sum(target.free_slots for target in self.own_targets())
        return ServiceFigures(free, self.queued, self.drain_per_second)

    def own_targets(self) -> Iterator[OwnTarget]:
        """The targets that could be given something, with their free slots."""
        now = trio.current_time()
        for target_id, target in self._targets.items():
            if not target.ledger.leaving:
                yield OwnTarget(target_id, target.ledger.free(now))

    def update_contract(self, contract: ServiceContract) -> None:
        """Put a changed contract in force for what comes next."""
        self._contract = contract
        for target in self._targets.values():
            terms = SlotTerms.from_contracts(target.contract, contract)
            target.ledger = target.ledger.with_terms(terms)

    def add(
        self, contract: TargetContract, partition: PartitionId, since: Epoch, ledger: SlotLedger
    ) -> None:
        """Begin to own a target."""
        terms = ConnectionTerms(silence_seconds=self._contract.longest_run_seconds)
        self._targets[contract.target_id] = OwnedTarget(
            contract, partition, since, ledger, ConnectionPool(terms), ConnectionId(0)
        )
        self.wake()

    def remove(self, target_id: TargetId) -> OwnedTarget:
        """Stop owning a target; what runs on it goes on."""
        target = self._targets.pop(target_id)
        target.close_connections(tuple(target.connections))
        return target

    async def acquire(self, request: ServiceRequest, attempt: RequestId) -> OwnedTarget:
        """Take a slot of the target with most free ones, waiting for it until the deadline.

        Raises OverloadedError at once when too many wait already or the deadline can't be made.
        """
        target = self._try_acquire(attempt)
        if target is not None:
            return target
        self._refuse_if_hopeless(request)
        with trio.move_on_at(request.deadline - self._run_seconds):
            while True:
                await self._wait_turn()
                target = self._try_acquire(attempt)
                if target is not None:
                    return target
        raise self._overloaded("no slot became free in time")

    def release(self, target: OwnedTarget, attempt: RequestId) -> None:
        """Free the slot of an attempt that has surely ended, and let the next request try."""
        target.ledger = target.ledger.release(attempt)
        self.wake()

    def ran(self, seconds: float) -> None:
        """Learn how long an executor took."""
        self._run_seconds += _LEARNING_RATE * (seconds - self._run_seconds)

    def wake(self) -> None:
        """Let the first waiting request try again."""
        if self._waiting:
            self._waiting[0].set()

    def _try_acquire(self, attempt: RequestId) -> OwnedTarget | None:
        now = trio.current_time()
        usable = [target for target in self._targets.values() if target.ledger.free(now) > 0]
        for target in sorted(usable, key=lambda target: -target.ledger.free(now)):
            taken = target.ledger.acquire(attempt, now)
            if not isinstance(taken, SlotRefusal):
                target.ledger = taken
                return target
        return None

    async def _wait_turn(self) -> None:
        turn = trio.Event()
        self._waiting.append(turn)
        try:
            with trio.move_on_after(self._seconds_to_next_expiry()):
                await turn.wait()
        finally:
            self._waiting.remove(turn)

    def _seconds_to_next_expiry(self) -> float:
        # A slot can also become free by time alone, which wakes nobody.
        now = trio.current_time()
        ends = [target.ledger.next_free_at(now) for target in self._targets.values()]
        return max(0.01, min(ends, default=now + 1.0) - now)

    def _refuse_if_hopeless(self, request: ServiceRequest) -> None:
        if not self._targets:
            raise RequestError(503, "no target of the service is here", Verdict.NOT_RUN, 1.0)
        if self.queued >= self._contract.longest_queue:
            raise self._overloaded("the queue is full")
        wait = (self.queued + 1) / self.drain_per_second
        if trio.current_time() + wait + self._run_seconds > request.deadline:
            raise self._overloaded("the deadline can't be made")

    def _overloaded(self, reason: str) -> OverloadedError:
        wait = (self.queued + 1) / self.drain_per_second if self._targets else 1.0
        return OverloadedError(_BUSY_STATUS, reason, Verdict.NOT_RUN, retry_after=max(wait, 0.1))
