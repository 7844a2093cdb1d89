"""An executor crashes and starts again as another kind, while tasks wait for the first kind."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from platform3 import Caller, Executor, Platform, main, route

EXECUTORS = 8
ROUNDS = 8
DOWN_S = 0.5


async def play(platform: Platform, trouble: bool) -> bool:
    """Return whether a task was started on an executor without the label that its step requires."""
    broken: list[str] = []

    def check(executor: Executor, task: str, step: dict[str, Any]) -> None:
        needed = step.get("requirements")
        if needed and needed not in executor.labels:
            broken.append(task)
            platform.record.write(
                f"ROUTE: {task} requires {needed!r}, {executor.name} has {executor.labels}"
            )

    platform.on_start = check
    platform.configure(3, [route("holds", "desk", "/holds/")], ["desk"])
    room = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
    for number in range(EXECUTORS):
        labels = ["a" if number == 0 else "b", f"r1-{number % 2}"]
        await platform.add_executor(f"i-{number}", "desk", room, labels)
        await asyncio.sleep(1.5 / EXECUTORS)
    await platform.start_schedulers(2)
    await asyncio.sleep(4.0)
    caller = Caller(platform, "desk.example", "/holds/")
    step = {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 600, "requirements": "a"}

    async def submit_jobs() -> None:
        number = 0
        while True:
            number += 1
            job = asyncio.create_task(
                caller.submit(f"{number:016x}", {"spec": "hold", "steps": [step]})
            )
            await asyncio.sleep(0.25)
            del job

    submitting = asyncio.create_task(submit_jobs())
    await asyncio.sleep(3.0)
    for number in range(ROUNDS):
        for kind, name in (("b", number), ("a", number + 1)):
            if trouble:
                executor = platform.executors[f"i-{name % EXECUTORS}"]
                executor.crash()
                await asyncio.sleep(DOWN_S)
                executor.labels = [kind, executor.labels[1]]
                await executor.begin()
            await asyncio.sleep(4.5)
    submitting.cancel()
    tasks = len({task for _, task, _, _ in platform.record.starts})
    platform.record.write(f"{tasks} tasks started, {len(broken)} starts without the label")
    return bool(broken)


main(play, Path(__file__).resolve().parent)
