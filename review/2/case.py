"""Case 2: tasks that find no executor keep all tasks behind them from the idle executors."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

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

EXECUTORS, LOST = 24, 3
"""Three of 24 executors are 0.125 of them; the site loses 0.14 for good."""
MONITORS = 30
HOLDS = 4
WIDE_STEP = {"count": 36, "cpu": 3400, "mem_mb": 2200, "estimate_ms": 800}
"""The largest width and size of the site's quick jobs: four of them at once fill all executors."""
CALM_SECONDS = 8.0
"""Time from the loss of the executors to the next jobs: more than 4 s and 3 s."""

LASTING = route("letters", target_latency_ms=3000, stretch_factor=2.2)
QUICK = route("hold")


def _monitor(number: int) -> list[dict[str, Any]]:
    """Return the step of a small task that lasts, and that needs an executor of kind b."""
    return [
        {
            "count": 1,
            "cpu": 200 + 10 * number,
            "mem_mb": 400 + 8 * number,
            "estimate_ms": 500,
            "long_running": True,
            "requirements": "b",
        }
    ]


async def _case(folder: Path, record: Record, trouble: bool) -> bool:
    kinds = ["b"] * LOST + ["a"] * (EXECUTORS - LOST)
    deployment = Deployment(folder, record, kinds)
    new_id = job_ids()
    try:
        await deployment.start([LASTING, QUICK])
        monitors = [new_id() for _ in range(MONITORS)]
        for number, job in enumerate(monitors):
            if not await deployment.submit(job, LASTING, _monitor(number), [{"lasts": True}]):
                raise CaseError("a job was not accepted")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        running = sum(deployment.runs_of(job) > 0 for job in monitors)
        record(f"{running} of {MONITORS} lasting jobs run")
        if running < MONITORS:
            raise CaseError("not all lasting jobs run before the disruption")
        if trouble:
            record(f"{LOST} of {EXECUTORS} executors are lost for good")
            for executor in deployment.executors[:LOST]:
                deployment.spawn(executor.crash())
        await asyncio.sleep(CALM_SECONDS)
        holds = [new_id() for _ in range(HOLDS)]
        handed_in = [
            deployment.submit(job, QUICK, [WIDE_STEP], [{"work_ms": 800}]) for job in holds
        ]
        if not all(await asyncio.gather(*handed_in)):
            raise CaseError("a job was not accepted")
        lasting = new_id()
        lasting_step = {
            "count": 6,
            "cpu": 3200,
            "mem_mb": 6400,
            "estimate_ms": 500,
            "long_running": True,
        }
        if not await deployment.submit(lasting, LASTING, [lasting_step], [{"lasts": True}]):
            raise CaseError("a job was not accepted")
        record("end of the traffic")
        await asyncio.sleep(FINISH_SECONDS)
        return await _holds(deployment, record, holds, lasting)
    finally:
        await deployment.stop()


async def _holds(deployment: Deployment, record: Record, holds: list[str], lasting: str) -> bool:
    """Ask for the jobs, and check for 3 s whether something runs of those that are not over."""
    states = {job: await deployment.state(job, QUICK) for job in holds}
    unfinished = {job for job, state in states.items() if state not in ("completed", "failed")}
    unfinished.add(lasting)
    seen: set[str] = set()
    for _ in range(int(IDLE_SECONDS / 0.1)):
        seen |= {job for job in unfinished if deployment.runs_of(job)}
        await asyncio.sleep(0.1)
    idle = sum(not each.running for each in deployment.executors if each.up)
    up = sum(each.up for each in deployment.executors)
    starved = unfinished - seen
    record(f"{idle} of the {up} executors that are up run nothing")
    for job in sorted(starved):
        what = "lasting job" if job == lasting else "quick job"
        record(f"LOST: {what} {job}: {deployment.starts_of(job)} starts, nothing runs for 3 s")
    return not starved


main(Path(__file__).resolve().parent, _case)
