"""Urgent waves into a fleet that is full of less urgent work, for tests and measurements."""

from __future__ import annotations

from dataclasses import dataclass

from ... import PreemptionSettings, RoomMade, Run
from ...tests.builders_jobs import step
from .builders_preemption import OTHER, URGENT, PreemptingOwner

EXECUTORS = 176
URGENT_SECONDS = 3.0
"""Run time of each urgent task, on four cores."""
WAVES, JOBS_PER_WAVE, TASKS_PER_JOB = 2, 4, 4
URGENT_TASKS = WAVES * JOBS_PER_WAVE * TASKS_PER_JOB


@dataclass(frozen=True, slots=True)
class WavesOutcome:
    """What urgent tasks waited for, and what was stopped for them."""

    waits: tuple[float, ...]
    """Seconds from the arrival of each urgent task that started to its start."""
    stopped: tuple[Run, ...]
    lost_core_seconds: float
    """Work that the stopped runs had done since their last checkpoint."""
    thrown_away_core_seconds: float
    """The part of it that was done by runs that don't checkpoint."""


def play_urgent_waves(preemption: PreemptionSettings) -> WavesOutcome:
    """Fill the fleet for 10 s, half with work that checkpoints, then let two waves arrive."""
    names = (f"i-{number}" for number in range(EXECUTORS))
    owner = PreemptingOwner(*names, preemption=preemption)
    for number in range(EXECUTORS):
        spec = step(
            count=4,
            cpu_millis=4_000,
            memory_mb=1_000,
            estimate_ms=30_000,
            checkpointing=number % 2 == 0,
        )
        owner.submit(OTHER, spec)
    owner.run_until_listed(10.0)
    submitted: dict[str, float] = {}
    for _ in range(WAVES):
        for _ in range(JOBS_PER_WAVE):
            urgent = step(
                count=TASKS_PER_JOB,
                cpu_millis=4_000,
                memory_mb=1_000,
                estimate_ms=int(URGENT_SECONDS * 1000),
            )
            submitted[owner.submit(URGENT, urgent).job] = owner.now
        owner.run_until_listed(5.0)
    urgent_runs = [run for run in owner.started if run.task.job.spec.job in submitted]
    notes = [note for note in owner.scheduler.take_notes() if isinstance(note, RoomMade)]
    stopped = tuple(dict.fromkeys(owner.stopped))
    return WavesOutcome(
        tuple(run.ordered_at - submitted[run.task.job.spec.job] for run in urgent_runs),
        stopped,
        sum(note.lost_core_seconds for note in notes),
        sum(_work(run) for run in stopped if not run.task.spec.checkpointing),
    )


def _work(run: Run) -> float:
    step_spec = run.task.spec
    return run.progress_percent / 100 * step_spec.estimate_ms / 1000 * step_spec.cpu_millis / 1000
