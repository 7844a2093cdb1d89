"""Builds figures, and a service whose callers press in waves and return when they are told to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from ....._ids import JobId, QueueName
from ... import (
    AdmissionSettings,
    EndReason,
    JobSpec,
    JobState,
    PolicySettings,
    QueueConfiguration,
    Run,
    Scheduler,
)
from ..._runs import LATE_FACTOR, allowed_ms
from ...tests.builders_jobs import (
    START_MS,
    TERMS,
    OwnerUnderTest,
    job,
    queue,
    registration,
    row,
    step,
    table,
)
from .. import Admission, RoomRow, WorkFigures, WorkRow
from .._figures import size_of, work_of

MARGIN = 0.5
MAX_AGE_MS = 2_000.0
TICK_SECONDS = 0.25
MAX_TRIES = 5
URGENT = queue(name=QueueName("urgent"), path_prefix="/u/", stretch_factor=1.5)
LARGE = queue(name=QueueName("large"), path_prefix="/l/", priority=2)
POLICIES = PolicySettings(admission=AdmissionSettings(enabled=True))


def large_job(number: int, accepted_ms: int = START_MS) -> JobSpec:
    """Return a job of 40 core-seconds, of use for 15 s."""
    steps = (step(count=10, cpu_millis=2000, estimate_ms=2000),)
    return job(f"{number:016x}", *steps, queue=LARGE.name, accepted_ms=accepted_ms)


def urgent_job(number: int, accepted_ms: int = START_MS) -> JobSpec:
    """Return a job of 4 core-seconds, of use for 7.5 s."""
    return job(f"{number:016x}", step(count=4), queue=URGENT.name, accepted_ms=accepted_ms)


def figures_of(
    *jobs: tuple[int, JobSpec], rate: float = 64_000.0, room: tuple[RoomRow, ...] = ()
) -> WorkFigures:
    """Return figures of a service with these numbers of jobs, none of which runs."""
    rows = tuple(
        WorkRow(
            str(spec.queue),
            queue_of(spec).priority,
            size_of(work_of(spec)),
            count * work_of(spec),
            0.0,
            0.0,
        )
        for count, spec in jobs
    )
    return WorkFigures(1, 1, START_MS, rate, rows, room)


def queue_of(spec: JobSpec) -> QueueConfiguration:
    """Return the configuration of the job's queue."""
    return LARGE if spec.queue == LARGE.name else URGENT


@dataclass
class Caller:
    """A caller with one job."""

    spec: JobSpec
    first_ms: int
    tries: int = 0
    refused_ms: list[int] = field(default_factory=list)
    ended_ms: int = 0

    def allowed(self) -> float:
        """Return how long the job may take to be of full use, in milliseconds."""
        return allowed_ms(self.spec, queue_of(self.spec))

    def is_in_time(self) -> bool:
        """Whether the job ended within its objective, counted from the first try."""
        return 0 < self.ended_ms <= self.first_ms + self.allowed()

    def is_of_use(self) -> bool:
        """Whether the job ended while of some use."""
        return 0 < self.ended_ms <= self.first_ms + LATE_FACTOR * self.allowed()


class PressedService(OwnerUnderTest):
    """Four executors of sixteen cores."""

    def __init__(self, admits_all: bool, slowness: float = 1.0) -> None:
        """Start idle; with ``admits_all`` no job is refused.

        Tasks take ``slowness`` times as long as estimated.
        """
        super().__init__()
        self.scheduler = Scheduler(replace(TERMS, policies=POLICIES))
        self.scheduler.configure(table(URGENT, LARGE))
        self.names = tuple(f"i-{number}" for number in range(4))
        for name in self.names:
            self.scheduler.register(registration(name), self.now)
        self.store()
        for name in self.names:
            self.poll(name)
        self.callers: list[Caller] = []
        self.refusals_with_room = 0
        self._admits_all = admits_all
        self._slowness = slowness
        self._admission = Admission(MARGIN, MAX_AGE_MS)
        self._accepted: dict[JobId, Caller] = {}
        self._returns: list[tuple[int, int]] = []
        self._running: dict[Run, float] = {}

    @property
    def now_ms(self) -> int:
        """The time in Unix milliseconds."""
        return START_MS + self.clock()

    def press(self, waves: Iterator[tuple[float, float]], seconds: float) -> None:
        """Let callers come for ``seconds``, by the numbers of large and urgent jobs a second."""
        due: Counter[str] = Counter()
        for _ in range(int(seconds / TICK_SECONDS)):
            for kind, per_second in zip(("large", "urgent"), next(waves), strict=True):
                due[kind] += int(per_second * TICK_SECONDS * 1000)
                while due[kind] >= 1000:
                    due[kind] -= 1000
                    self._arrive(kind)
            self._step()

    def wait(self, seconds: float) -> None:
        """Let the service work on for ``seconds`` while no new callers come."""
        for _ in range(int(seconds / TICK_SECONDS)):
            self._step()

    def of(self, kind: str) -> list[Caller]:
        """Return the callers of a kind, ``large`` or ``urgent``."""
        return [caller for caller in self.callers if caller.spec.queue == kind]

    def _arrive(self, kind: str) -> None:
        create = large_job if kind == "large" else urgent_job
        self.callers.append(Caller(create(len(self.callers) + 1, self.now_ms), self.now_ms))
        self._try(len(self.callers) - 1)

    def _try(self, number: int) -> None:
        caller = self.callers[number]
        caller.tries += 1
        spec = replace(caller.spec, accepted_ms=self.now_ms)
        figures = self.scheduler.work_figures
        age_ms = self.now_ms - figures.as_of_ms if figures is not None else 0.0
        config = queue_of(spec)
        decision = self._admission.decide(spec, config, figures, age_ms, self.now_ms)
        if decision.admitted or self._admits_all:
            self._accepted[spec.job] = caller
            self.scheduler.accept(self._admission.admit(spec, config), self.now_ms)
            return
        self._admission.record_refusal(spec, config, decision, self.now_ms)
        caller.refused_ms.append(self.now_ms)
        first = spec.steps[0]
        self.refusals_with_room += any(
            executor.fits(first.cpu_millis, first.memory_mb, 0)
            for executor in self.scheduler.executors.values()
        )
        if caller.tries < MAX_TRIES:
            self._returns.append((self.now_ms + decision.retry_seconds * 1000, number))

    def _step(self) -> None:
        due = sorted(entry for entry in self._returns if entry[0] <= self.now_ms)
        self._returns = [entry for entry in self._returns if entry[0] > self.now_ms]
        for _, number in due:
            self._try(number)
        self._start()
        self.tick(TICK_SECONDS)
        for run in [run for run, ends_at in self._running.items() if ends_at <= self.now]:
            del self._running[run]
            self.end(run.executor.executor, run.task.name, run.attempt, EndReason.DONE)
        for name in self.names:
            runs = [run for run in self._running if run.executor is self.executor(name)]
            self.poll(name, *(row(run, self._percent(run)) for run in runs))
        self._start()
        for job_id, caller in tuple(self._accepted.items()):
            known = self.scheduler.jobs.get(job_id)
            if known is not None and known.state is JobState.COMPLETED and not caller.ended_ms:
                caller.ended_ms = self.now_ms
                del self._accepted[job_id]

    def _start(self) -> None:
        for run in self.place():
            self._running[run] = self.now + self._seconds(run)

    def _seconds(self, run: Run) -> float:
        """Return how long a run takes."""
        return self._slowness * run.task.spec.estimate_ms / 1000

    def _percent(self, run: Run) -> int:
        """Return the progress of a run."""
        return int(100 - 100 * (self._running[run] - self.now) / self._seconds(run))
