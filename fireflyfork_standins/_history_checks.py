"""Judges the history of a worker platform: what ran where, and whether it should have."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from fireflyfork import AttemptNumber, Resources, TaskId, Worker, WorkerId
from fireflyfork.adapters import RunState

from ._simulated_workers import STOPPED_ON_REQUEST, EventKind, HistoryEvent

_ROUNDING = 0.001
_PROMPT_SECONDS = 2.5
"""Less than the margin that planners add to a lease."""


def history_problems(history: Iterable[HistoryEvent], workers: Iterable[Worker]) -> Iterator[str]:
    """What in a history breaks a promise, in words; nothing when all is well."""
    judge = _Judge({worker.worker_id: worker for worker in workers})
    for event in history:
        if event.kind is EventKind.STARTED:
            yield from judge.started(event)
        elif event.kind is EventKind.ENDED:
            judge.ended(event)
        else:
            judge.end_reported(event)


class _Judge:
    """What the history showed so far.

    A finish counts only when the platform learned of it promptly. When the worker could not be
    reached for longer than that, its lease is over and nothing outside it can tell whether the task
    finished, so another attempt from the last reported checkpoint is right.
    """

    def __init__(self, workers: Mapping[WorkerId, Worker]) -> None:
        self._workers = workers
        self._running: dict[TaskId, HistoryEvent] = {}
        self._used: dict[WorkerId, Resources] = {}
        self._last_attempt: dict[TaskId, AttemptNumber] = {}
        self._last_end: dict[TaskId, HistoryEvent] = {}
        self._end_times: dict[tuple[TaskId, AttemptNumber], float] = {}
        self._known_finished: set[TaskId] = set()

    def started(self, event: HistoryEvent) -> Iterator[str]:
        """Take in a start and judge it."""
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

    def ended(self, event: HistoryEvent) -> None:
        """Take in an end."""
        self._used[event.worker_id] = self._used[event.worker_id] - event.resources
        self._running.pop(event.task_id, None)
        self._last_end[event.task_id] = event
        self._end_times[event.task_id, event.attempt] = event.time

    def end_reported(self, event: HistoryEvent) -> None:
        """Take in that the platform knows of an end."""
        end = self._end_times[event.task_id, event.attempt]
        prompt = event.time - end <= _PROMPT_SECONDS
        if event.state is RunState.FINISHED and prompt:
            self._known_finished.add(event.task_id)

    def _resume_problems(self, label: str, event: HistoryEvent) -> Iterator[str]:
        last = self._last_end.get(event.task_id)
        if last is None:
            return
        if event.task_id in self._known_finished:
            yield f"{label} starts after the task has finished"
        if event.progress > last.progress + _ROUNDING:
            yield f"{label} resumes from {event.progress}, but only {last.progress} was done"
        evicted = last.reason == STOPPED_ON_REQUEST
        if evicted and event.progress < last.progress - _ROUNDING:
            yield f"{label} resumes from {event.progress} and loses a checkpoint at {last.progress}"
