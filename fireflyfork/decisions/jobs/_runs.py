"""Tasks of jobs that are not over yet, and their runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..._ids import AttemptNumber, ExecutorId, TaskName
from ..._waits import WaitReason
from ._overs import RunOver
from ._progress import JobState, StoredProgress, StoredTask
from ._queues import QueueTerms
from ._specs import JobSpec, StepSpec, TaskKey
from ._tickets import StepId

if TYPE_CHECKING:
    from ._executors import ExecutorState


LATE_FACTOR = 3.0
"""A job that takes three times what its objective allows is of no use any more; up to there it is
late, and of some."""
_NONE_YET = AttemptNumber(0)


class RunPhase(Enum):
    """How far one run of a task is."""

    STARTING = "starting"
    """The order is on its way."""
    UNSURE = "unsure"
    """The order got no answer: it may run, or may be carried out later."""
    RUNNING = "running"
    STOPPING = "stopping"
    """It holds its room until its end is listed."""


@dataclass(slots=True, eq=False)
class Run:
    """One attempt at a task on one executor."""

    task: Task
    attempt: AttemptNumber
    executor: ExecutorState
    phase: RunPhase
    ordered_at: float
    """When its start was sent; for a run that was found there, when it was found."""
    start_deadline_ms: int = 0
    """On the executor's clock: its start is void afterwards."""
    confirmed_at: float | None = None
    """When it was known to be there."""
    stop_sent_at: float = 0.0
    barred_at: float | None = None
    """When a stop was acknowledged: from then on the attempt can't begin there any more."""
    checkpoint: str = ""
    listed_at: float = 0.0
    """When its executor last listed it."""
    progress_percent: int = 0
    progress_at: float = 0.0
    """When the progress last changed."""
    pace_percent: int = 100
    lowest_pace: int = 100
    """The slowest pace that it was ordered to work at."""
    pace_confirmed: bool = True
    """False when the executor may have it at another pace: an earlier owner's run, or a lost answer."""
    ticket: str = ""
    """The advisor's leave to run there, where the queue needs one."""
    in_background: bool = False
    """Its job is of no use any more but has to end: it works slowly, to slow nobody else."""
    incarnation: int = field(init=False)
    """The executor's when this was decided or found. Orders wait for their turn, and must not go to a life
    that began meanwhile."""

    def __post_init__(self) -> None:
        """It belongs to the life that is known now."""
        self.incarnation = self.executor.registration.incarnation

    @property
    def key(self) -> tuple[TaskName, AttemptNumber]:
        """What identifies it on its executor."""
        return self.task.name, self.attempt

    @property
    def works(self) -> bool:
        """Whether it is expected to end by itself."""
        return self.phase in (RunPhase.STARTING, RunPhase.RUNNING)


@dataclass(slots=True, eq=False)
class Task:
    """One task that has not ended well yet."""

    job: Job
    key: TaskKey
    name: TaskName
    spec: StepSpec
    attempt: AttemptNumber = _NONE_YET
    """The highest number used."""
    failed_attempts: list[int] = field(default_factory=list)
    failed_on: set[ExecutorId] = field(default_factory=set)
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    moved: bool = False
    """Whether a slow run of it was copied or stopped; done once, so that a task which is slow by itself
    is not moved from executor to executor."""
    moved_at: float = float("-inf")
    """When it was last stopped to serve from a better place."""
    waits_for: WaitReason = WaitReason.NOTHING
    """Why it found no place when it was last looked for."""
    waiting: bool = False
    """Whether it stands in the queue of tasks to place."""
    last_over: RunOver = RunOver.NO_RUN
    """On which evidence its last run was taken to be over."""

    @property
    def step_id(self) -> StepId:
        """The step that it belongs to."""
        return self.job.spec.job, self.key.occurrence, self.key.step

    def stored(self) -> StoredTask | None:
        """What is worth storing, or None."""
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
    """The terms of its queue; those at its acceptance once the queue has been dropped."""
    state: JobState = JobState.QUEUED
    final_ms: int = 0
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    """Of the occurrences that are due, those that have not ended well."""
    left: dict[tuple[int, int], int] = field(default_factory=dict)
    """Of each occurrence and step that are due, how many tasks have not ended well."""
    done: set[TaskKey] = field(default_factory=set)
    done_occurrences: int = 0
    recovered: bool = False
    """Whether an earlier owner may have started tasks of it."""
    opened_occurrences: int = 0
    """So many occurrences have become due."""

    def allowed_ms(self) -> float:
        """How long it may take, from its acceptance, to be of full use."""
        return self.queue.stretch_factor * self.spec.chain_ms() + self.queue.target_latency_ms

    def beyond_use(self, now_ms: int) -> bool:
        """Whether it has taken so long that its end helps nobody any more."""
        return now_ms > self.spec.accepted_ms + LATE_FACTOR * self.allowed_ms()

    def remaining_ms(self) -> int:
        """The longest chain of estimated work that is left."""
        return self.spec.chain_ms({step for (_, step), left in self.left.items() if left})

    def remaining_work(self) -> float:
        """Core-milliseconds of estimated work that is left."""
        return sum(
            left * self.spec.steps[step].estimate_ms * self.spec.steps[step].cpu_millis
            for (_, step), left in self.left.items()
        )

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Whether all steps that it comes after have ended well."""
        return all(
            not self.left.get((occurrence, earlier)) for earlier in self.spec.steps[step].after
        )

    def stored(self) -> StoredProgress:
        """The progress to store."""
        tasks = () if self.state.is_final else self.tasks.values()
        return StoredProgress(
            self.state,
            self.final_ms,
            tuple((key.occurrence, key.step, key.index) for key in sorted(self.done)),
            self.done_occurrences,
            tuple(stored for task in tasks if (stored := task.stored()) is not None),
        )
