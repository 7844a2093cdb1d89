"""Load: six tenths of the jobs of one kind want the rack that holds their data."""

import unittest

from ... import EstimateSettings, Run
from ...tests.builders_jobs import START_MS, step
from .builders_estimates import RackedFleet, in_rack

WAITS = EstimateSettings(delay_scheduling=True)
WANTED = "r0"
CORES = 8 * 16


class WaitingForRacksTest(unittest.TestCase):
    """The rack that many tasks want is full; a task takes twice as long on any other one."""

    def setUp(self) -> None:
        self.fleet = RackedFleet(settings=WAITS)

    def _fill_rack(self, seconds: float) -> list[Run]:
        """Fill the wanted rack with tasks that take some time."""
        self.fleet.accept(step(count=CORES, required_label=WANTED, estimate_ms=int(1000 * seconds)))
        return self.fleet.owner.place()

    def _later(self, seconds: float) -> None:
        self.fleet.owner.now += seconds
        self.fleet.owner.scheduler.check_time(
            self.fleet.owner.now, START_MS + self.fleet.owner.clock()
        )

    def test_a_task_waits_for_its_rack_if_room_is_free_soon(self) -> None:
        """Guards against tasks that take twice as long far from their data to save a moment."""
        self._fill_rack(0.3)
        self.fleet.accept(step(data_rack=WANTED, estimate_ms=1500))
        self.assertEqual(self.fleet.owner.place(), [])

    def test_it_runs_elsewhere_if_the_wait_would_be_longer_than_what_it_saves(self) -> None:
        """Guards against tasks that wait for a full rack while other racks are idle."""
        self._fill_rack(5.0)
        self.fleet.accept(step(data_rack=WANTED, estimate_ms=1500))
        (run,) = self.fleet.owner.place()
        self.assertFalse(in_rack(run, WANTED))

    def test_it_does_not_wait_for_a_rack_that_has_room(self) -> None:
        """Guards against a wait beside executors with room that are worse for other reasons."""
        for name, executor in self.fleet.owner.scheduler.executors.items():
            executor.consecutive_failures = 1 if name.startswith("i-0") else 0
        self.fleet.accept(step(data_rack=WANTED, estimate_ms=1500))
        (run,) = self.fleet.owner.place()
        self.assertFalse(in_rack(run, WANTED))

    def test_it_stops_waiting_when_the_room_does_not_come(self) -> None:
        """Guards against a wait without an end because tasks take longer than estimated."""
        self._fill_rack(0.3)
        self.fleet.accept(step(data_rack=WANTED, estimate_ms=1000))
        self.assertEqual(self.fleet.owner.place(), [])
        self._later(1.1)
        self.assertEqual(len(self.fleet.owner.place()), 1)

    def test_tasks_without_data_are_not_held_back_by_those_that_wait(self) -> None:
        """Guards against a task that waits by choice and holds up all tasks of its size."""
        self._fill_rack(0.3)
        self.fleet.accept(step(data_rack=WANTED, estimate_ms=1500))
        self.fleet.accept(step(estimate_ms=1500))
        self.assertEqual(len(self.fleet.owner.place()), 1)

    def test_six_tenths_that_want_one_rack_fill_the_others_too(self) -> None:
        """Guards against a queue at one rack that is longer than what its tasks save there."""
        self._fill_rack(0.3)
        for number in range(600):
            wanted = WANTED if number % 10 < 6 else ""
            self.fleet.accept(step(data_rack=wanted, estimate_ms=1000))
        placed = self.fleet.owner.place()
        far = [run for run in placed if run.task.spec.data_rack and not in_rack(run, WANTED)]
        without_data = [run for run in placed if not run.task.spec.data_rack]
        # The rack works off 128 cores' worth in the second that its tasks would lose elsewhere.
        self.assertGreater(len(far), 0)
        self.assertGreater(len(placed), 3 * CORES * 0.75)
        self.assertGreater(len(without_data), 100)

    def test_without_the_setting_nothing_waits(self) -> None:
        """Guards against a change of the scheduler for those who haven't asked for it."""
        self.fleet = RackedFleet(settings=EstimateSettings())
        self._fill_rack(0.3)
        self.fleet.accept(step(data_rack=WANTED, estimate_ms=1500))
        self.assertEqual(len(self.fleet.owner.place()), 1)
