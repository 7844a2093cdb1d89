"""The state of one service: its jobs, executors and runs, and the waiting tasks."""

from __future__ import annotations

from collections.abc import Callable

from ..._ids import AttemptNumber, ExecutorId
from ..._waits import WaitReason
from ._commands import RunCommand, StopRun
from ._executors import ExecutorRegistration, ExecutorState
from ._gangs import gang_members, has_no_runs
from ._interference import InterferenceModel
from ._job_table import JobTable
from ._load_shedding import Shed
from ._move_reservations import MoveReservations
from ._notes import ExecutorGivenUp, JobOver, MoveReason, Note, RunMoved
from ._policies import Policies, Policy
from ._progress import JobState
from ._run_end_evidence import RunEndEvidence
from ._runs import Departure, Job, Run, RunPhase, Task
from ._tickets import TicketBook
from ._waiting_tasks import WaitingTasks

FAILURES_TO_AVOID = 2
"""Consecutive failures after which an executor is avoided for a while. About one failure in fifty
is the task's own fault, so two in a row on one executor are both the tasks' fault only once in
2,500 cases."""
AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 8.0
"""An avoided executor is retried after 1 s, then 2 s, and so on up to this limit. Executors in
trouble usually recover within seconds, and each retry costs at most one attempt of one task."""

DEFAULT_STOP_SECONDS = 0.4
"""How long a stop takes at most if the platform doesn't say so."""


class ServiceState:
    """The state of one service and its transitions, each of which keeps the state consistent."""

    def __init__(self) -> None:
        """Initialize an empty state."""
        self.jobs = JobTable()
        self.executors: dict[ExecutorId, ExecutorState] = {}
        self.new_executors: list[ExecutorState] = []
        """Executors that have been registered but are not polled yet."""
        self.known_executors_changed = False
        """Whether the list of executors that is stored for a successor has changed."""
        self.interference = InterferenceModel()
        self.tickets = TicketBook()
        self.move_reservations = MoveReservations()
        self.policies = Policies()
        self.commands: list[RunCommand] = []
        self.notes: list[Note] = []
        self.waiting = WaitingTasks(
            lambda task: self.move_reservations.destination(task) is not None,
            lambda task, now_ms: self.policies.order.urgency(task, now_ms),
            lambda task: self.policies.order.revision(task),
        )
        """Tasks that wait for an executor."""
        self.tasks_to_copy: list[Task] = []
        """Tasks of which a second, speculative run may be started next to the first."""
        self.unreached: dict[ExecutorId, float] = {}
        """Executors that an earlier owner used and that have not answered yet, each with the time
        at which every lease that the earlier owner may have granted it has expired."""
        self.held_tasks: list[Task] = []
        """Tasks that may already be running on one of the unreached executors."""
        self.stop_seconds = DEFAULT_STOP_SECONDS
        """How long a stop may take."""
        self.shed_level = Shed.NOTHING
        """The work that is skipped at the current load."""
        self.ownership_proved_at = float("inf")
        """The latest time at which this owner is known to have owned the service; infinite if no
        successor is possible."""

    def tell(self, event: Callable[[Policy], None]) -> None:
        """Report an event to the policies that are enabled."""
        for policy in self.policies.enabled:
            event(policy)

    def add_executor(self, executor: ExecutorState) -> None:
        """Add an executor, to be polled from now on."""
        self.executors[executor.executor] = executor
        self.new_executors.append(executor)

    def usable_executors(self, now: float) -> list[ExecutorState]:
        """Return the executors that new runs may be sent to."""
        return [executor for executor in self.executors.values() if executor.is_usable(now)]

    def may_hold_runs(self, executor: ExecutorState) -> bool:
        """Whether a successor has to hear from the executor before it starts tasks again."""
        if executor.runs or executor.executor in self.unreached:
            return True
        # A successor that doesn't hear of an end which is not stored would run the task again.
        return bool(executor.unstored_ends) or executor.may_get_runs

    @staticmethod
    def needs_run(task: Task) -> bool:
        """Whether a task or its gang still has to run and has no run at present."""
        job = task.job
        if job.state.is_final or job.departure is Departure.UNDER_WAY:
            return False
        return task.key in job.tasks and has_no_runs(task)

    def enqueue(self, task: Task, at_once: bool = True) -> None:
        """Queue a task that may start.

        With ``at_once`` it can be placed immediately, otherwise at the next tick.
        """
        if task.spec.gang:
            task = gang_members(task)[0] if task.key in task.job.tasks else task
        if task.waiting or not self.needs_run(task):
            return
        task.waiting = True
        if task.job.recovered and self.unreached:
            task.wait_reason = WaitReason.HELD
            self.held_tasks.append(task)
        elif at_once:
            self.waiting.push(task, task.job.spec.accepted_ms)
        else:
            self.waiting.defer(task)

    def stop(self, run: Run, now: float) -> None:
        """Request that a run be stopped. It keeps its resources until its end is confirmed."""
        if run.phase is not RunPhase.UNSURE:
            run.phase = RunPhase.STOPPING
        run.stop_sent_at = now
        self.commands.append(StopRun(run))

    def move(self, run: Run, now: float, reason: MoveReason) -> None:
        """Stop a run so that its task continues on another executor."""
        run.task.moved_at = now
        self.notes.append(
            RunMoved(
                run.task.name,
                run.attempt,
                run.executor.executor,
                reason,
                run.progress_percent,
                run.pace_percent,
            )
        )
        self.stop(run, now)

    def remove_run(self, run: Run, now: float, why: RunEndEvidence, at_once: bool = True) -> None:
        """Remove a run that has certainly ended or never began, and queue its task again.

        With ``at_once`` the task can be placed immediately, otherwise at the next tick.
        """
        run.executor.remove(run)
        self.tell(lambda policy: policy.run_removed(run, why, now))
        task = run.task
        task.last_run_over = why
        if run in task.runs:
            task.runs.remove(run)
        if task.spec.gang and task.key in task.job.tasks:
            # The other members would hold resources while they wait for a member that does not
            # return.
            self.stop_incomplete_gang(task, now)
        self.enqueue(task, at_once)

    def stop_incomplete_gang(self, task: Task, now: float) -> None:
        """Stop the running members of a gang unless all of its members run."""
        gang = gang_members(task)
        if all(member.runs for member in gang):
            return
        for run in (
            member_run for member in gang for member_run in member.runs if member_run.is_active
        ):
            self.stop(run, now)

    def finish(self, job: Job, state: JobState, now: float, now_ms: int) -> None:
        """Make a job's state final and stop its runs."""
        self.jobs.finish(job, state, now_ms)
        self.tell(lambda policy: policy.job_over(job, now))
        self.notes.append(job_over_note(job, now_ms))
        for task in job.tasks.values():
            for run in tuple(task.runs):
                if run.is_active:
                    self.stop(run, now)

    def record_failure(self, executor: ExecutorState, now: float) -> None:
        """Record a failure of an executor; after several in a row it is avoided for a while."""
        executor.consecutive_failures += 1
        executor.last_failure_at = now
        if executor.consecutive_failures >= FAILURES_TO_AVOID:
            pause = AVOID_SECONDS * 2 ** (executor.consecutive_failures - FAILURES_TO_AVOID)
            executor.avoided_until = now + min(pause, MAX_AVOID_SECONDS)

    def record_run_failure(self, executor: ExecutorState, now: float) -> None:
        """Record a failed or refused run, unless a policy estimates failures."""
        if not self.policies.estimates.judges_failures:
            self.record_failure(executor, now)

    def is_current(self, executor: ExecutorState) -> bool:
        """Whether the state object is the current one of its executor.

        An executor that was given up may register again under the same id while a poll of its
        previous incarnation is pending. The answer then concerns the new incarnation, which has its
        own state. Applying it to the old state would drop the new state and its runs, and their
        jobs would never end.
        """
        return self.executors.get(executor.executor) is executor

    def describe(self, executor: ExecutorState, registration: ExecutorRegistration) -> None:
        """Use a registration of an executor's present incarnation."""
        if registration.address != executor.registration.address:
            self.known_executors_changed = True
        executor.describe(registration)

    def handle_restart(self, executor: ExecutorState, incarnation: int, now: float) -> None:
        """Handle the restart of an executor: the runs of its previous incarnation are over.

        Orders still on their way to it are over too, since an order is carried out only by the
        incarnation that it is addressed to. Waiting for an answer of the new incarnation instead
        would block tasks forever if it vanished first.
        """
        self._add_given_up_note(executor, RunEndEvidence.NEW_INCARNATION)
        runs = tuple(executor.runs.values())
        unconfirmed = executor.unconfirmed_registration
        executor.reset_for_incarnation(incarnation, now)
        if unconfirmed is not None and unconfirmed.incarnation == incarnation:
            self.describe(executor, unconfirmed)
        self.tickets.forget_executor(executor.executor)
        self.move_reservations.drop_destination(executor)
        self.tell(lambda policy: policy.executor_restarted(executor, now))
        for run in runs:
            self.remove_run(run, now, RunEndEvidence.NEW_INCARNATION)

    def drop_if_lease_expired(self, executor: ExecutorState, now: float) -> None:
        """Drop the runs of an executor that does not answer, once its lease has expired.

        The lease must have expired at a time when this owner certainly owned the service. A
        successor may reach an executor that this owner cannot reach, and renew its lease; a task
        that still runs there would then run twice.
        """
        has_answered = executor.polled_at is not None
        if (
            has_answered
            and not executor.answers
            and executor.lease_has_lapsed(self._certainly_owned_until(now))
        ):
            if executor.runs:
                self._add_given_up_note(executor, RunEndEvidence.LEASE_LAPSED)
            for run in tuple(executor.runs.values()):
                self.remove_run(run, now, RunEndEvidence.LEASE_LAPSED)
        is_idle = not executor.runs and executor.executor not in self.unreached
        if is_idle and not executor.registered and not executor.answers:
            self.executors.pop(executor.executor, None)
            self.known_executors_changed = True

    def mark_reached(self, executor: ExecutorId, now: float) -> None:
        """Record that an executor which an earlier owner used has listed all of its runs.

        If it was the last unreached executor, the held tasks are queued.
        """
        if self.unreached.pop(executor, None) is not None:
            self.release_held(now)

    def needs_ownership_proof(self, now: float) -> bool:
        """Whether a run could be declared over now, given a proof of ownership."""
        owned_until = self._certainly_owned_until(now)
        if any(owned_until < until <= now for until in self.unreached.values()):
            return True
        polled = (
            executor
            for executor in self.executors.values()
            if executor.runs and executor.polled_at is not None
        )
        return any(
            not executor.answers
            and executor.lease_has_lapsed(now)
            and not executor.lease_has_lapsed(owned_until)
            for executor in polled
        )

    def _certainly_owned_until(self, now: float) -> float:
        return min(now, self.ownership_proved_at)

    def give_up_unreached(self, now: float) -> None:
        """Give up executors that have not answered before the leases of an earlier owner expired.

        A successor may have reached them in the meantime, so this owner must have owned the service
        for certain when the leases expired.
        """
        given_up = [
            name
            for name, until in self.unreached.items()
            if until <= self._certainly_owned_until(now) and not self._has_unlisted_ends(name, now)
        ]
        for executor in given_up:
            del self.unreached[executor]
            self._add_given_up_note(self.executors[executor], RunEndEvidence.LEASE_LAPSED)
        if given_up:
            # Runs there may have used attempt numbers that this owner has not seen.
            for task in self.held_tasks:
                task.attempt = AttemptNumber(task.attempt + 1)
            self.release_held(now)

    def _has_unlisted_ends(self, name: ExecutorId, now: float) -> bool:
        """Whether ends are missing from an executor's list and its lease is still renewed by polls.

        The rest of the list may hold the successful end of a held task.
        """
        executor = self.executors.get(name)
        if executor is None or executor.polled_at is None:
            return False
        return executor.answers or not executor.lease_has_lapsed(self._certainly_owned_until(now))

    def _add_given_up_note(self, executor: ExecutorState, why: RunEndEvidence) -> None:
        incarnation = executor.incarnation
        self.notes.append(ExecutorGivenUp(executor.executor, incarnation, len(executor.runs), why))

    def release_held(self, now: float) -> None:
        """Queue the held tasks if no executor is unreached any more."""
        if self.unreached:
            return
        held, self.held_tasks = self.held_tasks, []
        for task in held:
            if task.spec.gang and not has_no_runs(task):
                # The earlier owner was lost while it was starting the gang.
                self.stop_incomplete_gang(task, now)
            self.waiting.push(task, task.job.spec.accepted_ms)


def job_over_note(job: Job, now_ms: int) -> JobOver:
    """Return the note that a job's state has become final."""
    age = now_ms - job.spec.accepted_ms
    spec = job.spec
    return JobOver(spec.job, job.state, age, int(job.allowed_ms()), spec.queue, spec.work)
