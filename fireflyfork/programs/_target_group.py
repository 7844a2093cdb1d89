"""The targets of one service that this entry owns, their slots and the queue of requests."""

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
    ConnectionLimits,
    ConnectionPool,
    Ownership,
    OwnTarget,
    RefusedRequest,
    ServiceTime,
    SlotLedger,
    SlotLimits,
    SlotRefusal,
    WaitingRequest,
)

INITIAL_SERVICE_TIME = ServiceTime(0.05, 0.02)
"""The assumed service time of an executor before any request was measured."""

MAX_CHECK_INTERVAL_SECONDS = 1.0
"""The longest interval at which a waiting request checks for slots that became free by time."""

MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(slots=True)
class OwnedTarget:
    """An owned target with its slots and its connections to the executor."""

    contract: TargetContract
    partition: PartitionId
    since: Epoch
    """The epoch of acquisition. If the partition was lost and regained, the ledger is stale."""
    previous_owner_lost: bool
    """Whether the previous owner was lost, so that no notices of its requests' ends arrive."""
    ledger: SlotLedger
    pool: ConnectionPool
    last_connection_id: ConnectionId
    """The id of the connection opened last; ids count up from 1."""
    connections: dict[ConnectionId, HttpClientConnection] = field(default_factory=dict)
    """The idle connections by id."""

    def free_slots(self, now: float) -> int:
        """Return the number of slots that can be assigned now."""
        return self.ledger.free(now)

    def usable_slots(self, now: float) -> int:
        """Return the number of slots that become free as requests are answered.

        Slots occupied by a lost owner's requests are always held for the longest run time. If they
        were counted, callers would be admitted to a queue that does not advance before their
        deadlines.
        """
        if self.ledger.leaving:
            return 0
        if not self.previous_owner_lost:
            return self.contract.slots
        blocked = sum(s.attempt is None and s.until > now for s in self.ledger.occupied)
        return max(0, self.contract.slots - blocked)

    def close_connections(self, numbers: tuple[ConnectionId, ...]) -> None:
        """Close the idle connections with these ids."""
        for number in numbers:
            connection = self.connections.pop(number, None)
            if connection is not None:
                connection.close()
                self.pool = self.pool.closed(number)
                self.ledger = self.ledger.close_connection()


@dataclass(slots=True, eq=False)
class _Waiter:
    """A request in the queue and its outcome: a target, a refusal, or neither if targets moved."""

    settled: trio.Event = field(default_factory=trio.Event)
    target: OwnedTarget | None = None
    retry_after: float | None = None


class TargetGroup:
    """The owned targets of one service, with a bounded queue of requests for their slots."""

    def __init__(self, contract: ServiceContract, on_ended: Callable[[RequestId], None]) -> None:
        """Start without targets.

        ``on_ended`` is called with each attempt that is proved to have ended.
        """
        self._contract = contract
        self._on_ended = on_ended
        self._targets: dict[TargetId, OwnedTarget] = {}
        self._queue = AdmissionQueue(contract.longest_queue, INITIAL_SERVICE_TIME)
        self._waiters: dict[RequestId, _Waiter] = {}

    @property
    def contract(self) -> ServiceContract:
        """The service's contract in force."""
        return self._contract

    @property
    def targets(self) -> dict[TargetId, OwnedTarget]:
        """The owned targets of the service, by target id."""
        return self._targets

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._queue.waiting)

    @property
    def drain_per_second(self) -> float:
        """The requests per second that the owned targets complete when all slots are busy."""
        return self._queue.drain_per_second(self._usable_slots(), trio.current_time())

    @property
    def expected_run_seconds(self) -> float:
        """The expected run time of a request, from recent run times at executors."""
        return self._queue.service_time.expected

    def figures(self) -> ServiceFigures:
        """Return the load figures that are reported to peers."""
        free = sum(target.free_slots for target in self.own_targets())
        return ServiceFigures(free, self.queued, self.drain_per_second)

    def own_targets(self) -> Iterator[OwnTarget]:
        """Yield the targets that accept requests, with their free slots."""
        now = trio.current_time()
        for target_id, target in self._targets.items():
            if not target.ledger.leaving:
                yield OwnTarget(target_id, target.free_slots(now))

    def update_contract(self, contract: ServiceContract) -> None:
        """Apply a changed contract to subsequent requests."""
        if contract == self._contract:
            return
        self._contract = contract
        self._queue = AdmissionQueue(
            contract.longest_queue, self._queue.service_time, self._queue.waiting
        )
        for target in self._targets.values():
            target.ledger = target.ledger.with_limits(
                SlotLimits.from_contracts(target.contract, contract)
            )

    def add(
        self,
        contract: TargetContract,
        partition: PartitionId,
        ownership: Ownership,
        ledger: SlotLedger,
    ) -> None:
        """Add a target that this entry has come to own."""
        terms = ConnectionLimits(silence_seconds=self._contract.longest_run_seconds)
        self._targets[contract.target_id] = OwnedTarget(
            contract,
            partition,
            ownership.since,
            ownership.acquired is Acquisition.TAKEN_OVER,
            ledger,
            ConnectionPool(terms),
            ConnectionId(0),
        )
        self.assign_slots()

    def remove(self, target_id: TargetId) -> None:
        """Remove a target that this entry no longer owns; requests running on it continue."""
        target = self._targets.pop(target_id)
        target.close_connections(tuple(target.connections))
        if not self._targets:
            self._redirect_waiters()

    async def acquire(
        self, request: ServiceRequest, attempt: RequestId, entry: MemberId
    ) -> OwnedTarget:
        """Acquire a slot of the target with the most free slots, and wait for it if necessary.

        ``entry`` is the entry that received the request from the caller or forwarded it. Raises
        OverloadedError as soon as the request is expected to miss its deadline, and RequestError if
        this entry owns no target of the service.
        """
        if not self._targets:
            raise MisdirectedError("no target of the service is here")
        now = trio.current_time()
        waiting = WaitingRequest(attempt, entry, request.deadline)
        self._queue, decision = self._queue.offer(
            waiting, self._free_slots(now), self._usable_slots(), now
        )
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
        """Free the slot of an attempt that is proved to have ended, and assign it to a request."""
        target.ledger = target.ledger.release(attempt)
        self._on_ended(attempt)
        self.assign_slots()

    def record_run_time(self, seconds: float) -> None:
        """Update the expected run time with the run time of an answered request."""
        self._queue = self._queue.answered(seconds, trio.current_time())

    def assign_slots(self) -> None:
        """Assign free slots to waiting requests; refuse requests that can't be served in time."""
        now = trio.current_time()
        self._queue, refused = self._queue.expire(now)
        self._settle_refused(refused)
        while self._queue.waiting and self._free_slots(now) > 0:
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
                with trio.move_on_after(self._check_interval()):
                    await waiter.settled.wait()
                if not waiter.settled.is_set():
                    self.assign_slots()
        except trio.Cancelled:
            # A slot may have been assigned to this request just before it was cancelled.
            if waiter.target is not None:
                self.release(waiter.target, attempt)
            raise
        if waiter.target is None and waiter.retry_after is None:
            raise MisdirectedError("the targets have moved")
        if waiter.target is None:
            retry_after = max(waiter.retry_after or 0.0, MIN_RETRY_AFTER_SECONDS)
            raise OverloadedError(503, "no room in time", Verdict.NOT_RUN, retry_after)
        return waiter.target

    def _check_interval(self) -> float:
        # A slot that becomes free by time and a deadline that passes do not set any event, so a
        # waiting request must check for them.
        now = trio.current_time()
        due_times = [target.ledger.next_free_at(now) for target in self._targets.values()]
        expiry = self._queue.next_expiry()
        if expiry is not None:
            due_times.append(expiry)
        return min(max(min(due_times, default=now) - now, 0.01), MAX_CHECK_INTERVAL_SECONDS)

    def _settle_refused(self, refused: tuple[RefusedRequest, ...]) -> None:
        for refusal in refused:
            waiter = self._waiters.get(refusal.request.request_id)
            if waiter is not None:
                waiter.retry_after = max(refusal.retry_after, self.seconds_to_first_slot())
                waiter.settled.set()

    def _redirect_waiters(self) -> None:
        # Another member owns the targets now, and no slot here will become free for the waiting
        # requests.
        self._queue = replace(self._queue, waiting=())
        for waiter in self._waiters.values():
            if waiter.target is None:
                waiter.settled.set()

    def seconds_to_first_slot(self) -> float:
        """Return the seconds until a slot is certain to be free, or 0 if slots become free sooner.

        The result is 0 while any slot becomes free as requests are answered.
        """
        if self._usable_slots() > 0:
            return 0.0
        now = trio.current_time()
        ends = (target.ledger.next_free_at(now) for target in self._targets.values())
        return min(ends, default=now) - now

    def _try_acquire(self, attempt: RequestId) -> OwnedTarget | None:
        now = trio.current_time()
        target = max(
            self._targets.values(), key=lambda candidate: candidate.free_slots(now), default=None
        )
        if target is None or target.free_slots(now) <= 0:
            return None
        taken = target.ledger.acquire(attempt, now)
        if isinstance(taken, SlotRefusal):
            return None
        target.ledger = taken
        return target

    def _free_slots(self, now: float) -> int:
        return sum(target.free_slots(now) for target in self._targets.values())

    def _usable_slots(self) -> int:
        now = trio.current_time()
        return sum(target.usable_slots(now) for target in self._targets.values())
