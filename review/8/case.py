"""Case 8: a route is removed and comes back; meanwhile its service has changed its owner."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.deployment import CannotRunError, Deployment, route, run_case
from harness.executors import Step

JOB = "8c0e7a21d94b36f8"
ATTEMPTS, FAILURES = 5, 3
PREFIX = "/lohu930/"


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Return whether the job, which fails fewer times than it may, is completed."""
    kept = route("letters", "/pule252/")
    desk = route("hold", PREFIX, attempts=ATTEMPTS)
    await deployment.open([kept, desk])
    owner = await deployment.owner()
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 4000}]
    work = [Step(4.0, failures=FAILURES)]
    await deployment.submit(JOB, PREFIX, steps, work)
    await asyncio.sleep(1.0)
    if trouble:
        deployment.configure([kept])
        await asyncio.sleep(3.0)
        deployment.record(f"platform: SIGTERM to the owner, {owner.name}, and a new start")
        await owner.terminate()
        owner.start()
    task = f"{JOB}.0.0.0"
    end = time.monotonic() + 30.0
    while deployment.work.failed_runs.get(task, 0) < FAILURES:
        if time.monotonic() > end:
            raise CannotRunError("the task has not run three times")
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    if trouble:
        deployment.configure([kept, desk])
    await asyncio.sleep(3.0)
    state = ""
    while time.monotonic() < end + 20.0 and state not in ("completed", "failed"):
        _, value = await deployment.ask(deployment.instances[0], "GET", f"{PREFIX}{JOB}")
        state = value.get("state", "")
        await asyncio.sleep(0.5)
    deployment.record.say(f"ends: {FAILURES} failed of {ATTEMPTS} allowed; shown as {state!r}")
    return state != "failed"


if __name__ == "__main__":
    run_case(case, __file__)
