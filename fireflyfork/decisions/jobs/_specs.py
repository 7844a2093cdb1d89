"""The specification of a job as submitted by a caller: steps, each of identical tasks."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from ..._ids import JobId, QueueName, ServiceName, TaskName
from ._queue_terms import QueueTerms


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step: a number of identical tasks."""

    count: int
    cpu_millis: int
    """CPU time that each task reserves, in thousandths of a core."""
    memory_mb: int
    accelerators: int
    estimate_ms: int
    """The caller's estimate of a task's run time, in milliseconds."""
    after: tuple[int, ...] = ()
    """Numbers of the steps whose tasks must all have ended successfully before this step starts."""
    checkpointing: bool = False
    gang: bool = False
    """Whether the tasks of the step can only work together: all of them run, or none."""
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    """The rack that holds the step's data; on other racks the tasks run slower. Empty for no
    data."""
    per_executor_limit: int = 0
    """Maximum number of the step's tasks on one executor; 0 for no limit."""
    speculative: bool = False
    """Whether a second run of a slow task may be started while the first run continues."""
    long_running: bool = False
    """Whether the tasks run until the job is cancelled; they are restarted however they end."""
    image: str = ""
    """The image that the tasks run; tasks with the same image behave alike."""
    tail_target_ms: int = 0
    """The target for the tail latency of serving tasks, in milliseconds; 0 for tasks that serve no
    users."""
    uses_leftover_cpu: bool = False
    """Whether the tasks reserve no CPU time and use only the CPU time that other tasks leave
    idle."""
    unavailable_budget: int = 0
    """Maximum number of the step's tasks that the scheduler may make unavailable at the same
    time."""

    @property
    def reserved_cpu_millis(self) -> int:
        """CPU time that a task reserves on an executor, in thousandths of a core."""
        return 0 if self.uses_leftover_cpu else self.cpu_millis


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted; never changes."""

    job: JobId
    queue: QueueName
    service: ServiceName
    payload: str
    """Payload sent with every start of a task of the job; opaque to the scheduler."""
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    """When the job arrived, in Unix milliseconds on the accepting instance's clock."""
    repetitions: int = 0
    """Number of occurrences of the job, each at its own due time; 0 to run once and immediately."""
    first_due_ms: int = 0
    """Due time of the first occurrence, in Unix milliseconds."""
    interval_ms: int = 0
    """Time between the due times of two occurrences, in milliseconds."""
    queue_terms: QueueTerms | None = None
    """The terms of the queue when the job was accepted; None for jobs of earlier builds."""

    @property
    def occurrence_count(self) -> int:
        """The number of times that the steps run."""
        return self.repetitions or 1

    @property
    def task_count(self) -> int:
        """The number of tasks in one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def work(self) -> int:
        """The estimated work of one occurrence, in thousandths of a core times milliseconds."""
        return sum(step.count * step.cpu_millis * step.estimate_ms for step in self.steps)

    @property
    def is_long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in Unix milliseconds."""
        return self.first_due_ms + occurrence * self.interval_ms if self.repetitions else 0

    def chain_ms(self, among: Container[int] | None = None) -> int:
        """Return the estimated run time of the longest chain of dependent steps, in milliseconds.

        If ``among`` is given, only the run times of these steps are added up.
        """
        ends: list[int] = []
        for number, step in enumerate(self.steps):
            begin = max((ends[earlier] for earlier in step.after), default=0)
            counts = among is None or number in among
            ends.append(begin + (step.estimate_ms if counts else 0))
        return max(ends, default=0)


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Identifies a task within its job."""

    occurrence: int
    step: int
    index: int

    def name(self, job: JobId) -> TaskName:
        """Return the task's name on executors."""
        return TaskName(f"{job}.{self.occurrence}.{self.step}.{self.index}")


def step_name(job: JobId, occurrence: int, step: int) -> str:
    """Return the name by which questions to an advisor identify the step of an occurrence."""
    return f"{job}.{occurrence}.{step}"


def parse_task_name(name: TaskName) -> tuple[JobId, TaskKey] | None:
    """Return the job and key of a task's name, or None if it is not a task name."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return JobId(parts[0]), TaskKey(int(parts[1]), int(parts[2]), int(parts[3]))
