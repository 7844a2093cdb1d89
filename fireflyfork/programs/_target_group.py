"""The targets of one service that this entry owns: their slots, and the requests waiting for one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

import trio

from .._contracts import ServiceContract, TargetContract
from .._errors import MisdirectedError, OverloadedError
from .._ids import Epoch, MemberId, PartitionId, RequestId, TargetId
from .._requests import ServiceRequest
from .._verdict import Verdict
from ..adapters import HttpClientConnection, ServiceFigures
from ..decisions import (
    Acquisition,
    AdmissionKind,
    AdmissionQueue,
    ConnectionId,
    ConnectionPool,
    ConnectionTerms,
    Ownership,
    OwnTarget,
    RefusedRequest,
    ServiceTime,
    SlotLedger,
    SlotRefusal,
    SlotTerms,
    WaitingRequest,
)

FIRST_GUESS = ServiceTime(0.05, 0.02)
"""Of an executor's time, before anything is learned."""

LONGEST_NAP_SECONDS = 1.0
"""A waiting request looks again at least so often for what frees slots without a word."""

SHORTEST_RETRY_SECONDS = 0.1


@dataclass(slots=True)
class OwnedTarget:
    """One executor that this entry owns, with its connections."""

    contract: TargetContract
    partition: PartitionId
    since: Epoch
    """When this member acquired the partition. If it lost and regained it, the ledger is stale."""
    after_fence: bool
    """Whether the last owner was lost, so that nobody tells when its requests end."""
    ledger: SlotLedger
    pool: ConnectionPool
    newest: ConnectionId
    """The number of the connection opened last."""
    connections: dict[ConnectionId, HttpClientConnection] = field(default_factory=dict)
    """Idle connections by number."""

    def free(self, now: float) -> int:
        """Slots that can be given away now."""
        return self.ledger.free(now)

    def usable(self, now: float) -> int:
        """Slots whose requests end with an answer, so that others can count on getting them.

        What a lost owner left is held for the longest run time whatever happens. If it counted as
        moving, callers would be let into a queue that stands still past their deadlines.
        """
        if self.ledger.leaving:
            return 0
        if not self.after_fence:
            return self.contract.slots
        blocked = sum(s.attempt is None and s.until > now for s in self.ledger.occupied)
        return max(0, self.contract.slots - blocked)

    def close_connections(self, numbers: tuple[ConnectionId, ...]) -> None:
        """Close these idle connections."""
        for number in numbers:
            connection = self.connections.pop(number, None)
            if connection is not None:
                connection.close()
                self.pool = self.pool.closed(number)
                self.ledger = self.ledger.close_connection()


@dataclass(slots=True, eq=False)
class _Waiter:
    """A request in the queue, and what became of it."""

    settled: trio.Event = field(default_factory=trio.Event)
    target: OwnedTarget | None = None
    retry_after: float | None = None


class TargetGroup:
    """The owned targets of one service, and a bounded queue in front of them."""

    def __init__(self, contract: ServiceContract, released: Callable[[RequestId], None]) -> None:
        """No targets yet. ``released`` hears of each attempt that has surely ended."""
        self._contract = contract
        self._released = released
        self._targets: dict[TargetId, OwnedTarget] = {}
        self._queue = AdmissionQueue(contract.longest_queue, FIRST_GUESS)
        self._waiters: dict[RequestId, _Waiter] = {}

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
        return len(self._queue.waiting)

    @property
    def drain_per_second(self) -> float:
        """Requests that the owned targets end in a second when all slots are busy."""
        return self._queue.drain_per_second(self._usable(), trio.current_time())

    @property
    def expected_run_seconds(self) -> float:
        """How long a request has lately taken at an executor."""
        return self._queue.service_time.expected

    def figures(self) -> ServiceFigures:
        """What peers are told."""
        free = sum(target.free_slots for target in self.own_targets())
        return ServiceFigures(free, self.queued, self.drain_per_second)

    def own_targets(self) -> Iterator[OwnTarget]:
        """The targets that could be given something, with their free slots."""
        now = trio.current_time()
        for target_id, target in self._targets.items():
            if not target.ledger.leaving:
                yield OwnTarget(target_id, target.free(now))

    def update_contract(self, contract: ServiceContract) -> None:
        """Put a changed contract in force for what comes next."""
        if contract == self._contract:
            return
        self._contract = contract
        self._queue = AdmissionQueue(
            contract.longest_queue, self._queue.service_time, self._queue.waiting
        )
        for target in self._targets.values():
            target.ledger = target.ledger.with_terms(
                SlotTerms.from_contracts(target.contract, contract)
            )

    def add(
        self,
        contract: TargetContract,
        partition: PartitionId,
        ownership: Ownership,
        ledger: SlotLedger,
    ) -> None:
        """Begin to own a target."""
        terms = ConnectionTerms(silence_seconds=self._contract.longest_run_seconds)
        self._targets[contract.target_id] = OwnedTarget(
            contract,
            partition,
            ownership.since,
            ownership.acquired is Acquisition.TAKEN_OVER,
            ledger,
            ConnectionPool(terms),
            ConnectionId(0),
        )
        self.wake()

    def remove(self, target_id: TargetId) -> None:
        """Stop owning a target; what runs on it goes on."""
        target = self._targets.pop(target_id)
        target.close_connections(tuple(target.connections))
        if not self._targets:
            self._send_elsewhere()

    async def acquire(
        self, request: ServiceRequest, attempt: RequestId, entry: MemberId
    ) -> OwnedTarget:
        """Take a slot of the target with most free ones, waiting for it if that is worth while.

        ``entry`` is where the caller is. Raises OverloadedError as soon as the deadline can't be
        expected to be made, and RequestError when no target of the service is owned here.
        """
        if not self._targets:
            raise MisdirectedError("no target of the service is here")
        now = trio.current_time()
        waiting = WaitingRequest(attempt, entry, request.deadline)
        self._queue, decision = self._queue.offer(waiting, self._free(now), self._usable(), now)
        if decision.kind is AdmissionKind.RUN:
            target = self._try_acquire(attempt)
            if target is None:
                raise MisdirectedError("the free slot can't be used")
            return target
        waiter = self._waiters[attempt] = _Waiter()
        self._settle_refused(decision.refused)
        try:
            return await self._wait(attempt, waiter)
        finally:
            del self._waiters[attempt]
            self._queue = self._queue.withdraw(attempt)

    def release(self, target: OwnedTarget, attempt: RequestId) -> None:
        """Free the slot of an attempt that has surely ended, and let the next request have it."""
        target.ledger = target.ledger.release(attempt)
        self._released(attempt)
        self.wake()

    def ran(self, seconds: float) -> None:
        """Learn how long an executor took."""
        self._queue = self._queue.answered(seconds, trio.current_time())

    def wake(self) -> None:
        """Give free slots to those who wait, and refuse those who can't be served in time."""
        now = trio.current_time()
        self._queue, refused = self._queue.expire(now)
        self._settle_refused(refused)
        while self._queue.waiting and self._free(now) > 0:
            target = self._try_acquire(self._queue.waiting[0].request_id)
            if target is None:
                return
            self._queue, taken = self._queue.take(now)
            assert taken is not None
            waiter = self._waiters[taken.request_id]
            waiter.target = target
            waiter.settled.set()

    async def _wait(self, attempt: RequestId, waiter: _Waiter) -> OwnedTarget:
        try:
            while not waiter.settled.is_set():
                with trio.move_on_after(self._nap_seconds()):
                    await waiter.settled.wait()
                if not waiter.settled.is_set():
                    self.wake()
        except trio.Cancelled:
            # The slot may have been given to this request just when its caller went away.
            if waiter.target is not None:
                self.release(waiter.target, attempt)
            raise
        if waiter.target is None and waiter.retry_after is None:
            raise MisdirectedError("the targets have moved")
        if waiter.target is None:
            retry_after = max(waiter.retry_after or 0.0, SHORTEST_RETRY_SECONDS)
            raise OverloadedError(503, "no room in time", Verdict.NOT_RUN, retry_after)
        return waiter.target

    def _nap_seconds(self) -> float:
        # A slot can become free by time alone and a deadline can pass, and neither wakes anybody.
        now = trio.current_time()
        moments = [target.ledger.next_free_at(now) for target in self._targets.values()]
        expiry = self._queue.next_expiry()
        if expiry is not None:
            moments.append(expiry)
        return min(max(min(moments, default=now) - now, 0.01), LONGEST_NAP_SECONDS)

    def _settle_refused(self, refused: tuple[RefusedRequest, ...]) -> None:
        for one in refused:
            waiter = self._waiters.get(one.request.request_id)
            if waiter is not None:
                waiter.retry_after = max(one.retry_after, self.seconds_to_first_slot())
                waiter.settled.set()

    def _send_elsewhere(self) -> None:
        # Nothing here will ever wake those who wait, and another member owns the targets now.
        self._queue = replace(self._queue, waiting=())
        for waiter in self._waiters.values():
            if waiter.target is None:
                waiter.settled.set()

    def seconds_to_first_slot(self) -> float:
        """Until a slot is surely free, when none can be counted on before; 0 otherwise."""
        if self._usable() > 0:
            return 0.0
        now = trio.current_time()
        ends = (one.ledger.next_free_at(now) for one in self._targets.values())
        return min(ends, default=now) - now

    def _try_acquire(self, attempt: RequestId) -> OwnedTarget | None:
        now = trio.current_time()
        target = max(self._targets.values(), key=lambda one: one.free(now), default=None)
        if target is None or target.free(now) <= 0:
            return None
        taken = target.ledger.acquire(attempt, now)
        if isinstance(taken, SlotRefusal):
            return None
        target.ledger = taken
        return target

    def _free(self, now: float) -> int:
        return sum(target.free(now) for target in self._targets.values())

    def _usable(self) -> int:
        now = trio.current_time()
        return sum(target.usable(now) for target in self._targets.values())
