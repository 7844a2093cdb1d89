"""Simulated executors, which run tasks under leases, check fencing tokens and list ended runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec
import trio

from fireflyfork._ids import (
    AttemptNumber,
    ExecutorId,
    FailureDomainName,
    FencingToken,
    NodeName,
    ServiceName,
    TaskName,
)
from fireflyfork._links import Address
from fireflyfork.decisions.jobs import (
    CallOutcome,
    EndedRow,
    EndReason,
    ExecutorRoom,
    PollAnswer,
    RunningRow,
    StartRequest,
    StepSpec,
    parse_task_name,
)
from fireflyfork.platform import REGISTRATION_PREFIX

from ._history import STARTUP_SECONDS, History, RunId
from ._store import StandInStore

PLACEHOLDER_ADDRESS = Address("10.0.0.1", 80)
"""The registered address of executors that are called without sockets."""
_NO_TOKEN = FencingToken(0)
STEP_SECONDS = 0.01
STOP_SECONDS = 0.05
MAX_LEASE_SECONDS = 6.0
"""Default of the maximum lease that an executor accepts at once."""
MAX_LISTED_ENDS = 500
FAIL_SHARE = 0.02
"""Default of the share of runs that fail without any trouble."""
FAILURE_DOMAIN = FailureDomainName("suva")
"""Default failure domain of executors."""


TicketCheck = Callable[[ExecutorId, TaskName, str], bool]


@dataclass(slots=True)
class ExecutorTrouble:
    """Failures that currently affect one executor."""

    unreachable_from: set[NodeName] = field(default_factory=set)
    late_share: float = 0.0
    """Share of orders that get no answer and are carried out seconds later."""
    lost_share: float = 0.0
    """Share of orders that are carried out at once but get no answer."""
    fail_share: float = 0.0
    stalled: bool = False
    speed: float = 1.0
    """Speed of all runs relative to the usual speed."""
    answer_delay_seconds: float = 0.0
    """Delay of answers to polls in seconds, as over a saturated link."""
    restarts_at_next_call: bool = False
    """Restart the executor just before the next call reaches it. Reset by that call."""


@dataclass(slots=True)
class _Run:
    task: TaskName
    attempt: int
    step: StepSpec
    work_seconds: float
    fails: bool
    done_seconds: float = 0.0
    pace: float = 1.0
    stop_at: float | None = None

    @property
    def percent(self) -> int:
        if self.step.long_running:
            return 100 if self.done_seconds > STARTUP_SECONDS else 0
        return min(99, int(100 * self.done_seconds / self.work_seconds))


@dataclass(slots=True)
class _IncarnationState:
    """The state of one incarnation of an executor, which a restart loses."""

    began: float
    runs: dict[tuple[TaskName, int], _Run] = field(default_factory=dict)
    ends: list[EndedRow] = field(default_factory=list)
    ended_at: dict[int, float] = field(default_factory=dict)
    barred_attempts: dict[TaskName, int] = field(default_factory=dict)
    number: int = 0
    forgotten: int = 0
    token: FencingToken = _NO_TOKEN
    deadline_ms: int = 0
    lapsed_at: float | None = None


class StandInExecutor:
    """One executor across all its incarnations."""

    def __init__(
        self,
        executor: ExecutorId,
        service: ServiceName,
        room: ExecutorRoom,
        store: StandInStore,
        history: History,
        random: Random,
        address: Address = PLACEHOLDER_ADDRESS,
        max_lease_seconds: float = MAX_LEASE_SECONDS,
        failure_domain: FailureDomainName = FAILURE_DOMAIN,
        ticket_check: TicketCheck = lambda executor, task, ticket: True,
        fail_share: float = FAIL_SHARE,
    ) -> None:
        """Create an executor that registers with ``address`` when ``run`` is called.

        ``ticket_check`` returns whether a start of a task on an executor carries a valid ticket.
        ``fail_share`` is the share of runs that fail without any trouble.
        """
        self._fail_share = fail_share
        self.executor = executor
        self._ticket_check = ticket_check
        self.trouble = ExecutorTrouble()
        self.up = True
        self.kind = "a"
        """The label that steps can require; it takes effect in the store with a registration."""
        self._service = service
        self._room = room
        self._store = store
        self._history = history
        self._random = random
        self._address = address
        self._failure_domain = failure_domain
        self._longest_lease_ms = int(max_lease_seconds * 1000)
        self._rate = random.uniform(0.98, 1.0)
        self._draining = False
        self._reset_state()

    @property
    def running(self) -> tuple[TaskName, ...]:
        """The tasks that are running."""
        return tuple(task for task, _ in self._state.runs)

    @property
    def incarnation(self) -> int:
        """The number of this incarnation: its start time in milliseconds, plus 1."""
        return int(self._state.began * 1000) + 1

    @property
    def clock_ms(self) -> int:
        """The monotonic clock of this incarnation in milliseconds, which runs up to 2% slow."""
        return int((trio.current_time() - self._state.began) * 1000 * self._rate)

    @property
    def remaining_lease_ms(self) -> int:
        """Time until the lease expires if it isn't renewed, in milliseconds."""
        return self._state.deadline_ms - self.clock_ms

    async def run(self) -> None:
        """Register, then advance the runs until cancelled."""
        self._register()
        while True:
            await trio.sleep(STEP_SECONDS)
            if self.up:
                self._advance_runs()

    def crash(self) -> None:
        """End the process. All runs are lost, and nothing is reported."""
        self.up = False
        for run in self._state.runs.values():
            self._history.record_end(self._id(run.task, run.attempt), EndReason.LAPSED)
        self._state.runs.clear()

    def restart(self, registers: bool = True) -> None:
        """Start a new incarnation under the same id, without any state of the last one.

        With ``registers`` it writes its registration at once.
        """
        self.up = True
        self._reset_state()
        if registers:
            self._register()

    def unregister(self) -> None:
        """Remove the registration, as when its lease expires while the store is unreachable."""
        self._store.remove(f"{REGISTRATION_PREFIX}{self.executor}")

    def register(self) -> None:
        """Restore the registration."""
        self._register()

    def drain(self) -> None:
        """Register as draining."""
        self._draining = True
        self._register()

    def start(self, token: FencingToken, order: StartRequest) -> CallOutcome:
        """Start a run, unless the order is fenced, stale, late or malformed."""
        refusal = self._refusal(token)
        if refusal is not None:
            return refusal
        key = (order.task, order.attempt)
        if key in self._state.runs:
            return CallOutcome.ACCEPTED
        if order.attempt <= self._state.barred_attempts.get(order.task, 0):
            return CallOutcome.STALE_ATTEMPT
        if order.deadline_ms <= self.clock_ms:
            return CallOutcome.PAST_DEADLINE
        parsed = parse_task_name(order.task)
        spec = self._history.jobs.get(parsed[0]) if parsed is not None else None
        if parsed is None or spec is None:
            self._history.record_start(self._id(order.task, order.attempt))
            return CallOutcome.MALFORMED
        step = spec.steps[parsed[1].step]
        if not self._ticket_check(self.executor, order.task, order.ticket):
            return CallOutcome.NO_TICKET
        self._history.record_start(self._id(order.task, order.attempt))
        self._history.check_evacuation(self._failure_domain, order.task)
        if step.required_label not in ("", self.kind):
            self._history.record_violation("kind", f"{order.task} begins on {self.executor}")
        if not self._fits(step):
            self._history.record_over_room(self.executor, order.task)
        work = step.estimate_ms / 1000 * self._random.uniform(0.5, 1.6)
        saved = float(order.checkpoint) if order.checkpoint else 0.0
        fails = self._random.random() < max(self.trouble.fail_share, self._fail_share)
        self._state.runs[key] = _Run(order.task, order.attempt, step, work, fails, saved)
        self._state.deadline_ms = max(self._state.deadline_ms, self._limited(order.deadline_ms))
        return CallOutcome.ACCEPTED

    def stop(self, token: FencingToken, task: TaskName, attempt: int) -> CallOutcome:
        """Stop a run after ``STOP_SECONDS``, and bar this and all earlier attempts of the task."""
        refusal = self._refusal(token)
        if refusal is not None:
            return refusal
        self._state.barred_attempts[task] = max(self._state.barred_attempts.get(task, 0), attempt)
        run = self._state.runs.get((task, attempt))
        if run is not None and run.stop_at is None:
            self._history.record_stop(self._id(task, attempt))
            run.stop_at = trio.current_time() + STOP_SECONDS
        return CallOutcome.ACCEPTED

    def pace(self, token: FencingToken, task: TaskName, attempt: int, percent: int) -> CallOutcome:
        """Set the pace of a run to ``percent`` of its full speed."""
        refusal = self._refusal(token)
        run = self._state.runs.get((task, attempt))
        if refusal is None and run is not None:
            run.pace = percent / 100
        return refusal or CallOutcome.ACCEPTED

    def renew(self, token: FencingToken, forget_to: int, until_ms: int | None) -> CallOutcome:
        """Extend the lease to ``until_ms``, unless that is None, and forget ended runs.

        Ends with numbers up to ``forget_to`` are forgotten.
        """
        refusal = self._refusal(token)
        if refusal is not None:
            return refusal
        for row in self._state.ends:
            if row.number <= forget_to and row.number > self._state.forgotten:
                lapsed = self._has_lapsed_since(row)
                self._history.record_forgotten_end(self._id(row.task, row.attempt), lapsed)
        self._state.forgotten = max(self._state.forgotten, forget_to)
        self._state.ends = [row for row in self._state.ends if row.number > self._state.forgotten]
        if until_ms is not None:
            self._state.deadline_ms = max(self._state.deadline_ms, self._limited(until_ms))
        return CallOutcome.ACCEPTED

    def listing(self) -> PollAnswer:
        """Return the answer to a poll: all running and the first ``MAX_LISTED_ENDS`` ended runs."""
        for row in self._state.ends[:MAX_LISTED_ENDS]:
            self._history.record_listed_end(
                self._id(row.task, row.attempt), self._has_lapsed_since(row)
            )
        running = tuple(
            RunningRow(run.task, AttemptNumber(run.attempt), self._saved(run), run.percent, 5.0)
            for run in self._state.runs.values()
        )
        ended = tuple(self._state.ends[:MAX_LISTED_ENDS])
        return PollAnswer(
            CallOutcome.ACCEPTED,
            self.clock_ms,
            self.incarnation,
            running,
            ended,
            ends_may_be_cut=len(ended) == MAX_LISTED_ENDS,
        )

    def has_end_after(self, number: int) -> bool:
        """Return whether the list of ends has one with a number above ``number``."""
        return any(row.number > number for row in self._state.ends)

    def _has_lapsed_since(self, row: EndedRow) -> bool:
        """Return whether the lease has expired since the run ended."""
        lapsed_at = self._state.lapsed_at
        return lapsed_at is not None and self._state.ended_at[row.number] < lapsed_at

    def _id(self, task: TaskName, attempt: int) -> RunId:
        return RunId(task, attempt, self.executor, self.incarnation)

    def _reset_state(self) -> None:
        self._state = _IncarnationState(trio.current_time())

    def _register(self) -> None:
        entry = {
            "service": self._service,
            "address": str(self._address),
            "zone": self._failure_domain,
            "state": "draining" if self._draining else "ready",
            "room": {"cpu": self._room.cpu_millis, "mem_mb": self._room.memory_mb},
            "labels": [self.kind],
            "born": self.incarnation,
        }
        self._store.put(f"{REGISTRATION_PREFIX}{self.executor}", msgspec.json.encode(entry))

    def _advance_runs(self) -> None:
        now = trio.current_time()
        if self.clock_ms > self._state.deadline_ms:
            # A lease expires even if nothing is running.
            self._state.lapsed_at = now
            for run in tuple(self._state.runs.values()):
                self._end(run, EndReason.LAPSED)
        for run in tuple(self._state.runs.values()):
            if run.stop_at is not None and run.stop_at <= now:
                self._end(run, EndReason.STOPPED)
                continue
            if not self.trouble.stalled:
                run.done_seconds += STEP_SECONDS * run.pace * self.trouble.speed
            if run.done_seconds >= run.work_seconds and not run.step.long_running:
                self._end(run, EndReason.FAILED if run.fails else EndReason.DONE)

    def _end(self, run: _Run, reason: EndReason) -> None:
        del self._state.runs[run.task, run.attempt]
        self._state.number += 1
        self._state.ended_at[self._state.number] = trio.current_time()
        self._state.barred_attempts[run.task] = max(
            self._state.barred_attempts.get(run.task, 0), run.attempt
        )
        attempt = AttemptNumber(run.attempt)
        self._state.ends.append(
            EndedRow(self._state.number, run.task, attempt, reason, self._saved(run))
        )
        self._history.record_end(self._id(run.task, run.attempt), reason)

    def _refusal(self, token: FencingToken) -> CallOutcome | None:
        if token < self._state.token:
            return CallOutcome.FENCED
        self._state.token = token
        return None

    def _fits(self, step: StepSpec) -> bool:
        cpu = sum(run.step.reserved_cpu_millis for run in self._state.runs.values())
        memory = sum(run.step.memory_mb for run in self._state.runs.values())
        return (
            cpu + step.reserved_cpu_millis <= self._room.cpu_millis
            and memory + step.memory_mb <= self._room.memory_mb
        )

    def _limited(self, until_ms: int) -> int:
        return min(until_ms, self.clock_ms + self._longest_lease_ms)

    @staticmethod
    def _saved(run: _Run) -> str:
        return f"{int(run.done_seconds)}" if run.step.checkpointing else ""
