"""What the owner of a service decides: starts, stops, and what each report of an executor means.

State changes in place: one owner carries some hundred starts a second on a fraction of a core, and
copying tables for each of them would cost more than the decision. Nothing here reads a clock or does
I/O: time comes in, and commands go out through ``take_commands``.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count

from ..._ids import AttemptNumber, ExecutorId, JobId, QueueName
from ._commands import AskAdvice, Command, PaceRun, StartRun, StopRun
from ._executors import ExecutorRegistration, ExecutorState
from ._gangs import failures, is_free, members, next_attempt, place_together, save
from ._interference import InterferenceModel
from ._job_table import JobTable, terms_without_queue
from ._notes import ExecutorGivenUp, JobOver, Note, RunEnded, TaskSent
from ._pacing import adjust_pace
from ._placing import choose, most_cost
from ._progress import JobState, StoredProgress
from ._queues import QueueTable
from ._reports import CallOutcome, EndedRow, EndReason, LookAnswer, OrderAnswer, RunningRow
from ._runs import Job, Run, RunPhase, Task
from ._specs import JobSpec, StepSpec, TaskKey
from ._tickets import Ticket, TicketBook
from ._urgency import Urgency, urgency

START_VALID_MS = 1_000
"""An order that is carried out later than this is void. Answers take 1 to 45 ms; a start that comes
seconds late would meet its successor."""
STOP_RETRY_SECONDS = 0.4
"""A stop that got no answer is sent again: above the slowest round trip of 45 ms by far."""
STALL_SECONDS = 2.5
"""A run whose progress has not moved for so long stands still. Progress is reported in hundredths of
runs of one or two seconds, so a run at a tenth of its speed still moves within 0.2 s."""
STRIKES_TO_AVOID = 2
"""One failure in fifty is a task's own; two in a row on one executor are its own once in 2,500."""
AVOID_SECONDS = 1.0
LONGEST_AVOID_SECONDS = 8.0
"""An avoided executor is tried again after 1 s, then 2 s and so on: troubled ones recover within
seconds, and each try costs at most one task's attempt."""
FORGIVE_SECONDS = 12.0
"""Strikes are forgotten after this: nothing is sent to a suspect while others have room, so it would
never get the chance to end something well."""
DRAIN_EVICT_SECONDS = 1.2
"""Tasks that checkpoint are stopped so long after their executor began to leave: it goes on for at
least 2.5 s, and what ends by itself before needn't move."""
REFUSED_SHAPES = 24
"""A placing round ends when so many different sizes found no room: more would find none either, and
each costs a look at every executor."""


SHORT_TASK_RESERVE = 0.10
"""The share of all processors that lasting tasks leave free. Short ones come in waves of a twentieth
on average; a core that they hold is worth four times one that a lasting task holds."""


@dataclass(frozen=True, slots=True)
class SchedulerTerms:
    """What the platform demands, in seconds."""

    lease: float
    """How long an executor goes on without hearing from its owner."""
    unheard_lease: float
    """How long an executor that this owner never reached may go on for an earlier one."""


class Scheduler:
    """The state of one service, as its owner knows it."""

    def __init__(self, terms: SchedulerTerms) -> None:
        """Empty; ``recover`` takes in what an earlier owner left."""
        self._terms = terms
        self.jobs = JobTable()
        self.executors: dict[ExecutorId, ExecutorState] = {}
        self._interference = InterferenceModel()
        self._tickets = TicketBook()
        self._commands: list[Command] = []
        self._notes: list[Note] = []
        self._ready: list[tuple[Urgency, int, Task]] = []
        self._parked: list[Task] = []
        self._sequence = count()
        self._unreached: dict[ExecutorId, float] = {}
        self._held: list[Task] = []
        self.known_executors_changed = False
        """Whether the executors to store for a successor have changed."""

    @property
    def waiting_tasks(self) -> int:
        """Tasks that may start and have no place."""
        return len(self._ready) + len(self._parked)

    @property
    def held_tasks(self) -> int:
        """Tasks that may run somewhere out of reach."""
        return len(self._held)

    def take_commands(self) -> list[Command]:
        """What is to be done, once."""
        commands, self._commands = self._commands, []
        return commands

    def take_notes(self) -> list[Note]:
        """What is to be logged, once."""
        notes, self._notes = self._notes, []
        return notes

    def configure(self, queues: QueueTable) -> None:
        """Use another version of the queues."""
        self.jobs.configure(queues)

    # What the store tells.

    def recover(
        self,
        jobs: Iterable[tuple[JobSpec, StoredProgress | None]],
        registrations: Iterable[ExecutorRegistration],
        last_known: Iterable[ExecutorRegistration],
        now: float,
        now_ms: int,
    ) -> None:
        """Take in what an earlier owner left.

        ``last_known`` are the executors that it had stored as known to it. Registrations lapse while
        the store is away, and what such an executor runs would otherwise be started again elsewhere.

        It may have started any of these tasks on any executor just before it went, without having
        stored that. A start from here while the other one runs would be the second run of a task,
        so none of them starts until each executor has answered under the new token, or until all
        that the earlier owner may have let it run has lapsed.
        """
        for registration in last_known:
            executor = ExecutorState(registration, now, registered=False)
            self.executors[registration.executor] = executor
        for registration in registrations:
            self.register(registration, now)
        self._unreached = dict.fromkeys(self.executors, now + self._terms.unheard_lease)
        for spec, progress in jobs:
            ready = self.jobs.accept(spec, progress, now_ms)
            job = self.jobs.get(spec.job)
            if job is not None:
                job.recovered = True
            for task in ready:
                self._enqueue(task)
        self.known_executors_changed = True

    def accept(self, spec: JobSpec, now_ms: int) -> None:
        """Take in a job that was accepted while this owner was in office."""
        for task in self.jobs.accept(spec, None, now_ms):
            self._enqueue(task)

    def cancel(self, name: JobId, now: float, now_ms: int) -> None:
        """A caller has cancelled a job."""
        job = self.jobs.get(name)
        if job is not None and not job.state.is_final:
            self._finish(job, JobState.CANCELLED, now, now_ms)

    def register(self, registration: ExecutorRegistration, now: float) -> None:
        """An executor has said something about itself."""
        known = self.executors.get(registration.executor)
        if known is None:
            self.executors[registration.executor] = ExecutorState(registration, now)
            self.known_executors_changed = True
            return
        known.registered = True
        if registration.incarnation > known.registration.incarnation:
            self._reborn(known, registration, now)
            return
        began_to_leave = registration.draining and not known.registration.draining
        known.registration = registration
        if began_to_leave:
            known.leaving_since = now
            self._evacuate(known, now, lasting=True)

    def unregister(self, executor: ExecutorId, now: float) -> None:
        """An executor's registration has gone: it has left, or can't reach the store."""
        known = self.executors.get(executor)
        if known is not None:
            known.registered = False
            self._forget_if_over(known, now)

    # What executors tell.

    def start_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """An executor answered the order to start, or didn't."""
        executor = run.executor
        if answer.clock_ms is not None:
            executor.note_clock(answer.clock_ms, now)
        if run.key not in executor.runs or run.phase is not RunPhase.STARTING:
            return
        outcome = answer.outcome
        if outcome is CallOutcome.ACCEPTED:
            run.phase = RunPhase.RUNNING
            run.confirmed_at = now
            run.progress_at = now
        elif outcome is CallOutcome.UNKNOWN:
            run.phase = RunPhase.UNSURE
            self._stop(run, now)
        else:
            if outcome in (CallOutcome.UNHEALTHY, CallOutcome.NO_ROOM):
                self._strike(executor, now)
            elif outcome is CallOutcome.NO_TICKET:
                self._tickets.rejected(run.task.step_id, executor.executor)
            self._gone(run, now)

    def stop_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """An executor answered the order to stop, or didn't."""
        if answer.clock_ms is not None:
            run.executor.note_clock(answer.clock_ms, now)
        if answer.outcome is CallOutcome.ACCEPTED and run.barred_at is None:
            run.barred_at = now

    def look_failed(self, executor: ExecutorState, now: float) -> None:
        """A look got no answer."""
        if not self._is_current(executor):
            return
        executor.failed_looks += 1
        self._forget_if_over(executor, now)

    def look_answered(
        self, executor: ExecutorState, sent_at: float, answer: LookAnswer, now: float, now_ms: int
    ) -> None:
        """An executor has listed what it runs and what has ended."""
        if not self._is_current(executor):
            return
        if answer.incarnation is not None and executor.registration.incarnation:
            if answer.incarnation < executor.registration.incarnation:
                return
            if answer.incarnation > executor.registration.incarnation:
                self._reborn(executor, _reborn_as(executor, answer.incarnation), now)
        if answer.clock_ms is not None:
            executor.note_clock(answer.clock_ms, now)
        executor.failed_looks = 0
        executor.looked_at = max(executor.looked_at or sent_at, sent_at)
        for row in answer.ended:
            if row.number > executor.seen_end:
                executor.seen_end = row.number
                self._ended(executor, row, now, now_ms)
                executor.unstored_ends.append((row.number, self.jobs.changes.last))
        self._compare(executor, sent_at, answer.running, now)
        if self._unreached.pop(executor.executor, None) is not None:
            self._release_held(now)
        self._commands.extend(
            PaceRun(run, percent)
            for run, percent in adjust_pace(executor, answer.running, self._interference, now)
        )

    def note_stored(self) -> None:
        """Changes have been stored: what rests on them may be forgotten by the executors."""
        stored = self.jobs.changes.stored_to
        for executor in self.executors.values():
            while executor.unstored_ends and executor.unstored_ends[0][1] <= stored:
                executor.forgettable_end = executor.unstored_ends.popleft()[0]

    def advised(
        self,
        question: AskAdvice,
        tickets: dict[ExecutorId, str] | None,
        seconds: float,
        now: float,
        now_ms: int,
    ) -> None:
        """The advisor named the executors that may run a step, for so long; None: no answer."""
        if tickets is None:
            self._tickets.not_answered(question.step, now)
            return
        good = {
            name: Ticket(text, now + seconds, self.executors[name].registration.incarnation)
            for name, text in tickets.items()
            if name in self.executors
        }
        self._tickets.answered(question.step, question.executors, good, now)
        self._unpark(now_ms)

    # What time brings.

    def check_time(self, now: float, now_ms: int) -> None:
        """Lapsed leases, stops without an answer, runs that stand still, jobs that become due."""
        for executor in tuple(self.executors.values()):
            self._check_executor(executor, now)
        given_up = [one for one, until in self._unreached.items() if until <= now]
        for executor_id in given_up:
            del self._unreached[executor_id]
        if given_up:
            # What ran there used attempt numbers that nobody knows.
            for task in self._held:
                task.attempt = AttemptNumber(task.attempt + 1)
            self._release_held(now)
        for job in tuple(self.jobs.waiting_for_time()):
            for task in self.jobs.open_due(job, now_ms):
                self._enqueue(task)
        self._unpark(now_ms)
        for over in self.jobs.drop_over():
            self._tickets.forget_job(over)

    def place(self, now: float, now_ms: int) -> None:
        """Send tasks that may start to executors with room; others wait for the next tick."""
        usable = [one for one in self.executors.values() if one.usable(now)]
        reserved = _reserved_share(usable)
        refused: set[tuple[object, ...]] = set()
        while self._ready and usable:
            task = heapq.heappop(self._ready)[-1]
            if not self._wants_run(task):
                task.waiting = False
                continue
            shape = _shape(task)
            crowded = shape in refused or len(refused) >= REFUSED_SHAPES
            crowded = crowded or self._would_take_reserve(task, usable)
            most = most_cost((now_ms - task.job.spec.accepted_ms) / 1000, reserved)
            allowed = self._ticketed(task, usable, now)
            if crowded or not self._start(task, allowed, most, now, now_ms):
                refused.add(shape)
                self._parked.append(task)
                continue
            task.waiting = False

    # Inside.

    def _unpark(self, now_ms: int) -> None:
        parked, self._parked = self._parked, []
        for task in parked:
            self._push(task, now_ms)

    def _ticketed(self, task: Task, usable: list[ExecutorState], now: float) -> list[ExecutorState]:
        """The executors that may run a task; asks the advisor where none is known to."""
        if not task.job.queue.needs_tickets:
            return usable
        step = task.step_id
        allowed = [
            one
            for one in usable
            if self._tickets.valid(step, one.executor, one.registration.incarnation, now)
        ]
        if len(allowed) < min(len(members(task)), len(usable)):
            free = sorted(
                usable, key=lambda one: one.used_cpu_millis - one.registration.room.cpu_millis
            )
            known = {one.executor for one in allowed}
            names = [one.executor for one in free if one.executor not in known]
            asked = self._tickets.to_ask(step, names, now)
            if asked:
                self._commands.append(AskAdvice(step, asked))
        return allowed

    @staticmethod
    def _would_take_reserve(task: Task, usable: list[ExecutorState]) -> bool:
        """Whether a lasting task that never ran would take the room that is kept for short ones."""
        if not task.spec.long_running or task.attempt:
            return False
        room = sum(one.registration.room.cpu_millis for one in usable)
        used = sum(one.lasting_cpu_millis for one in usable)
        return used + task.spec.reserved_cpu_millis > room * (1 - SHORT_TASK_RESERVE)

    def _is_current(self, executor: ExecutorState) -> bool:
        """Whether this state still stands for its executor.

        An executor that was given up may come back under the same id while a look at it is out. What
        the look tells then concerns its new life, which another state stands for: taken for the old
        one, it would make the new one and its runs vanish, and their jobs would never end.
        """
        return self.executors.get(executor.executor) is executor

    def _start(
        self, task: Task, usable: list[ExecutorState], most: float, now: float, now_ms: int
    ) -> bool:
        """Start a task, with its gang if it has one, where there is room for all."""

        def choice(one: Task, executors: list[ExecutorState]) -> ExecutorState | None:
            return choose(one, executors, self._interference, most)

        runs = place_together(task, usable, choice, next_attempt(task), now)
        for run in runs:
            executor, started = run.executor, run.task
            run.start_deadline_ms = executor.clock(now) + START_VALID_MS
            run.checkpoint = started.checkpoint
            if task.job.queue.needs_tickets:
                life = executor.registration.incarnation
                ticket = self._tickets.valid(task.step_id, executor.executor, life, now)
                run.ticket = ticket or ""
            executor.lease_until_ms = max(executor.lease_until_ms, run.start_deadline_ms)
            started.attempt = run.attempt
            started.runs.append(run)
            started.last_executor = executor.executor
            self._commands.append(StartRun(run))
            self._notes.append(_sent(run, now, now_ms))
        if runs:
            self.jobs.note_started(task.job)
        return bool(runs)

    def _stop(self, run: Run, now: float) -> None:
        if run.phase is not RunPhase.UNSURE:
            run.phase = RunPhase.STOPPING
        run.stop_sent_at = now
        self._commands.append(StopRun(run))

    def _enqueue(self, task: Task) -> None:
        if task.spec.gang:
            task = members(task)[0] if task.key in task.job.tasks else task
        if task.waiting or not self._wants_run(task):
            return
        task.waiting = True
        if task.job.recovered and self._unreached:
            self._held.append(task)
            return
        self._push(task, task.job.spec.accepted_ms)

    def _push(self, task: Task, now_ms: int) -> None:
        heapq.heappush(self._ready, (urgency(task, now_ms), next(self._sequence), task))

    @staticmethod
    def _wants_run(task: Task) -> bool:
        return not task.job.state.is_final and task.key in task.job.tasks and is_free(task)

    def _gone(self, run: Run, now: float) -> None:
        """A run is certainly over, or never was; its task may start again."""
        run.executor.remove(run)
        task = run.task
        if run in task.runs:
            task.runs.remove(run)
        if task.spec.gang and task.key in task.job.tasks:
            # The others would hold their room and wait for a member that doesn't come back.
            self._break_up(task, now)
        self._enqueue(task)

    def _finish(self, job: Job, state: JobState, now: float, now_ms: int) -> None:
        self.jobs.finish(job, state, now_ms)
        self._notes.append(_over(job, now_ms))
        for task in job.tasks.values():
            for run in tuple(task.runs):
                if run.works:
                    self._stop(run, now)

    def _strike(self, executor: ExecutorState, now: float) -> None:
        executor.strikes += 1
        executor.struck_at = now
        if executor.strikes >= STRIKES_TO_AVOID:
            pause = AVOID_SECONDS * 2 ** (executor.strikes - STRIKES_TO_AVOID)
            executor.avoided_until = now + min(pause, LONGEST_AVOID_SECONDS)

    def _ended(self, executor: ExecutorState, row: EndedRow, now: float, now_ms: int) -> None:
        run = executor.runs.get((row.task, row.attempt))
        task = run.task if run is not None else self.jobs.task(row.task)
        if task is None:
            return
        self._notes.append(RunEnded(row.task, row.attempt, executor.executor, row.reason))
        if row.checkpoint and task.spec.checkpointing:
            save(task, row.checkpoint)
        if row.reason is EndReason.DONE and not task.spec.long_running:
            self._task_done(task, executor, now, now_ms)
        elif row.reason is EndReason.FAILED:
            self._task_failed(task, row, executor, now, now_ms)
        if run is not None:
            self._gone(run, now)
        task.attempt = max(task.attempt, row.attempt)
        self.jobs.note_changed(task.job)

    def _task_done(self, task: Task, executor: ExecutorState, now: float, now_ms: int) -> None:
        executor.strikes = 0
        if task.job.state.is_final:
            return
        for member in members(task):
            for ready in self.jobs.task_done(member, now_ms):
                self._enqueue(ready)
        if task.job.state.is_final:
            self._notes.append(_over(task.job, now_ms))
        for other in tuple(task.runs):
            if other.works and other.executor is not executor:
                self._stop(other, now)

    def _task_failed(
        self, task: Task, row: EndedRow, executor: ExecutorState, now: float, now_ms: int
    ) -> None:
        if row.attempt in task.failed_attempts:
            return
        if not task.failed_on:
            # A task that fails on a second executor too fails by itself. Blaming each executor that
            # it comes to would put all of them out of use while many jobs come that can't be done.
            self._strike(executor, now)
        task.failed_attempts.append(row.attempt)
        task.failed_on.add(executor.executor)
        job = task.job
        exhausted = failures(task) >= job.queue.attempts
        if exhausted and not task.spec.long_running and not job.state.is_final:
            self._finish(job, JobState.FAILED, now, now_ms)

    def _compare(
        self,
        executor: ExecutorState,
        sent_at: float,
        rows: tuple[RunningRow, ...],
        now: float,
    ) -> None:
        listed = {(row.task, row.attempt): row for row in rows}
        for key, run in tuple(executor.runs.items()):
            row = listed.pop(key, None)
            if row is not None:
                self._still_there(run, row, now)
            else:
                self._not_listed(run, sent_at, now)
        for row in listed.values():
            self._found(executor, row, now)

    def _still_there(self, run: Run, row: RunningRow, now: float) -> None:
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        if run.confirmed_at is None:
            run.confirmed_at = now
        if row.progress_percent != run.progress_percent or not run.progress_at:
            run.progress_percent = row.progress_percent
            run.progress_at = now
        if row.checkpoint and run.task.spec.checkpointing:
            run.checkpoint = row.checkpoint
            save(run.task, row.checkpoint)
        run.cpu_in_use = row.figure

    def _not_listed(self, run: Run, sent_at: float, now: float) -> None:
        """It has ended and is forgotten, never came, or came after the list was made."""
        if run.barred_at is not None and run.barred_at <= sent_at:
            self._gone(run, now)
        elif run.phase is RunPhase.RUNNING and (run.confirmed_at or now) < sent_at:
            # Nothing explains this but a list that was overtaken. Stopping it bars the attempt, so
            # that it can't come back beside its successor.
            run.phase = RunPhase.UNSURE
            self._stop(run, now)

    def _found(self, executor: ExecutorState, row: RunningRow, now: float) -> None:
        """An earlier owner's run, or an order of ours that was given up and carried out late."""
        task = self.jobs.task(row.task)
        if task is None:
            self._stop_stranger(executor, row, now)
            return
        newest = all(row.attempt > other.attempt for other in task.runs)
        run = Run(task, row.attempt, executor, RunPhase.RUNNING, now, confirmed_at=now)
        self._still_there(run, row, now)
        executor.add(run)
        late = row.attempt < task.attempt
        task.attempt = max(task.attempt, row.attempt)
        others = tuple(task.runs)
        task.runs.append(run)
        if late or not newest:
            self._stop(run, now)
            return
        for other in others:
            self._stop(other, now)
        task.last_executor = executor.executor
        self.jobs.note_started(task.job)

    def _stop_stranger(self, executor: ExecutorState, row: RunningRow, now: float) -> None:
        """Stop a run of a task that is over or unknown; it holds its room until its end is listed."""
        known = self.jobs.step_of(row.task)
        service = executor.registration.service
        spec = known[0] if known else JobSpec(JobId(row.task), QueueName(""), service, "", (), 0)
        step = known[1] if known else StepSpec(1, 0, 0, 0, 0)
        job = Job(spec, terms_without_queue(spec), JobState.CANCELLED)
        task = Task(job, TaskKey(0, 0, 0), row.task, step)
        run = Run(task, row.attempt, executor, RunPhase.STOPPING, now, confirmed_at=now)
        executor.add(run)
        self._stop(run, now)

    def _reborn(
        self, executor: ExecutorState, registration: ExecutorRegistration, now: float
    ) -> None:
        """The executor started anew: what ran in its earlier life is over."""
        runs = tuple(executor.runs.values())
        self._notes.append(ExecutorGivenUp(executor.executor, len(runs), "it has started anew"))
        executor.begin_incarnation(registration, now)
        for run in runs:
            self._gone(run, now)

    def _release_held(self, now: float) -> None:
        if self._unreached:
            return
        held, self._held = self._held, []
        for task in held:
            if task.spec.gang and not is_free(task):
                # The earlier owner went while it started the gang.
                self._break_up(task, now)
            self._push(task, task.job.spec.accepted_ms)

    def _break_up(self, task: Task, now: float) -> None:
        gang = members(task)
        if all(member.runs for member in gang):
            return
        for run in (one for member in gang for one in member.runs if one.works):
            self._stop(run, now)

    def _check_executor(self, executor: ExecutorState, now: float) -> None:
        if not executor.answers:
            self._forget_if_over(executor, now)
            return
        leaving = executor.leaving_since
        if leaving is not None and now - leaving >= DRAIN_EVICT_SECONDS:
            self._evacuate(executor, now, lasting=False)
        if executor.strikes and now - executor.struck_at > FORGIVE_SECONDS:
            executor.strikes = 0
        for run in tuple(executor.runs.values()):
            if run.phase in (RunPhase.STOPPING, RunPhase.UNSURE):
                if run.barred_at is None and now - run.stop_sent_at > STOP_RETRY_SECONDS:
                    self._stop(run, now)
            elif self._stands_still(run, now):
                self._strike(executor, now)
                self._stop(run, now)

    @staticmethod
    def _stands_still(run: Run, now: float) -> bool:
        if run.phase is not RunPhase.RUNNING or run.progress_percent >= 100:
            return False
        if not run.pace_percent:
            return False
        return now - run.progress_at > STALL_SECONDS * 100 / run.pace_percent

    def _evacuate(self, executor: ExecutorState, now: float, lasting: bool) -> None:
        for run in tuple(executor.working_runs()):
            step = run.task.spec
            if step.long_running if lasting else step.checkpointing:
                self._stop(run, now)

    def _forget_if_over(self, executor: ExecutorState, now: float) -> None:
        """What ran on an executor that doesn't answer is over once its lease has lapsed."""
        reached = executor.looked_at is not None
        if reached and not executor.answers and executor.lease_has_lapsed(now):
            if executor.runs:
                lost = len(executor.runs)
                self._notes.append(ExecutorGivenUp(executor.executor, lost, "its lease lapsed"))
            for run in tuple(executor.runs.values()):
                self._gone(run, now)
        over = not executor.runs and executor.executor not in self._unreached
        if over and not executor.registered and not executor.answers:
            self.executors.pop(executor.executor, None)
            self.known_executors_changed = True


def _reserved_share(executors: list[ExecutorState]) -> float:
    room = sum(one.registration.room.cpu_millis for one in executors)
    return sum(one.used_cpu_millis for one in executors) / max(1, room)


def _shape(task: Task) -> tuple[object, ...]:
    step = task.spec
    own = step.per_executor_limit or task.job.queue.needs_tickets or step.gang
    limited = task.step_id if own else None
    size = (step.reserved_cpu_millis, step.memory_mb, step.accelerators)
    image = step.image if step.uses_leftover_cpu else ""
    return (*size, step.required_label, limited, image)


def _sent(run: Run, now: float, now_ms: int) -> TaskSent:
    executor = run.executor
    looked_at = executor.looked_at if executor.looked_at is not None else now
    return TaskSent(
        run.task.name,
        run.attempt,
        executor.executor,
        now_ms - run.task.job.spec.accepted_ms,
        int((now - looked_at) * 1000),
        executor.strikes,
    )


def _over(job: Job, now_ms: int) -> JobOver:
    age = now_ms - job.spec.accepted_ms
    return JobOver(job.spec.job, job.state, age, int(job.allowed_ms()))


def _reborn_as(executor: ExecutorState, incarnation: int) -> ExecutorRegistration:
    return replace(executor.registration, incarnation=incarnation)
