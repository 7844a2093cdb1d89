"""Tests of the search for executors of a step, in small fleets and with hundreds of executors.

The owner handles hundreds of starts a second, each of which could go to any of hundreds of
executors.
"""

import unittest
from dataclasses import replace
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st

from ...._ids import AttemptNumber
from .. import ExecutorState, Run, RunPhase, Task, _cost_caches
from .._candidates import EXECUTORS_PER_BATCH, Candidates
from .._cost_caches import CostCache
from .._interference import InterferenceModel
from .._pacing import adjust_pace
from .._placement_costs import choose, placement_cost, task_cost
from .._specs import StepSpec
from .builders_jobs import START_MS, OwnerUnderTest, job, learned, step

_LOADS = st.lists(st.integers(0, 15), min_size=1, max_size=6)
_SIZES = st.sampled_from([500, 1500, 4000])


class CandidatesTest(unittest.TestCase):
    """Compares the candidates with a choice among all executors."""

    @given(_LOADS, _SIZES, st.booleans(), st.integers(0, 2))
    def test_the_cheapest_executors_are_chosen(
        self, loads: list[int], cpu_millis: int, fills: bool, limit: int
    ) -> None:
        spec = step(
            count=12, cpu_millis=cpu_millis, uses_leftover_cpu=fills, per_executor_limit=limit
        )
        executors, tasks = _fleet(loads, spec)
        model = InterferenceModel()
        candidates = Candidates(tasks[0], executors, CostCache(tasks[0], model), 2.0)
        for task in tasks:
            expected = choose(task, executors, model, 2.0)
            chosen = candidates.best()
            self.assertIs(chosen, expected)
            if chosen is None:
                return
            chosen.add(Run(task, AttemptNumber(1), chosen, RunPhase.RUNNING, 0.0))

    @given(_LOADS, _SIZES, st.integers(0, 9), st.integers(1, 3))
    def test_any_usable_executor_is_found(
        self, loads: list[int], cpu_millis: int, first: int, batch_size: int
    ) -> None:
        """Guards against tasks that wait because the free executors were never considered."""
        executors, tasks = _fleet(loads, step(count=12, cpu_millis=cpu_millis))
        model = InterferenceModel()
        candidates = Candidates(
            tasks[0], executors, CostCache(tasks[0], model), 2.0, first, batch_size
        )
        for task in tasks:
            chosen = candidates.best()
            self.assertEqual(chosen is None, choose(task, executors, model, 2.0) is None)
            if chosen is None:
                return
            chosen.add(Run(task, AttemptNumber(1), chosen, RunPhase.RUNNING, 0.0))

    def test_a_start_in_a_large_fleet_costs_no_more_than_in_a_small_one(self) -> None:
        """Guards against an owner that falls behind because each start considers all executors."""
        executors, tasks = _fleet([1] * 400, step(count=12))
        with patch.object(
            _cost_caches, "placement_cost", wraps=placement_cost
        ) as placement_cost_mock:
            candidates = Candidates(
                tasks[0], executors, CostCache(tasks[0], InterferenceModel()), 2.0, first=390
            )
            for _ in tasks:
                self.assertIsNotNone(candidates.best())
        self.assertLessEqual(placement_cost_mock.call_count, EXECUTORS_PER_BATCH + len(tasks))

    def test_disturbance_is_not_recomputed_for_each_task(self) -> None:
        """Guards against an owner that falls behind because each start sums up all executors'
        loads."""
        executors, tasks = _fleet([1] * 100, step(count=12, uses_leftover_cpu=True))
        for executor in executors:
            executor.recent_min_headroom = {"web": 5.0}
        model = InterferenceModel()
        with patch.object(model, "lost_headroom", wraps=model.lost_headroom) as summed:
            for _ in range(10):
                candidates = Candidates(
                    tasks[0], executors, CostCache(tasks[0], model), 2.0, batch_size=len(executors)
                )
                for _ in tasks:
                    self.assertIsNotNone(candidates.best())
        self.assertEqual(summed.call_count, len(executors))

    def test_cost_follows_changes_on_an_executor(self) -> None:
        """Guards against work sent next to a service by an outdated state of the executor."""
        (executor,), (task, other_task, *_) = _fleet([1], step(count=12, uses_leftover_cpu=True))
        executor.recent_min_headroom = {"web": 1.0}
        model = InterferenceModel()

        def current_cost() -> float:
            cost = task_cost(task, executor, model, 100.0)
            assert cost is not None
            return cost

        alone = current_cost()
        added_run = Run(other_task, AttemptNumber(1), executor, RunPhase.RUNNING, 0.0)
        executor.add(added_run)
        self.assertGreater(current_cost(), alone)
        executor.remove(added_run)
        self.assertEqual(current_cost(), alone)
        list(adjust_pace(executor, (), model, executor.sampled_at + 1.0))
        self.assertLess(current_cost(), alone)

    def test_executors_near_the_data_are_always_examined(self) -> None:
        """Guards against tasks that take twice as long because their data's rack was not
        considered."""
        executors, tasks = _fleet([1] * 100, step(count=1, data_rack="r9"))
        near = executors[3]
        near.registration = replace(near.registration, labels=frozenset({"r9"}))
        candidates = Candidates(
            tasks[0], executors, CostCache(tasks[0], InterferenceModel()), 2.0, 50, 4
        )
        self.assertIs(candidates.best(), near)

    def test_another_batch_is_examined_if_all_executors_failed_recently(self) -> None:
        """Guards against work that goes to executors that fail everything while sound ones are
        free."""
        executors, tasks = _fleet([1] * 100, step(count=1))
        for executor in executors[:EXECUTORS_PER_BATCH]:
            executor.consecutive_failures = 1
        chosen = Candidates(
            tasks[0], executors, CostCache(tasks[0], InterferenceModel()), 2.0
        ).best()
        assert chosen is not None
        self.assertEqual(chosen.consecutive_failures, 0)

    def test_disturbing_work_goes_where_it_slows_services_least(self) -> None:
        """Guards against services over their target next to work that has a better executor.

        In a large fleet the better executor may be outside of the first batch of candidates.
        """
        owner = OwnerUnderTest(*(f"i-{number}" for number in range(2 * EXECUTORS_PER_BATCH)))
        owner.scheduler.adopt((learned("web", 2.0), learned("desk", 0.1)))
        executors = list(owner.scheduler.executors.values())
        for executor in executors:
            executor.recent_min_headroom = {"web": 1.5}
        executors[-1].recent_min_headroom = {"desk": 1.5}
        disturbing = step(cpu_millis=4000, image="noisy", uses_leftover_cpu=True)
        owner.scheduler.accept(job("00000000000000aa", disturbing), START_MS)
        (run,) = owner.place()
        self.assertIs(run.executor, executors[-1])


def _fleet(loads: list[int], spec: StepSpec) -> tuple[list[ExecutorState], list[Task]]:
    """Return executors with the given numbers of cores in use, and the tasks of a step."""
    owner = OwnerUnderTest(*(f"i-{number}" for number in range(len(loads))))
    executors = list(owner.scheduler.executors.values())
    for number, load in enumerate(loads):
        owner.scheduler.accept(job(f"{number + 10:016x}", step(cpu_millis=load * 1000)), START_MS)
        load_task = next(iter(owner.scheduler.jobs.live_tasks()))
        executor = executors[number]
        executor.add(Run(load_task, AttemptNumber(1), executor, RunPhase.RUNNING, 0.0))
    owner.scheduler.accept(job("00000000000000aa", spec), START_MS)
    accepted = owner.scheduler.jobs.get(job("00000000000000aa").job)
    assert accepted is not None
    return executors, list(accepted.tasks.values())
