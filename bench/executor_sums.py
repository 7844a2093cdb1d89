"""``python -m bench.executor_sums``: the cost of the sums over the runs of an executor.

Compares sums that are kept, by adding and subtracting what each run counted for, with sums that are
computed from the runs when they are read after a change.
"""

from __future__ import annotations

from dataclasses import replace
from time import perf_counter

from fireflyfork._ids import AttemptNumber
from fireflyfork.decisions.jobs import ExecutorState, Run
from fireflyfork.decisions.jobs._run_demand import RunDemand
from fireflyfork.decisions.jobs._runs import Job, RunPhase, Task
from fireflyfork.decisions.jobs._specs import TaskKey
from fireflyfork.decisions.jobs.tests.builders_jobs import START, job, queue, registration, step

RUNS = (1, 20, 200, 600)
"""Runs on the executor. Without requests, all tasks of a large job fit on one."""
CHANGES = 2_000


def _runs(executor: ExecutorState, count: int) -> list[Run]:
    spec = job("a" * 16, replace(step(cpu_millis=0, memory_mb=0), count=count))
    owner = Job(spec, queue())
    tasks = [
        Task(owner, key, key.name(spec.job), spec.steps[0])
        for key in (TaskKey(0, 0, index) for index in range(count))
    ]
    return [Run(task, AttemptNumber(1), executor, RunPhase.RUNNING, START) for task in tasks]


def _computed(executor: ExecutorState) -> tuple[int, int]:
    demands = [RunDemand.of(run) for run in executor.runs.values()]
    cpu_millis = sum(each.reserved_cpu_millis for each in demands)
    return cpu_millis, sum(each.memory_mb for each in demands)


def _microseconds(count: int, compute: bool) -> float:
    """Return the time of a change and a read of two of the sums, in microseconds."""
    executor = ExecutorState(registration(), START)
    runs = _runs(executor, count)
    for run in runs:
        executor.add(run)
    started_at = perf_counter()
    for number in range(CHANGES):
        run = runs[number % count]
        executor.remove(run)
        executor.add(run)
        if compute:
            _computed(executor)
        else:
            executor.fits(0, 0, 0)
    return (perf_counter() - started_at) / CHANGES * 1e6


def main() -> None:
    """Print a row for each number of runs."""
    print("runs  us an end and a start, kept  computed")
    for count in RUNS:
        kept, computed = (_microseconds(count, compute) for compute in (False, True))
        print(f"{count:4}  {kept:27.1f}  {computed:8.1f}")


if __name__ == "__main__":
    main()
