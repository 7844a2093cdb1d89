"""Evacuated failure domains: no new runs, and long-running tasks that move elsewhere."""

import unittest
from unittest.mock import patch

from ...._ids import FailureDomainName
from .. import Run, _evacuations
from .builders_jobs import START_MS, OwnerUnderTest, job, registration, row, step

EMPTIED = registration().failure_domain
OTHER = FailureDomainName("other")


class EvacuationTest(unittest.TestCase):
    """An owner of two executors in one failure domain and, if needed, one in another."""

    def setUp(self) -> None:
        self.owner = OwnerUnderTest("i-0", "i-1")

    def _add_executor_elsewhere(self) -> None:
        entry = registration("i-9", failure_domain=OTHER)
        self.owner.scheduler.register(entry, self.owner.now)
        self.owner.poll("i-9")

    def _evacuate(self, *domains: FailureDomainName) -> None:
        self.owner.scheduler.evacuate(frozenset(domains))

    def _serving(self, count: int, budget: int = 0) -> list[Run]:
        spec = step(count=count, long_running=True, per_executor_limit=1, unavailable_budget=budget)
        self.owner.scheduler.accept(job("00000000000000aa", spec), START_MS)
        runs = self.owner.place()
        for run in runs:
            self.owner.poll(run.executor.executor, row(run, 100))
        return runs

    def test_waiting_tasks_start_only_elsewhere(self) -> None:
        """Guards against starts in a failure domain that is about to lose power."""
        self._evacuate(EMPTIED)
        self.owner.scheduler.accept(job(), START_MS)
        self.assertEqual(self.owner.place(), [])
        self._add_executor_elsewhere()
        self.owner.tick(0.1)
        (run,) = self.owner.place()
        self.assertEqual(run.executor.executor, "i-9")

    def test_a_start_that_waits_to_be_sent_is_dropped(self) -> None:
        """Guards against a start that was decided before the request and sent long after it."""
        self.owner.scheduler.accept(job(), START_MS)
        (run,) = self.owner.send()
        self._evacuate(EMPTIED)
        self.assertFalse(self.owner.scheduler.prepare_start(run, self.owner.now))

    def test_executors_registered_during_an_evacuation_get_no_runs(self) -> None:
        """Guards against starts on executors that appear, or restart, in an evacuated domain."""
        self._evacuate(EMPTIED)
        self.owner.scheduler.register(registration("i-2"), self.owner.now)
        self.owner.poll("i-2")
        self.owner.scheduler.register(registration("i-0", incarnation=2), self.owner.now)
        self.owner.poll("i-0", incarnation=2)
        for name in ("i-0", "i-2"):
            self.assertFalse(self.owner.executor(name).is_usable(self.owner.now))

    def test_executors_known_from_an_earlier_owner_get_no_runs(self) -> None:
        """Guards against starts by a new owner that took over during an evacuation."""
        self._evacuate(EMPTIED)
        known = registration("i-7")
        self.owner.scheduler.recover((), (), (known,), self.owner.now, START_MS)
        self.assertTrue(self.owner.executor("i-7").evacuated)

    def test_a_withdrawn_request_frees_the_executors(self) -> None:
        self._evacuate(EMPTIED)
        self._evacuate()
        self.owner.scheduler.accept(job(), START_MS)
        self.assertEqual(len(self.owner.place()), 1)

    def test_long_running_tasks_move_within_their_budget(self) -> None:
        """Guards against a service that loses all of its tasks at the moment of the request."""
        self._serving(2)
        self._add_executor_elsewhere()
        self._evacuate(EMPTIED)
        self.owner.tick(0.1)
        self.assertEqual(len(self.owner.stops()), 1)

    def test_a_long_running_task_without_another_place_keeps_running(self) -> None:
        """Guards against stopping work for an evacuation that nobody else can take over."""
        self._serving(2)
        self._evacuate(EMPTIED)
        self.owner.tick(0.1)
        self.assertEqual(self.owner.stops(), [])

    def test_other_tasks_end_by_themselves(self) -> None:
        """Guards against thrown away work: a batch task ends long before the domain is empty."""
        self.owner.scheduler.accept(job(), START_MS)
        (run,) = self.owner.place()
        self.owner.poll(run.executor.executor, row(run, 50))
        self._add_executor_elsewhere()
        self._evacuate(EMPTIED)
        self.owner.tick(0.1)
        self.assertEqual(self.owner.stops(), [])

    def test_a_check_compares_executors_for_a_few_runs(self) -> None:
        """Guards against an owner that compares its fleet for each run of a large domain at once."""
        for number in range(2, 9):
            self.owner.scheduler.register(registration(f"i-{number}"), self.owner.now)
            self.owner.poll(f"i-{number}")
        runs = self._serving(9, budget=9)
        self._evacuate(EMPTIED)
        self._add_executor_elsewhere()
        with patch.object(_evacuations, "choose", return_value=None) as chosen:
            self.owner.tick(0.1)
            self.assertEqual(chosen.call_count, _evacuations.MAX_RUNS_PER_CHECK)
            for _ in range(2):
                self.owner.tick(0.1)
            compared = {call.args[0].name for call in chosen.call_args_list}
        self.assertEqual(compared, {run.task.name for run in runs})
