"""The history of all runs at the executors, and the promises to callers that it violates."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

import trio

from fireflyfork._ids import ExecutorId, FailureDomainName, JobId, TaskName
from fireflyfork.decisions.jobs import EndReason, JobSpec, StepSpec, TaskKey, parse_task_name

STARTUP_SECONDS = 0.35
"""Time from the start of a long-running task until it is available."""
EVACUATION_GRACE_SECONDS = 5.0
"""Time after a request to evacuate a failure domain during which tasks may still start there."""
CANCEL_GRACE_SECONDS = 3.0
"""Time after the acknowledgement of a job's cancellation during which its tasks may still start."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise to callers that was broken."""

    at: float
    promise: str
    description: str


@dataclass(frozen=True, slots=True)
class RunId:
    """Identifies one run. The incarnation is part of it, as a restarted executor may run the same
    attempt again."""

    task: TaskName
    attempt: int
    executor: ExecutorId
    incarnation: int


@dataclass(slots=True)
class _Run:
    run: RunId
    began: float
    ended: float | None = None
    reason: EndReason | None = None
    stopped_at: float | None = None
    end_known_at: float | None = None
    lapsed_before_end_known: bool = False


@dataclass(slots=True)
class History:
    """All events that executors and callers observed, checked as they are recorded."""

    jobs: dict[JobId, JobSpec] = field(default_factory=dict)
    acknowledged: dict[JobId, float] = field(default_factory=dict)
    cancelling: set[JobId] = field(default_factory=set)
    """Jobs for which a caller has requested cancellation, acknowledged or not."""
    cancelled: dict[JobId, float] = field(default_factory=dict)
    barred: set[JobId] = field(default_factory=set)
    """Jobs whose cancellation was answered with "no such job"; none may be accepted after that."""
    violations: list[Violation] = field(default_factory=list)
    checks_budgets: bool = False
    """Whether to check the unavailability budgets of long-running tasks. Only valid if nothing but the
    scheduler makes them unavailable."""
    listing_counts: bool = False
    """Whether an end counts as known to the scheduler once an executor has listed it, even if the
    answer got lost. Valid on days on which executors, scheduler and network work correctly."""
    evacuated_since: dict[FailureDomainName, float] = field(default_factory=dict)
    """The failure domains that the operator has asked to evacuate, with the time of the request."""
    attempts: int | None = None
    """How often a task may fail before its job is failed; None if that isn't checked."""
    starts: int = 0
    first_starts: dict[JobId, float] = field(default_factory=dict)
    """When the first task of each job started."""
    ends: dict[EndReason, int] = field(default_factory=lambda: defaultdict(int))
    _runs: dict[TaskName, list[_Run]] = field(default_factory=lambda: defaultdict(list))

    def record_start(self, run: RunId) -> None:
        """Record the start of a run, and check the promises about starts."""
        now = trio.current_time()
        task = run.task
        self.starts += 1
        parsed = parse_task_name(task)
        spec = self.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or spec is None:
            self.record_violation("asked for", f"{task} belongs to no job")
            return
        self.first_starts.setdefault(spec.job, now)
        key = parsed[1]
        step = spec.steps[key.step]
        self._check_concurrent_runs(task, step)
        self._check_order(spec, key)
        self._check_attempts(task, step)
        cancelled = self.cancelled.get(spec.job)
        if cancelled is not None and now > cancelled + CANCEL_GRACE_SECONDS:
            self.record_violation("cancelled", f"{task} begins {now - cancelled:.1f} s after that")
        self._runs[task].append(_Run(run, now))

    def check_evacuation(self, domain: FailureDomainName, task: TaskName) -> None:
        """Check that the failure domain in which a task starts has not been evacuated."""
        since = self.evacuated_since.get(domain)
        if since is not None and trio.current_time() > since + EVACUATION_GRACE_SECONDS:
            self.record_violation("evacuated", f"{task} begins in {domain}")

    def record_end(self, run: RunId, reason: EndReason) -> None:
        """Record that a run ended or was lost in a crash of its executor."""
        self.ends[reason] += 1
        for known in self._runs[run.task]:
            if known.run == run and known.ended is None:
                known.ended = trio.current_time()
                known.reason = reason

    def record_stop(self, run: RunId) -> None:
        """Record that the scheduler ordered a run to stop, and check the budget of its step."""
        for known in self._runs[run.task]:
            if known.run == run and known.stopped_at is None:
                if self.checks_budgets and self._is_available(run.task):
                    self._check_budget(run.task)
                known.stopped_at = trio.current_time()

    def record_forgotten_end(self, run: RunId, lapsed: bool) -> None:
        """Record that the scheduler allowed an executor to forget the end of a run.

        ``lapsed`` tells whether the executor's lease expired between the end and this moment.
        """
        for known in self._runs[run.task]:
            if known.run == run:
                known.end_known_at = trio.current_time()
                known.lapsed_before_end_known = lapsed
                self._check_restarts(known)

    def record_listed_end(self, run: RunId, lapsed: bool) -> None:
        """Record that an executor listed the end of a run in an answer.

        ``lapsed`` tells whether the executor's lease expired between the end and this moment.
        """
        if not self.listing_counts:
            return
        for known in self._runs[run.task]:
            if known.run == run and known.end_known_at is None:
                known.end_known_at = trio.current_time()
                known.lapsed_before_end_known = lapsed
                self._check_restarts(known)

    def record_over_room(self, executor: ExecutorId, task: TaskName) -> None:
        """Record that a start exceeded the room of an executor."""
        self.record_violation("room", f"{task} does not fit on {executor}")

    def done_tasks(self, job: JobId) -> set[TaskKey]:
        """Return the tasks of a job that have completed on any executor."""
        return {
            parsed[1]
            for task, runs in self._runs.items()
            if (parsed := parse_task_name(task)) is not None
            and parsed[0] == job
            and any(run.reason is EndReason.DONE for run in runs)
        }

    def _is_available(self, task: TaskName) -> bool:
        now = trio.current_time()
        return any(
            run.ended is None and run.stopped_at is None and now - run.began > STARTUP_SECONDS
            for run in self._runs[task]
        )

    def _check_budget(self, task: TaskName) -> None:
        parsed = parse_task_name(task)
        spec = self.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or spec is None or spec.job in self.cancelling:
            return
        key, step = parsed[1], spec.steps[parsed[1].step]
        names = (
            TaskKey(key.occurrence, key.step, index).name(spec.job) for index in range(step.count)
        )
        unavailable = sum(not self._is_available(name) for name in names if name != task)
        if step.long_running and unavailable >= max(1, step.unavailable_budget):
            self.record_violation(
                "budget", f"{task} is stopped while {unavailable} others are away"
            )

    def _check_concurrent_runs(self, task: TaskName, step: StepSpec) -> None:
        if step.speculative:
            return
        for run in self._runs[task]:
            if run.ended is None:
                self.record_violation("one at a time", f"{task} runs on {run.run.executor} already")
                continue
            noted = run.end_known_at is not None and not run.lapsed_before_end_known
            if noted and run.reason is EndReason.DONE:
                self.record_violation("once", f"{task} has ended well on {run.run.executor}")

    def _check_restarts(self, run: _Run) -> None:
        if run.reason is not EndReason.DONE or run.lapsed_before_end_known or run.ended is None:
            return
        parsed = parse_task_name(run.run.task)
        if parsed is None or self.jobs[parsed[0]].steps[parsed[1].step].speculative:
            return
        for other in self._runs[run.run.task]:
            if other is not run and run.ended < other.began:
                self.record_violation(
                    "once", f"{run.run.task} was started again on {other.run.executor}"
                )

    def failures(self, job: JobId) -> int:
        """Return how many runs of the task of a job have failed that has failed most often."""
        counts = (
            sum(run.reason is EndReason.FAILED for run in runs)
            for task, runs in self._runs.items()
            if (parsed := parse_task_name(task)) is not None and parsed[0] == job
        )
        return max(counts, default=0)

    def _check_attempts(self, task: TaskName, step: StepSpec) -> None:
        if self.attempts is None or step.long_running:
            return
        noted = [
            run
            for run in self._runs[task]
            if run.reason is EndReason.FAILED
            and run.end_known_at is not None
            and not run.lapsed_before_end_known
        ]
        if len(noted) >= self.attempts:
            self.record_violation("attempts", f"{task} begins after {len(noted)} failures")

    def _check_order(self, spec: JobSpec, key: TaskKey) -> None:
        for earlier in spec.steps[key.step].after:
            for index in range(spec.steps[earlier].count):
                name = TaskKey(key.occurrence, earlier, index).name(spec.job)
                if not any(run.reason is EndReason.DONE for run in self._runs[name]):
                    self.record_violation(
                        "order", f"{key.name(spec.job)} begins before {name} is done"
                    )

    def record_violation(self, promise: str, what: str) -> None:
        """Record a violation of ``promise`` at the current time."""
        self.violations.append(Violation(trio.current_time(), promise, what))
