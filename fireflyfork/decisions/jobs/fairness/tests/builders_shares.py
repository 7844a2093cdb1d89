"""Builders of queues, jobs and owners for tests of fair shares."""

from __future__ import annotations

from dataclasses import replace

from ....._ids import QueueName
from ... import EndReason, FairnessSettings, JobSpec, PolicySettings, Run, Scheduler, StepSpec
from ...tests.builders_jobs import (
    START_MS,
    TERMS,
    OwnerUnderTest,
    job,
    queue,
    registration,
    step,
    table,
)
from .._policy import FairnessPolicy

FAIR = FairnessSettings(enabled=True)
ALLOWED_MS = 600_000
"""Time that the objective of the queues allows, so that no job of a test is late."""


class FairOwner(OwnerUnderTest):
    """An owner with the queues ``a`` and ``b``, whose runs end when the test says so."""

    def __init__(
        self,
        *executors: str,
        settings: FairnessSettings = FAIR,
        priorities: tuple[int, int] = (1, 1),
    ) -> None:
        super().__init__()
        policies = PolicySettings(fairness=settings)
        self.scheduler = Scheduler(replace(TERMS, policies=policies))
        names = zip("ab", priorities, strict=True)
        self.scheduler.configure(
            table(
                *(
                    queue(name=QueueName(name), priority=priority, target_latency_ms=ALLOWED_MS)
                    for name, priority in names
                )
            )
        )
        for name in executors:
            self.scheduler.register(registration(name), self.now)
        self.store()
        for name in executors:
            self.poll(name)
        self.jobs = 0

    @property
    def policy(self) -> FairnessPolicy:
        """The policy under test."""
        policy = self.scheduler._state.policies.order
        assert isinstance(policy, FairnessPolicy)
        return policy

    def submit(self, queue_name: str, *steps: StepSpec, **changes: object) -> JobSpec:
        """Accept a job now."""
        self.jobs += 1
        spec = job(f"{self.jobs:016x}", *steps, queue=QueueName(queue_name))
        spec = replace(spec, accepted_ms=START_MS + self.clock(), **changes)  # type: ignore[arg-type]
        self.scheduler.accept(spec, START_MS + self.clock())
        return spec

    def finish(self, run: Run) -> None:
        """Let a run end successfully; the next poll of its executor lists the end."""
        self.end(run.executor.executor, run.task.name, run.attempt, EndReason.DONE)

    def finish_due(self, runs: list[Run]) -> list[Run]:
        """End the runs whose estimated time is over; return the others."""
        due = [run for run in runs if run.ordered_at + run.task.spec.estimate_ms / 1000 <= self.now]
        for run in due:
            self.finish(run)
        for name in sorted({run.executor.executor for run in due}):
            self.poll(name)
        return [run for run in runs if run not in due]


def small(**changes: object) -> StepSpec:
    """Return a step with one task of a fourth of an executor that takes a second."""
    return step(cpu_millis=4000, memory_mb=100, **changes)


def large(**changes: object) -> StepSpec:
    """Return a step with one task of a whole executor that takes two seconds."""
    return step(cpu_millis=16000, memory_mb=100, estimate_ms=2000, **changes)
