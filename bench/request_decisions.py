"""Measures the cost of request decisions: ``python -m bench.request_decisions``."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from uuid import UUID

from fireflyfork import IdempotencyKey, MemberId, RegionName, RequestId, TargetId, Verdict
from fireflyfork.decisions import (
    AdmissionQueue,
    ConnectionId,
    ConnectionLimits,
    ConnectionPool,
    FailedAttempt,
    KeyTable,
    KeyTerms,
    LinkBudget,
    MemberLoad,
    OwnTarget,
    RetryBudget,
    RetryLimits,
    RouteInput,
    ServiceTime,
    SlotLedger,
    SlotLimits,
    WaitingRequest,
    minted_at,
    route,
)

ROUNDS = 20_000
REPEATS = 7
NOW = 1_800_000_000.0
REGION = RegionName("viti")
DEADLINE = NOW + 10.0


def microseconds(decide: Callable[[int], object]) -> list[float]:
    """Return the microseconds of processor time per call of each repeat, sorted."""
    durations = []
    for repeat in range(REPEATS):
        began = time.process_time()
        for number in range(ROUNDS):
            decide(repeat * ROUNDS + number)
        durations.append((time.process_time() - began) / ROUNDS * 1e6)
    return sorted(durations)


def _slots() -> Callable[[int], object]:
    ledger = SlotLedger(SlotLimits(8, 64, 32, 12.0))
    for number in range(6):
        taken = ledger.acquire(RequestId(f"busy-{number}"), NOW)
        assert isinstance(taken, SlotLedger)
        ledger = taken

    def decide(number: int) -> object:
        attempt = RequestId(f"r{number}")
        taken = ledger.acquire(attempt, NOW)
        assert isinstance(taken, SlotLedger)
        return taken.release(attempt)

    return decide


def _connections() -> Callable[[int], object]:
    pool = ConnectionPool(ConnectionLimits())
    for number in range(1, 5):
        pool, _ = pool.answered(ConnectionId(number), NOW)

    def decide(number: int) -> object:
        chosen, decision = pool.choose(False, NOW + 1.0)
        assert decision.connection_id is not None
        return chosen.answered(decision.connection_id, NOW + 1.0)

    return decide


def _routes(own_free: int) -> Callable[[int], object]:
    peers = tuple(
        MemberLoad(MemberId(f"e{number}"), REGION, number, 0, 100.0, NOW) for number in range(8)
    )
    links: dict[RegionName, LinkBudget] = {}

    def decide(number: int) -> object:
        own = [OwnTarget(TargetId(f"t{target}"), own_free) for target in range(3)]
        question = RouteInput(REGION, own, 2, 100.0, peers, 1.0, 900, False, (0.3, 0.6))
        return route(question, links, NOW)

    return decide


def _admission(waiting: int) -> Callable[[int], object]:
    queue = AdmissionQueue(64, ServiceTime(0.1, 0.02))
    for number in range(waiting):
        request = WaitingRequest(RequestId(f"w{number}"), MemberId("e"), DEADLINE)
        queue, _ = queue.offer(request, 0, 24, NOW)

    def decide(number: int) -> object:
        request = WaitingRequest(RequestId(f"r{number}"), MemberId("e"), DEADLINE)
        offered, _ = queue.offer(request, 0 if waiting else 1, 24, NOW)
        offered, _ = offered.take(NOW)
        return offered.answered(0.1, NOW)

    return decide


def _keys() -> Callable[[int], object]:
    table = KeyTable(KeyTerms())
    for serial in range(5000):
        table, _ = table.begin(_key(serial), 1, NOW)

    def decide(number: int) -> object:
        key = _key(10_000 + number)
        begun, _ = table.begin(key, 1, NOW)
        return begun.answered(key, b"answer")

    return decide


def _key(serial: int) -> IdempotencyKey:
    return IdempotencyKey(str(UUID(int=int(NOW * 1000) << 80 | 7 << 76 | 2 << 62 | serial)))


def _retries() -> Callable[[int], object]:
    budget = RetryBudget(RetryLimits(), 5.0)
    failed = FailedAttempt(Verdict.NOT_RUN, False, 1, DEADLINE, 0.1)
    return lambda number: budget.request().decide(failed, NOW)


def _cases() -> Iterator[tuple[str, Callable[[int], object]]]:
    yield "an empty call", lambda number: None
    yield "slot taken and released (6 of 8 busy)", _slots()
    yield "connection chosen and returned (4 idle)", _connections()
    yield "route to an own target (3 targets, 8 peers)", _routes(1)
    yield "route to a peer (3 targets, 8 peers)", _routes(0)
    yield "admitted at once", _admission(0)
    yield "queued, taken (8 waiting)", _admission(8)
    yield "queued, taken (60 waiting)", _admission(60)
    yield "retry decided", _retries()
    yield "key's time read", lambda number: minted_at(_SAMPLE)
    yield "key begun and answered (5000 keys)", _keys()


def bytes_per_object(build: Callable[[int], object], count: int) -> float:
    """Return the bytes of memory that ``build(count)`` holds, divided by ``count``."""
    tracemalloc.start()
    held = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return size / count


def _answered_keys(count: int) -> KeyTable:
    table = KeyTable(KeyTerms())
    for serial in range(count):
        key = _key(serial)
        table, _ = table.begin(key, 1, NOW)
        table = table.answered(key, b"")
    return table


def _busy_ledgers(count: int) -> list[SlotLedger]:
    terms = SlotLimits(8, 64, 32, 12.0)
    ledgers = []
    for target in range(count):
        ledger = SlotLedger(terms)
        for slot in range(8):
            taken = ledger.acquire(RequestId(f"t{target}-{slot}"), NOW + slot)
            assert isinstance(taken, SlotLedger)
            ledger = taken
        ledgers.append(ledger)
    return ledgers


_SAMPLE = _key(7)


def main() -> None:
    """Print the median and the range of each case in microseconds, and the memory per object."""
    print(f"{ROUNDS} calls, {REPEATS} repeats; microseconds of processor time each")
    for name, decide in _cases():
        found = microseconds(decide)
        print(f"{name:45}{found[REPEATS // 2]:8.2f} ({found[0]:.2f}-{found[-1]:.2f})", flush=True)
    print(
        f"bytes for each answered key, without its answer {bytes_per_object(_answered_keys, 5000):9.0f}"
    )
    print(
        f"bytes for each target with 8 busy slots         {bytes_per_object(_busy_ledgers, 500):9.0f}"
    )


if __name__ == "__main__":
    main()
