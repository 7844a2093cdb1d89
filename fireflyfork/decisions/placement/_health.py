"""Attributes failures to the worker or to the task, and quarantines failing workers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..._ids import JobId, TaskId, WorkerId

_FAILED_TASKS_BEFORE_QUARANTINE = 4
_FAILED_JOBS_BEFORE_QUARANTINE = 2
"""A broken job fails all its tasks on any worker, so the failures of a single job don't lead to
quarantine."""
_FAILED_WORKERS_BEFORE_REFUSAL = 3
_MAX_TASK_FAILURES = 9
"""A task is given up after this many failures, even if the workers were suspected."""
_FAILURE_WINDOW_SECONDS = 900.0
_FIRST_QUARANTINE_SECONDS = 300.0
_MAX_QUARANTINE_SECONDS = 4 * 3600.0
_MAX_QUARANTINED_SHARE = 0.25
"""If more workers than this seem broken, the failures have a common cause, and quarantining all of
them would stop all work."""


@dataclass(slots=True)
class _WorkerRecord:
    failures: dict[TaskId, tuple[JobId, float]] = field(default_factory=dict)
    """The jobs and times of recent failures, by task."""
    quarantined_until: float = 0.0
    quarantine_seconds: float = _FIRST_QUARANTINE_SECONDS
    on_probation: bool = False
    trial: TaskId | None = None
    """The only task that the worker may run while on probation."""


class WorkerHealth:
    """Quarantines workers on which tasks of several jobs fail in succession.

    After quarantine a worker is on probation: it runs one task at a time until a task finishes. A
    failure on probation puts it back in quarantine for twice as long.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._records: dict[WorkerId, _WorkerRecord] = {}
        self._quarantined: set[WorkerId] = set()
        self._worker_count = 0

    @property
    def quarantined_count(self) -> int:
        """The number of workers in quarantine."""
        return len(self._quarantined)

    def set_worker_count(self, count: int) -> None:
        """Set the number of workers, which bounds how many may be in quarantine at a time."""
        self._worker_count = count

    def forget(self, worker: WorkerId) -> None:
        """Drop the records of a removed worker."""
        self._records.pop(worker, None)
        self._quarantined.discard(worker)

    def is_quarantined(self, worker: WorkerId, now: float) -> bool:
        """Return whether the worker is in quarantine and may not start tasks.

        A worker whose quarantine has expired is put on probation.
        """
        if worker not in self._quarantined:
            return False
        record = self._records[worker]
        if now < record.quarantined_until:
            return True
        self._quarantined.discard(worker)
        record.on_probation = True
        record.trial = None
        return False

    def is_suspected(self, worker: WorkerId) -> bool:
        """Return whether the worker is in quarantine or on probation."""
        record = self._records.get(worker)
        return record is not None and (worker in self._quarantined or record.on_probation)

    def may_start(self, worker: WorkerId, now: float) -> bool:
        """Return whether the worker may start another task. On probation it runs one at a time."""
        record = self._records.get(worker)
        if record is None:
            return True
        if self.is_quarantined(worker, now):
            return False
        return not record.on_probation or record.trial is None

    def started(self, worker: WorkerId, task: TaskId) -> None:
        """Record a start. On probation, the started task becomes the trial."""
        record = self._records.get(worker)
        if record is not None and record.on_probation:
            record.trial = task

    def drop_trials(self, may_run: Callable[[TaskId], bool]) -> None:
        """Drop trials that never began, since a start can be dropped after the policy ordered it.

        Otherwise the worker would wait forever for the end of its trial and stay empty.
        """
        for record in self._records.values():
            if record.trial is not None and not may_run(record.trial):
                record.trial = None

    def stopped(self, worker: WorkerId, task: TaskId) -> None:
        """Record an end that is no evidence about the worker, such as an eviction."""
        record = self._records.get(worker)
        if record is not None and record.trial == task:
            record.trial = None

    def succeeded(self, worker: WorkerId) -> None:
        """Record a finished task, which clears the worker's earlier failures and its probation."""
        record = self._records.get(worker)
        if record is None or worker in self._quarantined:
            return
        del self._records[worker]

    def failed(self, worker: WorkerId, task: TaskId, job: JobId, now: float) -> bool:
        """Record a failure. Return whether it puts the worker in quarantine."""
        record = self._records.setdefault(worker, _WorkerRecord())
        if worker in self._quarantined:
            return False
        record.failures[task] = (job, now)
        _drop_old(record, now)
        if (
            not (record.on_probation or _has_too_many_failures(record))
            or self._is_quarantine_full()
        ):
            record.trial = None if record.trial == task else record.trial
            return False
        self._quarantine(worker, record, now)
        return True

    def _is_quarantine_full(self) -> bool:
        allowed = max(1, int(_MAX_QUARANTINED_SHARE * self._worker_count))
        return len(self._quarantined) >= allowed

    def _quarantine(self, worker: WorkerId, record: _WorkerRecord, now: float) -> None:
        if record.on_probation:
            doubled = 2 * record.quarantine_seconds
            record.quarantine_seconds = min(doubled, _MAX_QUARANTINE_SECONDS)
        record.quarantined_until = now + record.quarantine_seconds
        record.on_probation = False
        record.trial = None
        record.failures.clear()
        self._quarantined.add(worker)


def _has_too_many_failures(record: _WorkerRecord) -> bool:
    jobs = {job for job, _ in record.failures.values()}
    enough_tasks = len(record.failures) >= _FAILED_TASKS_BEFORE_QUARANTINE
    return enough_tasks and len(jobs) >= _FAILED_JOBS_BEFORE_QUARANTINE


def _drop_old(record: _WorkerRecord, now: float) -> None:
    oldest = now - _FAILURE_WINDOW_SECONDS
    expired = [task for task, (_, at) in record.failures.items() if at < oldest]
    for task in expired:
        del record.failures[task]


def is_task_at_fault(failed_on: tuple[WorkerId, ...], health: WorkerHealth) -> bool:
    """Return whether a task has failed on so many different workers that it must not be retried.

    Failures on suspected workers are no evidence against the task, up to a maximum number.
    """
    if len(failed_on) >= _MAX_TASK_FAILURES:
        return True
    if len(failed_on) < _FAILED_WORKERS_BEFORE_REFUSAL:
        return False
    trusted = {worker for worker in failed_on if not health.is_suspected(worker)}
    return len(trusted) >= _FAILED_WORKERS_BEFORE_REFUSAL
