"""Case 3: a burst makes the owner give up every call for advice before its turn, for good."""

from __future__ import annotations

import asyncio
import hashlib
import os
import sys
import time
from collections import deque
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
from standins.wire import Answer, Request, Server

EXECUTORS = 24
DECISION_MS, EACH_MS, VALID_MS = 50, 5, 3000
"""A call about 24 executors takes 0.17 s."""
MAX_WAITING = 32
"""With so many calls waiting, the advisor answers 429."""
JOBS_PER_SECOND = 2.5
"""The site's rate of batch jobs. Each has two steps, so calls for advice keep the advisor busy for
0.85 of the time."""
SKIPS_ABANDONED = os.environ.get("SKIPS_ABANDONED", "1") == "1"
"""Whether the advisor drops calls whose caller has gone, without spending time on them."""
CALM_SECONDS = 6.0
BURST_SECONDS, BURST_FACTOR = 4.0, 2.6
AFTER_SECONDS = 12.0

QUEUE = route(
    "reshuffle",
    priority=2,
    target_latency_ms=1000,
    stretch_factor=2.0,
    advice={"decision_ms": DECISION_MS, "each_ms": EACH_MS, "valid_ms": VALID_MS},
)
STEPS = [
    {"count": 2, "cpu": 1800, "mem_mb": 3200, "estimate_ms": 800},
    {"count": 2, "cpu": 1800, "mem_mb": 3200, "estimate_ms": 800, "after": [0]},
]
WORK = [{"work_ms": 800}, {"work_ms": 800}]


def _is_good(executor: str, step: str) -> bool:
    """Return whether the policy lets a step run on an executor: on half of them, and always so."""
    return hashlib.sha256(f"{step} {executor}".encode()).digest()[0] < 128


class _Turn:
    """A call that waits for its turn."""

    def __init__(self, request: Request) -> None:
        self.request = request
        self.ended = asyncio.Event()
        self.is_dropped = False


class Advisor:
    """Handles one call at a time, in turn, and answers 429 when 32 calls are waiting."""

    def __init__(self, record: Record) -> None:
        """Start without calls."""
        self._record = record
        self._waiting: deque[_Turn] = deque()
        self._busy = False
        self._tickets: dict[tuple[str, str], float] = {}
        """The end of the validity of each ticket, by executor and ticket."""

    async def handle(self, request: Request) -> Answer:
        """Answer a call about some executors."""
        body = request.json()
        arrived_at = time.monotonic()
        self._drop_abandoned()
        if self._busy:
            if len(self._waiting) >= MAX_WAITING:
                self._record(f"advice for {body['step']}: 429")
                return 429, None
            turn = _Turn(request)
            self._waiting.append(turn)
            await turn.ended.wait()
            if turn.is_dropped:
                return 429, None
        self._busy = True
        waited = time.monotonic() - arrived_at
        await asyncio.sleep((DECISION_MS + EACH_MS * len(body["workers"])) / 1000)
        good = [
            [worker, f"t-{body['step']}"]
            for worker in body["workers"]
            if _is_good(worker, body["step"])
        ]
        for worker, ticket in good:
            self._tickets[worker, ticket] = time.monotonic() + VALID_MS / 1000
        self._begin_next()
        caller = "its caller has gone" if request.is_abandoned() else "its caller is there"
        self._record(
            f"advice for {body['step']} answered after {waited:.2f} s of waiting, {caller}"
        )
        return 200, {"good": good, "valid_ms": VALID_MS}

    def _begin_next(self) -> None:
        self._drop_abandoned()
        if self._waiting:
            self._waiting.popleft().ended.set()
        else:
            self._busy = False

    def _drop_abandoned(self) -> None:
        if not SKIPS_ABANDONED:
            return
        for turn in tuple(self._waiting):
            if turn.request.is_abandoned():
                self._waiting.remove(turn)
                turn.is_dropped = True
                turn.ended.set()

    def is_valid(self, executor: str, task: str, ticket: str) -> bool:
        """Return whether a start on an executor carries a valid ticket of the task's step."""
        step = task.rpartition(".")[0]
        until = self._tickets.get((executor, ticket), 0.0)
        return ticket == f"t-{step}" and time.monotonic() <= until


async def _case(folder: Path, record: Record, trouble: bool) -> bool:
    advisor = Advisor(record)
    deployment = Deployment(folder, record, ["a"] * EXECUTORS, ticket_check=advisor.is_valid)
    server = Server(advisor.handle, deployment.advice_port)
    jobs: list[str] = []
    try:
        await server.start()
        await deployment.start([QUEUE])
        await _traffic(deployment, jobs, JOBS_PER_SECOND, CALM_SECONDS)
        if trouble:
            record(f"burst: {BURST_FACTOR} times the traffic for {BURST_SECONDS} s")
        factor = BURST_FACTOR if trouble else 1.0
        await _traffic(deployment, jobs, factor * JOBS_PER_SECOND, BURST_SECONDS)
        record("the traffic is as before")
        await _traffic(deployment, jobs, JOBS_PER_SECOND, AFTER_SECONDS)
        record("end of the traffic")
        await asyncio.sleep(FINISH_SECONDS)
        return await _holds(deployment, record, jobs)
    finally:
        await deployment.stop()
        server.close()


async def _traffic(
    deployment: Deployment, jobs: list[str], per_second: float, seconds: float
) -> None:
    new_id = job_ids()
    async with asyncio.TaskGroup() as clients:
        for _ in range(round(per_second * seconds)):
            job = new_id()
            jobs.append(job)
            clients.create_task(_client(deployment, job))
            await asyncio.sleep(1 / per_second)


async def _client(deployment: Deployment, job: str) -> None:
    if not await deployment.submit(job, QUEUE, STEPS, WORK):
        raise CaseError("a job was not accepted")


async def _holds(deployment: Deployment, record: Record, jobs: list[str]) -> bool:
    """Ask for the jobs, and check for 3 s whether something runs of those that are not over."""
    states = {job: await deployment.state(job, QUEUE) for job in jobs}
    unfinished = {job for job, state in states.items() if state not in ("completed", "failed")}
    seen: set[str] = set()
    busiest = 0.0
    for _ in range(int(IDLE_SECONDS / 0.1)):
        seen |= {job for job in unfinished if deployment.runs_of(job)}
        runs = sum(len(each.running) for each in deployment.executors)
        busiest = max(busiest, runs * 1800 / (16000 * EXECUTORS))
        await asyncio.sleep(0.1)
    record(f"at most {busiest:.0%} of the capacity is in use")
    starved = unfinished - seen
    for job in sorted(starved):
        record(f"LOST: job {job}: {deployment.starts_of(job)} starts, nothing runs for 3 s")
    record(
        f"{len(jobs)} jobs accepted, {len(unfinished)} not over, {len(starved)} with nothing running"
    )
    return not starved


main(Path(__file__).resolve().parent, _case)
