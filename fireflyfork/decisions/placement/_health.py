"""Who is to blame for a failure: the worker it happened on, or the task itself."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..._ids import JobId, TaskId, WorkerId

_TASKS_TO_ACCUSE_WORKER = 4
_JOBS_TO_ACCUSE_WORKER = 2
"""One broken job fails all its tasks, wherever they run; that alone accuses no worker."""
_WORKERS_TO_ACCUSE_TASK = 3
_MOST_FAILURES = 9
"""So often is a task tried at most, whoever was suspected meanwhile."""
_FAILURE_WINDOW_SECONDS = 900.0
_FIRST_QUARANTINE_SECONDS = 300.0
_LONGEST_QUARANTINE_SECONDS = 4 * 3600.0
_LARGEST_QUARANTINED_SHARE = 0.25
"""When more workers than this seem broken, the cause is common and quarantine would stop all."""


@dataclass(slots=True)
class _WorkerRecord:
    failures: dict[TaskId, tuple[JobId, float]] = field(default_factory=dict)
    quarantined_until: float = 0.0
    quarantine_seconds: float = _FIRST_QUARANTINE_SECONDS
    on_probation: bool = False
    trial: TaskId | None = None


class WorkerHealth:
    """Quarantines workers on which tasks of several jobs fail one after another."""

    def __init__(self) -> None:
        """Start by trusting every worker."""
        self._records: dict[WorkerId, _WorkerRecord] = {}
        self._quarantined: set[WorkerId] = set()
        self._worker_count = 0

    @property
    def quarantined_count(self) -> int:
        """Workers in quarantine."""
        return len(self._quarantined)

    def set_worker_count(self, count: int) -> None:
        """How many workers there are, which bounds how many may be quarantined at once."""
        self._worker_count = count

    def forget(self, worker: WorkerId) -> None:
        """Drop a worker that is gone."""
        self._records.pop(worker, None)
        self._quarantined.discard(worker)

    def is_quarantined(self, worker: WorkerId, now: float) -> bool:
        """Whether the worker gets nothing new. Past its time it goes on probation."""
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
        """Whether the worker is in quarantine or on probation."""
        record = self._records.get(worker)
        return record is not None and (worker in self._quarantined or record.on_probation)

    def may_start(self, worker: WorkerId, now: float) -> bool:
        """Whether the worker may get one more task: on probation, one at a time."""
        record = self._records.get(worker)
        if record is None:
            return True
        if self.is_quarantined(worker, now):
            return False
        return not record.on_probation or record.trial is None

    def started(self, worker: WorkerId, task: TaskId) -> None:
        """Note a start, which on probation is the trial."""
        record = self._records.get(worker)
        if record is not None and record.on_probation:
            record.trial = task

    def drop_trials(self, may_run: Callable[[TaskId], bool]) -> None:
        """Forget trials that never began: a start can be dropped after the policy ordered it.

        The worker would otherwise wait for the end of its trial for good and stay empty.
        """
        for record in self._records.values():
            if record.trial is not None and not may_run(record.trial):
                record.trial = None

    def stopped(self, worker: WorkerId, task: TaskId) -> None:
        """Note an end that says nothing about the worker, such as an eviction."""
        record = self._records.get(worker)
        if record is not None and record.trial == task:
            record.trial = None

    def succeeded(self, worker: WorkerId) -> None:
        """Note a task that finished: the worker can run tasks, so earlier failures don't count."""
        record = self._records.get(worker)
        if record is None or worker in self._quarantined:
            return
        del self._records[worker]

    def failed(self, worker: WorkerId, task: TaskId, job: JobId, now: float) -> bool:
        """Note a failure; whether it led to quarantine."""
        record = self._records.setdefault(worker, _WorkerRecord())
        if worker in self._quarantined:
            return False
        record.failures[task] = (job, now)
        _drop_old(record, now)
        if not (record.on_probation or _accused(record)) or self._too_many():
            record.trial = None if record.trial == task else record.trial
            return False
        self._quarantine(worker, record, now)
        return True

    def _too_many(self) -> bool:
        allowed = max(1, int(_LARGEST_QUARANTINED_SHARE * self._worker_count))
        return len(self._quarantined) >= allowed

    def _quarantine(self, worker: WorkerId, record: _WorkerRecord, now: float) -> None:
        if record.on_probation:
            longer = 2 * record.quarantine_seconds
            record.quarantine_seconds = min(longer, _LONGEST_QUARANTINE_SECONDS)
        record.quarantined_until = now + record.quarantine_seconds
        record.on_probation = False
        record.trial = None
        record.failures.clear()
        self._quarantined.add(worker)


def _accused(record: _WorkerRecord) -> bool:
    jobs = {job for job, _ in record.failures.values()}
    enough_tasks = len(record.failures) >= _TASKS_TO_ACCUSE_WORKER
    return enough_tasks and len(jobs) >= _JOBS_TO_ACCUSE_WORKER


def _drop_old(record: _WorkerRecord, now: float) -> None:
    oldest = now - _FAILURE_WINDOW_SECONDS
    expired = [task for task, (_, at) in record.failures.items() if at < oldest]
    for task in expired:
        del record.failures[task]


def is_to_blame(failed_on: tuple[WorkerId, ...], health: WorkerHealth) -> bool:
    """Whether a task failed on so many different workers that it must not be tried again.

    Failures on a worker that is itself suspected say nothing about the task.
    """
    if len(failed_on) >= _MOST_FAILURES:
        return True
    if len(failed_on) < _WORKERS_TO_ACCUSE_TASK:
        return False
    trusted = {worker for worker in failed_on if not health.is_suspected(worker)}
    return len(trusted) >= _WORKERS_TO_ACCUSE_TASK
