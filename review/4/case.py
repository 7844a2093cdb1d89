"""Case 4: jobs whose tasks request memory but no processor time end the process of the owner."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.deployment import Deployment, route, run_case
from harness.executors import Step

PREFIX = "/lohu930/"
JOBS = 24
SECONDS_BETWEEN = 1.0
TASKS = 16
MAX_ENDS = 2
"""How often a process may end by itself; three times is a fault by RULES.md."""


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Return whether the processes stay up while such jobs come."""
    await deployment.open([route("hold", PREFIX)])
    await deployment.owner()
    await asyncio.sleep(1.0)
    jobs = [f"4c0e7a21d94b{number:04x}" for number in range(JOBS)]
    for job in jobs:
        step = {"count": TASKS, "mem_mb": 256, "estimate_ms": 500}
        if not trouble:
            step["cpu"] = 500
        await deployment.submit(job, PREFIX, [step], [Step(0.5)])
        await asyncio.sleep(SECONDS_BETWEEN)
    end = time.monotonic() + 14.0
    unfinished = set(jobs)
    while unfinished and time.monotonic() < end:
        for job in sorted(unfinished):
            for instance in deployment.instances:
                status, value = await deployment.ask(instance, "GET", f"{PREFIX}{job}")
                if status == 200:
                    if value["state"] == "completed":
                        unfinished.discard(job)
                    break
        await asyncio.sleep(1.0)
    ends = {instance.name: instance.codes for instance in deployment.instances}
    deployment.record.say(f"processes that ended by themselves, with their status: {ends}")
    deployment.record.say(f"jobs not completed 14 s after the last one: {len(unfinished)}")
    often = [name for name, codes in ends.items() if len(codes) > MAX_ENDS]
    return len(often) < 2


if __name__ == "__main__":
    run_case(case, __file__)
