"""A stateful test: the policy's invariants hold for any sequence of events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ...._contracts import TeamContract, Tolerance, Weights
from ...._ids import TaskId, WorkerId
from ...._machines import Resources
from ..._placement_policy import CheckpointAndEvict, Start
from ..._task_changes import AttemptOutcome
from ..._tasks import Task, TaskState
from .. import InterferenceAwarePolicy
from .._eviction_budget import latency_share_per_hour
from .builders_placement import (
    LETTERS,
    OBJECTIVE_MILLISECONDS,
    QUOTES,
    FakeTaskTable,
    replica_shape,
    shape,
    size,
    table,
    worker,
)

_LATENCY_BURST = 2.0
_URGENT_BURST = 16.0
_URGENT_SHARE_PER_HOUR = 1.0


class PolicyMachine(RuleBasedStateMachine):
    """Generates random jobs, measurements, failures and lost workers, and checks each command."""

    def __init__(self) -> None:
        super().__init__()
        self.policy = InterferenceAwarePolicy()
        self.task_table: FakeTaskTable = table(self.policy, workers=3)
        self.task_table.weights = Weights(tail_latency=5.0)
        self.task_table.teams = {
            LETTERS: TeamContract(LETTERS, size(40, 150), urgent=True),
            QUOTES: TeamContract(QUOTES, size(6, 20)),
        }
        self.next_worker = 3
        self.latency_allowance = _LATENCY_BURST
        self.urgent_allowance = _URGENT_BURST
        self.latency_evictions = 0
        self.urgent_evictions = 0

    def running(self) -> list[Task]:
        """Return the running tasks in a fixed order."""
        return list(self.task_table.running())

    @rule(
        count=st.integers(1, 6),
        cores=st.integers(1, 16),
        gigabytes=st.integers(1, 60),
        quotes=st.booleans(),
        urgent=st.booleans(),
        noisy=st.booleans(),
        tolerance=st.sampled_from(Tolerance),
    )
    def submit(
        self,
        count: int,
        cores: int,
        gigabytes: int,
        quotes: bool,
        urgent: bool,
        noisy: bool,
        tolerance: Tolerance,
    ) -> None:
        """Submit a job that fits on some worker and in the team's quota."""
        team = QUOTES if quotes else LETTERS
        task_class = "noisy" if noisy else "letters"
        amount = size(cores, gigabytes)
        job = shape(amount, team, task_class, urgent and not quotes, tolerance)
        if not self.policy.infeasible(job, self.task_table.workers, self.task_table.teams):
            self.task_table.submit(job, count)

    @rule(count=st.integers(1, 4))
    def submit_replicas(self, count: int) -> None:
        """Submit replicas of the booking desk service."""
        self.task_table.submit(replica_shape(), count)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 400.0]))
    def one_round(self, seconds: float) -> None:
        """Advance the clock, run one round and check the policy's commands."""
        batch = sum(task.shape.service is None for task in self.task_table.running())
        hours = seconds / 3600.0
        self.latency_allowance += hours * batch * latency_share_per_hour(self.task_table.weights)
        self.urgent_allowance += hours * batch * _URGENT_SHARE_PER_HOUR
        before = dict(self.task_table.tasks)
        commands = self.task_table.run_round(seconds)
        for command in commands:
            if isinstance(command, Start):
                self.check_start(command, before[command.task_id])
            elif isinstance(command, CheckpointAndEvict):
                self.check_eviction(command, before[command.task_id])

    def check_start(self, command: Start, task: Task) -> None:
        """Check that the worker is listed, not in quarantine, and not one the task failed on."""
        now = self.task_table.now
        assert not self.policy.health.is_quarantined(command.worker_id, now)
        assert command.worker_id in self.task_table.workers
        assert command.worker_id not in task.failed_on

    def check_eviction(self, command: CheckpointAndEvict, task: Task) -> None:
        """Check that the task tolerates eviction and that the budget is not exceeded."""
        assert task.shape.tolerance is Tolerance.EVICT
        assert task.shape.service is None
        if "latency objective" in command.reason:
            self.latency_evictions += 1
        else:
            self.urgent_evictions += 1
        assert self.latency_evictions <= self.latency_allowance + 1e-6
        assert self.urgent_evictions <= self.urgent_allowance + 1e-6

    @precondition(lambda self: self.running())
    @rule(data=st.data(), share=st.sampled_from([0.1, 0.5, 1.0]))
    def measure_usage(self, data: st.DataObject, share: float) -> None:
        """Report the usage of one task."""
        task = data.draw(st.sampled_from(self.running()))
        reserved = task.reservation
        used = Resources(int(reserved.millicores * share), int(reserved.memory * share))
        self.task_table.report(task.task_id, used)

    @precondition(lambda self: any(task.shape.service for task in self.running()))
    @rule(ratio=st.sampled_from([0.3, 0.9, 2.0, 5.0]), lag=st.sampled_from([0.0, 10.0]))
    def measure_latency(self, ratio: float, lag: float) -> None:
        """Report the latency of all replicas and the usage of all tasks."""
        for task in self.running():
            tail = ratio * OBJECTIVE_MILLISECONDS if task.shape.service else None
            self.task_table.report(task.task_id, task.reservation, tail, lag)

    @precondition(lambda self: self.running())
    @rule(data=st.data(), outcome=st.sampled_from(AttemptOutcome), memory=st.booleans())
    def end_one(self, data: st.DataObject, outcome: AttemptOutcome, memory: bool) -> None:
        """End one attempt with a random outcome."""
        task = data.draw(st.sampled_from(self.running()))
        self.task_table.end(task.task_id, outcome, "out of memory" if memory else "")

    @rule()
    def stop_evicted(self) -> None:
        """End all evicted attempts."""
        for task in self.running():
            if task.state is TaskState.EVICTING:
                self.task_table.end(task.task_id, AttemptOutcome.STOPPED)

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def fail_all_on_a_worker(self, data: st.DataObject) -> None:
        """Fail all attempts on one worker."""
        broken = data.draw(st.sampled_from(self.running())).worker_id
        for task in self.running():
            if task.worker_id == broken:
                self.task_table.end(task.task_id, AttemptOutcome.FAILED, "broken")

    @rule()
    def cancel_wave(self) -> None:
        """Cancel every second task at once."""
        chosen: list[TaskId] = list(self.task_table.tasks)[::2]
        for task_id in chosen:
            self.task_table.cancel(task_id)

    @rule()
    def add_worker(self) -> None:
        """Add a worker."""
        if len(self.task_table.workers) < 6:
            added = worker(self.next_worker)
            self.next_worker += 1
            self.task_table.workers[added.worker_id] = added

    @precondition(lambda self: len(self.task_table.workers) > 1)
    @rule(data=st.data())
    def lose_worker(self, data: st.DataObject) -> None:
        """Remove a worker and end all its attempts."""
        lost: WorkerId = data.draw(st.sampled_from(list(self.task_table.workers)))
        del self.task_table.workers[lost]
        for task in self.running():
            if task.worker_id == lost:
                self.task_table.end(task.task_id, AttemptOutcome.LAPSED)

    @invariant()
    def capacity_is_never_exceeded(self) -> None:
        """Check that no reservations exceed a worker's capacity."""
        for worker_id, reserved in self.task_table.reserved().items():
            assert reserved.fits_in(self.task_table.workers[worker_id].capacity)

    @invariant()
    def quota_is_never_exceeded(self) -> None:
        """Check that no team's reservations exceed its quota."""
        for team, reserved in self.task_table.team_reserved().items():
            assert reserved.fits_in(self.task_table.teams[team].quota)


PolicyMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
PolicyMachineTest = PolicyMachine.TestCase
