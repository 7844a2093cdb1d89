"""An idle executor is lost for good, then a job of one lasting task is accepted."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from platform3 import Caller, Platform, main, route

EXECUTORS = 8
CORES = 16000
LASTING = 6
NEW_CPU = 5000
STABLE_S = 4.0
WATCHED_S = 40.0
START_S = 6.0 + 3.0
"""The 6 s after which the rule holds for a lasting task, and the 3 s for which it must not wait."""


async def play(platform: Platform, trouble: bool) -> bool:
    """Return whether the accepted job had nothing running, with capacity for it twice over."""
    routes = [route("letters", "desk", "/letters/", target_latency_ms=3000, stretch_factor=2.2)]
    platform.configure(3, routes, ["desk"])
    room = {"cpu": CORES, "mem_mb": 64000, "gpu": 0}
    for number in range(EXECUTORS):
        await platform.add_executor(f"i-{number}", "desk", room, ["a", f"r1-{number % 2}"])
    await platform.start_schedulers(2)
    await asyncio.sleep(4.0)
    caller = Caller(platform, "desk.example", "/letters/")
    lasting = {"mem_mb": 100, "estimate_ms": 500, "long_running": True}
    full = {**lasting, "count": LASTING, "cpu": CORES}
    await caller.submit(f"{1:016x}", {"spec": "letters", "steps": [full]})
    await asyncio.sleep(3.0)
    busy = {name for _, _, _, name in platform.record.starts}
    idle = [executor for name, executor in platform.executors.items() if name not in busy]
    platform.record.write(f"idle: {[executor.name for executor in idle]}")
    if trouble:
        idle[0].lose_power()
    await asyncio.sleep(3 * 1.5 + STABLE_S)
    job, step = f"{2:016x}", {**lasting, "count": 1, "cpu": NEW_CPU}
    await caller.submit(job, {"spec": "letters", "steps": [step]})
    waited = 0.0
    for _ in range(int(WATCHED_S)):
        await asyncio.sleep(1.0)
        free = max(
            (
                executor.room["cpu"] - sum(run.step["cpu"] for run in executor.life.runs.values())
                for executor in platform.executors.values()
                if executor.up
            ),
        )
        runs = [run for each in platform.executors.values() for run in each.life.runs.values()]
        has_run = any(run.task.startswith(job) for run in runs)
        waits = not has_run and free >= 2 * NEW_CPU
        waited = waited + 1.0 if waits else 0.0
        platform.record.write(
            f"job {job} {'runs' if has_run else 'has nothing running'}; "
            f"most free cpu on one executor that is up: {free}"
        )
        if has_run:
            break
    await caller.call(0, "GET", job)
    broken = waited > START_S
    if broken:
        platform.record.write(f"LOST: the job had nothing running for {waited} s on end")
    return broken


main(play, Path(__file__).resolve().parent)
