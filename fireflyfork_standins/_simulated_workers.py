"""Workers that run tasks by letting time pass, with faults and a history of what ran where."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from itertools import takewhile

from fireflyfork import AttemptNumber, Resources, TaskId, Worker, WorkerId
from fireflyfork.adapters import (
    PlatformReport,
    RenewCall,
    RunReport,
    RunState,
    StartOrder,
    StopCall,
    ThrottleCall,
)

STOPPED_ON_REQUEST = "stopped on request"
_ALMOST_NOTHING = 1e-9
_CHECKPOINT_SHARE = 0.05
"""A run that ends without being asked keeps its work in steps of this share."""


@dataclass(frozen=True, slots=True)
class Faults:
    """What the workers do wrong at present."""

    fail_all: tuple[WorkerId, ...] = ()
    """Workers that fail every attempt as soon as it starts."""
    unreachable: tuple[WorkerId, ...] = ()
    """Workers that go on running but get no order and no renewal, and of which no report comes."""
    slow_down: float = 1.0
    """Every run takes so many times as long."""
    usage_factor: float = 1.0
    """The share of its reservation that an attempt uses."""


class EventKind(Enum):
    """What the history records of an attempt."""

    STARTED = "started"
    ENDED = "ended"
    END_REPORTED = "end-reported"
    """The platform, and whoever asks it, knows of the end from now on."""


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """One line of the history."""

    time: float
    kind: EventKind
    task_id: TaskId
    attempt: AttemptNumber
    worker_id: WorkerId
    resources: Resources
    progress: float
    state: RunState
    reason: str = ""


@dataclass(slots=True)
class _Run:
    """One attempt, as its worker knows it."""

    order: StartOrder
    state: RunState
    progress: float
    progressed: float
    """When ``progress`` was computed."""
    lease_end: float
    region: str
    millicores: int
    reason: str = ""
    stop_ordered: bool = False
    known: RunReport | None = None
    """What the platform knows of it."""
    known_at: float = 0.0
    """When the worker said so."""
    version: int = 0
    """The number of that report."""
    next_report: float = 0.0


class SimulatedWorkers:
    """All workers of the platform. Time moves only by ``advance``."""

    def __init__(
        self, workers: tuple[Worker, ...], report_interval: float = 1.0, report_lag: float = 0.5
    ) -> None:
        """``report_interval`` and ``report_lag`` are in seconds."""
        self._workers = {worker.worker_id: worker for worker in workers}
        self._report_interval = report_interval
        self._report_lag = report_lag
        self._runs: dict[tuple[TaskId, AttemptNumber], _Run] = {}
        self._under_way: deque[tuple[float, _Run, RunReport]] = deque()
        """Reports on their way to the platform, and when they were sent; oldest first."""
        self._reported: dict[tuple[TaskId, AttemptNumber], _Run] = {}
        """By the number of the last report, ascending."""
        self._fences: dict[TaskId, AttemptNumber] = {}
        self._used: dict[WorkerId, Resources] = {}
        self._running: dict[tuple[TaskId, AttemptNumber], _Run] = {}
        self._version = 0
        self._now = 0.0
        self._history: list[HistoryEvent] = []
        self.faults = Faults()

    @property
    def history(self) -> list[HistoryEvent]:
        """Every start and end of an attempt, in order."""
        return self._history

    def in_region(self, region: str) -> tuple[Worker, ...]:
        """The workers of a region."""
        return tuple(worker for worker in self._workers.values() if worker.region == region)

    def start(self, order: StartOrder, now: float) -> RunReport:
        """Start an attempt, or say what became of it when it was started before."""
        key = (order.task_id, order.attempt)
        known = self._runs.get(key)
        if known is not None:
            return self._answer(known, now)
        worker = self._workers.get(order.worker_id)
        refusal = self._refusal(order, worker)
        if refusal or worker is None:
            fence = self._fences.get(order.task_id, AttemptNumber(0))
            self._fences[order.task_id] = max(fence, order.attempt)
            return _refused(order, refusal)
        run = _Run(
            order,
            RunState.RUNNING,
            order.progress,
            now,
            now + order.lease_seconds,
            worker.region,
            order.resources.millicores,
            next_report=now + self._report_interval,
        )
        self._runs[key] = self._running[key] = run
        fence = self._fences.get(order.task_id, AttemptNumber(0))
        self._fences[order.task_id] = max(fence, AttemptNumber(order.attempt - 1))
        used = self._used.get(order.worker_id, Resources())
        self._used[order.worker_id] = used + order.resources
        self._record(EventKind.STARTED, run, now)
        self._changed(run, now)
        if order.worker_id in self.faults.fail_all:
            self._end(run, RunState.FAILED, now, "the worker fails everything")
        return self._answer(run, now)

    def stop(self, call: StopCall, now: float) -> RunReport:
        """Stop an attempt and fence it, whether it ever started or not."""
        run = self._runs.get((call.task_id, call.attempt))
        fence = self._fences.get(call.task_id, AttemptNumber(0))
        self._fences[call.task_id] = max(fence, call.attempt)
        if run is None:
            return RunReport(
                call.task_id,
                call.attempt,
                WorkerId(""),
                RunState.STOPPED,
                0.0,
                Resources(),
                "it never started",
            )
        run.stop_ordered = True
        if run.state is RunState.RUNNING and not self._is_unreachable(run):
            self._progress(run, now)
            if not call.checkpoint:
                run.progress = _last_checkpoint(run)
            self._end(run, RunState.STOPPED, now, STOPPED_ON_REQUEST)
        return self._answer(run, now)

    def throttle(self, call: ThrottleCall) -> None:
        """Limit the processor time of an attempt."""
        run = self._running.get((call.task_id, call.attempt))
        if run is not None:
            self._progress(run, self._now)
            full = run.order.resources.millicores
            run.millicores = full if call.millicores is None else max(1, call.millicores)

    def renew(self, call: RenewCall, now: float) -> list[RunReport]:
        """Renew leases; the answer holds the attempts that are over or unknown."""
        return list(self._renewed(call, now))

    def report(self, region: str, cursor: int) -> PlatformReport:
        """What changed after ``cursor`` and may be read by now."""
        fresh = takewhile(lambda run: run.version > cursor, reversed(self._reported.values()))
        reports = [self._aged(run) for run in fresh if run.region == region]
        return PlatformReport(max(cursor, self._version), tuple(reversed(reports)))

    def advance(self, now: float) -> None:
        """Let time pass until ``now``: work progresses and ends, leases lapse, usage is reported."""
        self._now = max(self._now, now)
        for run in tuple(self._running.values()):
            self._advance_run(run, now)
        waiting: list[tuple[float, _Run, RunReport]] = []
        while self._under_way and self._under_way[0][0] + self._report_lag <= self._now:
            sent, run, report = self._under_way.popleft()
            if self._is_unreachable(run):
                waiting.append((sent, run, report))
            elif sent >= run.known_at:
                self._publish(run, report, sent)
        self._under_way.extendleft(reversed(waiting))

    def _advance_run(self, run: _Run, now: float) -> None:
        self._progress(run, min(now, run.lease_end))
        if run.progress >= 1.0:
            self._end(run, RunState.FINISHED, run.progressed, "")
        elif now >= run.lease_end:
            run.progress = _last_checkpoint(run)
            self._end(run, RunState.STOPPED, run.lease_end, "the lease lapsed")
        elif now >= run.next_report:
            run.next_report = now + self._report_interval
            self._changed(run, now)

    def _renewed(self, call: RenewCall, now: float) -> Iterator[RunReport]:
        for task_id, attempt in call.runs:
            run = self._runs.get((task_id, attempt))
            if run is None or self._is_unreachable(run):
                continue
            if run.state is not RunState.RUNNING:
                yield self._answer(run, now)
            elif not run.stop_ordered:
                run.lease_end = now + call.seconds

    def _is_unreachable(self, run: _Run) -> bool:
        return run.order.worker_id in self.faults.unreachable

    def _refusal(self, order: StartOrder, worker: Worker | None) -> str:
        if worker is None:
            return "there is no such worker"
        if order.worker_id in self.faults.unreachable:
            return "the worker can't be reached"
        if order.attempt <= self._fences.get(order.task_id, 0):
            return "the attempt is fenced"
        used = self._used.get(order.worker_id, Resources())
        if not (used + order.resources).fits_in(worker.capacity):
            return "the worker has no room"
        return ""

    def _progress(self, run: _Run, now: float) -> None:
        share = run.millicores / max(1, run.order.resources.millicores)
        speed = min(1.0, share) / (run.order.run_seconds * self.faults.slow_down)
        seconds = min(max(0.0, now - run.progressed), (1.0 - run.progress) / speed)
        run.progress = min(1.0, run.progress + seconds * speed)
        if 1.0 - run.progress < _ALMOST_NOTHING:
            run.progress = 1.0
        run.progressed += seconds

    def _end(self, run: _Run, state: RunState, now: float, reason: str) -> None:
        run.state = state
        run.reason = reason
        worker_id = run.order.worker_id
        self._used[worker_id] = self._used[worker_id] - run.order.resources
        del self._running[run.order.task_id, run.order.attempt]
        self._record(EventKind.ENDED, run, now)
        self._changed(run, now)

    def _changed(self, run: _Run, now: float) -> None:
        self._under_way.append((now, run, self._report(run)))

    def _answer(self, run: _Run, now: float) -> RunReport:
        """What the platform says when asked about one attempt: it asks the worker, if it can."""
        if not self._is_unreachable(run):
            self._publish(run, self._report(run), now)
        return self._aged(run)

    def _publish(self, run: _Run, report: RunReport, sent: float) -> None:
        key = (run.order.task_id, run.order.attempt)
        over = run.known is not None and run.known.state is not RunState.RUNNING
        run.known = report
        run.known_at = sent
        self._version += 1
        run.version = self._version
        self._reported.pop(key, None)
        self._reported[key] = run
        if report.state is not RunState.RUNNING and not over:
            self._record(EventKind.END_REPORTED, run, self._now)

    def _aged(self, run: _Run) -> RunReport:
        known = run.known or replace(self._report(run), state=RunState.RUNNING, reason="")
        return replace(known, age_seconds=max(0.0, self._now - run.known_at))

    def _record(self, kind: EventKind, run: _Run, now: float) -> None:
        order = run.order
        self._history.append(
            HistoryEvent(
                now,
                kind,
                order.task_id,
                order.attempt,
                order.worker_id,
                order.resources,
                run.progress,
                run.state,
                run.reason,
            )
        )

    def _report(self, run: _Run) -> RunReport:
        order = run.order
        size = order.resources
        factor = self.faults.usage_factor
        used = Resources(
            int(size.millicores * factor), int(size.memory * factor), size.accelerators
        )
        return RunReport(
            order.task_id,
            order.attempt,
            order.worker_id,
            run.state,
            _last_checkpoint(run) if run.state is RunState.RUNNING else run.progress,
            used,
            run.reason,
        )


def _last_checkpoint(run: _Run) -> float:
    steps = int(run.progress / _CHECKPOINT_SHARE)
    return max(run.order.progress, steps * _CHECKPOINT_SHARE)


def _refused(order: StartOrder, reason: str) -> RunReport:
    return RunReport(
        order.task_id,
        order.attempt,
        order.worker_id,
        RunState.REFUSED,
        order.progress,
        Resources(),
        reason,
    )
