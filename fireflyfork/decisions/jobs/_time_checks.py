"""Periodic checks: stops without an answer, stalled runs, executors that leave."""

from __future__ import annotations

from ._executors import ExecutorState
from ._runs import Run, RunPhase
from ._work import Work

STOP_RETRY_SECONDS = 0.4
"""Delay before a stop without an answer is sent again, far above the slowest round trip of 45
ms."""
STALL_SECONDS = 2.5
"""A run whose progress has not changed for this long is stalled. Progress is reported in hundredths
of runs of one or two seconds, so a run at a tenth of its speed still progresses within 0.2 s."""
LISTING_HOLDS_SECONDS = 1.0
"""How long the values of a list of runs count as current: executors are usually polled again by
then. After that, missing progress only shows that the executor was not polled."""
FORGIVE_SECONDS = 12.0
"""Failures of an executor are forgotten after this time. No task is sent to an executor with
failures while others can run it, so it would never get the chance to end a task successfully."""
DRAIN_EVICT_SECONDS = 1.2
"""Delay between the start of an executor's drain and the stop of tasks that checkpoint. It
continues for at least 2.5 s, and tasks that end by themselves before that needn't be moved."""


class TimeChecks:
    """Checks executors and their runs at each tick."""

    def __init__(self, work: Work) -> None:
        """Initialize with the service state to change."""
        self._work = work

    def check(self, executor: ExecutorState, now: float) -> None:
        """Run the checks of one executor."""
        if not executor.answers:
            self._work.forget_if_over(executor, now)
            return
        if executor.registration.draining:
            self._evacuate(executor, now)
        if executor.strikes and now - executor.struck_at > FORGIVE_SECONDS:
            executor.strikes = 0
        for run in tuple(executor.runs.values()):
            if run.phase in (RunPhase.STOPPING, RunPhase.UNSURE):
                if run.barred_at is None and now - run.stop_sent_at > STOP_RETRY_SECONDS:
                    self._work.stop(run, now)
            elif self._stands_still(run, now):
                self._work.strike(executor, now)
                self._work.stop(run, now)

    def _evacuate(self, executor: ExecutorState, now: float) -> None:
        """Stop the runs that would be cut off when the executor exits.

        Long-running tasks are stopped immediately, tasks that checkpoint later.
        """
        if executor.leaving_since is None:
            executor.leaving_since = now
        soon = now - executor.leaving_since >= DRAIN_EVICT_SECONDS
        for run in tuple(executor.working_runs()):
            step = run.task.spec
            if step.long_running or (soon and step.checkpointing):
                self._work.stop(run, now)

    @staticmethod
    def _stands_still(run: Run, now: float) -> bool:
        if run.phase is not RunPhase.RUNNING or run.progress_percent >= 100:
            return False
        if not run.pace_percent:
            return False
        seen_to = min(now, run.listed_at + LISTING_HOLDS_SECONDS)
        return seen_to - run.progress_at > STALL_SECONDS * 100 / run.pace_percent
