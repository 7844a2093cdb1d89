"""Rounds of placing on thousands of executors.

Pattern of the load: an owner of 3,000 executors takes over, and the tasks of dozens of jobs, no two
of the same shape, may start at the same moment.
"""

import unittest

from .._placement import MAX_COMPARED, MAX_COSTS_PER_ROUND
from .builders_jobs import START_MS, OwnerUnderTest, job, step

EXECUTORS = 3_000
JOBS = 40
TASKS_PER_JOB = 6


class RoundsAtSizeTest(unittest.TestCase):
    """An owner that has to renew its own lease while it places a backlog."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest(*(f"i-{number}" for number in range(EXECUTORS)))

    def _accept(self, **changes: object) -> None:
        for number in range(JOBS):
            spec = step(count=TASKS_PER_JOB, cpu_millis=1000 + number, **changes)
            self.owner.scheduler.accept(job(f"{number:016x}", spec), START_MS)

    def _round(self) -> tuple[int, bool]:
        """Place once; return the number of started tasks and whether some are left."""
        is_unfinished = self.owner.scheduler.place(self.owner.now, START_MS)
        return len(self.owner.scheduler.take_commands()), is_unfinished

    def test_a_round_stops_long_before_the_lease_of_the_owner_ends(self) -> None:
        """Guards against an owner that loses its service to the first round of its term."""
        self._accept(long_running=True, image="web", tail_target_ms=300)
        started, is_unfinished = self._round()
        self.assertTrue(is_unfinished)
        self.assertLessEqual(started, TASKS_PER_JOB * (MAX_COSTS_PER_ROUND // MAX_COMPARED + 1))

    def test_further_rounds_place_the_rest(self) -> None:
        """Guards against tasks that wait for the next tick because a round was cut short."""
        for name, changes in (
            ("long-running", {"long_running": True, "image": "web", "tail_target_ms": 300}),
            ("without a reservation", {"uses_leftover_cpu": True, "image": "batch"}),
        ):
            with self.subTest(name):
                self.setUp()
                self._accept(**changes)
                started, is_unfinished = self._round()
                while is_unfinished:
                    more, is_unfinished = self._round()
                    started += more
                self.assertEqual(started, JOBS * TASKS_PER_JOB)
