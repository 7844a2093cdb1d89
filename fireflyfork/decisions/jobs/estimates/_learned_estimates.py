"""Learns how executors and steps behave: failures by group, speeds, and waits for racks."""

from __future__ import annotations

from collections.abc import Sequence

from ...._ids import ExecutorId
from .._executors import ExecutorState
from .._notes import FailureSuspicion, StepOnTrial
from .._policies import EstimatePolicy
from .._policy_settings import EstimateSettings
from .._reports import EndReason
from .._run_end_evidence import RunEndEvidence
from .._runs import Job, Run, RunPhase, Task
from .._service_state import ServiceState
from .._stored_estimates import StoredEstimates
from ._executor_failures import ExecutorFailures
from ._near_data import NearData
from ._speeds import Speeds
from ._step_failures import TRIAL_RUNS, StepFailures

FAILURE_COST = 10.0
"""Cost of a run that is certain to fail, in units of a whole executor's load: more than that of any
executor that can run the task well."""
PROBE_COST = 4.0
"""Lowest cost of an avoided executor, so that sound executors with room come first."""
SLOWNESS_COST = 1.0
"""Cost of a run that takes twice as long as usual, in units of a whole executor's load."""
COST_STEP = 0.5
"""Costs are rounded to this, so that cached ones aren't computed again for each result."""
REFRESH_SECONDS = 0.4
"""Interval at which all executors are judged anew, and avoided groups get their next probes."""
UNANSWERED_WEIGHT = 0.5
"""Weight of a start that was never answered: the link or a relay may be at fault."""
MAX_AGE_MS = 60_000
"""Age beyond which the counts of an earlier owner are ignored."""


class LearnedEstimates(EstimatePolicy):
    """Puts each failure down to the executor or to the step, and compares runs with their peers."""

    def __init__(self, settings: EstimateSettings, state: ServiceState, far_factor: float) -> None:
        """Initialize without results; notes are added to ``state``.

        ``far_factor`` is how many times as long tasks take far from their data.
        """
        self._settings = settings
        self._state = state
        self._executors = ExecutorFailures(state.executors)
        self._steps = StepFailures()
        self._speeds = Speeds(state.executors)
        self._near_data = NearData(far_factor)
        self._now_ms = 0
        self._refreshed_at = float("-inf")
        self._costs: dict[ExecutorId, float] = {}
        """The costs of executors, where they aren't 0."""
        self._finished: list[Job] = []
        self._serving: set[Run] = set()
        """Long-running runs that have served, whose failure isn't one to start."""
        self._noted: dict[tuple[str, str], float] = {}
        """The avoided executors and groups that the last notes told of, with their shares."""

    @property
    def judges_failures(self) -> bool:
        """Whether the costs of this policy take the place of the rule on failures in a row."""
        return self._settings.group_failures

    def speed(self, executor: ExecutorState) -> float:
        """Return the speed of an executor relative to the usual one, which is 1."""
        return self._speeds.speed(executor) if self._settings.speeds else 1.0

    def expected_seconds(self, run: Run) -> float | None:
        """Return how long a run's task takes elsewhere, or None if too few tasks show it."""
        return self._speeds.expected_seconds(run) if self._settings.speeds else None

    def waits_for_rack(self, task: Task, usable: Sequence[ExecutorState], now: float) -> bool:
        """Whether a task waits for an executor near its data rather than run far from it."""
        if not self._settings.delay_scheduling or task.spec.gang or task.spec.long_running:
            return False
        near = [
            executor
            for executor in usable
            if task.spec.data_rack in executor.registration.labels
            and not self._executors.standing(executor.executor).avoided
        ]
        return self._near_data.waits(task, near, now)

    def extra_cost(self, task: Task, executor: ExecutorState) -> float:
        """Return the cost of failures and slowness, infinite if the executor is avoided."""
        return self._costs.get(executor.executor, 0.0)

    def revision(self, executor: ExecutorState) -> int:
        """Return a number that differs for different costs."""
        cost = self._costs.get(executor.executor, 0.0)
        return -1 if cost == float("inf") else round(cost / COST_STEP)

    def max_runs(self, task: Task) -> int | None:
        """Return how many tasks of a step that fails everywhere may run at once."""
        if not self._settings.hopeless_steps or task.spec.gang or task.spec.long_running:
            return None
        return TRIAL_RUNS if self._steps.is_on_trial(task) else None

    def run_started(self, run: Run, now: float) -> None:
        """Record a start, which is a probe if the executor is avoided."""
        for executor in self._executors.started(run.executor, now):
            self._costs[executor.executor] = self._cost(executor)

    def run_listed(self, run: Run, now: float) -> None:
        """Count a long-running task that serves as a good result."""
        if run.task.spec.long_running and run.progress_percent >= 100 and run not in self._serving:
            self._serving.add(run)
            self._add_good(run, now)
        if self._settings.speeds:
            self._speeds.listed(run, now)

    def run_ended(self, run: Run, reason: EndReason, now: float) -> None:
        """Count a good end or a failure."""
        if run in self._serving:
            return
        if reason is EndReason.DONE:
            self._add_good(run, now)
            if self._settings.speeds:
                self._speeds.done(run, now)
        elif reason is EndReason.FAILED:
            self._add_failure(run, now)

    def run_refused(self, run: Run, now: float) -> None:
        """Count a refused start against the executor."""
        self._add_result(run.executor, 0.0, 1.0, now)

    def run_removed(self, run: Run, why: RunEndEvidence, now: float) -> None:
        """Count a start that was never answered against the executor."""
        self._serving.discard(run)
        self._speeds.removed(run)
        if run.phase is RunPhase.UNSURE and why is RunEndEvidence.NOT_LISTED:
            self._add_result(run.executor, 0.0, UNANSWERED_WEIGHT, now)

    def job_over(self, job: Job, now: float) -> None:
        """Forget a job's steps at the next tick; the end that decided the job is yet to come."""
        self._finished.append(job)

    def executor_restarted(self, executor: ExecutorState, now: float) -> None:
        """Forget how the past incarnation did."""
        self._executors.forget(executor.executor)
        self._speeds.forget_executor(executor.executor)
        self._costs.pop(executor.executor, None)

    def tick(self, now: float, now_ms: int) -> None:
        """Judge all executors anew."""
        self._now_ms = now_ms
        finished, self._finished = self._finished, []
        for job in finished:
            self._steps.forget(job.spec.job)
            self._speeds.forget(job.spec.job)
            self._near_data.forget(job.spec.job)
        self._near_data.tick()
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        self._executors.refresh(now)
        self._speeds.refresh(now)
        self._update_costs()
        if self._settings.group_failures:
            self._add_notes()

    def to_stored(self) -> StoredEstimates | None:
        """Return what is known of failing and slow executors, or None if there are none."""
        failures, speeds = self._executors.to_stored(), self._speeds.to_stored()
        if not failures and not speeds:
            return None
        return StoredEstimates(self._now_ms, failures, speeds)

    def adopt(self, stored: StoredEstimates, now: float, now_ms: int) -> None:
        """Use what an earlier owner has learned, decayed by its age on the clocks of two owners."""
        age_ms = max(0, now_ms - stored.at_ms)
        if age_ms <= MAX_AGE_MS:
            self._executors.adopt(stored.executors, now - age_ms / 1000)
            self._speeds.adopt(stored.speeds, now - age_ms / 1000)

    def _update_costs(self) -> None:
        executors = self._state.executors.values()
        costs = ((executor.executor, self._cost(executor)) for executor in executors)
        self._costs = {name: cost for name, cost in costs if cost}

    def _add_result(self, executor: ExecutorState, good: float, bad: float, now: float) -> None:
        self._executors.add(executor, good, bad, now)
        self._costs[executor.executor] = self._cost(executor)

    def _cost(self, executor: ExecutorState) -> float:
        cost = SLOWNESS_COST * max(0.0, 1.0 / self.speed(executor) - 1.0)
        if self._settings.group_failures:
            standing = self._executors.standing(executor.executor)
            if standing.blocked:
                return float("inf")
            cost += FAILURE_COST * standing.excess
            cost = max(PROBE_COST, cost) if standing.avoided else cost
        return round(cost / COST_STEP) * COST_STEP

    def _add_good(self, run: Run, now: float) -> None:
        self._add_result(run.executor, 1.0, 0.0, now)
        self._steps.add(run.task, 1.0, 0.0)

    def _add_failure(self, run: Run, now: float) -> None:
        """Divide a failure between the executor and the step by how often each one fails."""
        of_executor = self._executors.share(run.executor)
        of_step = self._steps.share(run.task)
        blame = of_executor / (of_executor + of_step)
        self._add_result(run.executor, 0.0, blame, now)
        on_trial = self._steps.add(run.task, 0.0, 1.0 - blame)
        if on_trial and self.max_runs(run.task) is not None:
            share = round(self._steps.share(run.task), 3)
            job = run.task.job.spec.job
            self._state.notes.append(StepOnTrial(job, run.task.key.step, share))

    def _add_notes(self) -> None:
        """Add a note for each executor or group that is avoided from now on, or no longer."""
        avoided = self._avoided()
        for key in avoided.keys() ^ self._noted.keys():
            kind, name = key
            is_avoided = key in avoided
            share = avoided[key] if is_avoided else self._noted[key]
            fleet = round(self._executors.fleet_share, 3)
            note = FailureSuspicion(kind, name, is_avoided, round(share, 3), fleet)
            self._state.notes.append(note)
        self._noted = avoided

    def _avoided(self) -> dict[tuple[str, str], float]:
        groups = self._executors.avoided_groups()
        avoided = {(group.kind, group.name): share for group, share in groups.items()}
        for name in self._executors.avoided_executors():
            avoided["executor", name] = self._executors.share(self._state.executors[name])
        return avoided
