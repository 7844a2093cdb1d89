"""What a caller hands in: a job of steps, each of tasks alike."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from ..._ids import JobId, QueueName, ServiceName, TaskName


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A number of tasks alike."""

    count: int
    cpu_millis: int
    """Thousandths of a core that each task reserves."""
    memory_mb: int
    accelerators: int
    estimate_ms: int
    """The caller's guess of a task's run time."""
    after: tuple[int, ...] = ()
    """Earlier steps whose tasks must all have ended well first."""
    checkpointing: bool = False
    gang: bool = False
    """All its tasks work only together."""
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    """Where its data lies; slower anywhere else."""
    per_executor_limit: int = 0
    """At most so many of its tasks on one executor; 0: no limit."""
    speculative: bool = False
    """Copies of one task may run side by side."""
    long_running: bool = False
    """Its tasks run until the job is cancelled and are restarted however they end."""
    image: str = ""
    """What its tasks run; tasks of one image behave alike."""
    tail_target_ms: int = 0
    """The tail latency that its tasks owe their own users; 0: they serve nobody."""
    uses_leftover_cpu: bool = False
    """Reserves no processor time: its tasks get what the others leave unused."""
    unavailable_budget: int = 0
    """So many of its tasks may be away at once through the scheduler's doing."""

    @property
    def reserved_cpu_millis(self) -> int:
        """What a task takes from an executor's processor capacity."""
        return 0 if self.uses_leftover_cpu else self.cpu_millis


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it was accepted; never changes."""

    job: JobId
    queue: QueueName
    service: ServiceName
    payload: str
    """Opaque to the scheduler; every start of its tasks carries it."""
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    """When it arrived, Unix milliseconds on the accepting instance's clock."""
    repetitions: int = 0
    """So many times the steps run, each at its due time; 0: once, at once."""
    first_due_ms: int = 0
    """Unix milliseconds of the first due time."""
    interval_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """How many times the steps run."""
        return self.repetitions or 1

    @property
    def task_count(self) -> int:
        """How many tasks one occurrence has."""
        return sum(step.count for step in self.steps)

    @property
    def lasts(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """When an occurrence may start, Unix milliseconds."""
        return self.first_due_ms + occurrence * self.interval_ms if self.repetitions else 0

    def chain_ms(self, among: Container[int] | None = None) -> int:
        """The longest chain of estimated work, over all steps or over those in ``among``."""
        ends: list[int] = []
        for number, step in enumerate(self.steps):
            begin = max((ends[earlier] for earlier in step.after), default=0)
            counts = among is None or number in among
            ends.append(begin + (step.estimate_ms if counts else 0))
        return max(ends, default=0)


@dataclass(frozen=True, slots=True, order=True)
class TaskKey:
    """Which task of a job."""

    occurrence: int
    step: int
    index: int

    def name(self, job: JobId) -> TaskName:
        """The name that executors know it by."""
        return TaskName(f"{job}.{self.occurrence}.{self.step}.{self.index}")


def step_name(job: JobId, occurrence: int, step: int) -> str:
    """The name that an advisor knows a step by."""
    return f"{job}.{occurrence}.{step}"


def parse_task_name(name: TaskName) -> tuple[JobId, TaskKey] | None:
    """Job and key of a task's name, or None when it isn't one."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return JobId(parts[0]), TaskKey(int(parts[1]), int(parts[2]), int(parts[3]))
