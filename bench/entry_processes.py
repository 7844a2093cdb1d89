"""Measures the cost of entries on real processes: ``python -m bench.entry_processes``.

Prints memory, processor time, bytes to peers and store calls of idle entries by the number of
entries, processor time per request by kind, and the time from killing an owner until its targets
are owned again.
"""

from __future__ import annotations

import uuid
from collections.abc import Iterator

import trio

from fireflyfork.adapters import HttpClient

from ._entry_fleet import MeasuredEntry, MeasuredFleet, measured_fleet

SETTLE_SECONDS = 25.0
"""Time for members to join, for planned moves and for choosing better guards."""

REST_SECONDS = 20.0
REQUESTS = 3_000
CALLERS = 16
FLEETS = (3, 9, 18)
TIMEOUT = (b"request-timeout-ms", b"5000")


async def measure_idle(entries: int) -> None:
    """Print the cost of entries that receive no requests."""
    async with measured_fleet(entries) as fleet:
        await trio.sleep(SETTLE_SECONDS)
        used = [entry.processor_seconds for entry in fleet.entries]
        sent = [await entry.peer_bytes() for entry in fleet.entries]
        calls = await fleet.store_calls()
        await trio.sleep(REST_SECONDS)
        used = [e.processor_seconds - u for e, u in zip(fleet.entries, used, strict=True)]
        sent = [await e.peer_bytes() - s for e, s in zip(fleet.entries, sent, strict=True)]
        after = await fleet.store_calls()
        new_calls = sum(int(str(after[k])) - int(str(calls.get(k, 0))) for k in after)
        resident = max(entry.resident_megabytes for entry in fleet.entries)
        print(
            f"at rest, {entries:2} entries: resident {resident:.1f} MB at most, "
            f"{100 * sum(used) / len(used) / REST_SECONDS:.2f}% of a core each, "
            f"{sum(sent) / len(sent) / REST_SECONDS:.0f} bytes/s to peers each, "
            f"{new_calls * 3600 / REST_SECONDS:.0f} store calls/h in all"
        )


async def measure_requests() -> None:
    """Print the processor time that the entries spend per request, by kind of request."""
    async with measured_fleet(2) as fleet:
        await trio.sleep(SETTLE_SECONDS)
        owners = [len(await entry.own_targets()) for entry in fleet.entries]
        print(f"two entries own {owners} targets")
        for name, method, keyed in (
            ("GET", "GET", False),
            ("POST, key minted", "POST", False),
            ("POST, the caller's key", "POST", True),
        ):
            await _send_requests(fleet.entries[0], method, keyed, 200)
            before = [entry.processor_seconds for entry in fleet.entries]
            begun = trio.current_time()
            answered = await _send_requests(fleet.entries[0], method, keyed, REQUESTS)
            seconds = trio.current_time() - begun
            spent = [e.processor_seconds - b for e, b in zip(fleet.entries, before, strict=True)]
            each = " + ".join(f"{1000 * one / REQUESTS:.2f}" for one in spent)
            print(
                f"{name}: {answered} of {REQUESTS} answered, {each} ms of a core each at the "
                f"caller's entry and at the other, {REQUESTS / seconds:.0f}/s seen; the caller's "
                f"entry alone would carry {REQUESTS / spent[0]:.0f}/s on one core"
            )


async def measure_takeover() -> None:
    """Print the time from killing an owner until all targets are owned again."""
    async with measured_fleet(4) as fleet:
        await trio.sleep(SETTLE_SECONDS)
        owned = [(len(await one.own_targets()), one.name, one) for one in fleet.entries]
        lost, _, victim = max(owned, key=lambda one: one[:2])
        victim.process.kill()
        begun = trio.current_time()
        await _wait_owned(fleet)
        print(
            f"owner of {lost} of {fleet.executors} targets killed: all owned again after "
            f"{trio.current_time() - begun:.1f} s"
        )


async def _wait_owned(fleet: MeasuredFleet) -> None:
    await trio.sleep(0.2)
    await fleet.wait_owned()


async def _send_requests(entry: MeasuredEntry, method: str, keyed: bool, count: int) -> int:
    remaining = iter(range(count))
    answered = 0

    async def caller() -> None:
        nonlocal answered
        client = HttpClient(entry.caller_address, timeout=10.0)
        for _ in remaining:
            headers = (TIMEOUT, *_key()) if keyed else (TIMEOUT,)
            head, _ = await client.call(method, "/desk/x", headers)
            answered += head.status == 200
        client.close()

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(caller)
    return answered


def _key() -> Iterator[tuple[bytes, bytes]]:
    yield (b"idempotency-key", str(uuid.uuid4()).encode("ascii"))


async def run() -> None:
    """Run all measurements."""
    await measure_requests()
    await measure_takeover()
    for entries in FLEETS:
        await measure_idle(entries)


def main() -> None:
    """Run all measurements and print their results."""
    trio.run(run)


if __name__ == "__main__":
    main()
