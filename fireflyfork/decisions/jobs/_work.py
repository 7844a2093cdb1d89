"""What is being worked on: jobs, executors, runs, and the tasks that wait for a place."""

from __future__ import annotations

from ..._ids import AttemptNumber, ExecutorId
from ..._waits import WaitReason
from ._commands import Command, StopRun
from ._executors import ExecutorRegistration, ExecutorState
from ._gangs import is_free, members
from ._interference import InterferenceModel
from ._job_table import JobTable
from ._load_shedding import Shed
from ._notes import ExecutorGivenUp, JobOver, Note
from ._overs import RunOver
from ._progress import JobState
from ._promises import PromiseBook
from ._runs import Job, Run, RunPhase, Task
from ._tickets import TicketBook
from ._waiting_tasks import WaitingTasks

STRIKES_TO_AVOID = 2
"""One failure in fifty is a task's own; two in a row on one executor are its own once in 2,500."""
AVOID_SECONDS = 1.0
LONGEST_AVOID_SECONDS = 8.0
"""An avoided executor is tried again after 1 s, then 2 s and so on: troubled ones recover within
seconds, and each try costs at most one task's attempt."""


class Work:
    """The state of one service and its elementary changes, each of which keeps it consistent."""

    def __init__(self) -> None:
        """Nothing to do."""
        self.jobs = JobTable()
        self.executors: dict[ExecutorId, ExecutorState] = {}
        self.new_executors: list[ExecutorState] = []
        """Those that nobody polls yet."""
        self.known_executors_changed = False
        """Whether the executors to store for a successor have changed."""
        self.interference = InterferenceModel()
        self.tickets = TicketBook()
        self.promises = PromiseBook()
        self.commands: list[Command] = []
        self.notes: list[Note] = []
        self.waiting = WaitingTasks(lambda task: self.promises.destination(task) is not None)
        """Tasks that wait for a place."""
        self.copies: list[Task] = []
        """Tasks that a second run may be started of beside the first."""
        self.unreached: dict[ExecutorId, float] = {}
        """Executors that an earlier owner used and that haven't answered yet, each with the time when
        all that it may run for that owner is over."""
        self.held: list[Task] = []
        """Tasks that may run on one of those."""
        self.shed = Shed.NOTHING
        """What is left undone now."""
        self.owned_at = float("inf")
        """When it was last certain that this owner owned the service; infinite where nobody succeeds it."""

    def add_executor(self, executor: ExecutorState) -> None:
        """An executor has become known."""
        self.executors[executor.executor] = executor
        self.new_executors.append(executor)

    @staticmethod
    def wants_run(task: Task) -> bool:
        """Whether a task, or its gang, should run and doesn't."""
        return not task.job.state.is_final and task.key in task.job.tasks and is_free(task)

    def enqueue(self, task: Task, at_once: bool = True) -> None:
        """A task may start; it waits for its place."""
        if task.spec.gang:
            task = members(task)[0] if task.key in task.job.tasks else task
        if task.waiting or not self.wants_run(task):
            return
        task.waiting = True
        if task.job.recovered and self.unreached:
            task.waits_for = WaitReason.HELD
            self.held.append(task)
        elif at_once:
            self.waiting.push(task, task.job.spec.accepted_ms)
        else:
            self.waiting.defer(task)

    def stop(self, run: Run, now: float) -> None:
        """Have a run stopped; it holds its room until that has shown."""
        if run.phase is not RunPhase.UNSURE:
            run.phase = RunPhase.STOPPING
        run.stop_sent_at = now
        self.commands.append(StopRun(run))

    def gone(self, run: Run, now: float, why: RunOver, at_once: bool = True) -> None:
        """A run is certainly over, or never was; its task may start again, at once or with the tick."""
        run.executor.remove(run)
        task = run.task
        task.last_over = why
        if run in task.runs:
            task.runs.remove(run)
        if task.spec.gang and task.key in task.job.tasks:
            # The others would hold their room and wait for a member that doesn't come back.
            self.break_up(task, now)
        self.enqueue(task, at_once)

    def break_up(self, task: Task, now: float) -> None:
        """Stop the members of a gang that run while others don't."""
        gang = members(task)
        if all(member.runs for member in gang):
            return
        for run in (one for member in gang for one in member.runs if one.works):
            self.stop(run, now)

    def finish(self, job: Job, state: JobState, now: float, now_ms: int) -> None:
        """Make a job's state final and stop what it runs."""
        self.jobs.finish(job, state, now_ms)
        self.notes.append(job_over(job, now_ms))
        for task in job.tasks.values():
            for run in tuple(task.runs):
                if run.works:
                    self.stop(run, now)

    def strike(self, executor: ExecutorState, now: float) -> None:
        """An executor failed something; after several times it is avoided for a while."""
        executor.strikes += 1
        executor.struck_at = now
        if executor.strikes >= STRIKES_TO_AVOID:
            pause = AVOID_SECONDS * 2 ** (executor.strikes - STRIKES_TO_AVOID)
            executor.avoided_until = now + min(pause, LONGEST_AVOID_SECONDS)

    def is_current(self, executor: ExecutorState) -> bool:
        """Whether this state still stands for its executor.

        An executor that was given up may come back under the same id while a poll of it is out. What
        the poll tells then concerns its new life, which another state stands for: taken for the old
        one, it would make the new one and its runs vanish, and their jobs would never end.
        """
        return self.executors.get(executor.executor) is executor

    def reborn(
        self, executor: ExecutorState, registration: ExecutorRegistration, now: float
    ) -> None:
        """The executor started anew: what ran in its earlier life is over.

        So is what was on its way there: calls come to the incarnation that they are meant for, or to none.
        Waiting for a word of the new life instead would hold tasks back for ever, should it vanish first.
        """
        self._note_given_up(executor, RunOver.NEW_INCARNATION)
        runs = tuple(executor.runs.values())
        executor.begin_incarnation(registration, now)
        for run in runs:
            self.gone(run, now, RunOver.NEW_INCARNATION)

    def forget_if_over(self, executor: ExecutorState, now: float) -> None:
        """What ran on an executor that doesn't answer is over once its lease has lapsed.

        It must have lapsed while this owner certainly owned the service. A successor may reach an executor
        that this owner doesn't, and renew its lease; a task that runs on there would run twice.
        """
        reached = executor.polled_at is not None
        if reached and not executor.answers and executor.lease_has_lapsed(self._sure_until(now)):
            if executor.runs:
                self._note_given_up(executor, RunOver.LEASE_LAPSED)
            for run in tuple(executor.runs.values()):
                self.gone(run, now, RunOver.LEASE_LAPSED)
        over = not executor.runs and executor.executor not in self.unreached
        if over and not executor.registered and not executor.answers:
            self.executors.pop(executor.executor, None)
            self.known_executors_changed = True

    def reached(self, executor: ExecutorId, now: float) -> None:
        """An executor has listed what it runs."""
        if self.unreached.pop(executor, None) is not None:
            self.release_held(now)

    def wants_proof(self, now: float) -> bool:
        """Whether something would be over by now, were it certain that this owner still owns."""
        sure = self._sure_until(now)
        if any(sure < until <= now for until in self.unreached.values()):
            return True
        silent = (one for one in self.executors.values() if one.runs and one.polled_at is not None)
        return any(
            not one.answers and one.lease_has_lapsed(now) and not one.lease_has_lapsed(sure)
            for one in silent
        )

    def _sure_until(self, now: float) -> float:
        return min(now, self.owned_at)

    def give_up_unreached(self, now: float) -> None:
        """Executors that never answered run nothing of an earlier owner's any more.

        A successor may have reached them meanwhile; that none had when the time was up must be certain.
        """
        given_up = [
            one
            for one, until in self.unreached.items()
            if until <= self._sure_until(now) and not self._has_ends_to_list(one, now)
        ]
        for executor in given_up:
            del self.unreached[executor]
            self._note_given_up(self.executors[executor], RunOver.LEASE_LAPSED)
        if given_up:
            # What ran there used attempt numbers that nobody knows.
            for task in self.held:
                task.attempt = AttemptNumber(task.attempt + 1)
            self.release_held(now)

    def _has_ends_to_list(self, name: ExecutorId, now: float) -> bool:
        """Whether an executor listed only some of its ends, and its lease goes on by our polls.

        What stands further down its list may be the good end of a task that is held.
        """
        executor = self.executors.get(name)
        if executor is None or executor.polled_at is None:
            return False
        return executor.answers or not executor.lease_has_lapsed(self._sure_until(now))

    def _note_given_up(self, executor: ExecutorState, why: RunOver) -> None:
        incarnation = executor.registration.incarnation
        self.notes.append(ExecutorGivenUp(executor.executor, incarnation, len(executor.runs), why))

    def release_held(self, now: float) -> None:
        """Let tasks go that waited for executors, once none is left to wait for."""
        if self.unreached:
            return
        held, self.held = self.held, []
        for task in held:
            if task.spec.gang and not is_free(task):
                # The earlier owner went while it started the gang.
                self.break_up(task, now)
            self.waiting.push(task, task.job.spec.accepted_ms)


def job_over(job: Job, now_ms: int) -> JobOver:
    """The note that a job's state is final."""
    age = now_ms - job.spec.accepted_ms
    return JobOver(job.spec.job, job.state, age, int(job.allowed_ms()))
