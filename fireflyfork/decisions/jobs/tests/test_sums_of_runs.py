"""Sums, counts and sets that are kept beside the runs, after any history of a service."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis.stateful import invariant

from .. import EndReason, ExecutorState, Run
from .builders_histories import ServiceHistory
from .builders_jobs import OwnerUnderTest, job, queue, row, step, table


def expected_sums(executor: ExecutorState) -> dict[str, object]:
    """Return the sums of an executor, computed anew from its runs."""
    runs = list(executor.runs.values())
    steps = [run.task.spec for run in runs]
    serving = [each for each in steps if each.tail_target_ms]
    disturbing: Counter[str] = Counter()
    for each in steps:
        if not each.tail_target_ms:
            disturbing[each.image] += each.cpu_millis
    return {
        "used_cpu_millis": sum(each.reserved_cpu_millis for each in steps),
        "long_running_cpu_millis": sum(
            each.reserved_cpu_millis for each in steps if each.long_running
        ),
        "urgent_cpu_millis": sum(
            run.task.spec.reserved_cpu_millis
            for run in runs
            if run.task.job.queue.priority == 0 and not run.task.spec.long_running
        ),
        "serving_cpu_millis": sum(each.reserved_cpu_millis for each in serving),
        "best_effort_cpu_millis": sum(each.cpu_millis for each in steps if each.uses_leftover_cpu),
        "used_memory_mb": sum(each.memory_mb for each in steps),
        "used_accelerators": sum(each.accelerators for each in steps),
        "serving_counts": dict(Counter(each.image for each in serving)),
        "disturbing_cpu_millis": {image: cpu for image, cpu in disturbing.items() if cpu},
    }


def kept_sums(executor: ExecutorState) -> dict[str, object]:
    """Return the sums that are kept for an executor."""
    return {name: getattr(executor, name) for name in expected_sums(executor)}


class SumsMachine(ServiceHistory):
    """Any history of a service."""

    @invariant()
    def sums_are_those_of_the_runs(self) -> None:
        """Each sum is the one that is computed anew."""
        for executor in self.service.states():
            assert kept_sums(executor) == expected_sums(executor), executor.executor
            assert executor.run_demands.keys() == executor.runs.keys()

    @invariant()
    def reserved_room_is_that_of_the_reservations(self) -> None:
        """The room for moved tasks is that of the reservations in force."""
        kept = self.service.scheduler._state.move_reservations._reservations
        for executor in self.service.states():
            specs = [task.spec for task, each in kept.items() if each.executor is executor]
            assert executor.incoming_cpu_millis == sum(each.reserved_cpu_millis for each in specs)
            assert executor.incoming_memory_mb == sum(each.memory_mb for each in specs)

    @invariant()
    def tasks_are_counted_once(self) -> None:
        """The records of tasks, and what remains of each step, agree with the tasks."""
        table = self.service.scheduler.jobs
        live = list(table._jobs.values())
        assert table._open_tasks == sum(len(each.tasks) for each in live)
        for each in live:
            remaining = Counter((key.occurrence, key.step) for key in each.tasks)
            kept = {key: count for key, count in each.remaining_tasks.items() if count}
            assert kept == dict(remaining), each.spec.job

    @invariant()
    def shares_hold_the_runs_of_their_queues(self) -> None:
        """No share is charged for a run that is over."""
        policy = self.service.scheduler._state.policies.order
        running = {run for executor in self.service.states() for run in executor.runs.values()}
        for use in policy._shares._uses.values():  # type: ignore[attr-defined]
            assert use.runs <= running
            assert use.cpu_millis == sum(run.task.spec.cpu_millis for run in use.runs)
            assert use.memory_mb == sum(run.task.spec.memory_mb for run in use.runs)

    @invariant()
    def counts_of_serving_runs_name_runs(self) -> None:
        """What is remembered of a run is forgotten with it."""
        estimates = self.service.scheduler._state.policies.estimates
        running = {run for executor in self.service.states() for run in executor.runs.values()}
        assert estimates._serving <= running  # type: ignore[attr-defined]


SumsTest = SumsMachine.TestCase
"""Guards against a sum that changes by another amount when a run ends than when it began."""
SumsTest.settings = settings(max_examples=250, stateful_step_count=50, deadline=None)


class ZeroRequestsTest(unittest.TestCase):
    """Tasks that request nothing of one kind or of all."""

    def test_ends_of_tasks_without_processor_time(self) -> None:
        """Guards against an owner that ends when the second of two such tasks has ended."""
        for changes in (
            {},
            {"memory_mb": 0},
            {"image": "letters"},
            {"uses_leftover_cpu": True},
            {"speculative": True, "checkpointing": True, "per_executor_limit": 2},
        ):
            with self.subTest(changes):
                owner = OwnerUnderTest("i-0")
                owner.scheduler.accept(job("a" * 16, step(count=2, cpu_millis=0, **changes)), 0)
                runs = owner.place()
                self.assertEqual(len(runs), 2)
                for run in runs:
                    owner.end("i-0", run.task.name, run.attempt, EndReason.DONE)
                owner.poll()
                self.assertEqual(kept_sums(owner.executor()), expected_sums(owner.executor()))
                self.assertEqual(owner.executor().runs, {})

    def test_a_task_without_processor_time_beside_one_with_some(self) -> None:
        """Guards against the end of a usual task that forgets the image of the other."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job("a" * 16, step(cpu_millis=0), step(cpu_millis=500)), 0)
        first, second = owner.place()
        for run in (second, first):
            owner.end("i-0", run.task.name, run.attempt, EndReason.DONE)
            owner.poll("i-0", *(row(each) for each in (first,) if run is second))
            self.assertEqual(kept_sums(owner.executor()), expected_sums(owner.executor()))


class PriorityChangeTest(unittest.TestCase):
    """A queue whose priority changes while its runs go on."""

    def _run_through(self, before: int, during: int) -> tuple[int, int]:
        """Return the urgent CPU time during the second priority, and after the run's end."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.configure(table(queue(priority=before)))
        owner.scheduler.accept(job(), 0)
        (run,) = owner.place()
        owner.scheduler.configure(table(queue(priority=during)))
        urgent = owner.executor().urgent_cpu_millis
        owner.end("i-0", run.task.name, run.attempt, EndReason.DONE)
        owner.poll()
        return urgent, owner.executor().urgent_cpu_millis

    def test_the_sum_follows_the_priority_and_ends_at_zero(self) -> None:
        """Guards against room on an idle executor that is kept, or given away, for good."""
        self.assertEqual(self._run_through(0, 2), (0, 0))
        self.assertEqual(self._run_through(2, 0), (1000, 0))

    def test_runs_that_are_being_stopped_are_counted_as_well(self) -> None:
        """Guards against a change of priority that misses runs of tasks that are over."""
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.configure(table(queue(priority=2)))
        owner.scheduler.accept(job("a" * 16, step(), step()), 0)
        runs = owner.place()
        owner.end(runs[0].executor.executor, runs[0].task.name, runs[0].attempt, EndReason.DONE)
        owner.scheduler.cancel(runs[0].task.job.spec.job, owner.now, 0)
        owner.scheduler.configure(table(queue(priority=0)))
        for executor in owner.scheduler.executors.values():
            self.assertEqual(kept_sums(executor), expected_sums(executor))


class RepeatedRunTest(unittest.TestCase):
    """A run that takes the place of one with the same task and attempt."""

    def test_a_run_that_is_added_twice_counts_once(self) -> None:
        """Guards against room that is never freed, since it was allocated twice."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(), 0)
        (run,) = owner.place()
        again = Run(run.task, run.attempt, run.executor, run.phase, owner.now)
        owner.executor().add(again)
        self.assertEqual(kept_sums(owner.executor()), expected_sums(owner.executor()))
        owner.executor().remove(again)
        self.assertEqual(owner.executor().used_cpu_millis, 0)
