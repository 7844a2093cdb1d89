"""Case 5: another writer's entry among the executors, whose address can't be read."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.deployment import SERVICE, Deployment, route, run_case
from harness.executors import Step

PREFIX = "/lohu930/"
JOB = "5c0e7a21d94b36f8"
ADDRESS = "[::1%réseau]:8080"


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Return whether all processes stay up, and a job is run and completed."""
    await deployment.open([route("hold", PREFIX)])
    await deployment.owner()
    await asyncio.sleep(1.0)
    if trouble:
        entry = {
            "service": SERVICE,
            "address": ADDRESS,
            "zone": "suva",
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "warmup_ms": 0,
            "room": {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
            "labels": ["a", "r1-0"],
            "born": time.time_ns() // 1_000_000,
            "seq": 1,
        }
        deployment.store.put("servers/i-foreign", entry)
        deployment.record(f"another writer: entry servers/i-foreign with address {ADDRESS}")
    await asyncio.sleep(3.0)
    steps = [{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000}]
    await deployment.submit(JOB, PREFIX, steps, [Step(1.0)])
    end = time.monotonic() + 20.0
    state = ""
    while time.monotonic() < end and state != "completed":
        await asyncio.sleep(1.0)
        for instance in deployment.instances:
            status, value = await deployment.ask(instance, "GET", f"{PREFIX}{JOB}")
            if status == 200:
                state = value["state"]
                break
    ends = {instance.name: instance.codes for instance in deployment.instances}
    deployment.record.say(f"job after up to 20 s: {state!r}; processes that ended: {ends}")
    return state == "completed" and not any(ends.values())


if __name__ == "__main__":
    run_case(case, __file__)
