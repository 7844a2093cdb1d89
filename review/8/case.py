"""Case 8: executors crash and come back as another kind; tasks for the old kind start on them."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.deployment import Deployment, route, run_case
from harness.executors import Step

PREFIX = "/lohu930/"
EXECUTORS = 15
DOWN_SECONDS = 1.3
APART_SECONDS = 0.1
ROUNDS = 6


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Return whether tasks that need kind b are started on executors of kind b only."""
    special = deployment.executors[:2]
    for executor in special:
        executor.kind = "b"
    await deployment.open([route("hold", PREFIX)])
    await deployment.owner()
    await asyncio.sleep(1.0)
    submitting = asyncio.create_task(_submit(deployment))
    await asyncio.sleep(1.0)
    for number in range(ROUNDS):
        for executor in special if trouble else ():
            await executor.crash()
        await asyncio.sleep(DOWN_SECONDS)
        for executor in special if trouble else ():
            executor.kind = "a" if number % 2 == 0 else "b"
            await executor.start()
            await asyncio.sleep(APART_SECONDS)
        await asyncio.sleep(4.0)
    submitting.cancel()
    return not deployment.work.misplaced


async def _submit(deployment: Deployment) -> None:
    for number in range(1000):
        steps = [
            {"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 500, "requirements": "b"},
        ]
        await deployment.submit(f"7c0e7a21d94b{number:04x}", PREFIX, steps, [Step(0.5, needs="b")])
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    run_case(case, __file__, executors=EXECUTORS)
