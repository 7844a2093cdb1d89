"""``python -m fireflyfork_standins.scheduling.processes FOLDER``: the platform for scheduler processes.

Writes a settings file for each instance of ``fireflyfork-scheduler`` into FOLDER, serves the store and
the executors, waits for the instances, submits jobs, and prints a summary of the results.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random

import defopt
import trio

from fireflyfork.adapters import HttpClient, HttpError

from ._wire_callers import WireCallers
from ._wire_platform import WireLayout, WirePlatform

FIRST_PORT = 9201
READY_SECONDS = 30.0
PLAY_SECONDS = 120.0


def play(folder: Path, *, seed: int = 1, jobs: int = 100, jobs_per_second: float = 10.0) -> None:
    """Serve the platform and submit jobs.

    :param folder: folder for the settings files of the instances
    :param seed: seed of jobs and run times
    :param jobs: number of jobs
    :param jobs_per_second: mean rate at which jobs are submitted
    """
    layout = WireLayout(FIRST_PORT)
    for number in range(layout.instances):
        (folder / f"scheduler-{number}.conf").write_text(layout.settings(number), "utf-8")
    sys.exit(trio.run(_play, layout, Random(seed), jobs, jobs_per_second))


async def _play(layout: WireLayout, random: Random, jobs: int, per_second: float) -> int:
    platform = WirePlatform(layout, random)
    instances = tuple(layout.caller(number) for number in range(layout.instances))
    callers = WireCallers(instances, platform.history, random)
    async with trio.open_nursery() as nursery:
        await platform.run(nursery)
        with trio.fail_after(READY_SECONDS):
            for number in range(layout.instances):
                await wait_ready(layout, number)
        with trio.fail_after(PLAY_SECONDS):
            await callers.run(jobs, per_second)
        nursery.cancel_scope.cancel()
    print("\n".join(_lines(platform, callers)))
    return 1 if platform.history.violations else 0


async def wait_ready(layout: WireLayout, number: int) -> None:
    """Wait until an instance reports that it is ready."""
    client = HttpClient(layout.readiness(number), 1.0)
    while True:
        try:
            head, _ = await client.call("GET", "/readyz")
        except HttpError:
            # The instance isn't running yet.
            await trio.sleep(0.05)
            continue
        if head.status == 200:
            client.close()
            return
        await trio.sleep(0.05)


def _lines(platform: WirePlatform, callers: WireCallers) -> Iterator[str]:
    history = platform.history
    tries = ", ".join(f"{n} x {status}" for status, n in sorted(callers.tries.items()))
    states = ", ".join(f"{n} {state}" for state, n in sorted(callers.states.items()))
    p50, p99 = (callers.seconds.get_value_at_percentile(q) for q in (50, 99))
    yield f"scheduler as processes: tries {tries}; {history.starts} starts; jobs {states}"
    yield f"from handing in to the end: p50 {p50} ms, p99 {p99} ms; {platform.store.calls} store calls"
    yield f"{len(history.violations)} broken promises"
    yield from (
        f"  {violation.at:.2f} {violation.promise}: {violation.description}"
        for violation in history.violations
    )


if __name__ == "__main__":
    defopt.run(play)
