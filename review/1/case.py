"""Case 1: one entry that can't be read ends every instance that becomes the owner."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.deployment import (
    FINISH_SECONDS,
    IDLE_SECONDS,
    CaseError,
    Deployment,
    Record,
    job_ids,
    main,
    route,
)

EXECUTORS = 24
UNREADABLE = b'{"a":' * 2000
"""10 KB that are no JSON: objects in objects, none of them complete."""
JOBS_BEFORE, JOBS_AFTER = 10, 10
GAP_SECONDS = 0.5
MAX_OWN_ENDS = 2
"""Three ends by themselves on two machines are a fault of the day."""

QUEUE = route("hold")
STEP = {"count": 6, "cpu": 1100, "mem_mb": 2200, "estimate_ms": 800}
WORK = {"work_ms": 800}


async def _case(folder: Path, record: Record, trouble: bool) -> bool:
    deployment = Deployment(folder, record, ["a"] * EXECUTORS)
    accepted: list[str] = []
    try:
        await deployment.start([QUEUE])
        await _traffic(deployment, accepted, JOBS_BEFORE)
        if len(accepted) < JOBS_BEFORE:
            raise CaseError("not all jobs were accepted before the disruption")
        if trouble:
            deployment.store.put("servers/i-other", UNREADABLE)
            record("another writer has put servers/i-other, which can't be read")
        await _traffic(deployment, accepted, JOBS_AFTER)
        record("end of the traffic")
        await asyncio.sleep(FINISH_SECONDS)
        return await _holds(deployment, record, accepted)
    finally:
        await deployment.stop()


async def _traffic(deployment: Deployment, accepted: list[str], jobs: int) -> None:
    new_id = job_ids()

    async def client(job: str) -> None:
        if await deployment.submit(job, QUEUE, [STEP], [WORK]):
            accepted.append(job)

    async with asyncio.TaskGroup() as clients:
        for _ in range(jobs):
            clients.create_task(client(new_id()))
            await asyncio.sleep(GAP_SECONDS)


async def _holds(deployment: Deployment, record: Record, jobs: list[str]) -> bool:
    """Ask for the accepted jobs, and check for 3 s whether something runs of those not over."""
    states = {job: await deployment.state(job, QUEUE) for job in jobs}
    starved = {job for job, state in states.items() if state not in ("completed", "failed")}
    until = time.monotonic() + IDLE_SECONDS
    while time.monotonic() < until:
        starved -= {job for job in starved if deployment.runs_of(job)}
        await asyncio.sleep(0.05)
    for job in sorted(starved):
        record(f"LOST: job {job}: {deployment.starts_of(job)} starts, nothing runs for 3 s")
    record(f"{len(jobs)} jobs accepted, {len(starved)} not over and with nothing running")
    ends = [instance.ended_by_itself for instance in deployment.instances]
    for instance in deployment.instances:
        error = instance.last_error()
        record(f"{instance.name} has ended by itself {instance.ended_by_itself} times: {error}")
    is_fault = sum(count > MAX_OWN_ENDS for count in ends) >= 2
    return not starved and not is_fault


main(Path(__file__).resolve().parent, _case)
