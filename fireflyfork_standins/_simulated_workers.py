"""Simulated workers: tasks make progress as time passes, with injected faults and a history."""

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
_PROGRESS_EPSILON = 1e-9
_CHECKPOINT_SHARE = 0.05
"""Share of a task between two checkpoints. A run that ends without a stop request keeps its
progress up to the last checkpoint."""


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults that are currently injected into the workers."""

    fail_all: tuple[WorkerId, ...] = ()
    """Workers that fail every attempt as soon as it starts."""
    unreachable: tuple[WorkerId, ...] = ()
    """Workers that keep running but receive no orders or renewals, and whose reports get lost."""
    slow_down: float = 1.0
    """Factor by which the duration of every run is multiplied."""
    usage_factor: float = 1.0
    """Share of its reservation that an attempt uses."""


class EventKind(Enum):
    """Kind of an event in the history of an attempt."""

    STARTED = "started"
    ENDED = "ended"
    END_REPORTED = "end-reported"
    """The platform has learned of the end and includes it in its answers from now on."""


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """One event of an attempt: its start, its end, or the report of its end."""

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
    """The state of one attempt at its worker, and what the platform has learned of it."""

    order: StartOrder
    state: RunState
    progress: float
    progress_time: float
    """Time for which ``progress`` was computed, in seconds."""
    lease_end: float
    region: str
    millicores: int
    reason: str = ""
    stop_ordered: bool = False
    latest_report: RunReport | None = None
    """The latest report that has reached the platform; None before the first."""
    latest_report_time: float = 0.0
    """Time at which the worker sent ``latest_report``."""
    report_version: int = 0
    """Version of ``latest_report``; reports of all attempts share one counter."""
    next_report: float = 0.0


class SimulatedWorkers:
    """All workers of the platform. Time passes only in ``advance``."""

    def __init__(
        self, workers: tuple[Worker, ...], report_interval: float = 1.0, report_lag: float = 0.5
    ) -> None:
        """Create idle ``workers``.

        ``report_interval`` is the time between two usage reports of an attempt, ``report_lag`` the
        time until a report can be read from the platform. Both are in seconds.
        """
        self._workers = {worker.worker_id: worker for worker in workers}
        self._report_interval = report_interval
        self._report_lag = report_lag
        self._runs: dict[tuple[TaskId, AttemptNumber], _Run] = {}
        self._reports_in_transit: deque[tuple[float, _Run, RunReport]] = deque()
        """Reports that haven't reached the platform yet, each with the time at which it was sent;
        oldest first."""
        self._reported: dict[tuple[TaskId, AttemptNumber], _Run] = {}
        """Attempts with at least one published report, ordered by ascending ``report_version``."""
        self._fences: dict[TaskId, AttemptNumber] = {}
        self._used: dict[WorkerId, Resources] = {}
        self._running: dict[tuple[TaskId, AttemptNumber], _Run] = {}
        self._version = 0
        self._now = 0.0
        self._history: list[HistoryEvent] = []
        self.faults = Faults()

    @property
    def history(self) -> list[HistoryEvent]:
        """All recorded events, in the order in which they were recorded."""
        return self._history

    def in_region(self, region: str) -> tuple[Worker, ...]:
        """Return the workers of ``region``."""
        return tuple(worker for worker in self._workers.values() if worker.region == region)

    def start(self, order: StartOrder, now: float) -> RunReport:
        """Start an attempt, or return the report of one that was started before."""
        key = (order.task_id, order.attempt)
        known = self._runs.get(key)
        if known is not None:
            return self._answer(known, now)
        worker = self._workers.get(order.worker_id)
        refusal = self._refusal(order, worker)
        if refusal or worker is None:
            fence = self._fences.get(order.task_id, AttemptNumber(0))
            self._fences[order.task_id] = max(fence, order.attempt)
            return _refusal_report(order, refusal)
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
        self._send_report(run, now)
        if order.worker_id in self.faults.fail_all:
            self._end(run, RunState.FAILED, now, "the worker fails everything")
        return self._answer(run, now)

    def stop(self, call: StopCall, now: float) -> RunReport:
        """Stop an attempt and fence it, even if it never started."""
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
        """Limit the CPU time of an attempt, or remove the limit if ``call.millicores`` is None."""
        run = self._running.get((call.task_id, call.attempt))
        if run is not None:
            self._progress(run, self._now)
            full = run.order.resources.millicores
            run.millicores = full if call.millicores is None else max(1, call.millicores)

    def renew(self, call: RenewCall, now: float) -> list[RunReport]:
        """Renew the leases of running attempts. Return reports of the attempts that have ended."""
        return list(self._renewed(call, now))

    def report(self, region: str, cursor: int) -> PlatformReport:
        """Return the published reports of ``region`` with a version above ``cursor``."""
        fresh = takewhile(
            lambda run: run.report_version > cursor, reversed(self._reported.values())
        )
        reports = [self._aged(run) for run in fresh if run.region == region]
        return PlatformReport(max(cursor, self._version), tuple(reversed(reports)))

    def advance(self, now: float) -> None:
        """Advance the time to ``now``.

        Runs make progress and end, leases expire, and reports are sent and reach the platform.
        """
        self._now = max(self._now, now)
        for run in tuple(self._running.values()):
            self._advance_run(run, now)
        waiting: list[tuple[float, _Run, RunReport]] = []
        while (
            self._reports_in_transit
            and self._reports_in_transit[0][0] + self._report_lag <= self._now
        ):
            sent, run, report = self._reports_in_transit.popleft()
            if self._is_unreachable(run):
                waiting.append((sent, run, report))
            elif sent >= run.latest_report_time:
                self._publish(run, report, sent)
        self._reports_in_transit.extendleft(reversed(waiting))

    def _advance_run(self, run: _Run, now: float) -> None:
        self._progress(run, min(now, run.lease_end))
        if run.progress >= 1.0:
            self._end(run, RunState.FINISHED, run.progress_time, "")
        elif now >= run.lease_end:
            run.progress = _last_checkpoint(run)
            self._end(run, RunState.STOPPED, run.lease_end, "the lease lapsed")
        elif now >= run.next_report:
            run.next_report = now + self._report_interval
            self._send_report(run, now)

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
        seconds = min(max(0.0, now - run.progress_time), (1.0 - run.progress) / speed)
        run.progress = min(1.0, run.progress + seconds * speed)
        if 1.0 - run.progress < _PROGRESS_EPSILON:
            run.progress = 1.0
        run.progress_time += seconds

    def _end(self, run: _Run, state: RunState, now: float, reason: str) -> None:
        run.state = state
        run.reason = reason
        worker_id = run.order.worker_id
        self._used[worker_id] = self._used[worker_id] - run.order.resources
        del self._running[run.order.task_id, run.order.attempt]
        self._record(EventKind.ENDED, run, now)
        self._send_report(run, now)

    def _send_report(self, run: _Run, now: float) -> None:
        self._reports_in_transit.append((now, run, self._report(run)))

    def _answer(self, run: _Run, now: float) -> RunReport:
        """Return the latest report of an attempt, fetched from its worker if that is reachable."""
        if not self._is_unreachable(run):
            self._publish(run, self._report(run), now)
        return self._aged(run)

    def _publish(self, run: _Run, report: RunReport, sent: float) -> None:
        key = (run.order.task_id, run.order.attempt)
        over = run.latest_report is not None and run.latest_report.state is not RunState.RUNNING
        run.latest_report = report
        run.latest_report_time = sent
        self._version += 1
        run.report_version = self._version
        self._reported.pop(key, None)
        self._reported[key] = run
        if report.state is not RunState.RUNNING and not over:
            self._record(EventKind.END_REPORTED, run, self._now)

    def _aged(self, run: _Run) -> RunReport:
        known = run.latest_report or replace(self._report(run), state=RunState.RUNNING, reason="")
        return replace(known, age_seconds=max(0.0, self._now - run.latest_report_time))

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


def _refusal_report(order: StartOrder, reason: str) -> RunReport:
    return RunReport(
        order.task_id,
        order.attempt,
        order.worker_id,
        RunState.REFUSED,
        order.progress,
        Resources(),
        reason,
    )
