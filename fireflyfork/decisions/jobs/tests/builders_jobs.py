"""Builders of jobs, executors and polls for tests, and a scheduler whose orders the test
answers."""

from __future__ import annotations

from dataclasses import replace

from ...._ids import (
    AttemptNumber,
    ConfigurationVersion,
    ExecutorId,
    FailureDomainName,
    JobId,
    QueueName,
    ServiceName,
    TaskName,
)
from ...._links import Address
from .. import (
    CallOutcome,
    EndedRow,
    EndReason,
    ExecutorRegistration,
    ExecutorRoom,
    ExecutorState,
    JobSpec,
    LearnedFit,
    OrderAnswer,
    PaceRun,
    PollAnswer,
    QueueConfiguration,
    QueueTable,
    Run,
    RunningRow,
    Scheduler,
    SchedulerSettings,
    StartRun,
    StepSpec,
    StopRun,
    queue_table,
)

SERVICE = ServiceName("desk")
LEASE_MS = 5_000
"""The longest lease that any owner grants, in milliseconds."""
TERMS = SchedulerSettings(SERVICE, unreached_lease=8.0, max_lease=LEASE_MS / 1000, drain_notice=2.5)
START = 1000.0
"""Time on the owner's clock at the start of a test, in seconds."""
START_MS = 1_700_000_000_000


def queue(**changes: object) -> QueueConfiguration:
    """Return a queue whose tasks have two attempts."""
    terms = QueueConfiguration(QueueName("q"), "h", "/q/", SERVICE, 0, 2, 2.0, 1000, 3000)
    return replace(terms, **changes)  # type: ignore[arg-type]


def table(*queues: QueueConfiguration) -> QueueTable:
    """Return a configuration with the given queues."""
    return queue_table(ConfigurationVersion(1), queues or (queue(),), frozenset({SERVICE}))


def step(**changes: object) -> StepSpec:
    """Return a step with one task that reserves one core, with ``changes`` of its fields."""
    return replace(StepSpec(1, 1000, 1000, 0, 1000), **changes)  # type: ignore[arg-type]


def job(name: str = "00000000000000aa", *steps: StepSpec, **changes: object) -> JobSpec:
    """Return a job with the given steps, or with a single task if there are none."""
    spec = JobSpec(JobId(name), QueueName("q"), SERVICE, "work", steps or (step(),), START_MS)
    return replace(spec, **changes)  # type: ignore[arg-type]


def registration(name: str = "i-0", **changes: object) -> ExecutorRegistration:
    """Return the registration of an executor with sixteen cores."""
    default = ExecutorRegistration(
        ExecutorId(name),
        SERVICE,
        Address("10.0.0.1", 80),
        FailureDomainName("suva"),
        False,
        ExecutorRoom(16000, 64000, 0),
        frozenset({"a", "r1"}),
        "r1",
        1,
    )
    return replace(default, **changes)  # type: ignore[arg-type]


def learned(serving: str, effect: float) -> LearnedFit:
    """Return the sums that an earlier owner stored: ``noisy`` has ``effect`` on ``serving``."""
    weight = 1000.0
    products = (weight, 0.0, weight)
    return LearnedFit(serving, ("\x00", "noisy"), products, (2.4 * weight, -effect * weight))


class OwnerUnderTest:
    """A scheduler whose orders are answered by the test, on a clock that the test advances."""

    def __init__(
        self, *executors: str, polled: bool = True, terms: SchedulerSettings = TERMS
    ) -> None:
        """Register the executors; with ``polled`` each answers a first poll."""
        self.now = START
        self.store_answers = True
        """Whether writes are confirmed, which happens immediately."""
        self.scheduler = Scheduler(terms)
        self.scheduler.configure(table())
        self.ends: dict[str, list[EndedRow]] = {}
        for name in executors:
            self.scheduler.register(registration(name), self.now)
        self.store()
        for name in executors:
            if polled:
                self.poll(name)

    def executor(self, name: str = "i-0") -> ExecutorState:
        """Return the state of an executor."""
        return self.scheduler.executors[ExecutorId(name)]

    def place(self) -> list[Run]:
        """Place the tasks that may start, accept all starts and return the runs."""
        runs = self.send()
        for run in runs:
            self.answer_start(run)
        return runs

    def send(self) -> list[Run]:
        """Place the tasks that may start and return their runs; no start is answered."""
        self.store()
        self.scheduler.place(self.now, START_MS + self.clock())
        return [
            command.run
            for command in self.scheduler.take_commands()
            if isinstance(command, StartRun)
        ]

    def store(self) -> None:
        """Store the known executors, if the store answers."""
        executors = self.scheduler.take_changed_executors()
        if executors is None:
            return
        if self.store_answers:
            self.scheduler.executors_stored(executors)
        else:
            self.scheduler.executors_not_stored()

    def stops(self) -> list[Run]:
        """Return the runs that are to be stopped."""
        return [
            command.run
            for command in self.scheduler.take_commands()
            if isinstance(command, StopRun)
        ]

    def paces(self) -> list[tuple[TaskName, int]]:
        """Return the tasks with a new pace, in percent."""
        commands = self.scheduler.take_commands()
        return [
            (command.run.task.name, command.percent)
            for command in commands
            if isinstance(command, PaceRun)
        ]

    def answer_start(self, run: Run, outcome: CallOutcome = CallOutcome.ACCEPTED) -> None:
        """Answer a start order."""
        clock = None if outcome is CallOutcome.UNKNOWN else self.clock()
        self.scheduler.start_answered(run, OrderAnswer(outcome, clock), self.now)

    def answer_stop(self, run: Run, outcome: CallOutcome = CallOutcome.ACCEPTED) -> None:
        """Answer a stop order."""
        self.scheduler.stop_answered(run, OrderAnswer(outcome, self.clock()), self.now)

    def clock(self) -> int:
        """Return the clock of every executor, in milliseconds."""
        return int((self.now - START) * 1000) + 10

    def poll(
        self,
        name: str = "i-0",
        *rows: RunningRow,
        incarnation: int = 1,
        sent_at: float | None = None,
        ends_may_be_cut: bool = False,
    ) -> None:
        """Answer a poll with these runs and the ends recorded by ``end``."""
        self.store()
        answer = PollAnswer(
            CallOutcome.ACCEPTED,
            self.clock(),
            incarnation,
            rows,
            tuple(self.ends.get(name, ())),
            ends_may_be_cut,
        )
        sent = self.now if sent_at is None else sent_at
        self.scheduler.poll_answered(
            self.executor(name), sent, answer, self.now, START_MS + self.clock()
        )

    def end(
        self, name: str, task: TaskName, attempt: int, reason: EndReason, saved: str = ""
    ) -> None:
        """Record the end of a run, which the next polls list."""
        rows = self.ends.setdefault(name, [])
        rows.append(EndedRow(len(rows) + 1, task, AttemptNumber(attempt), reason, saved))

    def tick(self, seconds: float) -> None:
        """Advance the clock and run the periodic checks."""
        self.now += seconds
        self.scheduler.check_time(self.now, START_MS + self.clock())


def row(run: Run, percent: int = 10, figure: float = 0.0, checkpoint: str = "") -> RunningRow:
    """Return the row by which an executor lists a run."""
    return RunningRow(run.task.name, run.attempt, checkpoint, percent, figure)
