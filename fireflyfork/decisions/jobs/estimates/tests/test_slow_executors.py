"""Load: wide steps whose estimate is far off, while one executor runs at a sixth of its speed."""

import unittest

from ... import EndReason, EstimateSettings, Run, RunningRow
from ...tests.builders_jobs import row, step
from .builders_estimates import RackedFleet, in_rack

SPEEDS = EstimateSettings(speeds=True)
SLOW = "i-0-0"
TASK_SECONDS = 1.0
SLOW_FACTOR = 6


class SlowExecutorTest(unittest.TestCase):
    """Tasks take one second, and six on the slow executor."""

    def _play(self, fleet: RackedFleet, runs: list[Run], seconds: float) -> None:
        """Let runs proceed for some time, and let those that are done end."""
        fleet.owner.now += seconds
        rows: dict[str, list[RunningRow]] = {run.executor.executor: [] for run in runs}
        for run in runs:
            rate = 100 / TASK_SECONDS / (SLOW_FACTOR if run.executor.executor == SLOW else 1)
            percent = int((fleet.owner.now - run.ordered_at) * rate)
            if percent < 100:
                rows[run.executor.executor].append(row(run, percent))
            elif run in run.task.runs:
                fleet.owner.end(run.executor.executor, run.task.name, run.attempt, EndReason.DONE)
        for executor, listed in rows.items():
            fleet.owner.poll(executor, *listed)
        fleet.owner.tick(0.05)

    def _start(self, fleet: RackedFleet, estimate_ms: int, tasks: int = 6) -> list[Run]:
        fleet.accept(step(count=tasks, per_executor_limit=1, estimate_ms=estimate_ms))
        return fleet.owner.place()

    def _teach(self, fleet: RackedFleet) -> None:
        """Let tasks end on all executors, so that the slow one is known."""
        for _ in range(3):
            runs = self._start(fleet, estimate_ms=30_000)
            for _ in range(7):
                self._play(fleet, runs, 1.0)

    def test_a_straggler_is_judged_by_its_peers(self) -> None:
        """Guards against a slow task that nobody notices because its estimate was much too long."""
        fleet = RackedFleet(racks=1, settings=SPEEDS)
        fleet.accept(step(count=8, per_executor_limit=1, estimate_ms=30_000, speculative=True))
        runs = fleet.owner.place()
        self._play(fleet, runs, 1.05)
        self._play(fleet, runs, 0.1)
        copies = fleet.owner.place()
        self.assertEqual([copy.task for copy in copies], [_on_slow(runs).task])

    def test_a_task_as_long_as_its_peers_is_none_although_its_estimate_was_short(self) -> None:
        """Guards against copies of whole steps whose estimate was much too short."""
        fleet = RackedFleet(racks=1, settings=SPEEDS)
        fleet.owner.executor(SLOW).cordoned = True
        fleet.accept(step(count=7, per_executor_limit=1, estimate_ms=50, speculative=True))
        runs = fleet.owner.place()
        self._play(fleet, runs, 0.4)
        self.assertEqual(fleet.owner.place(), [])

    def test_a_run_that_an_earlier_owner_started_is_no_measure(self) -> None:
        """Guards against copies of whole steps after a change of owner, because the runs that the
        new owner finds half done look as if they had taken no time."""
        fleet = RackedFleet(racks=2, settings=SPEEDS)
        fleet.accept(step(count=8, per_executor_limit=1, estimate_ms=1000, speculative=True))
        runs = fleet.owner.place()
        for run in runs[1:]:
            run.start_deadline_ms = 0
            run.ordered_at = fleet.owner.now + 0.9
        fleet.owner.now += 1.3
        for run in runs:
            fleet.owner.poll(run.executor.executor, row(run, 50 if run is runs[0] else 90))
        fleet.owner.tick(0.1)
        self.assertEqual(fleet.owner.place(), [])

    def test_a_run_far_from_its_data_is_not_compared(self) -> None:
        """Guards against copies of tasks that take longer since their data is on another rack."""
        fleet = RackedFleet(racks=2, size=4, settings=SPEEDS)
        changes = {"per_executor_limit": 1, "estimate_ms": 2000, "speculative": True}
        fleet.accept(step(count=5, data_rack="r0", **changes))
        runs = fleet.owner.place()
        (far,) = (run for run in runs if not in_rack(run, "r0"))
        near = [run for run in runs if run is not far]
        fleet.owner.now += 0.4
        for run in runs:
            fleet.owner.poll(run.executor.executor, row(run, 13 if run is far else 40))
        fleet.owner.tick(0.1)
        self.assertEqual(len(near), 4)
        self.assertEqual(fleet.owner.place(), [])

    def test_a_known_slow_executor_comes_last(self) -> None:
        """Guards against the task that its whole job waits for, on the slowest executor."""
        fleet = RackedFleet(racks=1, settings=SPEEDS)
        self._teach(fleet)
        runs = self._start(fleet, estimate_ms=1000, tasks=7)
        self.assertNotIn(SLOW, {run.executor.executor for run in runs})

    def test_the_speed_is_forgotten_with_age(self) -> None:
        """Guards against an executor that stays empty after it has recovered."""
        fleet = RackedFleet(racks=1, settings=SPEEDS)
        self._teach(fleet)
        for _ in range(40):
            fleet.owner.tick(1.0)
        fleet.poll(fleet.owner.scheduler.executors)
        runs = self._start(fleet, estimate_ms=1000, tasks=8)
        self.assertIn(SLOW, {run.executor.executor for run in runs})


def _on_slow(runs: list[Run]) -> Run:
    return next(run for run in runs if run.executor.executor == SLOW)
