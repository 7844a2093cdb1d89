"""A service with simulated executors, whose history a test composes step by step."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

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
    QueueTable,
    Run,
    RunningRow,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
    decode_progress,
    decode_stored_job,
    decode_terms,
    encode_job,
    encode_progress,
    encode_terms,
)
from .._job_limits import MAX_DURATION_MS, MAX_QUANTITY, job_problem
from .._policy_settings import (
    AdmissionSettings,
    ArrangementSettings,
    EstimateSettings,
    FairnessSettings,
    PreemptionSettings,
)
from .builders_jobs import SERVICE, START, START_MS, TERMS, job, queue, registration

EXECUTORS = ("i-0", "i-1", "i-2")
NAMES = st.sampled_from(EXECUTORS)
JOBS_PER_WRITE = 3
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
        lambda priority, attempts, stretch, needs_tickets: queue(
            priority=priority,
            attempts=attempts,
            stretch_factor=stretch,
            needs_tickets=needs_tickets,
        ),
        st.sampled_from((0, 2, 9)),
        st.integers(1, 5),
        st.sampled_from((0.0, 1.5, 4.0)),
        st.sampled_from((False, False, True)),
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
        self.queues: list[QueueConfiguration] = [queue(version=1)]
        self.queues_before = self.queues
        """The queues of the version before."""
        self.version = 1
        self.jobs: dict[JobId, JobSpec] = {}
        self.cancelled: set[JobId] = set()
        self.registered: set[str] = set()
        self.stored_jobs: dict[JobId, bytes] = {}
        self.stored_progress: dict[JobId, bytes] = {}
        self.stored_terms = b""
        self.stored_executors: tuple[ExecutorRegistration, ...] = ()
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
        self.scheduler.configure(self.table)
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
        self.queues_before = self.queues
        self.version += 1
        version = ConfigurationVersion(self.version)
        self.queues = [replace(each, version=version) for each in queues]
        self.scheduler.configure(self.table)

    @property
    def table(self) -> QueueTable:
        """The configuration in force."""
        version = ConfigurationVersion(self.version)
        return QueueTable(version, tuple(self.queues), frozenset({SERVICE}))

    def store(self) -> None:
        """Store what has changed, as the journal of the owner does."""
        jobs = self.scheduler.jobs
        while names := jobs.changes.take(JOBS_PER_WRITE):
            for name in names:
                changed = jobs.get(name)
                if changed is not None:
                    self.stored_progress[name] = encode_progress(changed.to_stored())
            jobs.changes.mark_stored()
        self.scheduler.release_stored_ends()
        terms = self.scheduler.take_changed_terms()
        if terms is not None:
            self.stored_terms = encode_terms(terms)
        self.store_executors()

    def change_owner(self) -> None:
        """Let another owner recover from the store and from the executors."""
        last_known = self.stored_executors
        self.scheduler = Scheduler(self.settings)
        self.scheduler.configure(self.table)
        if self.stored_terms:
            self.scheduler.adopt_terms(decode_terms(self.stored_terms))
        jobs = tuple(
            (decode_stored_job(data), decode_progress(progress) if progress else None)
            for name, data in self.stored_jobs.items()
            for progress in (self.stored_progress.get(name),)
        )
        registrations = [self.executors[name].registration for name in sorted(self.registered)]
        self.scheduler.recover(jobs, registrations, last_known, self.now, self.now_ms)
        for cancelled in self.cancelled:
            self.scheduler.cancel(cancelled, self.now, self.now_ms)
        self.starts.clear()
        self.store_executors()
        for executor in EXECUTORS:
            self.poll(executor)
        self._carry_out()

    def submit(self, spec: JobSpec) -> None:
        """Hand a job in, at an instance with the configuration in force."""
        self.submit_under(spec, self.queues)

    def submit_under(self, spec: JobSpec, queues: list[QueueConfiguration]) -> None:
        """Hand a job in at an instance that still has other queues, or none of them."""
        if not queues:
            return
        spec = replace(spec, queue_terms=queues[0].terms)
        self.jobs[spec.job] = spec
        self.stored_jobs[spec.job] = encode_job(spec)
        self.scheduler.accept(decode_stored_job(encode_job(spec)), self.now_ms)

    def cancel(self, name: JobId) -> None:
        """Cancel a job."""
        self.cancelled.add(name)
        self.scheduler.cancel(name, self.now, self.now_ms)

    def register(self, name: str) -> None:
        """Report the present registration of an executor."""
        self.registered.add(name)
        self.scheduler.register(self.executors[name].registration, self.now)

    def store_executors(self) -> None:
        """Store the list of executors for a successor."""
        listed = self.scheduler.take_changed_executors()
        if listed is not None:
            self.stored_executors = listed
            self.scheduler.executors_stored(listed)

    def unregister(self, name: str) -> None:
        """Remove the registration of an executor that doesn't answer."""
        self.registered.discard(name)
        state = self.scheduler.executors.get(ExecutorId(name))
        if state is not None:
            self.scheduler.poll_failed(state, self.now)
            self.scheduler.unregister(state.executor, self.now)

    def place(self) -> None:
        """Place tasks, and carry out the stops that are ordered."""
        self.store_executors()
        self.scheduler.place(self.now, self.now_ms)
        self._carry_out()

    def _carry_out(self) -> None:
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

    def poll(self, name: str, percent: int = 10, figure: float = 0.0) -> None:
        """Answer a poll with all runs and ends of an executor."""
        state = self.scheduler.executors.get(ExecutorId(name))
        if state is None:
            return
        simulated = self.executors[name]
        rows = tuple(RunningRow(*key, "", percent, figure) for key in sorted(simulated.running))
        answer = PollAnswer(
            CallOutcome.ACCEPTED,
            self.clock_ms,
            simulated.registration.incarnation,
            rows,
            tuple(simulated.ends),
        )
        self.scheduler.poll_answered(state, self.now, answer, self.now, self.now_ms)

    def tick(self, seconds: float) -> None:
        """Advance the clock and run the periodic checks."""
        self.now += seconds
        self.scheduler.check_time(self.now, self.now_ms)


class ServiceHistory(RuleBasedStateMachine):
    """Any history, with answers in any order, restarts, and changes of owner and configuration."""

    def __init__(self) -> None:
        """Begin with idle executors."""
        super().__init__()
        self.service = ServiceUnderTest()
        self.submitted = 0

    @rule(data=st.data())
    def submit(self, data: st.DataObject) -> None:
        """Hand in a job, if an entry accepts it."""
        spec = data.draw(jobs(f"{self.submitted:016x}"))
        if spec is not None:
            self.submitted += 1
            self.service.submit(spec)

    @rule(data=st.data(), seconds=st.sampled_from((0.1, 1.0)))
    def work(self, data: st.DataObject, seconds: float) -> None:
        """Hand in a job, and start what may start."""
        self.submit(data)
        self.service.tick(seconds)
        self.service.place()
        self.accept_starts()

    @rule()
    def place(self) -> None:
        """Place tasks, and leave the starts on their way."""
        self.service.tick(0.1)
        self.service.place()

    @precondition(lambda self: self.service.starts)
    @rule(data=st.data(), outcome=OUTCOMES)
    def refuse_start(self, data: st.DataObject, outcome: CallOutcome) -> None:
        """Refuse a start, or leave it without an answer."""
        self.service.answer_start(data.draw(st.sampled_from(self.service.starts)), outcome)

    @rule()
    def accept_starts(self) -> None:
        """Accept all starts."""
        for run in tuple(self.service.starts):
            self.service.answer_start(run, CallOutcome.ACCEPTED)

    @rule(name=NAMES, reason=st.sampled_from(EndReason), data=st.data())
    def end_run(self, name: str, reason: EndReason, data: st.DataObject) -> None:
        """End a run on an executor, which lists it at the next poll."""
        simulated = self.service.executors[name]
        if simulated.running:
            simulated.end(data.draw(st.sampled_from(sorted(simulated.running))), reason)

    @rule(name=NAMES, reason=st.sampled_from((EndReason.DONE, EndReason.DONE, EndReason.FAILED)))
    def end_all(self, name: str, reason: EndReason) -> None:
        """End all runs on an executor, start what may start then, and list them."""
        simulated = self.service.executors[name]
        for key in sorted(simulated.running):
            simulated.end(key, reason)
        self.service.poll(name)
        self.service.place()
        self.accept_starts()
        self.service.poll(name)

    @rule(name=NAMES, percent=PERCENTS, figure=FIGURES)
    def poll(self, name: str, percent: int, figure: float) -> None:
        """Answer a poll."""
        self.service.poll(name, percent, figure)

    @rule(name=NAMES, number=st.integers(0, 9), attempt=st.integers(0, 3))
    def adopt(self, name: str, number: int, attempt: int) -> None:
        """List a run that an earlier owner has started, also of a job that isn't known."""
        key = TaskName(f"{number:016x}.0.0.0"), AttemptNumber(attempt)
        self.service.executors[name].running.add(key)
        self.service.poll(name)

    @rule(named=st.sets(st.sampled_from((*EXECUTORS, "x"))), answered=st.booleans())
    def advise(self, named: set[str], answered: bool) -> None:
        """Answer a question to the advisor, also with executors that weren't named in it."""
        service = self.service
        question = service.scheduler.next_question(service.now, service.now_ms)
        if question is None:
            return
        service.scheduler.question_sent(question, service.now + 1.0)
        tickets = {ExecutorId(name): "ticket" for name in sorted(named)} if answered else None
        service.scheduler.handle_advice(question, tickets, 10.0, service.now, service.now_ms)
        service.place()
        self.accept_starts()

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        """Start an executor's process again."""
        self.service.executors[name].restart()
        self.service.register(name)

    @rule(name=NAMES, draining=st.booleans())
    def drain(self, name: str, draining: bool) -> None:
        """Change the state of an executor."""
        self.service.executors[name].change(draining=draining)
        self.service.register(name)

    @rule(name=NAMES)
    def unregister(self, name: str) -> None:
        """Remove an executor's entry while it fails to answer."""
        self.service.unregister(name)

    @rule(name=NAMES)
    def register(self, name: str) -> None:
        """Write an executor's entry again."""
        self.service.register(name)

    @rule(domains=st.sampled_from((frozenset(), frozenset({FailureDomainName("d-0")}))))
    def evacuate(self, domains: frozenset[FailureDomainName]) -> None:
        """Evacuate a failure domain, or end its evacuation."""
        self.service.scheduler.evacuate(domains)
        self.service.tick(0.1)
        self.service.place()

    @rule(queues=QUEUES)
    def configure(self, queues: list[QueueConfiguration]) -> None:
        """Put another version of the configuration in force, also one without the queue."""
        self.service.configure(queues)

    @rule(data=st.data())
    def submit_late(self, data: st.DataObject) -> None:
        """Hand in a job at an instance that has the version before the one in force."""
        spec = data.draw(jobs(f"{self.submitted:016x}"))
        if spec is not None:
            self.submitted += 1
            self.service.submit_under(spec, self.service.queues_before)

    @rule()
    def store(self) -> None:
        """Store what has changed."""
        self.service.store()

    @rule(stored=st.booleans())
    def change_owner(self, stored: bool) -> None:
        """Change the owner, after its last changes were stored or before."""
        if stored:
            self.service.store()
        self.service.change_owner()

    @precondition(lambda self: self.service.jobs)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel a job."""
        name = data.draw(st.sampled_from(sorted(self.service.jobs)))
        self.service.cancel(name)

    @rule(seconds=st.sampled_from((0.1, 0.6, 3.0, 15.0)))
    def tick(self, seconds: float) -> None:
        """Let time pass."""
        self.service.tick(seconds)
