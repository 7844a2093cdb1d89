"""Applies the answers of executors to jobs and runs."""

from __future__ import annotations

from ..._ids import JobId, QueueName, TaskName
from ._commands import PaceRun
from ._executors import ExecutorState
from ._gangs import failed_attempt_count, gang_members, save_checkpoint
from ._load_shedding import Shed
from ._notes import RunEnded
from ._pacing import BACKGROUND_PACE, adjust_pace
from ._progress import JobState
from ._queues import unknown_queue
from ._reports import CallOutcome, EndedRow, EndReason, OrderAnswer, PollAnswer, RunningRow
from ._run_end_evidence import RunEndEvidence
from ._runs import Job, Run, RunPhase, Task
from ._service_state import ServiceState, job_over_note
from ._specs import JobSpec, StepSpec, TaskKey

_EXECUTOR_REFUSALS = frozenset({CallOutcome.UNHEALTHY, CallOutcome.NO_ROOM})
"""Refusals that are due to the executor, so that another executor may accept the start."""
_RETRIED_AT_ONCE = frozenset({CallOutcome.NO_TICKET, CallOutcome.OTHER_INCARNATION})
"""Refusals whose reason cannot apply to the next attempt."""


class ReportHandler:
    """Handles answers to orders and polls."""

    def __init__(self, state: ServiceState, longest_lease_ms: int) -> None:
        """Initialize with the service state to change.

        No owner grants an executor a lease of more than ``longest_lease_ms``.
        """
        self._state = state
        self._longest_lease_ms = longest_lease_ms

    def start_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """Handle the answer to a start order, or its absence."""
        executor = run.executor
        _update_clock(executor, answer, now)
        if run.key not in executor.runs or run.phase is not RunPhase.STARTING:
            return
        outcome = answer.outcome
        if outcome is CallOutcome.ACCEPTED:
            run.phase = RunPhase.RUNNING
            run.confirmed_at = now
            run.progress_at = now
            run.task.job.has_begun = True
            if run.in_background:
                run.pace_percent = run.lowest_pace = BACKGROUND_PACE
                self._state.commands.append(PaceRun(run, BACKGROUND_PACE))
        elif outcome is CallOutcome.UNKNOWN:
            run.phase = RunPhase.UNSURE
            self._state.stop(run, now)
        else:
            if outcome in _EXECUTOR_REFUSALS:
                self._state.record_run_failure(executor, now)
                self._state.tell(lambda policy: policy.run_refused(run, now))
            elif outcome is CallOutcome.NO_TICKET:
                self._state.tickets.rejected(run.task.step_id, executor.executor)
            # An attempt that differs in nothing is just as likely to be refused. Sent as soon as
            # the answer arrives, such orders would go out hundreds of times a second.
            retry_at_once = outcome in _EXECUTOR_REFUSALS or outcome in _RETRIED_AT_ONCE
            self._state.remove_run(run, now, RunEndEvidence.REFUSED, at_once=retry_at_once)
            if outcome is CallOutcome.OTHER_INCARNATION:
                self.handle_incarnation(executor, answer.incarnation, run.ordered_at, now)

    def stop_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """Handle the answer to a stop order, or its absence."""
        _update_clock(run.executor, answer, now)
        if answer.outcome is CallOutcome.OTHER_INCARNATION:
            self.handle_incarnation(run.executor, answer.incarnation, run.stop_sent_at, now)
        if answer.outcome is CallOutcome.ACCEPTED and run.stop_acknowledged_at is None:
            run.stop_acknowledged_at = now

    def pace_answered(self, run: Run, answer: OrderAnswer) -> None:
        """Handle the answer to a pace order, or its absence."""
        if answer.outcome is not CallOutcome.ACCEPTED:
            run.pace_confirmed = False

    def handle_incarnation(
        self, executor: ExecutorState, incarnation: int | None, sent_at: float, now: float
    ) -> bool:
        """Handle an incarnation reported by a call. Returns whether the executor has restarted.

        A call sent when the known incarnation already existed cannot reach an earlier one, even if
        the incarnation reported is lower. In that case the clock was set back before the executor
        restarted. An older call may have reached an incarnation that is over by now.
        """
        if (
            incarnation is None
            or incarnation == executor.incarnation
            or not self._state.is_current(executor)
        ):
            return False
        may_be_over = (
            incarnation < executor.incarnation or incarnation in executor.past_incarnations
        )
        if may_be_over and sent_at <= executor.known_since:
            return False
        self._state.handle_restart(executor, incarnation, now)
        return True

    def poll_failed(self, executor: ExecutorState, now: float) -> None:
        """Handle a poll without an answer."""
        if not self._state.is_current(executor):
            return
        executor.failed_polls += 1
        self._state.drop_if_lease_expired(executor, now)

    def poll_answered(
        self,
        executor: ExecutorState,
        sent_at: float,
        answer: PollAnswer,
        now: float,
        now_ms: int,
        in_time: bool,
    ) -> None:
        """Handle the list of an executor's runs and ends.

        If a later answer was handled first, only the ends are still taken from this one, not the
        list of runs.
        """
        if not self._state.is_current(executor):
            return
        same = answer.incarnation in (None, executor.incarnation)
        if not same and not self.handle_incarnation(executor, answer.incarnation, sent_at, now):
            return
        if answer.clock_ms is not None:
            executor.update_clock(answer.clock_ms, now)
        if executor.polled_at is None:
            # An earlier owner, or this one before it dropped the executor, may have renewed its
            # lease just before. If the lease were taken for expired, a run that continues there
            # would be started elsewhere as soon as polls fail. No earlier grant reaches further
            # than this one; later grants of earlier owners are refused.
            executor.grant_lease(executor.min_clock_ms(now) + self._longest_lease_ms)
        overtaken = executor.polled_at is not None and sent_at < executor.polled_at
        executor.failed_polls = 0
        executor.last_answer_at = now
        if not overtaken:
            executor.polled_at = sent_at
            executor.answers_late = not in_time
        # An end handled after a later one would be skipped, and then forgotten together with it.
        for row in sorted(answer.ended, key=lambda row: row.number):
            if row.number > executor.processed_end:
                executor.processed_end = row.number
                self._handle_end(executor, row, now, now_ms)
                executor.unstored_ends.append((row.number, self._state.jobs.changes.last))
        if overtaken:
            return
        self._reconcile(executor, sent_at, answer, now)
        if not answer.ends_may_be_cut:
            self._state.mark_reached(executor.executor, now)
        self._state.commands.extend(
            PaceRun(run, percent)
            for run, percent in adjust_pace(
                executor,
                answer.running,
                self._state.interference,
                now,
                learns=self._state.shed_level < Shed.LEARNING,
            )
        )

    def _handle_end(self, executor: ExecutorState, row: EndedRow, now: float, now_ms: int) -> None:
        run = executor.runs.get((row.task, row.attempt))
        task = run.task if run is not None else self._open_task(row.task)
        if task is None:
            return
        task.job.has_begun = True
        pace = run.lowest_pace if run is not None else 100
        self._state.notes.append(
            RunEnded(row.task, row.attempt, executor.executor, row.reason, pace)
        )
        if row.checkpoint and task.spec.checkpointing:
            save_checkpoint(task, row.checkpoint)
        if row.reason is EndReason.DONE and not task.spec.long_running:
            self._task_done(task, executor, now, now_ms)
        elif row.reason is EndReason.FAILED:
            self._task_failed(task, row, executor, now, now_ms)
        if run is not None:
            ended = run
            self._state.tell(lambda policy: policy.run_ended(ended, row.reason, now))
            self._state.remove_run(run, now, RunEndEvidence.ENDED)
        task.attempt = max(task.attempt, row.attempt)
        self._state.jobs.record_change(task.job)

    def _open_task(self, name: TaskName) -> Task | None:
        """Return the task of that name, or None. Opens its occurrence."""
        for ready in self._state.jobs.open_started(name):
            self._state.enqueue(ready)
        return self._state.jobs.task(name)

    def _task_done(self, task: Task, executor: ExecutorState, now: float, now_ms: int) -> None:
        executor.consecutive_failures = 0
        if task.job.state.is_final:
            return
        for member in gang_members(task):
            for ready in self._state.jobs.task_done(member, now_ms):
                self._state.enqueue(ready)
        if task.job.state.is_final:
            self._state.tell(lambda policy: policy.job_over(task.job, now))
            self._state.notes.append(job_over_note(task.job, now_ms))
        for run in tuple(task.runs):
            if run.is_active and run.executor is not executor:
                self._state.stop(run, now)

    def _task_failed(
        self, task: Task, row: EndedRow, executor: ExecutorState, now: float, now_ms: int
    ) -> None:
        if row.attempt in task.failed_attempts:
            return
        if not task.failed_on:
            # Only the first executor on which a task fails is charged with the failure. A task that
            # fails on a second executor too is itself at fault. If its failures were counted for
            # each executor, all executors would be avoided while many jobs arrive that can't
            # succeed.
            self._state.record_run_failure(executor, now)
        task.failed_attempts.append(row.attempt)
        task.failed_on.add(executor.executor)
        job = task.job
        exhausted = failed_attempt_count(task) >= job.queue.attempts
        if exhausted and not task.spec.long_running and not job.state.is_final:
            self._state.finish(job, JobState.FAILED, now, now_ms)

    def _reconcile(
        self,
        executor: ExecutorState,
        sent_at: float,
        answer: PollAnswer,
        now: float,
    ) -> None:
        listed = {(row.task, row.attempt): row for row in answer.running}
        for key, run in tuple(executor.runs.items()):
            row = listed.pop(key, None)
            if row is not None:
                self._update_run(run, row, now)
            elif not answer.ends_may_be_cut:
                # A truncated list proves nothing: the missing part may contain the run's end.
                self._handle_missing(run, sent_at, now)
        for row in listed.values():
            self._adopt_run(executor, row, now)

    def _update_run(self, run: Run, row: RunningRow, now: float) -> None:
        run.task.job.has_begun = True
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if run.confirmed_at is None:
            run.confirmed_at = now
        run.listed_at = now
        if row.progress_percent != run.progress_percent or not run.progress_at:
            run.progress_percent = row.progress_percent
            run.progress_at = now
        if row.checkpoint and run.task.spec.checkpointing:
            run.checkpoint = row.checkpoint
            save_checkpoint(run.task, row.checkpoint)
        self._state.tell(lambda policy: policy.run_listed(run, now))

    def _handle_missing(self, run: Run, sent_at: float, now: float) -> None:
        """Handle a run that is missing from the list.

        Either its end was already forgotten by the executor, or it never began, or it began after
        the list was made.
        """
        if run.stop_acknowledged_at is not None and run.stop_acknowledged_at <= sent_at:
            self._state.remove_run(run, now, RunEndEvidence.NOT_LISTED)
        elif run.phase is RunPhase.RUNNING and (run.confirmed_at or now) < sent_at:
            # Only a list that arrived out of order explains this. Stopping the run bars its
            # attempt, so it can't start next to its replacement.
            run.phase = RunPhase.UNSURE
            self._state.stop(run, now)

    def _adopt_run(self, executor: ExecutorState, row: RunningRow, now: float) -> None:
        """Add a listed run that this owner does not know.

        An earlier owner started it, or its start was given up but carried out late.
        """
        task = self._open_task(row.task)
        if task is None:
            self._stop_unknown_run(executor, row, now)
            return
        is_newest = all(row.attempt > previous_run.attempt for previous_run in task.runs)
        run = Run(task, row.attempt, executor, RunPhase.RUNNING, now, confirmed_at=now)
        # An earlier owner may have slowed the run down. If it were assumed to run at full pace, no
        # pace order would be sent, and it would stay slow.
        run.pace_confirmed = False
        self._update_run(run, row, now)
        executor.add(run)
        is_late = row.attempt < task.attempt
        task.attempt = max(task.attempt, row.attempt)
        previous_runs = tuple(task.runs)
        task.runs.append(run)
        if is_late or not is_newest:
            self._state.stop(run, now)
            return
        for previous_run in previous_runs:
            self._state.stop(previous_run, now)
        self._state.jobs.record_order(task.job)
        self._state.tell(lambda policy: policy.run_started(run, now))

    def _stop_unknown_run(self, executor: ExecutorState, row: RunningRow, now: float) -> None:
        """Stop a run of a task that is over or unknown.

        The run keeps its resources until its end is listed.
        """
        known_step = self._state.jobs.step_of(row.task)
        service = executor.registration.service
        spec = (
            known_step[0]
            if known_step
            else JobSpec(JobId(row.task), QueueName(""), service, "", (), 0)
        )
        step = known_step[1] if known_step else StepSpec(1, 0, 0, 0, 0)
        job = Job(spec, unknown_queue(spec), JobState.CANCELLED)
        task = Task(job, TaskKey(0, 0, 0), row.task, step)
        run = Run(task, row.attempt, executor, RunPhase.STOPPING, now, confirmed_at=now)
        executor.add(run)
        self._state.stop(run, now)


def _update_clock(executor: ExecutorState, answer: OrderAnswer, now: float) -> None:
    """Update the executor's clock from an answer of the known incarnation.

    The clock of the next incarnation begins at 0. If it were assumed to have advanced as far as the
    previous one, no late order would become void and no lease would end.
    """
    if answer.clock_ms is not None and answer.incarnation == executor.incarnation:
        executor.update_clock(answer.clock_ms, now)
