"""What the owner of a service decides: starts, stops, and what each report of an executor means.

State changes in place: one owner carries some hundred starts a second on a fraction of a core, and
copying tables for each of them would cost more than the decision. Nothing here reads a clock or does
I/O: time comes in, and commands go out through ``take_commands``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..._ids import ExecutorId, JobId, MachineId, ServiceName
from ._arrangement import Arrangement
from ._commands import AskAdvice, Command
from ._executors import ExecutorRegistration, ExecutorState
from ._interference import LearnedFit
from ._job_table import JobTable
from ._load_shedding import Shed, shed_at
from ._notes import Note
from ._placement import Placement
from ._progress import JobState, StoredProgress
from ._queues import QueueTable
from ._report_handling import Reports
from ._reports import OrderAnswer, PollAnswer
from ._runs import Run
from ._specs import JobSpec
from ._stragglers import Stragglers
from ._tickets import Ticket
from ._time_checks import TimeChecks
from ._upkeep import Upkeep, WaveView
from ._waves import UpkeepMark
from ._work import Work

LAST_START_MARGIN_SECONDS = 1.5
"""A start lets everything on its executor run for a second of a slow clock, and killing it takes 0.2 s."""
PROOF_SECONDS = 3.0
"""The watch proves every two seconds or sooner that the ownership has not changed. When that fails to come, the
store is asked."""


@dataclass(frozen=True, slots=True)
class SchedulerTerms:
    """What the scheduler is for, and what the platform demands, in seconds."""

    service: ServiceName
    unheard_lease: float
    """How long an executor that this owner never reached may go on for an earlier one."""
    longest_lease: float
    """The longest lease that any owner of the service grants an executor."""


class Scheduler:
    """The state of one service, as its owner knows it."""

    def __init__(self, terms: SchedulerTerms) -> None:
        """Empty; ``recover`` takes in what an earlier owner left."""
        self._terms = terms
        self._work = Work()
        self._reports = Reports(self._work, int(terms.longest_lease * 1000))
        self._placement = Placement(self._work)
        self._time_checks = TimeChecks(self._work)
        self._stragglers = Stragglers(self._work)
        self._arrangement = Arrangement(self._work)
        self._upkeep = Upkeep(self._work, terms.service)

    @property
    def jobs(self) -> JobTable:
        """Jobs that are not over, and what of them has to be stored."""
        return self._work.jobs

    @property
    def executors(self) -> dict[ExecutorId, ExecutorState]:
        """The executors that are known."""
        return self._work.executors

    @property
    def waiting_tasks(self) -> int:
        """Tasks that may start and have no place."""
        return len(self._work.waiting)

    def take_commands(self) -> list[Command]:
        """What is to be done, once."""
        commands, self._work.commands = self._work.commands, []
        return commands

    def take_new_executors(self) -> list[ExecutorState]:
        """Executors that have become known, once; each is to be polled."""
        found, self._work.new_executors = self._work.new_executors, []
        return found

    def take_notes(self) -> list[Note]:
        """What is to be logged, once."""
        notes, self._work.notes = self._work.notes, []
        return notes

    def configure(self, queues: QueueTable) -> None:
        """Use another version of the queues."""
        self.jobs.configure(queues)

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
            executor.stored_address = registration.address
            self._work.add_executor(executor)
        for registration in registrations:
            self.register(registration, now)
        self._work.unreached = dict.fromkeys(self.executors, now + self._terms.unheard_lease)
        for spec, progress in jobs:
            ready = self.jobs.accept(spec, progress, now_ms)
            job = self.jobs.get(spec.job)
            if job is not None:
                job.recovered = True
            for task in ready:
                self._work.enqueue(task)
        self._work.known_executors_changed = True

    def learned(self) -> tuple[LearnedFit, ...]:
        """What has been learned about which images disturb which, for a successor."""
        return self._work.interference.learned()

    def adopt(self, learned: Iterable[LearnedFit]) -> None:
        """Begin with what an earlier owner has learned."""
        self._work.interference.adopt(learned)

    def accept(self, spec: JobSpec, now_ms: int) -> None:
        """Take in a job that was accepted while this owner owned the service."""
        for task in self.jobs.accept(spec, None, now_ms):
            self._work.enqueue(task)

    def cancel(self, name: JobId, now: float, now_ms: int) -> None:
        """A caller has cancelled a job."""
        job = self.jobs.get(name)
        if job is not None and not job.state.is_final:
            self._work.finish(job, JobState.CANCELLED, now, now_ms)

    def register(self, registration: ExecutorRegistration, now: float) -> None:
        """An executor has said something about itself."""
        known = self.executors.get(registration.executor)
        if known is None:
            executor = ExecutorState(registration, now)
            executor.emptied = self._upkeep.is_kept_free(registration.executor)
            self._work.add_executor(executor)
            self._work.known_executors_changed = True
            return
        if registration.incarnation < known.registration.incarnation:
            # Polls tell of a new life before the store does, and a listing is followed by changes that are
            # older than it. Taken for its present state, the next word of the present life would look like
            # one more start, after which nothing of before runs.
            return
        known.registered = True
        if registration.address != known.registration.address:
            self._work.known_executors_changed = True
        if registration.incarnation > known.registration.incarnation:
            self._work.reborn(known, registration, now)
            return
        known.registration = registration

    def unregister(self, executor: ExecutorId, now: float) -> None:
        """An executor's registration has gone: it has left, or can't reach the store."""
        known = self.executors.get(executor)
        if known is not None:
            known.registered = False
            self._work.forget_if_over(known, now)

    def take_changed_executors(self) -> tuple[ExecutorRegistration, ...] | None:
        """The executors to store for a successor; None when they haven't changed since last asked."""
        if not self._work.known_executors_changed:
            return None
        self._work.known_executors_changed = False
        return tuple(one.registration for one in self.executors.values())

    def executors_stored(self, registrations: Iterable[ExecutorRegistration]) -> None:
        """The store has confirmed the write that holds these; they may get runs."""
        for registration in registrations:
            known = self.executors.get(registration.executor)
            if known is not None:
                known.stored_address = registration.address

    def executors_not_stored(self) -> None:
        """They could not be stored, or it isn't known whether they were."""
        self._work.known_executors_changed = True

    @property
    def executors_changed(self) -> bool:
        """Whether the executors to store for a successor have changed."""
        return self._work.known_executors_changed

    def start_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """An executor answered the order to start, or didn't."""
        self._reports.start_answered(run, answer, now)

    def stop_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """An executor answered the order to stop, or didn't."""
        self._reports.stop_answered(run, answer, now)

    def pace_answered(self, run: Run, answer: OrderAnswer) -> None:
        """An executor answered the order to change a run's pace, or didn't."""
        self._reports.pace_answered(run, answer)

    def incarnation_met(
        self, executor: ExecutorState, incarnation: int | None, sent_at: float, now: float
    ) -> bool:
        """A call found another incarnation of an executor; whether it is one that began later."""
        return self._reports.incarnation_met(executor, incarnation, sent_at, now)

    def poll_failed(self, executor: ExecutorState, now: float) -> None:
        """A poll got no answer."""
        self._reports.poll_failed(executor, now)

    def poll_answered(
        self,
        executor: ExecutorState,
        sent_at: float,
        answer: PollAnswer,
        now: float,
        now_ms: int,
        in_time: bool = True,
    ) -> None:
        """An executor has listed what it runs and what has ended."""
        self._reports.poll_answered(executor, sent_at, answer, now, now_ms, in_time)

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
            self._work.tickets.not_answered(question.step, now)
            return
        good = {
            name: Ticket(text, now + seconds, self.executors[name].registration.incarnation)
            for name, text in tickets.items()
            if name in self.executors
        }
        self._work.tickets.answered(question.step, question.executors, good, now)
        self._work.waiting.retry(now_ms)

    @property
    def shed(self) -> Shed:
        """What is left undone now."""
        return self._work.shed

    def note_lag(self, lag: float) -> Shed:
        """The event loop is so many seconds late. Returns what is left undone from now on."""
        self._work.shed = shed_at(lag, self._work.shed)
        return self._work.shed

    def check_time(self, now: float, now_ms: int) -> None:
        """Lapsed leases, stops without an answer, runs that stand still, jobs that become due."""
        for executor in tuple(self.executors.values()):
            self._time_checks.check(executor, now)
            self._stragglers.check(executor, now)
        self._work.give_up_unreached(now)
        self._upkeep.evict(now)
        self._work.promises.expire(now)
        if self._work.shed < Shed.ARRANGEMENT:
            self._arrangement.check(now)
        for job in tuple(self.jobs.waiting_for_time()):
            for task in self.jobs.open_due(job, now_ms):
                self._work.enqueue(task)
        self._work.waiting.retry(now_ms)
        for over in self.jobs.drop_over():
            self._work.tickets.forget_job(over)

    def recover_upkeep(self, marks: Iterable[tuple[MachineId, UpkeepMark]], now: float) -> None:
        """Take in which machines an earlier owner has ordered down; after ``recover``."""
        self._upkeep.recover(marks, now)

    def next_upkeep(self, views: Iterable[WaveView], now: float) -> list[tuple[int, MachineId]]:
        """Wave and machine of each upkeep to order now; executors that come next are emptied."""
        return self._upkeep.next_orders(views, now)

    def note_ownership(self, at: float) -> None:
        """It is certain that this owner owned the service at that time."""
        known = self._work.owned_at
        self._work.owned_at = at if known == float("inf") else max(known, at)

    def wants_proof(self, now: float) -> bool:
        """Whether it should be found out if this owner still owns the service."""
        return now - self._work.owned_at > PROOF_SECONDS or self._work.wants_proof(now)

    def place(self, now: float, now_ms: int) -> None:
        """Send tasks that may start to executors with room; others wait for the next tick."""
        if self._may_start(now):
            self._placement.place(now, now_ms)

    def start_leaves(self, run: Run, now: float) -> bool:
        """A start's turn to be sent has come. Returns False if it must not be sent any more."""
        return self._may_start(now) and self._placement.leave(run, now)

    def _may_start(self, now: float) -> bool:
        """Whether anything may start.

        A successor waits for executors that it can't reach for a fixed time. What this owner starts there must
        be over by then, or the successor would start it beside that.
        """
        may_start = self._terms.unheard_lease - LAST_START_MARGIN_SECONDS
        return now - self._work.owned_at <= may_start
