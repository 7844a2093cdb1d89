"""A stateful test of a partition under generated events and takeovers."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ... import AttemptNumber, ChangeId, JobId, MemberId, Resources, TaskId, WorkerId
from .. import (
    DurableChange,
    Refusal,
    RegionReport,
    RunReport,
    RunState,
    StartOrder,
    Step,
    TaskState,
    TaskTable,
    apply_report,
    apply_timeouts,
    cancel,
    decode_snapshot,
    encode_snapshot,
    evict,
    mark_stored,
    place,
    record_stop_answer,
    submit,
    table_of,
    take_due_starts,
    tasks_to_stop,
)
from .builders_tasks import REGION, configured, make_partition, make_submission, make_teams

NOTHING = Resources()
JOBS = st.sampled_from(["a", "b", "c"])
Key = tuple[TaskId, AttemptNumber]


class PartitionMachine(RuleBasedStateMachine):
    """Successive owners of a partition, with an in-memory journal and worker platform."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.partition = make_partition()
        self.unstored: list[DurableChange] = []
        self.journal: list[DurableChange] = []
        self.runs: dict[Key, RunReport] = {}
        self.fences: dict[TaskId, int] = {}
        self.in_flight: list[StartOrder] = []
        self.cancelled: set[JobId] = set()

    @initialize(tasks=st.integers(1, 4))
    def begin(self, tasks: int) -> None:
        """Submit and start a first job."""
        self.submit("a", tasks, 1000)
        self.work(delivered=True)

    @rule(job=JOBS, tasks=st.integers(1, 4), millicores=st.sampled_from([500, 1000, 2500, 4000]))
    def submit(self, job: str, tasks: int, millicores: int) -> None:
        """Submit a job, possibly one with the id of an existing job."""
        outcome = submit(self.partition, make_submission(job, tasks, millicores), self.now)
        if not isinstance(outcome, Refusal):
            self.take(outcome)

    @rule(delivered=st.booleans())
    def work(self, delivered: bool) -> None:
        """Run a regular planner cycle; the starts are delivered or stay in flight."""
        self.place()
        self.commit()
        self.send_starts(delivered)

    @rule(data=st.data())
    def finish_and_continue(self, data: st.DataObject) -> None:
        """A run ends and is reported, and a new job is submitted and started."""
        self.end_a_run(data, data.draw(st.sampled_from([RunState.FINISHED, RunState.FAILED])))
        self.report()
        self.submit(f"job-{len(self.journal)}", 2, 1000)
        self.work(data.draw(st.booleans()))

    @rule(halfway=st.integers(0, 100), first=st.booleans())
    def fail_and_recover(self, halfway: int, first: bool) -> None:
        """The owner fails, possibly after a round that was not stored; its successor continues."""
        if first:
            self.place()
            self.send_starts(delivered=True)
        self.take_over(halfway)
        self.send_starts(delivered=True)
        self.report()

    @rule()
    def place(self) -> None:
        """Run a round of placement."""
        self.take(place(self.partition, self.now))

    @rule()
    def commit(self) -> None:
        """Store all pending changes."""
        changes = tuple(self.unstored)
        self.unstored.clear()
        self.journal.extend(changes)
        self.partition = mark_stored(self.partition, changes, self.now)

    @rule(delivered=st.booleans())
    def send_starts(self, delivered: bool) -> None:
        """Send the starts that are due; undelivered ones stay in flight."""
        self.partition, orders = take_due_starts(self.partition, self.now)
        self.in_flight.extend(orders)
        if delivered:
            self.deliver()

    @rule()
    def deliver(self) -> None:
        """Deliver all starts in flight, including outdated ones."""
        for order in self.in_flight:
            self.start(order)
        self.in_flight.clear()

    @rule(data=st.data(), state=st.sampled_from([RunState.FINISHED, RunState.FAILED]))
    def end_a_run(self, data: st.DataObject, state: RunState) -> None:
        """A run finishes or fails."""
        running = [key for key, run in self.runs.items() if run.state is RunState.RUNNING]
        if running:
            key = data.draw(st.sampled_from(running))
            self.runs[key] = replace(self.runs[key], state=state, progress=0.5)

    @rule()
    def report(self) -> None:
        """The platform reports on all runs, and stale ones are stopped."""
        whole = RegionReport(REGION, self.now)
        step = apply_report(self.partition, tuple(self.runs.values()), self.now, whole)
        self.take(step)
        for stale in step.stale:
            self.stop(stale.task_id, stale.attempt)

    @rule(answered=st.booleans())
    def send_stops(self, answered: bool) -> None:
        """Send all pending stop orders; their answers may be lost."""
        for task in tuple(tasks_to_stop(self.partition)):
            report = self.stop(task.task_id, task.attempt)
            if answered:
                key = (task.task_id, task.attempt)
                self.partition = record_stop_answer(self.partition, key, self.now)
                self.take(apply_report(self.partition, (report,), self.now))

    @rule(job=JOBS, index=st.none() | st.integers(0, 3))
    def cancel(self, job: str, index: int | None) -> None:
        """Cancel a job or one of its tasks."""
        step = cancel(self.partition, JobId(job), index, self.now)
        if step is not None:
            self.take(step)

    @rule()
    def evict(self) -> None:
        """Evict all tasks with an attempt that may run."""
        tasks = tuple(task.task_id for task in self.partition.table.tasks_holding_reservation())
        self.take(evict(self.partition, tasks, "a test", self.now))

    @rule(seconds=st.sampled_from([0.5, 5.0, 20.0]))
    def wait(self, seconds: float) -> None:
        """Time passes, and timeouts are processed."""
        self.now += seconds
        self.take(apply_timeouts(self.partition, self.now))

    @rule(halfway=st.integers(0, 100))
    def take_over(self, halfway: int) -> None:
        """The owner and its unstored changes are lost; its successor recovers from the journal.

        It reads a snapshot of the first ``halfway`` percent and replays the rest.
        """
        self.unstored.clear()
        cut = len(self.journal) * halfway // 100
        before = TaskTable.empty().apply(self.journal[:cut])
        value = encode_snapshot(before, 1, ChangeId("c"), MemberId("m"))
        table = table_of(decode_snapshot(value)).apply(self.journal[cut:])
        self.partition = configured(make_partition(table, self.now))

    def take(self, step: Step) -> None:
        """Adopt the state of a step, and queue its changes for storing."""
        self.partition = step.partition
        self.unstored.extend(step.changes)

    def start(self, order: StartOrder) -> None:
        """Handle a start order as the platform does, and check that no task runs twice."""
        key = (order.task_id, order.attempt)
        if key in self.runs or order.attempt <= self.fences.get(order.task_id, 0):
            return
        running = [
            run
            for (task_id, _), run in self.runs.items()
            if task_id == order.task_id and run.state is RunState.RUNNING
        ]
        assert not running, f"{order.task_id} runs in two places"
        finished = [
            run
            for (task_id, _), run in self.runs.items()
            if task_id == order.task_id and run.state is RunState.FINISHED
        ]
        assert not finished, f"{order.task_id} runs again after it has finished"
        self.fences[order.task_id] = order.attempt - 1
        self.runs[key] = RunReport(
            order.task_id, order.attempt, order.worker_id, RunState.RUNNING, 0.0, order.resources
        )

    def stop(self, task_id: TaskId, attempt: AttemptNumber) -> RunReport:
        """Handle a stop order as the platform does."""
        self.fences[task_id] = max(attempt, self.fences.get(task_id, 0))
        key = (task_id, attempt)
        run = self.runs.get(key)
        if run is None:
            worker = WorkerId("")
            return RunReport(task_id, attempt, worker, RunState.STOPPED, 0.0, NOTHING)
        if run.state is RunState.RUNNING:
            run = self.runs[key] = replace(run, state=RunState.STOPPED, progress=0.25)
        return run

    @invariant()
    def reservations_add_up_and_fit(self) -> None:
        """Totals equal the sums over the tasks, and don't exceed capacity or quota."""
        table = self.partition.table
        by_worker: dict[WorkerId, Resources] = {}
        of_team = NOTHING
        for task in table.tasks.values():
            if task.holds_reservation:
                assert task.worker_id is not None
                held = by_worker.get(task.worker_id, NOTHING)
                by_worker[task.worker_id] = held + task.reservation
                of_team = of_team + task.reservation
        assert by_worker == table.reserved
        for worker_id, held in by_worker.items():
            assert held.fits_in(self.partition.workers[worker_id].capacity)
        for team in make_teams().values():
            assert table.team_reserved.get(team.name, NOTHING) == of_team
            assert of_team.fits_in(team.quota)

    @invariant()
    def running_attempts_hold_reservations(self) -> None:
        """A running attempt holds its reservation on the worker on which it runs."""
        for (task_id, attempt), run in self.runs.items():
            task = self.partition.table.tasks.get(task_id)
            if run.state is RunState.RUNNING and task is not None:
                assert task.holds_reservation, f"{task_id} runs without a reservation"
                assert (task.attempt, task.worker_id) == (attempt, run.worker_id)

    @invariant()
    def no_task_is_lost(self) -> None:
        """Each task of an accepted job is counted as ended, or open and in exactly one queue."""
        table = self.partition.table
        open_tasks = Counter(task.job_id for task in table.tasks.values())
        for job in table.jobs.values():
            assert job.open_count == open_tasks[job.job_id]
            assert not job.cancelled or not any(
                task.state in (TaskState.WAITING, TaskState.EVICTED)
                for task in table.tasks.values()
                if task.job_id == job.job_id
            )
        queued = [
            task_id
            for groups in (table.waiting, table.urgent, table.on_worker)
            for group in groups.values()
            for task_id in group
        ]
        assert sorted(queued) == sorted(table.tasks)


PartitionMachineTest = PartitionMachine.TestCase
PartitionMachineTest.settings = settings(max_examples=150, stateful_step_count=30)
