"""Measures how failures affect submitters of batch jobs; ``bash scripts/failures.sh`` runs it.

Jobs are submitted through the planners while workers, the store and the platform fail. At the end
the history of the platform shows whether a task ran twice at the same time, ran again after it had
finished, or a worker received more than its capacity. With the argument ``judge`` only the history
is checked.
"""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import trio

from fireflyfork import Address, JobId, Resources, TeamName, Worker
from fireflyfork.adapters import HttpClient
from fireflyfork.programs import BatchClient, JobRequest, JobStatus
from fireflyfork.programs._batch_client import BatchCallError
from fireflyfork_standins._history_checks import history_problems
from fireflyfork_standins._simulated_workers import EventKind, HistoryEvent
from fireflyfork_standins.demo_settings import GIB, PLANNERS

PLATFORM = Address("127.0.0.1", 9003)
STORE = Address("127.0.0.1", 9001)
REGIONS = ("viti", "vanua")
TASKS = 48
RUN_SECONDS = 3.0
LONGEST_SECONDS = 180.0

Action = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Phase:
    """A failure that is injected while a job runs."""

    name: str
    before: Action
    """Runs before the job is submitted."""
    during: Action
    """Runs two seconds after the job is submitted."""


async def main() -> None:
    """Run all phases, then check the history of the platform."""
    if "judge" not in sys.argv:
        client = BatchClient(tuple(Address("127.0.0.1", planner[3]) for planner in PLANNERS))
        for phase in PHASES:
            await _run(client, phase)
    await _check_history()


async def _run(client: BatchClient, phase: Phase) -> None:
    job = JobRequest(
        JobId(phase.name.replace(" ", "-")),
        TeamName("letters"),
        "letters",
        Resources(500, GIB),
        run_seconds=RUN_SECONDS,
        tasks=TASKS,
    )
    await phase.before()
    begun = trio.current_time()
    submitted = await _submit(client, job)
    await trio.sleep(2.0)
    await phase.during()
    status = await _wait_until_ended(client, job.job_id)
    seconds = trio.current_time() - begun
    print(f"{phase.name}: submitted {submitted}, {status.states} after {seconds:.1f} s", flush=True)


async def _submit(client: BatchClient, job: JobRequest) -> str:
    """Submit the job until a planner confirms that it is stored, and describe the answers.

    Repeating a submission under the same id is safe, because it has no further effect.
    """
    answers: list[str] = []
    while True:
        try:
            await client.submit(job)
        except BatchCallError as error:
            answers.append(f"stored: {error.problem.accepted}")
            await trio.sleep(1.0)
            continue
        return (
            ", then ".join([*answers, "stored"])
            if len(answers) < 3
            else f"after {len(answers)} repeats"
        )


async def _wait_until_ended(client: BatchClient, job: JobId) -> JobStatus:
    with trio.fail_after(LONGEST_SECONDS):
        while True:
            status = await client.status(job)
            if status.state != "open":
                return status
            await trio.sleep(0.2)


async def _check_history() -> None:
    client = HttpClient(PLATFORM, 10.0)
    _, history = await client.call("GET", "/history")
    workers: list[Worker] = []
    for region in REGIONS:
        _, listed = await client.call("GET", f"/v1/workers?region={region}")
        workers += msgspec.json.decode(listed, type=tuple[Worker, ...])
    client.close()
    events = msgspec.json.decode(history, type=tuple[HistoryEvent, ...])
    problems = list(history_problems(events, workers))
    starts = sum(event.kind is EventKind.STARTED for event in events)
    print(f"{starts} starts on the workers; broken promises: {len(problems)}")
    for problem in problems[:10]:
        print(f"  {problem}")


async def _nothing() -> None:
    """Inject no failure."""


def _put(address: Address, target: str, plain: dict[str, object]) -> Action:
    async def action() -> None:
        client = HttpClient(address, 5.0)
        await client.call("PUT", target, (), msgspec.json.encode(plain))
        client.close()

    return action


def _switch_temporarily(address: Address, switches: dict[str, object], seconds: float) -> Action:
    async def action() -> None:
        await _put(address, "/switches", switches)()
        await trio.sleep(seconds)
        await _put(address, "/switches", {})()

    return action


BROKEN_WORKERS: tuple[str, ...] = ("suva-rack-0", "nadi-rack-3")

PHASES = (
    Phase("all well", _nothing, _nothing),
    Phase(
        "two workers fail every task",
        _put(PLATFORM, "/faults", {"fail_all": BROKEN_WORKERS}),
        _nothing,
    ),
    Phase(
        "store down for 15 s",
        _put(PLATFORM, "/faults", {}),
        _switch_temporarily(STORE, {"down": True}, 15.0),
    ),
    Phase(
        "five answers of the store lost", _put(STORE, "/switches", {"lose_answers": 5}), _nothing
    ),
    Phase("platform down for 15 s", _nothing, _switch_temporarily(PLATFORM, {"down": True}, 15.0)),
    Phase(
        "five answers of the platform lost",
        _put(PLATFORM, "/switches", {"lose_answers": 5}),
        _nothing,
    ),
)


if __name__ == "__main__":
    trio.run(main)
