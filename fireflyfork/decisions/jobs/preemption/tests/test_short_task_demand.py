"""The share of the fleet that is kept free for short tasks.

Pattern of the load: jobs of short tasks arrive in waves of 13 s between 0.45 and 1.55 of the mean.
"""

import math
import unittest

from ... import PreemptionSettings, ReserveChanged
from ..._policies import SHORT_TASK_SHARE
from ..._queues import unknown_queue
from ..._runs import Job
from ...tests.builders_jobs import START_MS, job, step
from .._short_task_demand import MAX_SHARE, MIN_SHARE, WINDOW_SECONDS, ShortTaskDemand
from .builders_preemption import OTHER, URGENT, PreemptingOwner

TOTAL_MILLIS = 176 * 16_000


def _job(cores: float, at_ms: int, **changes: object) -> Job:
    """Return a job of one core-second for each of ``cores``."""
    spec = job("a", step(cpu_millis=int(cores * 1000), **changes), accepted_ms=at_ms)
    return Job(spec, unknown_queue(spec))


class ShortTaskDemandTest(unittest.TestCase):
    """How the share follows demand."""

    def setUp(self) -> None:
        self.demand = ShortTaskDemand()
        self.second = 0
        self.shares: list[float] = []

    def _pass(self, seconds: int, cores: float, swing: float = 0.0) -> None:
        for _ in range(seconds):
            now_ms = START_MS + self.second * 1000
            wave = 1 + swing * math.sin(self.second * 2 * math.pi / 13)
            self.demand.add(_job(cores * wave, now_ms))
            self.second += 1
            self.demand.update(TOTAL_MILLIS, float(self.second), now_ms + 1000)
            self.shares.append(self.demand.share)

    def test_unknown_demand_keeps_the_usual_share(self) -> None:
        """Guards against a fleet that long-running tasks fill before demand has been seen."""
        self._pass(WINDOW_SECONDS - 1, 1.0)
        self.assertEqual(set(self.shares), {SHORT_TASK_SHARE})

    def test_the_peak_of_a_wave_lies_within_the_share(self) -> None:
        """Guards against waves of short tasks that find every processor reserved."""
        cores = 500.0
        self._pass(60, cores, 0.55)
        self.assertGreaterEqual(self.demand.share * TOTAL_MILLIS, 1.55 * cores * 1000)
        self.assertLess(self.demand.share * TOTAL_MILLIS, 2 * cores * 1000)

    def test_little_demand_gives_room_to_long_running_tasks(self) -> None:
        self._pass(120, 10.0)
        self.assertEqual(self.demand.share, MIN_SHARE)

    def test_the_share_is_bounded(self) -> None:
        self._pass(60, 5_000.0)
        self.assertEqual(self.demand.share, MAX_SHARE)

    def test_the_share_does_not_follow_every_wave(self) -> None:
        """Guards against long-running tasks that are let in at each trough and then in the way."""
        self._pass(60, 500.0, 0.55)
        self.shares.clear()
        self._pass(60, 500.0, 0.55)
        changes = sum(a != b for a, b in zip(self.shares, self.shares[1:], strict=False))
        self.assertLessEqual(changes, 3)

    def test_work_that_reserves_nothing_needs_no_share(self) -> None:
        for changes in ({"uses_leftover_cpu": True}, {"long_running": True}):
            with self.subTest(changes):
                demand = ShortTaskDemand()
                for second in range(60):
                    now_ms = START_MS + second * 1000
                    demand.add(_job(5_000.0, now_ms, **changes))
                    demand.update(TOTAL_MILLIS, float(second), now_ms)
                self.assertLessEqual(demand.share, SHORT_TASK_SHARE)


class ReserveTest(unittest.TestCase):
    """What the scheduler does with the shares."""

    def _owner(self, adaptive: bool) -> PreemptingOwner:
        settings = PreemptionSettings(adaptive_reserve=adaptive)
        owner = PreemptingOwner("i-0", "i-1", preemption=settings)
        for _ in range(40):
            owner.submit(URGENT, step(count=4, cpu_millis=2_000))
            owner.run_until_listed(1.0)
        return owner

    def test_less_urgent_short_tasks_leave_room_for_urgent_ones(self) -> None:
        """Guards against waves of urgent tasks that have to stop what was let in just before."""
        for adaptive, expected in ((True, 12), (False, 16)):
            with self.subTest(adaptive=adaptive):
                owner = self._owner(adaptive)
                owner.run_until_listed(1.2)
                spec = owner.submit(OTHER, step(count=16, cpu_millis=2_000, estimate_ms=9_000))
                owner.run_until_listed(0.3)
                self.assertEqual(len(owner.runs_of(spec)), expected)

    def test_changes_of_the_shares_are_noted(self) -> None:
        """Guards against a reserve that operators can't see."""
        notes = self._owner(True).scheduler.take_notes()
        changes = [note for note in notes if isinstance(note, ReserveChanged)]
        self.assertTrue(0 < len(changes) <= 8)
        self.assertGreater(changes[-1].short_task_share, SHORT_TASK_SHARE)

    def test_long_running_tasks_leave_the_learned_share(self) -> None:
        for adaptive, expected in ((True, 12), (False, 14)):
            with self.subTest(adaptive=adaptive):
                owner = self._owner(adaptive)
                spec = owner.submit(URGENT, step(count=16, cpu_millis=2_000, long_running=True))
                owner.run_until_listed(2.0)
                self.assertEqual(len(owner.runs_of(spec)), expected)
