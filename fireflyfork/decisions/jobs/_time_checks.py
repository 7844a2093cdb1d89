"""Periodic checks: stops without an answer, stalled runs, executors that leave."""

from __future__ import annotations

from ._executors import ExecutorState
from ._notes import RegistrationMissing
from ._runs import Run, RunPhase
from ._service_state import ServiceState

STOP_RETRY_SECONDS = 0.4
"""Delay before a stop without an answer is sent again, far above the slowest round trip of 45
ms."""
MAX_STALL_SECONDS = 2.5
"""A run whose progress has not changed for this long is stalled. Progress is reported in hundredths
of runs of one or two seconds, so a run at a tenth of its speed still progresses within 0.2 s."""
LISTING_VALID_SECONDS = 1.0
"""How long the values of a list of runs count as current: executors are usually polled again by
then. After that, missing progress only shows that the executor was not polled."""
FAILURE_MEMORY_SECONDS = 12.0
"""Failures of an executor are forgotten after this time. No task is sent to an executor with
failures while others can run it, so it would never get the chance to end a task successfully."""
DRAIN_EVICT_SECONDS = 1.2
"""Delay between the start of an executor's drain and the stop of tasks that checkpoint. It
continues for at least 2.5 s, and tasks that end by themselves before that needn't be moved."""


class TimeChecks:
    """Checks executors and their runs at each tick."""

    def __init__(self, state: ServiceState) -> None:
        """Initialize with the service state to change."""
        self._state = state

    def check(self, executor: ExecutorState, now: float) -> None:
        """Run the checks of one executor."""
        if not executor.answers:
            self._state.drop_if_lease_expired(executor, now)
            return
        if executor.registration.draining:
            self._evacuate(executor, now)
        self._note_missing_registration(executor, now)
        if (
            executor.consecutive_failures
            and now - executor.last_failure_at > FAILURE_MEMORY_SECONDS
        ):
            executor.consecutive_failures = 0
        for run in tuple(executor.runs.values()):
            if run.phase in (RunPhase.STOPPING, RunPhase.UNSURE):
                if run.stop_acknowledged_at is None and now - run.stop_sent_at > STOP_RETRY_SECONDS:
                    self._state.stop(run, now)
            elif self._is_stalled(run, now):
                self._state.record_failure(executor, now)
                self._state.stop(run, now)

    def _note_missing_registration(self, executor: ExecutorState, now: float) -> None:
        if executor.missing_registration_noted or not executor.lacks_registration(now):
            return
        executor.missing_registration_noted = True
        self._state.notes.append(
            RegistrationMissing(
                executor.executor,
                executor.incarnation,
                executor.registration.incarnation,
                int(executor.unregistered_seconds(now) * 1000),
            )
        )

    def _evacuate(self, executor: ExecutorState, now: float) -> None:
        """Stop the runs that would be cut off when the executor exits.

        Long-running tasks are stopped immediately, tasks that checkpoint later.
        """
        if executor.leaving_since is None:
            executor.leaving_since = now
        exits_soon = now - executor.leaving_since >= DRAIN_EVICT_SECONDS
        for run in tuple(executor.working_runs()):
            step = run.task.spec
            if step.long_running or (exits_soon and step.checkpointing):
                self._state.stop(run, now)

    @staticmethod
    def _is_stalled(run: Run, now: float) -> bool:
        if run.phase is not RunPhase.RUNNING or run.progress_percent >= 100:
            return False
        if not run.pace_percent:
            return False
        known_until = min(now, run.listed_at + LISTING_VALID_SECONDS)
        return known_until - run.progress_at > MAX_STALL_SECONDS * 100 / run.pace_percent
