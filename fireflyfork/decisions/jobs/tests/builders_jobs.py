"""Jobs, executors and polls for tests, and an owner that answers itself."""

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
    QueueTable,
    QueueTerms,
    Run,
    RunningRow,
    Scheduler,
    SchedulerTerms,
    StartRun,
    StepSpec,
    StopRun,
    queue_table,
)

SERVICE = ServiceName("desk")
LEASE_MS = 5_000
"""The longest lease that any owner grants."""
TERMS = SchedulerTerms(SERVICE, unheard_lease=8.0, longest_lease=LEASE_MS / 1000)
START = 1000.0
"""Seconds on the owner's clock when tests begin."""
START_MS = 1_700_000_000_000


def queue(**changes: object) -> QueueTerms:
    """A queue whose jobs may fail twice."""
    terms = QueueTerms(QueueName("q"), "h", "/q/", SERVICE, 0, 2, 2.0, 1000, 3000)
    return replace(terms, **changes)  # type: ignore[arg-type]


def table(*queues: QueueTerms) -> QueueTable:
    """A configuration of these queues."""
    return queue_table(ConfigurationVersion(1), queues or (queue(),), frozenset({SERVICE}))


def step(**changes: object) -> StepSpec:
    """One task of one core."""
    return replace(StepSpec(1, 1000, 1000, 0, 1000), **changes)  # type: ignore[arg-type]


def job(name: str = "00000000000000aa", *steps: StepSpec, **changes: object) -> JobSpec:
    """A job of these steps, or of one task."""
    spec = JobSpec(JobId(name), QueueName("q"), SERVICE, "work", steps or (step(),), START_MS)
    return replace(spec, **changes)  # type: ignore[arg-type]


def registration(name: str = "i-0", **changes: object) -> ExecutorRegistration:
    """An executor of sixteen cores."""
    made = ExecutorRegistration(
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
    return replace(made, **changes)  # type: ignore[arg-type]


def learned(serving: str, effect: float) -> LearnedFit:
    """What an earlier owner knew: ``noisy`` takes so much headroom beside this service."""
    weight = 1000.0
    products = (weight, 0.0, weight)
    return LearnedFit(serving, ("\x00", "noisy"), products, (2.4 * weight, -effect * weight))


class OwnerUnderTest:
    """A scheduler whose orders are answered as the test says, at a time that the test moves."""

    def __init__(self, *executors: str, polled: bool = True) -> None:
        """``polled``: all executors have answered a first poll."""
        self.now = START
        self.store_answers = True
        """Whether writes are confirmed, at once."""
        self.scheduler = Scheduler(TERMS)
        self.scheduler.configure(table())
        self.ends: dict[str, list[EndedRow]] = {}
        for name in executors:
            self.scheduler.register(registration(name), self.now)
        self.store()
        for name in executors:
            if polled:
                self.poll(name)

    def executor(self, name: str = "i-0") -> ExecutorState:
        """The state of an executor."""
        return self.scheduler.executors[ExecutorId(name)]

    def place(self) -> list[Run]:
        """Place what may start, let all starts be accepted, and return them."""
        runs = self.send()
        for run in runs:
            self.answer_start(run)
        return runs

    def send(self) -> list[Run]:
        """Place what may start; no start is answered."""
        self.store()
        self.scheduler.place(self.now, START_MS + self.clock())
        return [one.run for one in self.scheduler.take_commands() if isinstance(one, StartRun)]

    def store(self) -> None:
        """The executors that are known are stored, if the store answers."""
        executors = self.scheduler.take_changed_executors()
        if executors is None:
            return
        if self.store_answers:
            self.scheduler.executors_stored(executors)
        else:
            self.scheduler.executors_not_stored()

    def stops(self) -> list[Run]:
        """The runs that are to be stopped."""
        return [one.run for one in self.scheduler.take_commands() if isinstance(one, StopRun)]

    def paces(self) -> list[tuple[TaskName, int]]:
        """The tasks that are to work at another pace, in percent."""
        commands = self.scheduler.take_commands()
        return [(one.run.task.name, one.percent) for one in commands if isinstance(one, PaceRun)]

    def answer_start(self, run: Run, outcome: CallOutcome = CallOutcome.ACCEPTED) -> None:
        """An executor answers a start."""
        clock = None if outcome is CallOutcome.UNKNOWN else self.clock()
        self.scheduler.start_answered(run, OrderAnswer(outcome, clock), self.now)

    def answer_stop(self, run: Run, outcome: CallOutcome = CallOutcome.ACCEPTED) -> None:
        """An executor answers a stop."""
        self.scheduler.stop_answered(run, OrderAnswer(outcome, self.clock()), self.now)

    def clock(self) -> int:
        """The clock of every executor."""
        return int((self.now - START) * 1000) + 10

    def poll(
        self,
        name: str = "i-0",
        *rows: RunningRow,
        incarnation: int = 1,
        sent_at: float | None = None,
        ends_may_be_cut: bool = False,
    ) -> None:
        """An executor lists these runs, and the ends noted by ``end``."""
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
        """A run ends; the next polls list it."""
        rows = self.ends.setdefault(name, [])
        rows.append(EndedRow(len(rows) + 1, task, AttemptNumber(attempt), reason, saved))

    def tick(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        self.scheduler.check_time(self.now, START_MS + self.clock())


def row(run: Run, percent: int = 10, figure: float = 0.0, checkpoint: str = "") -> RunningRow:
    """How an executor lists a run."""
    return RunningRow(run.task.name, run.attempt, checkpoint, percent, figure)
