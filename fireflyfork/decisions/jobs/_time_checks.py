"""What time brings: stops without an answer, runs that stand still, executors that leave."""

from __future__ import annotations

from ._executors import ExecutorState
from ._runs import Run, RunPhase
from ._work import Work

STOP_RETRY_SECONDS = 0.4
"""A stop that got no answer is sent again: above the slowest round trip of 45 ms by far."""
STALL_SECONDS = 2.5
"""A run whose progress has not moved for so long stands still. Progress is reported in hundredths of
runs of one or two seconds, so a run at a tenth of its speed still moves within 0.2 s."""
LISTING_HOLDS_SECONDS = 1.0
"""For so long after a listing its figures count as present: executors are usually asked again by then. Later on,
nothing is known of a run but that nobody has asked."""
FORGIVE_SECONDS = 12.0
"""Strikes are forgotten after this: nothing is sent to a suspect while others have room, so it would
never get the chance to end something well."""
DRAIN_EVICT_SECONDS = 1.2
"""Tasks that checkpoint are stopped so long after their executor began to leave: it goes on for at
least 2.5 s, and what ends by itself before needn't move."""


class TimeChecks:
    """Checks executors and their runs at each tick."""

    def __init__(self, work: Work) -> None:
        """Change ``work``."""
        self._work = work

    def check(self, executor: ExecutorState, now: float) -> None:
        """Do what has become due on one executor."""
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
        """Stop what would be cut off when the executor exits: at once what lasts, later what saves."""
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
