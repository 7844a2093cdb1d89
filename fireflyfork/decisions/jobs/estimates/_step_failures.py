"""Estimates which steps fail wherever their tasks run."""

from __future__ import annotations

from dataclasses import dataclass

from ...._ids import JobId
from .._runs import Task
from .._tickets import StepId
from ._evidence import USUAL_FAILURE_SHARE, shrunk_share

PRIOR_STRENGTH = 1.0
"""Number of results that the usual share of failures weighs as much as. Two failures on executors
that do well otherwise are enough to put the next one down to the step."""
HOPELESS_FAILURES = 2.0
"""Failures put down to a step without any good end, from which the step is tried by few tasks."""
TRIAL_RUNS = 2
"""Tasks of such a step that may run at once. One alone would wait for an executor that turns out to
be bad; each further one is likely to be wasted."""


@dataclass(slots=True)
class _StepCounts:
    """The results of one step, not decayed: its jobs are over within minutes."""

    good: float = 0.0
    bad: float = 0.0

    @property
    def is_on_trial(self) -> bool:
        """Whether the step has failed on good executors and never ended well."""
        return not self.good and self.bad >= HOPELESS_FAILURES


class StepFailures:
    """The results of the steps of all open jobs."""

    def __init__(self) -> None:
        """Initialize without results."""
        self._steps: dict[JobId, dict[StepId, _StepCounts]] = {}

    def share(self, task: Task) -> float:
        """Return the estimated share of runs of the task's step that fail by its own fault."""
        counts = self._find(task) or _StepCounts()
        weight = counts.good + counts.bad
        return shrunk_share(counts.bad, weight, USUAL_FAILURE_SHARE, PRIOR_STRENGTH)

    def is_on_trial(self, task: Task) -> bool:
        """Whether the task's step has failed on good executors and never ended well."""
        counts = self._find(task)
        return counts is not None and counts.is_on_trial

    def add(self, task: Task, good: float, bad: float) -> bool:
        """Add a result of a task. Returns whether the step is on trial from now on."""
        counts = self._find(task)
        if counts is None:
            if task.job.state.is_final:
                return False
            counts = _StepCounts()
            self._steps.setdefault(task.job.spec.job, {})[task.step_id] = counts
        was_on_trial = counts.is_on_trial
        counts.good += good
        counts.bad += bad
        return counts.is_on_trial and not was_on_trial

    def forget(self, job: JobId) -> None:
        """Forget the steps of a job that is over."""
        self._steps.pop(job, None)

    def _find(self, task: Task) -> _StepCounts | None:
        return self._steps.get(task.job.spec.job, {}).get(task.step_id)
