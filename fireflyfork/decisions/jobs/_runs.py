"""The jobs that are not over, their tasks and the runs of these tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..._ids import AttemptNumber, ExecutorId, TaskName
from ..._waits import WaitReason
from ._progress import JobState, StoredProgress, StoredTask
from ._queues import QueueTerms
from ._run_end_evidence import RunEndEvidence
from ._specs import JobSpec, StepSpec, TaskKey
from ._tickets import StepId

if TYPE_CHECKING:
    from ._executors import ExecutorState


LATE_FACTOR = 3.0
"""A job that takes more than this many times what its objective allows is of no use any more; below
that, a late job is of some use."""
_NONE_YET = AttemptNumber(0)


class RunPhase(Enum):
    """The phase of a run."""

    STARTING = "starting"
    """The start order is on its way."""
    UNSURE = "unsure"
    """The start order was not answered: the run may exist, or may still begin."""
    RUNNING = "running"
    STOPPING = "stopping"
    """It keeps its resources until its end is listed."""


@dataclass(slots=True, eq=False)
class Run:
    """One attempt to run a task on one executor."""

    task: Task
    attempt: AttemptNumber
    executor: ExecutorState
    phase: RunPhase
    ordered_at: float
    """When its start was sent; for a run that was found on an executor, when it was found."""
    start_deadline_ms: int = 0
    """Time on the executor's clock after which its start is void."""
    confirmed_at: float | None = None
    """When its presence on the executor was confirmed; None before."""
    stop_sent_at: float = 0.0
    stop_acknowledged_at: float | None = None
    """When a stop was acknowledged, after which the attempt can't begin there any more; None
    before."""
    checkpoint: str = ""
    listed_at: float = 0.0
    """When its executor last listed it."""
    progress_percent: int = 0
    progress_at: float = 0.0
    """When the progress last changed."""
    pace_percent: int = 100
    lowest_pace: int = 100
    """The slowest pace that it was ordered to work at, in percent."""
    pace_confirmed: bool = True
    """False if the executor may run it at another pace: the run of an earlier owner, or a pace
    order without an answer."""
    ticket: str = ""
    """The advisor's permission to run there, if the queue requires one."""
    in_background: bool = False
    """Whether it runs slowly in the background, to disturb no other task: its job is of no use any
    more but still has to end."""
    incarnation: int = field(init=False)
    """The executor's incarnation when the run was decided or found. Orders wait in a queue, and
    must not go to an incarnation that began in the meantime."""

    def __post_init__(self) -> None:
        """Set the incarnation to the one that is known at present."""
        self.incarnation = self.executor.registration.incarnation

    @property
    def key(self) -> tuple[TaskName, AttemptNumber]:
        """What identifies the run on its executor."""
        return self.task.name, self.attempt

    @property
    def is_active(self) -> bool:
        """Whether the run is expected to end by itself."""
        return self.phase in (RunPhase.STARTING, RunPhase.RUNNING)


@dataclass(slots=True, eq=False)
class Task:
    """One task that has not ended successfully yet."""

    job: Job
    key: TaskKey
    name: TaskName
    spec: StepSpec
    attempt: AttemptNumber = _NONE_YET
    """The highest attempt number used."""
    failed_attempts: list[int] = field(default_factory=list)
    failed_on: set[ExecutorId] = field(default_factory=set)
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    straggler_handled: bool = False
    """Whether a slow run of it was copied or stopped. This is done only once per task, so that a
    task which is itself slow is not moved from executor to executor."""
    moved_at: float = float("-inf")
    """When it was last stopped to be moved to a better executor."""
    wait_reason: WaitReason = WaitReason.NOTHING
    """Why no executor could run it at the last attempt to place it."""
    waiting: bool = False
    """Whether it is in the queue of waiting tasks."""
    last_run_over: RunEndEvidence = RunEndEvidence.NO_RUN
    """The evidence that its last run was over."""

    @property
    def step_id(self) -> StepId:
        """The step that the task belongs to."""
        return self.job.spec.job, self.key.occurrence, self.key.step

    def to_stored(self) -> StoredTask | None:
        """Return the progress to store, or None if there is none."""
        if not self.attempt:
            return None
        return StoredTask(
            self.key.occurrence,
            self.key.step,
            self.key.index,
            self.attempt,
            tuple(self.failed_attempts),
            self.checkpoint if self.spec.checkpointing else "",
        )


@dataclass(slots=True, eq=False)
class Job:
    """One accepted job whose state is not final yet, or was made final by this owner."""

    spec: JobSpec
    queue: QueueTerms
    """The terms of its queue; the last known ones once the queue has been removed."""
    state: JobState = JobState.QUEUED
    final_ms: int = 0
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    """The tasks of the due occurrences that have not ended successfully."""
    remaining_tasks: dict[tuple[int, int], int] = field(default_factory=dict)
    """By due occurrence and step: the number of tasks that have not ended successfully."""
    done: set[TaskKey] = field(default_factory=set)
    done_occurrences: int = 0
    recovered: bool = False
    """Whether an earlier owner may have started tasks of it."""
    opened_occurrences: int = 0
    """The number of occurrences that have become due."""

    def allowed_ms(self) -> float:
        """Return how long the job may take from its acceptance to be of full use."""
        return self.queue.stretch_factor * self.spec.chain_ms() + self.queue.target_latency_ms

    def is_beyond_use(self, now_ms: int) -> bool:
        """Whether the job has taken so long that its end is of no use any more."""
        return now_ms > self.spec.accepted_ms + LATE_FACTOR * self.allowed_ms()

    def remaining_ms(self) -> int:
        """Return the longest chain of estimated work that remains."""
        return self.spec.chain_ms(
            {step for (_, step), count in self.remaining_tasks.items() if count}
        )

    def remaining_work(self) -> float:
        """Return the remaining estimated work, in milliseconds times thousandths of a core."""
        return sum(
            count * self.spec.steps[step].estimate_ms * self.spec.steps[step].cpu_millis
            for (_, step), count in self.remaining_tasks.items()
        )

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Whether all steps that the step depends on have ended successfully."""
        return all(
            not self.remaining_tasks.get((occurrence, earlier))
            for earlier in self.spec.steps[step].after
        )

    def to_stored(self) -> StoredProgress:
        """Return the progress to store."""
        tasks = () if self.state.is_final else self.tasks.values()
        return StoredProgress(
            self.state,
            self.final_ms,
            tuple((key.occurrence, key.step, key.index) for key in sorted(self.done)),
            self.done_occurrences,
            tuple(stored for task in tasks if (stored := task.to_stored()) is not None),
        )
