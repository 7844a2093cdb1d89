"""Counters and histograms of the owner's decisions."""

from __future__ import annotations

from ...decisions.jobs import (
    ExecutorGivenUp,
    FailureSuspicion,
    JobOver,
    JobState,
    Note,
    RegistrationMissing,
    ReservationDropped,
    ReservationMade,
    ReserveChanged,
    RoomMade,
    RunEnded,
    RunMoved,
    RunStraggling,
    ShareWaits,
    StepOnTrial,
    TaskSent,
)
from .._metrics import Metrics
from ._size_classes import SizeClasses


def count_decision(metrics: Metrics, note: Note, sizes: SizeClasses) -> None:
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
            _count_size(metrics, note, sizes)
        case ExecutorGivenUp():
            metrics.count("fireflyfork_executors_given_up_total")
            metrics.count("fireflyfork_runs_given_up_total", note.runs)
        case RegistrationMissing():
            metrics.count("fireflyfork_registrations_missing_total")
        case _:
            _count_policy_decision(metrics, note)


def _count_policy_decision(metrics: Metrics, note: Note) -> None:
    """Record a note of one of the policies that settings enable."""
    match note:
        case RoomMade():
            by = "stop" if note.stopped else "pause"
            metrics.count("fireflyfork_rooms_made_total", by=by)
            metrics.count("fireflyfork_preempted_core_milliseconds_total", _core_ms(note))
        case ReserveChanged():
            metrics.count("fireflyfork_reserve_changes_total")
        case ReservationMade():
            metrics.count("fireflyfork_reservations_made_total")
            metrics.observe("fireflyfork_reservation_waited_seconds", note.waited_ms / 1000)
        case ReservationDropped():
            reason = note.reason.name.lower()
            metrics.count("fireflyfork_reservations_dropped_total", reason=reason)
        case ShareWaits():
            metrics.observe(
                "fireflyfork_share_longest_wait_seconds",
                note.longest_wait_ms / 1000,
                share=note.share,
            )
        case FailureSuspicion(avoided=True):
            metrics.count("fireflyfork_avoided_for_failures_total", kind=note.kind)
        case StepOnTrial():
            metrics.count("fireflyfork_steps_on_trial_total")
        case RunStraggling():
            by = "peers" if note.by_peers else "estimate"
            metrics.count("fireflyfork_stragglers_total", judged_by=by)


def _count_size(metrics: Metrics, note: JobOver, sizes: SizeClasses) -> None:
    if not note.queue:
        return
    outcome = "not_completed"
    if note.state is JobState.COMPLETED:
        outcome = "in_time" if note.age_ms <= note.allowed_ms else "late"
    size = sizes.classify(note.queue, note.work)
    metrics.count("fireflyfork_jobs_by_size_total", queue=note.queue, size=size, outcome=outcome)


def _core_ms(note: RoomMade) -> int:
    return round(note.lost_core_seconds * 1000)
