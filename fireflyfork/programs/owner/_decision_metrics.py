"""Counters and histograms of the owner's decisions."""

from __future__ import annotations

from ...decisions.jobs import (
    ExecutorGivenUp,
    FailureSuspicion,
    JobOver,
    Note,
    RunEnded,
    RunMoved,
    RunStraggling,
    StepOnTrial,
    TaskSent,
)
from .._metrics import Metrics


def count_decision(metrics: Metrics, note: Note) -> None:
    """Record one note in the metrics; unlike log lines, none is left out."""
    match note:
        case TaskSent():
            metrics.count("fireflyfork_tasks_sent_total", again=str(note.attempt > 1).lower())
            if note.attempt == 1:
                metrics.observe("fireflyfork_task_sent_after_seconds", note.job_age_ms / 1000)
        case RunEnded():
            metrics.count("fireflyfork_runs_ended_total", reason=note.reason.value)
        case RunMoved():
            metrics.count("fireflyfork_runs_moved_total", reason=note.reason.name.lower())
        case JobOver():
            in_time = str(note.age_ms <= note.allowed_ms).lower()
            metrics.count("fireflyfork_jobs_over_total", state=note.state.value, in_time=in_time)
            metrics.observe("fireflyfork_job_seconds", note.age_ms / 1000, state=note.state.value)
        case ExecutorGivenUp():
            metrics.count("fireflyfork_executors_given_up_total")
            metrics.count("fireflyfork_runs_given_up_total", note.runs)
        case FailureSuspicion(avoided=True):
            metrics.count("fireflyfork_avoided_for_failures_total", kind=note.kind)
        case StepOnTrial():
            metrics.count("fireflyfork_steps_on_trial_total")
        case RunStraggling():
            by = "peers" if note.by_peers else "estimate"
            metrics.count("fireflyfork_stragglers_total", judged_by=by)
