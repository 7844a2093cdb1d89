"""Checks the recorded history of a worker platform for violated scheduling guarantees."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from fireflyfork import AttemptNumber, Resources, TaskId, Worker, WorkerId
from fireflyfork.adapters import RunState

from ._simulated_workers import STOPPED_ON_REQUEST, EventKind, HistoryEvent

_PROGRESS_TOLERANCE = 0.001
_MAX_REPORT_DELAY_SECONDS = 2.5
"""An end that the platform learns of later than this doesn't count as known to the planner. The
value is less than the margin that planners add to a lease."""


def history_problems(history: Iterable[HistoryEvent], workers: Iterable[Worker]) -> Iterator[str]:
    """Yield a description of each violation in ``history``."""
    checker = _HistoryChecker({worker.worker_id: worker for worker in workers})
    for event in history:
        if event.kind is EventKind.STARTED:
            yield from checker.check_start(event)
        elif event.kind is EventKind.ENDED:
            checker.record_end(event)
        else:
            checker.record_end_report(event)


class _HistoryChecker:
    """The state of the tasks and workers after the events that were read so far.

    A task counts as finished only if the platform learned of its end within
    ``_MAX_REPORT_DELAY_SECONDS``. If the worker was unreachable for longer, its lease has expired
    and no other process can tell whether the task finished. Another attempt from the last reported
    checkpoint is then correct.
    """

    def __init__(self, workers: Mapping[WorkerId, Worker]) -> None:
        self._workers = workers
        self._running: dict[TaskId, HistoryEvent] = {}
        self._used: dict[WorkerId, Resources] = {}
        self._last_attempt: dict[TaskId, AttemptNumber] = {}
        self._last_end: dict[TaskId, HistoryEvent] = {}
        self._end_times: dict[tuple[TaskId, AttemptNumber], float] = {}
        self._known_finished: set[TaskId] = set()

    def check_start(self, event: HistoryEvent) -> Iterator[str]:
        """Record the start of an attempt and yield the violations that it causes."""
        label = f"{event.time:.2f}s: {event.task_id} attempt {event.attempt}"
        other = self._running.get(event.task_id)
        if other is not None:
            yield f"{label} starts while attempt {other.attempt} runs on {other.worker_id}"
        if event.attempt <= self._last_attempt.get(event.task_id, 0):
            yield f"{label} is not a new attempt"
        yield from self._resume_problems(label, event)
        used = self._used.get(event.worker_id, Resources()) + event.resources
        if not used.fits_in(self._workers[event.worker_id].capacity):
            yield f"{label} takes {event.worker_id} over its capacity: {used}"
        self._used[event.worker_id] = used
        self._running[event.task_id] = event
        self._last_attempt[event.task_id] = event.attempt

    def record_end(self, event: HistoryEvent) -> None:
        """Record the end of an attempt and release its resources."""
        self._used[event.worker_id] = self._used[event.worker_id] - event.resources
        self._running.pop(event.task_id, None)
        self._last_end[event.task_id] = event
        self._end_times[event.task_id, event.attempt] = event.time

    def record_end_report(self, event: HistoryEvent) -> None:
        """Record that the platform has learned of the end of an attempt."""
        end = self._end_times[event.task_id, event.attempt]
        prompt = event.time - end <= _MAX_REPORT_DELAY_SECONDS
        if event.state is RunState.FINISHED and prompt:
            self._known_finished.add(event.task_id)

    def _resume_problems(self, label: str, event: HistoryEvent) -> Iterator[str]:
        last = self._last_end.get(event.task_id)
        if last is None:
            return
        if event.task_id in self._known_finished:
            yield f"{label} starts after the task has finished"
        if event.progress > last.progress + _PROGRESS_TOLERANCE:
            yield f"{label} resumes from {event.progress}, but only {last.progress} was done"
        evicted = last.reason == STOPPED_ON_REQUEST
        if evicted and event.progress < last.progress - _PROGRESS_TOLERANCE:
            yield f"{label} resumes from {event.progress} and loses a checkpoint at {last.progress}"
