"""Measures the work ahead of new jobs and learns the rate at which it is done."""

from __future__ import annotations

from collections import Counter, defaultdict

from ...._ids import JobId
from ...._waits import WaitReason
from .._executors import ExecutorState
from .._policies import LoadPolicy
from .._reports import EndReason
from .._runs import LATE_FACTOR, Job, Run
from .._service_state import ServiceState
from ._figures import RoomRow, WorkFigures, WorkRow, is_measured, largest_rooms, size_of, work_of

INTERVAL_SECONDS = 0.5
"""Interval of the figures, that of the owner's counts of waiting jobs."""
ARRIVAL_SECONDS = 2.0
"""Time over which the rate of arriving work is averaged: the age at which figures are too old."""
LEARNING_SECONDS = 30.0
"""Time over which the work done by a busy core is averaged: several runs of a large task."""
MIN_EFFICIENCY, MAX_EFFICIENCY = 0.25, 4.0
"""Limits of the work done per busy core, in estimated core time. Estimates of callers and the pace
of runs are rarely further off, and a few odd runs must not stop the acceptance of jobs."""
_ROOM_REASONS = frozenset({WaitReason.PROCESSORS, WaitReason.MEMORY, WaitReason.BEHIND})

_WORK_ENDS = frozenset({EndReason.DONE, EndReason.FAILED})
"""Ends after which nothing of the run is continued elsewhere."""

_Class = tuple[str, int, int]
"""Queue, priority and size."""


class WorkAhead(LoadPolicy):
    """Computes the figures of one service."""

    def __init__(self, state: ServiceState) -> None:
        """Set up; ``state`` is the state of the service, which is only read."""
        self._state = state
        self._figures: WorkFigures | None = None
        self._number = 0
        self._measured_at: float | None = None
        self._arrived: Counter[_Class] = Counter()
        self._arriving: dict[_Class, float] = {}
        self._latest_ends: dict[JobId, tuple[float, float]] = {}
        """By job, in Unix milliseconds: its latest end that is of use, and its latest start if nothing
        is done yet. Computing them for a long backlog each time would take tens of milliseconds."""
        self._done = 0.0
        """Estimated work of runs that ended lately; with ``_busy``, decaying."""
        self._busy = 0.0
        """Time of the cores that runs which ended lately have reserved, in the same unit."""

    @property
    def figures(self) -> WorkFigures | None:
        """See LoadPolicy."""
        return self._figures

    def job_accepted(self, job: Job, now_ms: int) -> None:
        """See Policy."""
        latest_end = job.spec.accepted_ms + LATE_FACTOR * job.allowed_ms()
        self._latest_ends[job.spec.job] = latest_end, latest_end - job.spec.chain_ms()
        if is_measured(job.spec) and not job.recovered:
            work = work_of(job.spec)
            self._arrived[_class(job, work)] += int(work)

    def job_over(self, job: Job, now: float) -> None:
        """See Policy."""
        self._latest_ends.pop(job.spec.job, None)

    def run_ended(self, run: Run, reason: EndReason, now: float) -> None:
        """See Policy."""
        step = run.task.spec
        if reason not in _WORK_ENDS or step.long_running:
            return
        began_at = run.confirmed_at if run.confirmed_at is not None else run.ordered_at
        self._busy += (now - began_at) * 1000 * step.reserved_cpu_millis
        if reason is EndReason.DONE:
            self._done += step.estimate_ms * step.reserved_cpu_millis

    def tick(self, now: float, now_ms: int) -> None:
        """See Policy."""
        if self._measured_at is None:
            self._measured_at = now
        elapsed = now - self._measured_at
        if elapsed < INTERVAL_SECONDS:
            return
        self._measured_at = now
        usable = self._state.usable_executors(now)
        self._learn(elapsed)
        rows = self._rows(now_ms) if self._is_pressed() else ()
        self._number += 1
        room = largest_rooms(map(_free_room, usable)) if rows else ()
        self._figures = WorkFigures(0, self._number, now_ms, self._rate(), rows, room)

    def _is_pressed(self) -> bool:
        return any(
            task.wait_reason in _ROOM_REASONS
            and not (task.spec.long_running or task.spec.uses_leftover_cpu)
            for task in self._state.waiting
        )

    def _learn(self, elapsed: float) -> None:
        kept = max(0.0, 1 - elapsed / LEARNING_SECONDS)
        self._done *= kept
        self._busy *= kept
        share = min(1.0, elapsed / ARRIVAL_SECONDS)
        classes = self._arriving.keys() | self._arrived.keys()
        self._arriving = {
            key: rate
            for key in classes
            if (
                rate := (1 - share) * self._arriving.get(key, 0.0)
                + share * self._arrived[key] / (elapsed * 1000)
            )
            >= 1.0
        }
        self._arrived.clear()

    def _rate(self) -> float:
        """Return the work done per millisecond if all room is used that no service takes.

        Executors that don't answer at the moment count: most answer again soon, and right after a
        change of owner none has answered yet.
        """
        capacity = sum(
            executor.registration.room.cpu_millis - executor.long_running_cpu_millis
            for executor in self._state.executors.values()
            if executor.registered and not executor.registration.draining
        )
        # The prior is one full use of the room for a tenth of the time over which is averaged.
        prior = capacity * LEARNING_SECONDS * 100
        known = self._busy + prior
        efficiency = (self._done + prior) / known if known else 1.0
        return capacity * min(max(efficiency, MIN_EFFICIENCY), MAX_EFFICIENCY)

    def _rows(self, now_ms: int) -> tuple[WorkRow, ...]:
        running, progress = self._running_work()
        work: defaultdict[_Class, float] = defaultdict(float)
        busy: defaultdict[_Class, float] = defaultdict(float)
        for job in self._state.jobs.live_jobs():
            if job.spec.is_long_running:
                continue
            name, total = job.spec.job, _remaining_work(job)
            key = _class(job, total)
            busy[key] += running[name]
            # Jobs that are beyond use are placed after all others.
            work[key] += (
                total - progress[name] if self._can_be_of_use(job, now_ms) else running[name]
            )
        return tuple(
            WorkRow(*key, max(total, 0.0), busy[key], self._arriving.get(key, 0.0))
            for key, total in sorted(work.items())
            if total > 0
        )

    def _can_be_of_use(self, job: Job, now_ms: int) -> bool:
        ends = self._latest_ends.get(job.spec.job)
        if ends is None or job.spec.repetitions or now_ms <= ends[1]:
            return True
        return now_ms <= ends[0] and now_ms + job.remaining_ms() <= ends[0]

    def _running_work(self) -> tuple[Counter[JobId], Counter[JobId]]:
        """Return, by job, the work that its running tasks still have to do, and what they did."""
        left: Counter[JobId] = Counter()
        progress: Counter[JobId] = Counter()
        for executor in self._state.executors.values():
            for run in executor.runs.values():
                step = run.task.spec
                if not step.long_running:
                    work = step.estimate_ms * step.reserved_cpu_millis
                    done = work * run.progress_percent // 100
                    left[run.task.job.spec.job] += work - done
                    progress[run.task.job.spec.job] += done
        return left, progress


def _class(job: Job, work: float) -> _Class:
    return str(job.spec.queue), job.queue.priority, size_of(work)


def _remaining_work(job: Job) -> float:
    """Return the work of all unfinished tasks, see ``work_of``."""
    steps = job.spec.steps
    return sum(
        count * steps[step].estimate_ms * steps[step].reserved_cpu_millis
        for (_, step), count in job.remaining_tasks.items()
    )


def _free_room(executor: ExecutorState) -> RoomRow:
    return RoomRow(
        max(0, executor.free_cpu_millis),
        max(0, executor.free_memory_mb),
        executor.registration.room.accelerators - executor.used_accelerators,
    )
