"""Load: wide steps that fail wherever they run, beside executors that do well otherwise."""

import unittest

from ... import EstimateSettings, JobState, Run, StepOnTrial
from ...tests.builders_jobs import step
from .builders_estimates import RackedFleet, in_rack

WIDTH = 24


class HopelessStepsTest(unittest.TestCase):
    """A job whose tasks all fail is given up with few runs."""

    def _play_until_over(self, fleet: RackedFleet, hopeless: str) -> list[Run]:
        """Play rounds with other jobs until the job is over; return the runs of the job."""
        runs: list[Run] = []
        for _ in range(20):
            played = fleet.round(lambda run: _is_of(run, hopeless), jobs=8)
            runs += [run for run in played if _is_of(run, hopeless)]
            if runs[0].task.job.state is JobState.FAILED:
                break
        self.assertIs(runs[0].task.job.state, JobState.FAILED)
        return runs

    def test_after_the_first_failures_few_tasks_are_tried_at_a_time(self) -> None:
        """Guards against a job that can't be done taking three runs of each of its tasks."""
        fleet = RackedFleet()
        runs = self._play_until_over(fleet, fleet.accept(step(count=WIDTH)))
        self.assertLessEqual(len(runs), WIDTH + 4)
        self.assertTrue(any(isinstance(note, StepOnTrial) for note in fleet.notes()))

    def test_a_hopeless_step_does_not_condemn_the_executors(self) -> None:
        """Guards against good executors that stay idle because a job failed on all of them."""
        fleet = RackedFleet()
        self._play_until_over(fleet, fleet.accept(step(count=WIDTH)))
        self.assertEqual({type(note) for note in fleet.notes()}, {StepOnTrial})
        cores = 16 * len(fleet.owner.scheduler.executors)
        self.assertEqual(len(fleet.round(lambda run: False, jobs=cores)), cores)

    def test_a_step_that_a_failing_rack_has_failed_runs_whole_after_one_good_end(self) -> None:
        """Guards against a good step that is held back for the fault of executors."""
        fleet = RackedFleet()
        name = fleet.accept(step(count=WIDTH))
        ends = 0
        for _ in range(10):
            played = fleet.round(lambda run: in_rack(run, "r0"), jobs=8)
            ends += sum(_is_of(run, name) and not in_rack(run, "r0") for run in played)
        self.assertEqual(ends, WIDTH)

    def test_without_the_setting_all_tasks_are_tried(self) -> None:
        """Guards against a limit that nobody has asked for."""
        fleet = RackedFleet(settings=EstimateSettings(group_failures=True))
        runs = self._play_until_over(fleet, fleet.accept(step(count=WIDTH)))
        self.assertEqual(len(runs), 3 * WIDTH)


def _is_of(run: Run, job: str) -> bool:
    return run.task.job.spec.job == job
