"""The search for a better arrangement of services in a fleet of hundreds of executors.

All executors serve mixtures of several services, and batch work that these mixtures reject waits
all the time, so a search runs every half second. With 270 executors each search blocked the owner
for a quarter of a second.
"""

import unittest
from unittest.mock import patch

from ...._ids import AttemptNumber
from .. import Run, RunPhase
from .._arrangement import UsefulLeftover
from .builders_jobs import START_MS, OwnerUnderTest, job, learned, row, step

IMAGES = ("web", "desk", "mail", "maps")
HEAVY, LIGHT = 6.0, 0.1
LARGE, SMALL = 400, 40


def _fleet(size: int, mixed: range) -> OwnerUnderTest:
    """Return executors that serve one service each; those in ``mixed`` serve a second one too."""
    owner = OwnerUnderTest(*(f"i-{number}" for number in range(size)))
    owner.scheduler.adopt(
        tuple(learned(image, LIGHT if image == "desk" else HEAVY) for image in IMAGES)
    )
    for number in range(size):
        images = [IMAGES[number % 4]]
        if number in mixed:
            images.append(IMAGES[(number + 1) % 4])
        for image in images:
            _serve(owner, f"i-{number}", image)
    noisy = step(
        count=4 * size, cpu_millis=9000, memory_mb=20000, uses_leftover_cpu=True, image="noisy"
    )
    owner.scheduler.accept(job("00000000000000bb", noisy), START_MS)
    owner.place()
    return owner


def _serve(owner: OwnerUnderTest, name: str, image: str) -> None:
    """Run a task of a service on an executor."""
    number = len(owner.scheduler.jobs) + 0x100
    long_running_step = step(cpu_millis=5000, image=image, tail_target_ms=50, long_running=True)
    spec = job(f"{number:016x}", long_running_step)
    owner.scheduler.accept(spec, START_MS)
    accepted = owner.scheduler.jobs.get(spec.job)
    assert accepted is not None
    (task,) = accepted.tasks.values()
    run = Run(task, AttemptNumber(1), owner.executor(name), RunPhase.RUNNING, owner.now)
    task.attempt = run.attempt
    task.runs.append(run)
    run.progress_percent = 100
    run.executor.add(run)


def _poll_all(owner: OwnerUnderTest) -> None:
    for name in owner.scheduler.executors:
        runs = [run for run in owner.scheduler.executors[name].runs.values() if run.is_active]
        owner.poll(str(name), *(row(run, 100, 20.0) for run in runs))


def _most_comparisons(size: int) -> int:
    """Return the maximum number of evaluations of executors in one tick."""
    owner = _fleet(size, range(size))
    _poll_all(owner)
    plain = UsefulLeftover.millis
    max_calls = 0
    for _ in range(20):
        with patch.object(UsefulLeftover, "millis", autospec=True, side_effect=plain) as asked:
            owner.tick(0.1)
        max_calls = max(max_calls, asked.call_count)
        owner.stops()
    return max_calls


class ArrangementAtSizeTest(unittest.TestCase):
    """The cost of a search in a large fleet, and the tasks that it moves."""

    def test_search_cost_is_independent_of_fleet_size(self) -> None:
        """Guards against an owner that is blocked by each search while polls and starts wait."""
        self.assertLessEqual(_most_comparisons(LARGE), 1.5 * _most_comparisons(SMALL))

    def test_misplaced_tasks_in_a_large_fleet_are_moved(self) -> None:
        """Guards against searches that never reach some executors."""
        for first in (0, LARGE // 2, LARGE - 4):
            with self.subTest(first=first):
                owner = _fleet(LARGE, range(first, first + 2))
                _poll_all(owner)
                moved: list[Run] = []
                for _ in range(100):
                    owner.tick(0.1)
                    moved += owner.stops()
                places = {str(run.executor.executor) for run in moved}
                self.assertTrue(places & {f"i-{first}", f"i-{first + 1}"}, places)
