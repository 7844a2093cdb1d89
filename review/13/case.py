"""A new configuration sends a queue to another service while jobs of the queue wait."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from platform3 import Caller, Platform, main, route

SERVICES = ["desk", "annex"]
WAITING = 10
VISIBLE_S = 3.0 + 2.0
"""``visible_ms`` and the 2 s by which the count may be old."""
CONFIG_APPLY_S = 2.5


async def play(platform: Platform, trouble: bool) -> bool:
    """Return whether an instance counted under half of the jobs that hadn't begun as pending."""
    platform.configure(3, [route("holds", "desk", "/holds/")], SERVICES)
    room = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
    for number in range(8):
        service = SERVICES[number % 2]
        await platform.add_executor(f"i-{number}", service, room, ["a", f"r1-{number % 2}"])
    await platform.start_schedulers(2)
    await asyncio.sleep(4.0)
    caller = Caller(platform, "desk.example", "/holds/")
    long_step = {"count": 4, "cpu": 16000, "mem_mb": 100, "estimate_ms": 90000}
    await caller.submit(f"{1:016x}", {"spec": "long", "steps": [long_step]})
    await asyncio.sleep(2.0)
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 800}
    for number in range(WAITING):
        await caller.submit(f"{100 + number:016x}", {"spec": "hold", "steps": [step]})
    await asyncio.sleep(VISIBLE_S + 0.5)
    broken = await _ask(platform, caller)
    if trouble:
        platform.configure(8, [route("holds", "annex", "/holds/")], SERVICES)
    await asyncio.sleep(CONFIG_APPLY_S + VISIBLE_S)
    for _ in range(4):
        broken = await _ask(platform, caller) or broken
        await asyncio.sleep(2.0)
    return broken


async def _ask(platform: Platform, caller: Caller) -> bool:
    broken = False
    for number in range(2):
        now = platform.record.now()
        status, answer = await caller.call(number, "GET", "")
        begun = {task.partition(".")[0] for _, task, _, _ in platform.record.starts}
        owed = [
            name
            for name, accepted_at in caller.accepted.items()
            if name not in begun and now - accepted_at > VISIBLE_S
        ]
        too_few = status == 200 and answer["pending"] < len(owed) / 2
        broken = broken or too_few
        platform.record.write(
            f"{'MIXED: ' if too_few else ''}pending at scheduler {number}: {answer}; "
            f"{len(owed)} jobs accepted over {VISIBLE_S} s ago haven't begun"
        )
    return broken


main(play, Path(__file__).resolve().parent)
