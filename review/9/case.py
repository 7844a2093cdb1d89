"""A machine freezes with a job request unread, and the caller cancels the job at another machine."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from platform3 import HOST, Caller, Platform, Scheduler, main, route

SCHEDULERS = 6
ROUNDS = 4
FREEZE_S = 3.5
LEAVES_S = 0.25
"""Half of the latency objective: then the caller leaves."""
CANCEL_S = 3.0


async def play(platform: Platform, trouble: bool) -> bool:
    """Return whether a task started later than ``cancel_ms`` after its job's cancel was answered."""
    platform.configure(3, [route("holds", "desk", "/holds/", target_latency_ms=500)], ["desk"])
    room = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
    for number in range(4):
        await platform.add_executor(f"i-{number}", "desk", room, ["a", f"r1-{number % 2}"])
    # The first one owns the service by the time the others start, and is never disturbed.
    await platform.start_schedulers(1)
    await asyncio.sleep(4.0)
    await platform.start_schedulers(SCHEDULERS - 1)
    await asyncio.sleep(6.0)
    calm, frozen, *_ = platform.schedulers
    caller = Caller(platform, "desk.example", "/holds/")
    cancelled: dict[str, float] = {}
    step = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 800}
    for number in range(ROUNDS):
        job, spec = f"{100 + number:016x}", {"spec": "hold", "steps": [step]}
        platform.jobs[job] = spec
        if trouble:
            frozen.signal(signal.SIGSTOP)
            platform.record.write(f"scheduler {frozen.number} freezes")
            thaw = asyncio.create_task(_thaw(platform, frozen))
        await _post_and_leave(platform, frozen, f"/holds/{job}", spec)
        status, _ = await caller.call(calm.number, "DELETE", job)
        if status // 100 == 2 or status == 410:
            cancelled[job] = platform.record.now()
        if trouble:
            await thaw
        await asyncio.sleep(6.0)
        await caller.call(calm.number, "GET", job)
    broken = False
    for at, task, _, name in platform.record.starts:
        acknowledged_at = cancelled.get(task.partition(".")[0])
        if acknowledged_at is not None and at - acknowledged_at > CANCEL_S:
            broken = True
            platform.record.write(
                f"UNASKED: {task} started on {name} {at - acknowledged_at:.2f} s after the cancel "
                f"of its job was acknowledged"
            )
    return broken


async def _thaw(platform: Platform, frozen: Scheduler) -> None:
    await asyncio.sleep(FREEZE_S)
    frozen.signal(signal.SIGCONT)
    platform.record.write(f"scheduler {frozen.number} wakes")


async def _post_and_leave(platform: Platform, node: Scheduler, path: str, spec: object) -> None:
    """Submit a job as a caller that leaves if there is no answer in time."""
    reader, writer = await asyncio.open_connection(HOST, node.front)
    data = json.dumps(spec).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n"
        f"X-Fireflyfork-Deadline-Ms: 3000\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer.write(head.encode() + data)
    answer = b"no answer"
    try:
        async with asyncio.timeout(LEAVES_S):
            answer = (await reader.readuntil(b"\r\n"))[:12]
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        pass
    platform.record.write(f"POST {path} at scheduler {node.number}: {answer!r}; the caller leaves")
    writer.close()


main(play, Path(__file__).resolve().parent)
