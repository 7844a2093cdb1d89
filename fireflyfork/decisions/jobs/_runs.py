"""The jobs that are not over, their tasks and the runs of these tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..._ids import AttemptNumber, ExecutorId, TaskName
from ..._waits import WaitReason
from ._progress import JobState, StoredProgress, StoredTask
from ._queues import QueueConfiguration
from ._run_end_evidence import RunEndEvidence
from ._specs import JobSpec, StepSpec, TaskKey
from ._tickets import StepId

if TYPE_CHECKING:
    from ._executors import ExecutorState


LATE_FACTOR = 3.0
"""A job that takes longer than this multiple of the time that its objective allows is of no use any
more. Below this multiple, a late job is still of some use."""
_NONE_YET = AttemptNumber(0)


def allowed_ms(spec: JobSpec, queue: QueueConfiguration) -> float:
    """Return the milliseconds that the objective of a queue allows for a job."""
    return queue.stretch_factor * spec.chain_ms() + queue.target_latency_ms


class RunPhase(Enum):
    """The phase of a run."""

    STARTING = "starting"
    """The start order is on its way."""
    UNSURE = "unsure"
    """The start order was not answered: the run may exist, or may still begin."""
    RUNNING = "running"
    STOPPING = "stopping"
    """A stop was ordered. The run keeps its resources until its executor lists its end."""


@dataclass(slots=True, eq=False)
class Run:
    """One attempt to run a task on one executor."""

    task: Task
    attempt: AttemptNumber
    executor: ExecutorState
    phase: RunPhase
    ordered_at: float
    """When the start order was sent, or, for an adopted run, when the executor first listed it."""
    start_deadline_ms: int = 0
    """Time on the executor's clock after which the executor refuses the start order."""
    confirmed_at: float | None = None
    """When the executor first confirmed the run, by accepting the start or listing the run; None
    before."""
    stop_sent_at: float = 0.0
    """When the last stop order for the run was queued."""
    stop_acknowledged_at: float | None = None
    """When the executor acknowledged a stop order; None before. After that the attempt can't begin
    on the executor any more."""
    checkpoint: str = ""
    listed_at: float = 0.0
    """When the executor last listed the run."""
    progress_percent: int = 0
    progress_at: float = 0.0
    """When ``progress_percent`` last changed; 0 before the first listing."""
    pace_percent: int = 100
    """The pace that was last ordered for the run, in percent of full pace."""
    lowest_pace: int = 100
    """The slowest pace that was ordered for the run, in percent."""
    slow_since: float | None = None
    """Since when the run has been slowed down to a fraction of its pace; None while it is not."""
    pace_confirmed: bool = True
    """False if the pace on the executor may differ from ``pace_percent``, because an earlier owner
    started the run or because a pace order was not answered."""
    paused_at: float = float("-inf")
    """When the run was last paced to nothing for an urgent task, in seconds."""
    paused_until: float = 0.0
    """Until when the run is paced to nothing for an urgent task, in seconds."""
    ticket: str = ""
    """The advisor's permission to run the task on the executor; empty if the queue needs none."""
    in_background: bool = False
    """Whether the run is slowed down so that it disturbs no other task. This is done if its job is
    of no use any more but still has to end."""
    incarnation: int = field(init=False)
    """The executor's incarnation when the run was decided or adopted. Orders wait in a queue before
    they are sent, and must not be sent to an incarnation that started after the decision."""

    def __post_init__(self) -> None:
        """Set ``incarnation`` to the present incarnation of the executor."""
        self.incarnation = self.executor.incarnation

    @property
    def key(self) -> tuple[TaskName, AttemptNumber]:
        """The task name and attempt number, which identify the run on its executor."""
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
    """Numbers of the attempts that failed."""
    failed_on: set[ExecutorId] = field(default_factory=set)
    """Executors on which an attempt failed."""
    checkpoint: str = ""
    runs: list[Run] = field(default_factory=list)
    straggler_handled: bool = False
    """Whether a slow run of the task was copied or stopped. This is done only once per task, so
    that a task which is itself slow is not moved from executor to executor."""
    moved_at: float = float("-inf")
    """When a run of the task was last stopped to move the task to a better executor."""
    wait_reason: WaitReason = WaitReason.NOTHING
    """Why no executor could run the task at the last attempt to place it."""
    waiting: bool = False
    """Whether the task is in the queue of waiting tasks."""
    last_run_over: RunEndEvidence = RunEndEvidence.NO_RUN
    """The evidence that the last run of the task is over."""

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


class Departure(Enum):
    """Whether a job that hasn't begun follows its queue to another service."""

    NONE = "none"
    UNDER_WAY = "under-way"
    """The store has been asked, or is about to be: either owner may have the job."""
    REFUSED = "refused"
    """The job stays for good: it was cancelled, or it has begun."""


class RemainingTasks(dict[tuple[int, int], int]):
    """By occurrence and step: the number of tasks that have not ended successfully."""

    revision = 0
    """Number of changes."""

    def __setitem__(self, key: tuple[int, int], count: int) -> None:
        """Set a number and note the change."""
        self.revision += 1
        super().__setitem__(key, count)


@dataclass(slots=True, eq=False)
class Job:
    """One accepted job whose state is not final yet, or was made final by this owner."""

    spec: JobSpec
    queue: QueueConfiguration
    """The configuration of the job's queue; if the queue was removed, the last known one."""
    state: JobState = JobState.QUEUED
    has_begun: bool = False
    """Whether an executor has begun a task of the job. It isn't stored, which would be one more write
    for each job: of a recovered job it is known only that a start was ordered."""
    final_ms: int = 0
    """When the state became final, in Unix milliseconds; 0 before."""
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    """The tasks of the due occurrences that have not ended successfully."""
    remaining_tasks: RemainingTasks = field(default_factory=RemainingTasks)
    """By due occurrence and step: the number of tasks that have not ended successfully."""
    done: set[TaskKey] = field(default_factory=set)
    done_occurrences: int = 0
    recovered: bool = False
    """Whether an earlier owner may have started tasks of the job."""
    opened_occurrences: int = 0
    """The number of occurrences whose tasks are in ``tasks`` or have ended."""
    departure: Departure = Departure.NONE
    """Whether the job is being handed to the service that its queue has now."""
    cancelled_in_departure: bool = False
    """Whether the job was cancelled while it wasn't known who owns it."""
    _chain_ms: int | None = None
    _remaining: tuple[int, int, float] | None = None
    """Revision of ``remaining_tasks``, and the remaining time and work at that revision."""

    @property
    def may_depart(self) -> bool:
        """Whether no task of the job was ever ordered to start, as far as is known."""
        return (
            self.state is JobState.QUEUED
            and self.departure is Departure.NONE
            and not any(task.attempt or task.runs for task in self.tasks.values())
        )

    def allowed_ms(self) -> float:
        """Return the milliseconds that the objective allows from acceptance to completion."""
        if self._chain_ms is None:
            self._chain_ms = self.spec.chain_ms()
        return self.queue.stretch_factor * self._chain_ms + self.queue.target_latency_ms

    def is_beyond_use(self, now_ms: int) -> bool:
        """Whether the job has taken so long that its end is of no use any more."""
        return now_ms > self.spec.accepted_ms + LATE_FACTOR * self.allowed_ms()

    def remaining_ms(self) -> int:
        """Return the estimated time of the longest chain of unfinished steps, in milliseconds."""
        return self._remaining_time_and_work()[1]

    def remaining_work(self) -> float:
        """Return the estimated work of all unfinished tasks, in milliseconds times millicores."""
        return self._remaining_time_and_work()[2]

    def _remaining_time_and_work(self) -> tuple[int, int, float]:
        # Every waiting step of the job is sorted by these values, and a job may have thousands.
        revision = self.remaining_tasks.revision
        if self._remaining is None or self._remaining[0] != revision:
            unfinished = {step for (_, step), count in self.remaining_tasks.items() if count}
            work = sum(
                count * self.spec.steps[step].estimate_ms * self.spec.steps[step].cpu_millis
                for (_, step), count in self.remaining_tasks.items()
            )
            self._remaining = revision, self.spec.chain_ms(unfinished), work
        return self._remaining

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


def running_tasks(task: Task) -> int:
    """Return how many tasks of the task's step have a run."""
    return sum(
        bool(other.runs) for other in task.job.tasks.values() if other.step_id == task.step_id
    )
