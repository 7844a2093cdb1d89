"""The policy that shares the room of a service fairly among its queues."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .._executors import ExecutorState
from .._notes import ReservationDropped, ReservationMade, ReservationOutcome, ShareWaits
from .._policies import OrderPolicy
from .._policy_settings import FairnessSettings
from .._reports import EndReason
from .._rotation import Rotation
from .._run_end_evidence import RunEndEvidence
from .._runs import Job, Run, Task
from .._service_state import ServiceState
from .._stored_shares import ShareId, StoredShare
from .._urgency import Urgency, urgency
from ._durations import Durations
from ._reservations import (
    MAX_OVERDUE_SECONDS,
    MAX_RESERVATIONS,
    RESERVED_EXECUTORS_DIVISOR,
    Reservation,
    Reservations,
)
from ._shares import FairShares, share_of

SEARCH_SECONDS = 0.5
"""Interval between two searches for jobs that get a reservation."""
MAX_PLANNED_JOBS = 4
"""Jobs for which room is sought in one search."""
EXECUTORS_PER_SEARCH = 256
"""Executors that are compared in one search; the next one begins behind them."""
RETRY_SECONDS = 5.0
"""Time until room is sought again for a job for which no executor can have it."""
NOTE_SECONDS = 10.0
"""Interval between two notes on the shares with waiting jobs."""


class FairnessPolicy(OrderPolicy):
    """Orders tasks by the use of their shares, and reserves room for jobs that wait long.

    Priority and whether a job can still meet its objective go first. Inside a share the job with
    the least remaining work goes first.
    """

    def __init__(self, settings: FairnessSettings, state: ServiceState) -> None:
        """Initialize with the service's state, which is only read, but for the notes."""
        self._settings = settings
        self._state = state
        self._shares = FairShares(settings.weights)
        self._durations = Durations()
        self._reservations = Reservations(self._durations, state.interference)
        self._executors = Rotation(EXECUTORS_PER_SEARCH)
        self._without_place: dict[Job, float] = {}
        """Jobs for which no executor can have room, and until when they are not considered."""
        self._levels: dict[ShareId, int] = {}
        """The levels of use that were computed since the last tick and the share's last change."""
        self._now = 0.0
        self._searched_at = float("-inf")
        self._noted_at = float("-inf")

    def urgency(self, task: Task, now_ms: int) -> Urgency:
        """Return the sort key of a waiting task, with the use of its share before its work."""
        priority, kind, achievable, *rest = urgency(task, now_ms)
        return (priority, kind, achievable, self.revision(task), *rest)

    def revision(self, task: Task) -> int:
        """Return the level of use of the task's share, which changes as its tasks are started."""
        if task.spec.long_running:
            return 0
        share = share_of(task.job)
        level = self._levels.get(share)
        if level is None:
            level = self._levels[share] = self._shares.level(share, self._now)
        return level

    def reserved_executors(self) -> Sequence[ExecutorState]:
        """Return the executors with room that is reserved."""
        return self._reservations.executors

    def reserved_for(self, task: Task) -> ExecutorState | None:
        """Return the executor on which room is reserved for a task, or None."""
        kept = self._reservations.of_task(task)
        return kept.executor if kept is not None else None

    def may_take(self, task: Task, executor: ExecutorState, now: float) -> bool:
        """Whether a task may use free room on an executor that is reserved for other tasks."""
        return self._reservations.may_take(task, executor, now)

    def job_over(self, job: Job, now: float) -> None:
        """Drop the reservation of a job that is over."""
        kept = self._reservations.of_job(job)
        if kept is not None:
            self._drop(kept, ReservationOutcome.JOB_OVER)

    def run_started(self, run: Run, now: float) -> None:
        """Charge a run to its share, and use up its reservation."""
        self._now = max(self._now, now)
        self._shares.run_started(run, now)
        self._levels.pop(share_of(run.task.job), None)
        used = self._reservations.started(run)
        if used is not None:
            self._note_dropped(used, ReservationOutcome.USED)

    def run_ended(self, run: Run, reason: EndReason, now: float) -> None:
        """Learn the duration of a run that ended successfully."""
        if reason is EndReason.DONE:
            self._durations.observe(run, now)

    def run_removed(self, run: Run, why: RunEndEvidence, now: float) -> None:
        """Stop charging a run."""
        self._shares.run_removed(run, now)
        self._levels.pop(share_of(run.task.job), None)

    def executor_restarted(self, executor: ExecutorState, now: float) -> None:
        """Drop the reservation on an executor, which was made for the room that it had."""
        for kept in self._reservations:
            if kept.executor is executor:
                self._drop(kept, ReservationOutcome.EXECUTOR_LEFT)

    def tick(self, now: float, now_ms: int) -> None:
        """Drop reservations that hold no longer, and look for jobs that need one."""
        self._now = max(self._now, now)
        self._levels.clear()
        self._reservations.tick()
        for kept in self._reservations:
            outcome = self._outcome(kept, now)
            if outcome is not None:
                self._drop(kept, outcome)
        if now - self._searched_at < SEARCH_SECONDS:
            return
        self._searched_at = now
        self._without_place = {
            job: until for job, until in self._without_place.items() if until > now
        }
        rooms = [executor.registration.room for executor in self._state.executors.values()]
        self._shares.resize(
            sum(room.cpu_millis for room in rooms), sum(room.memory_mb for room in rooms)
        )
        self._reserve(now, now_ms)
        self._note_shares(now, now_ms)

    def to_stored(self) -> tuple[StoredShare, ...]:
        """Return what a successor needs to know of the shares."""
        return tuple(
            StoredShare(share, round(recent, 4), round(self._durations.ratio(share), 4))
            for share, recent in self._shares.recent_uses(self._now)
        )

    def adopt(self, shares: Iterable[StoredShare], now: float) -> None:
        """Continue with what an earlier owner stored."""
        self._now = max(self._now, now)
        for stored in shares:
            self._shares.adopt([(stored.share, stored.recent_use)], now)
            self._durations.adopt(stored.share, stored.duration_ratio)

    def _reserve(self, now: float, now_ms: int) -> None:
        """Reserve room for the jobs that have waited too long, useful and oldest ones first."""
        most = max(1, len(self._state.executors) // RESERVED_EXECUTORS_DIVISOR)
        most = min(MAX_RESERVATIONS, most)
        if len(self._reservations) >= most:
            return
        widest = self._widest_waiting(now_ms)
        usable = self._executors.next_items(self._state.usable_executors(now)) if widest else []
        order = sorted(widest, key=lambda job: _reservation_order(job, now_ms))
        for job in order[:MAX_PLANNED_JOBS]:
            if len(self._reservations) >= most:
                return
            task, count = widest[job]
            if self._reservations.add(task, count, usable, now):
                self._note_made(job, now, now_ms)
            else:
                self._without_place[job] = now + RETRY_SECONDS

    def _widest_waiting(self, now_ms: int) -> dict[Job, tuple[Task, int]]:
        """Return, by job that needs a reservation, its widest waiting task and how many wait."""
        widest: dict[Job, tuple[Task, int]] = {}
        for task, count in self._state.waiting.by_step():
            if not self._needs_reservation(task, now_ms):
                continue
            known = widest.get(task.job)
            if known is None or _width(task) > _width(known[0]):
                widest[task.job] = task, count
        return widest

    def _needs_reservation(self, task: Task, now_ms: int) -> bool:
        step, job = task.spec, task.job
        if step.long_running or step.gang or job.queue.needs_tickets:
            return False
        if not self._state.needs_run(task) or self._reservations.of_job(job) is not None:
            return False
        if job in self._without_place:
            return False
        after_ms = self._settings.reservation_after_chains * job.spec.chain_ms()
        return waited_ms(task, now_ms) > after_ms

    def _outcome(self, kept: Reservation, now: float) -> ReservationOutcome | None:
        """Return why a reservation holds no longer, or None if it does."""
        if not kept.executor.is_usable(now) or not self._state.is_current(kept.executor):
            return ReservationOutcome.EXECUTOR_LEFT
        if now > kept.at + MAX_OVERDUE_SECONDS:
            return ReservationOutcome.OVERDUE
        tasks = kept.job.tasks.values()
        if not any(task.waiting and task.step_id == kept.step for task in tasks):
            return ReservationOutcome.NOT_NEEDED
        return None

    def _drop(self, kept: Reservation, outcome: ReservationOutcome) -> None:
        self._reservations.drop(kept)
        self._note_dropped(kept, outcome)

    def _note_dropped(self, kept: Reservation, outcome: ReservationOutcome) -> None:
        name = kept.executor.executor
        self._state.notes.append(ReservationDropped(kept.job.spec.job, name, outcome))

    def _note_made(self, job: Job, now: float, now_ms: int) -> None:
        kept = self._reservations.of_job(job)
        if kept is not None:
            self._state.notes.append(
                ReservationMade(
                    job.spec.job,
                    kept.executor.executor,
                    kept.tasks,
                    int(waited_ms(kept.task, now_ms)),
                    int((kept.at - now) * 1000),
                )
            )

    def _note_shares(self, now: float, now_ms: int) -> None:
        """Note the use of each share whose jobs wait, and for how long its oldest one does."""
        if now - self._noted_at < NOTE_SECONDS:
            return
        self._noted_at = now
        waits: dict[ShareId, tuple[int, int]] = {}
        for task, count in self._state.waiting.by_step():
            if task.spec.long_running:
                continue
            share = share_of(task.job)
            tasks, longest = waits.get(share, (0, 0))
            waits[share] = tasks + count, max(longest, int(waited_ms(task, now_ms)))
        for share, (tasks, longest) in waits.items():
            use = round(self._shares.use(share, now), 4)
            self._state.notes.append(ShareWaits(share, use, tasks, longest))


def waited_ms(task: Task, now_ms: int) -> float:
    """Return how long a task's job has waited: its age without the part of its chain that is done."""
    job = task.job
    since = max(job.spec.accepted_ms, job.spec.due_ms(task.key.occurrence))
    return now_ms - since - (job.spec.chain_ms() - job.remaining_ms())


def _reservation_order(job: Job, now_ms: int) -> tuple[int, bool, int]:
    """Return a sort key: urgent jobs first, then those that can be of use, then the oldest."""
    return job.queue.priority, job.is_beyond_use(now_ms), job.spec.accepted_ms


def _width(task: Task) -> tuple[int, int]:
    return task.spec.cpu_millis, task.spec.memory_mb
