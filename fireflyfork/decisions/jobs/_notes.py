"""What the scheduler tells about its decisions, for the log."""

from __future__ import annotations

from dataclasses import dataclass

from ..._ids import ExecutorId, JobId, TaskName
from ..._waits import WaitReason
from ._overs import RunOver
from ._progress import JobState
from ._reports import EndReason


@dataclass(frozen=True, slots=True)
class TaskSent:
    """A task was sent to an executor."""

    task: TaskName
    attempt: int
    executor: ExecutorId
    incarnation: int
    """The executor's, as far as this owner knows."""
    job_age_ms: int
    """Since its job was accepted, by the clocks of two instances."""
    polled_ms_ago: int
    """How old what is known of the executor was."""
    strikes: int
    """Failures in a row that the executor was known for."""
    waited_for: WaitReason
    """Why it found no place when it was last looked for; ``NOTHING`` when one was there at once."""
    after: RunOver
    """On which evidence its last run was taken to be over."""


@dataclass(frozen=True, slots=True)
class RunEnded:
    """An executor listed the end of a run."""

    task: TaskName
    attempt: int
    executor: ExecutorId
    reason: EndReason
    lowest_pace: int
    """Percent: the slowest pace that it was ordered to work at."""


@dataclass(frozen=True, slots=True)
class JobOver:
    """A job's state became final."""

    job: JobId
    state: JobState
    age_ms: int
    allowed_ms: int
    """How long it may take to be of full use."""


@dataclass(frozen=True, slots=True)
class ExecutorGivenUp:
    """What ran on an executor is taken to be over."""

    executor: ExecutorId
    incarnation: int
    runs: int
    why: RunOver


Note = TaskSent | RunEnded | JobOver | ExecutorGivenUp
