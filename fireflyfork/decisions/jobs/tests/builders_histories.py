"""A service with simulated executors, whose history a test composes step by step."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from hypothesis import strategies as st

from ...._ids import (
    AttemptNumber,
    ConfigurationVersion,
    ExecutorId,
    FailureDomainName,
    JobId,
    TaskName,
)
from .. import (
    CallOutcome,
    EndedRow,
    EndReason,
    ExecutorRegistration,
    ExecutorRoom,
    ExecutorState,
    JobSpec,
    OrderAnswer,
    PolicySettings,
    PollAnswer,
    QueueConfiguration,
    Run,
    RunningRow,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
)
from .._job_limits import MAX_DURATION_MS, MAX_QUANTITY, job_problem
from .._policy_settings import (
    AdmissionSettings,
    ArrangementSettings,
    EstimateSettings,
    FairnessSettings,
    PreemptionSettings,
)
from .builders_jobs import START, START_MS, TERMS, job, queue, registration, table

EXECUTORS = ("i-0", "i-1", "i-2")
ALL_POLICIES = PolicySettings(
    PreemptionSettings(True, adaptive_reserve=True),
    AdmissionSettings(True),
    FairnessSettings(True),
    EstimateSettings(True, True, True, True),
    arrangement=ArrangementSettings(True),
)

_SIZES = st.sampled_from((0, 0, 0, 1, 500, 500, 1000, 1000, 3000, 16_000, 16_001, MAX_QUANTITY))
_LIMITS = st.sampled_from((0, 0, 1, 2, MAX_QUANTITY))
_DURATIONS = st.sampled_from((0, 1, 1000, MAX_DURATION_MS))
_FLAGS = st.booleans()
_IMAGES = st.sampled_from(("", "letters", "noisy", "x" * 256))

STEPS = st.builds(
    StepSpec,
    count=st.integers(1, 4),
    cpu_millis=_SIZES,
    memory_mb=_SIZES,
    accelerators=st.sampled_from((0, 0, 0, 0, 0, 0, 1, MAX_QUANTITY)),
    estimate_ms=_DURATIONS,
    checkpointing=_FLAGS,
    gang=st.sampled_from((False, False, True)),
    same_rack=_FLAGS,
    required_label=st.sampled_from(("", "", "", "a", "b")),
    data_rack=st.sampled_from(("", "r1")),
    per_executor_limit=_LIMITS,
    speculative=_FLAGS,
    long_running=st.sampled_from((False, False, True)),
    image=_IMAGES,
    tail_target_ms=_LIMITS,
    uses_leftover_cpu=_FLAGS,
    unavailable_budget=_LIMITS,
)
"""Steps with absent, usual and largest fields in any combination."""

QUEUES = st.lists(
    st.builds(
        lambda priority, attempts, stretch: queue(
            priority=priority, attempts=attempts, stretch_factor=stretch
        ),
        st.sampled_from((0, 2, 9)),
        st.integers(1, 5),
        st.sampled_from((0.0, 1.5, 4.0)),
    ),
    max_size=1,
)
"""The queues of a configuration: the one of all jobs, or none."""

FIGURES = st.sampled_from((0.0, -1.0, 2.5, 1e300))
PERCENTS = st.sampled_from((0, 40, 100, 101, 2**53 - 1))
OUTCOMES = st.sampled_from(
    [each for each in CallOutcome if each not in (CallOutcome.FENCED, CallOutcome.ACCEPTED)]
)


@st.composite
def jobs(draw: st.DrawFn, name: str) -> JobSpec | None:
    """Draw a job that an entry accepts, or None for one that it refuses."""
    steps = draw(st.lists(STEPS, min_size=1, max_size=3))
    chained = tuple(
        replace(step, after=(number - 1,) if number and draw(_FLAGS) else ())
        for number, step in enumerate(steps)
    )
    repetitions = draw(st.sampled_from((0, 0, 2)))
    spec = job(name, *chained, repetitions=repetitions, interval_ms=1000 if repetitions else 0)
    return None if job_problem(spec) else spec


@dataclass(slots=True)
class SimulatedExecutor:
    """An executor that runs whatever it is told to."""

    registration: ExecutorRegistration
    running: set[tuple[TaskName, AttemptNumber]] = field(default_factory=set)
    ends: list[EndedRow] = field(default_factory=list)

    def end(self, key: tuple[TaskName, AttemptNumber], reason: EndReason) -> None:
        """End a run."""
        self.running.discard(key)
        self.ends.append(EndedRow(len(self.ends) + 1, *key, reason, ""))

    def restart(self) -> None:
        """Begin another incarnation, which knows nothing of the one before."""
        self.running.clear()
        self.ends.clear()
        incarnation = self.registration.incarnation + 1
        self.registration = replace(self.registration, incarnation=incarnation)

    def change(self, **changes: object) -> None:
        """Change the registration."""
        self.registration = replace(self.registration, **changes)  # type: ignore[arg-type]


class ServiceUnderTest:
    """A scheduler, its executors, and the orders that were not answered yet."""

    def __init__(self, policies: PolicySettings = ALL_POLICIES) -> None:
        """Register executors that have answered a first poll."""
        self.now = START
        self.settings = replace(TERMS, policies=policies)
        self.scheduler = Scheduler(self.settings)
        self.queues: list[QueueConfiguration] = [queue()]
        self.version = 1
        self.jobs: dict[JobId, JobSpec] = {}
        self.starts: list[Run] = []
        """Runs whose start was ordered and not answered."""
        self.executors = {
            name: SimulatedExecutor(
                registration(
                    name,
                    room=ExecutorRoom(16_000, 64_000, number),
                    rack=f"r{number}",
                    failure_domain=FailureDomainName(f"d-{number}"),
                )
            )
            for number, name in enumerate(EXECUTORS)
        }
        self.scheduler.configure(table(*self.queues))
        for name in EXECUTORS:
            self.register(name)
        self.store_executors()
        for name in EXECUTORS:
            self.poll(name)

    @property
    def now_ms(self) -> int:
        """The time in Unix milliseconds."""
        return START_MS + int((self.now - START) * 1000)

    @property
    def clock_ms(self) -> int:
        """The clock of every executor, in milliseconds."""
        return int((self.now - START) * 1000) + 10

    def states(self) -> Iterator[ExecutorState]:
        """Yield the states of the executors that the scheduler knows."""
        yield from self.scheduler.executors.values()

    def configure(self, queues: list[QueueConfiguration]) -> None:
        """Put a new version of the configuration in force."""
        self.version += 1
        self.queues = queues
        self.scheduler.configure(
            replace(
                table(*queues), version=ConfigurationVersion(self.version), queues=tuple(queues)
            )
        )

    def submit(self, spec: JobSpec) -> None:
        """Hand a job in."""
        self.jobs[spec.job] = spec
        self.scheduler.accept(spec, self.now_ms)

    def register(self, name: str) -> None:
        """Report the present registration of an executor."""
        self.scheduler.register(self.executors[name].registration, self.now)

    def store_executors(self) -> None:
        """Store the list of executors for a successor."""
        listed = self.scheduler.take_changed_executors()
        if listed is not None:
            self.scheduler.executors_stored(listed)

    def place(self) -> None:
        """Place tasks, and carry out the stops that are ordered."""
        self.store_executors()
        self.scheduler.place(self.now, self.now_ms)
        for command in self.scheduler.take_commands():
            if isinstance(command, StartRun):
                self.starts.append(command.run)
            elif isinstance(command, StopRun):
                self._stop(command.run)

    def answer_start(self, run: Run, outcome: CallOutcome) -> None:
        """Answer a start. Without an answer, it may have been carried out."""
        self.starts.remove(run)
        simulated = self.executors[run.executor.executor]
        is_same = run.incarnation == simulated.registration.incarnation
        if not is_same:
            outcome = CallOutcome.OTHER_INCARNATION
        if outcome in (CallOutcome.ACCEPTED, CallOutcome.UNKNOWN):
            simulated.running.add(run.key)
        clock = None if outcome is CallOutcome.UNKNOWN else self.clock_ms
        incarnation = simulated.registration.incarnation
        self.scheduler.start_answered(run, OrderAnswer(outcome, clock, incarnation), self.now)

    def _stop(self, run: Run) -> None:
        simulated = self.executors[run.executor.executor]
        if run.incarnation == simulated.registration.incarnation:
            if run.key in simulated.running:
                simulated.end(run.key, EndReason.STOPPED)
            answer = OrderAnswer(CallOutcome.ACCEPTED, self.clock_ms, run.incarnation)
            self.scheduler.stop_answered(run, answer, self.now)

    def poll(
        self,
        name: str,
        percent: int = 10,
        figure: float = 0.0,
        further: tuple[RunningRow, ...] = (),
    ) -> None:
        """Answer a poll with all runs and ends of an executor, and ``further`` rows."""
        state = self.scheduler.executors.get(ExecutorId(name))
        if state is None:
            return
        simulated = self.executors[name]
        rows = tuple(RunningRow(*key, "", percent, figure) for key in sorted(simulated.running))
        answer = PollAnswer(
            CallOutcome.ACCEPTED,
            self.clock_ms,
            simulated.registration.incarnation,
            (*rows, *further),
            tuple(simulated.ends),
        )
        self.scheduler.poll_answered(state, self.now, answer, self.now, self.now_ms)

    def tick(self, seconds: float) -> None:
        """Advance the clock and run the periodic checks."""
        self.now += seconds
        self.scheduler.check_time(self.now, self.now_ms)
