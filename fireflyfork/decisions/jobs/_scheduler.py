"""The scheduling decisions of the owner of a service: starts, stops, and the handling of reports.

State is changed in place: one owner handles several hundred starts a second on a fraction of a
core, and copying tables for each start would cost more than the decision itself. Nothing here reads
a clock or does I/O: times are arguments, and commands are returned by ``take_commands``.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from math import inf

from ..._ids import ExecutorId, FailureDomainName, JobId, MachineId, QueueName, ServiceName
from ..._waits import WaitReason
from ._advice_requests import AdviceRequests
from ._arrangement import Arrangement
from ._commands import AskAdvice, RunCommand
from ._decision_guard import GuardedState, guarded_change
from ._evacuations import Evacuations
from ._executors import ExecutorRegistration, ExecutorState
from ._interference import LearnedFit
from ._job_table import JobTable
from ._load_shedding import Shed, shed_level
from ._notes import Note
from ._paced_runs import PacedRuns
from ._placement import Placement
from ._policy_factory import create_policies
from ._policy_settings import NO_POLICIES, PolicySettings
from ._progress import JobState, StoredProgress
from ._queue_terms import QueueTerms
from ._queues import QueueTable
from ._registration_age import RegistrationAge, start_validity_ms
from ._report_handling import ReportHandler
from ._reports import OrderAnswer, PollAnswer
from ._runs import Departure, Job, Run
from ._service_state import DEFAULT_STOP_SECONDS, ServiceState
from ._specs import JobSpec
from ._stored_estimates import StoredEstimates
from ._stored_shares import StoredShare
from ._stragglers import Stragglers
from ._tickets import Ticket
from ._time_checks import TimeChecks
from ._upkeep import Upkeep, WaveView
from ._waves import UpkeepMark
from .admission import WorkFigures
from .arrangement import ImageGroups

LAST_START_MARGIN_SECONDS = 1.5
"""Starts end this long before a successor may start tasks: a start extends the lease of everything
on its executor by one second of a slow clock, and killing those runs takes 0.2 s."""
LIST_REVIEW_SECONDS = 1.0
"""Interval at which executors that can't hold runs any more are taken off the stored list. The list
of thousands of executors is large."""
MAX_PROOF_AGE_SECONDS = 3.0
"""Age of the last proof of ownership at which a new proof is requested from the store. The watch
proves every two seconds or sooner that the ownership has not changed."""


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """The service of a scheduler, and the time limits of the platform in seconds."""

    service: ServiceName
    unreached_lease: float
    """How long an executor that this owner never reached may continue under the lease of an earlier
    one."""
    max_lease: float
    """The longest lease that any owner of the service grants an executor."""
    policies: PolicySettings = NO_POLICIES
    far_factor: float = 2.0
    """How many times as long a task takes on another rack than that of its data."""
    stop_timeout: float = DEFAULT_STOP_SECONDS
    """How long a stop may take."""
    drain_notice: float = inf
    """How long a leaving executor still takes starts after the change of its registration."""


class Scheduler(GuardedState):
    """Decides where the tasks of one service run, on behalf of the service's owner.

    Each method raises DecisionError after an error that wasn't foreseen.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        """Initialize without jobs or executors; ``recover`` restores what an earlier owner left."""
        self._settings = settings
        self._state = ServiceState()
        self._state.stop_seconds = settings.stop_timeout
        self._state.policies = create_policies(settings.policies, self._state, settings.far_factor)
        self._state.interference.groups = ImageGroups(settings.policies.arrangement.image_groups)
        self._report_handler = ReportHandler(self._state, int(settings.max_lease * 1000))
        self._placement = Placement(self._state)
        self._advice_requests = AdviceRequests(self._state)
        self._time_checks = TimeChecks(self._state)
        self._stragglers = Stragglers(self._state)
        self._paced_runs = PacedRuns(self._state)
        self._arrangement = Arrangement(self._state)
        self._upkeep = Upkeep(self._state, settings.service)
        self._evacuations = Evacuations(self._state)
        self._registration_age = RegistrationAge()
        self._list_reviewed_at = float("-inf")

    @property
    def jobs(self) -> JobTable:
        """The jobs that are not over, and the changes to be stored."""
        return self._state.jobs

    @property
    def executors(self) -> dict[ExecutorId, ExecutorState]:
        """The known executors."""
        return self._state.executors

    @property
    def waiting_tasks(self) -> int:
        """The number of tasks that may start and have no executor."""
        return len(self._state.waiting)

    @property
    def steps_without_advice(self) -> int:
        """The number of steps that can't start because the advisor hasn't answered."""
        return self._state.waiting.count_steps(WaitReason.ADVICE)

    @property
    def advice_backlog_seconds(self) -> float:
        """The time that the advisor takes to answer about all steps that want its advice."""
        return self._advice_requests.backlog_seconds

    @property
    def work_figures(self) -> WorkFigures | None:
        """The latest figures of the work ahead of new jobs; None if nothing is measured."""
        return self._state.policies.load.figures

    def executors_without_registration(self, now: float) -> int:
        """Return how many executors answer but get no runs, as their registration is missing."""
        return sum(executor.lacks_registration(now) for executor in self.executors.values())

    @guarded_change
    def take_commands(self) -> list[RunCommand]:
        """Return the pending commands and clear them."""
        commands, self._state.commands = self._state.commands, []
        return commands

    @guarded_change
    def take_new_executors(self) -> list[ExecutorState]:
        """Return the executors that were added since the last call. Each is to be polled."""
        executors, self._state.new_executors = self._state.new_executors, []
        return executors

    def take_notes(self) -> list[Note]:
        """Return the pending notes for the log and clear them."""
        notes, self._state.notes = self._state.notes, []
        return notes

    @guarded_change
    def configure(self, queues: QueueTable) -> None:
        """Use the queues of another configuration version."""
        self.jobs.configure(queues)
        self._recount_reprioritized()

    @guarded_change
    def evacuate(self, domains: frozenset[FailureDomainName]) -> None:
        """Send no new runs to executors in exactly these failure domains."""
        self._evacuations.replace(domains)

    @guarded_change
    def recover(
        self,
        jobs: Iterable[tuple[JobSpec, StoredProgress | None]],
        registrations: Iterable[ExecutorRegistration],
        last_known: Iterable[ExecutorRegistration] | None,
        now: float,
        now_ms: int,
    ) -> None:
        """Restore the state that an earlier owner stored.

        ``last_known`` are the executors that the earlier owner had stored, or None if the stored
        list can't be read. It has sent runs to no other ones. Registrations expire while the store
        is unavailable, and without this list the runs of such an executor would be started again
        elsewhere.

        The earlier owner may have started any of these tasks on any executor just before it was
        lost, without having stored that. Starting the task here while the other run continues would
        run it twice. So none of the tasks starts until each executor has answered under the new
        token, or until every lease that the earlier owner may have granted has expired.
        """
        for registration in last_known or ():
            executor = ExecutorState(registration, now, registered=False)
            executor.stored_address = registration.address
            self._evacuations.mark(executor)
            self._state.add_executor(executor)
        stored = tuple(self.executors)
        for registration in registrations:
            self.register(registration, now)
        may_hold_runs = tuple(self.executors) if last_known is None else stored
        given_up_at = now + self._settings.unreached_lease
        self._state.unreached = dict.fromkeys(may_hold_runs, given_up_at)
        for spec, progress in jobs:
            ready = self.jobs.accept(spec, progress, now_ms)
            job = self.jobs.get(spec.job)
            if job is not None:
                job.recovered = True
                self._report_accepted(job, now_ms)
            for task in ready:
                self._state.enqueue(task)
        self._state.known_executors_changed = True

    @guarded_change
    def learned(self) -> tuple[LearnedFit, ...]:
        """Return the learned effects between images, to be stored for a successor."""
        return self._state.interference.learned()

    @guarded_change
    def adopt(self, learned: Iterable[LearnedFit]) -> None:
        """Use the effects between images that an earlier owner has learned."""
        self._state.interference.adopt(learned)

    @guarded_change
    def learned_estimates(self) -> StoredEstimates | None:
        """Return what was learned of the failures of executors, to be stored for a successor."""
        return self._state.policies.estimates.to_stored()

    @guarded_change
    def adopt_estimates(self, stored: StoredEstimates, now: float, now_ms: int) -> None:
        """Use what an earlier owner has learned of the failures of executors."""
        self._state.policies.estimates.adopt(stored, now, now_ms)

    @guarded_change
    def adopt_terms(self, terms: Mapping[QueueName, QueueTerms]) -> None:
        """Use the terms of queues that an earlier owner has stored; called before ``recover``."""
        self.jobs.adopt_terms(terms)

    @guarded_change
    def take_changed_terms(self) -> dict[QueueName, QueueTerms] | None:
        """Return the terms of queues to store for a successor, or None if they haven't changed."""
        return self.jobs.stored_terms.take()

    @guarded_change
    def terms_not_stored(self) -> None:
        """Handle a failed write of the terms, or one whose outcome is unknown."""
        self.jobs.stored_terms.put_back()

    @guarded_change
    def shares(self) -> tuple[StoredShare, ...]:
        """Return the use of the shares, to be stored for a successor."""
        return self._state.policies.order.to_stored()

    @guarded_change
    def adopt_shares(self, shares: Iterable[StoredShare], now: float) -> None:
        """Continue with the use of the shares that an earlier owner stored."""
        self._state.policies.order.adopt(shares, now)

    @guarded_change
    def accept(self, spec: JobSpec, now_ms: int) -> None:
        """Add a job that was accepted while this owner owned the service."""
        is_known = self.jobs.get(spec.job) is not None
        ready = self.jobs.accept(spec, None, now_ms)
        self._recount_reprioritized()
        job = self.jobs.get(spec.job)
        if job is not None and not is_known:
            self._report_accepted(job, now_ms)
        for task in ready:
            self._state.enqueue(task)

    def _recount_reprioritized(self) -> None:
        """Count the runs of jobs whose priority has changed by their present priority."""
        jobs = self.jobs.take_reprioritized()
        for executor in self.executors.values() if jobs else ():
            for run in executor.runs.values():
                if run.task.job in jobs:
                    executor.recount(run)

    def _report_accepted(self, job: Job, now_ms: int) -> None:
        self._state.tell(lambda policy: policy.job_accepted(job, now_ms))

    @guarded_change
    def cancel(self, name: JobId, now: float, now_ms: int) -> None:
        """Cancel a job at a caller's request."""
        job = self.jobs.get(name)
        if job is None or job.state.is_final:
            return
        if job.departure is Departure.UNDER_WAY:
            # If another service owns it by now, what this owner stores would replace its progress.
            job.cancelled_in_departure = True
        else:
            self._state.finish(job, JobState.CANCELLED, now, now_ms)

    def rerouted_queues(self) -> dict[QueueName, ServiceName]:
        """Return the queues with jobs here that have another service now, and which."""
        return self.jobs.rerouted(self._settings.service)

    @guarded_change
    def take_departing(self, queues: Collection[QueueName], most: int) -> list[JobSpec]:
        """Return up to ``most`` jobs of these queues to be stored for their queue's service.

        They are the ones that haven't begun; no task of them starts here until ``stay`` is called.
        None is returned while an earlier owner may have started some.
        """
        return [] if self._state.unreached else self.jobs.departing(queues, most)

    @guarded_change
    def depart(self, name: JobId, until: float, now: float) -> None:
        """Drop a job that is stored for another service; it counts as pending until ``until``."""
        job = self.jobs.depart(name, until)
        if job is not None:
            self._state.tell(lambda policy: policy.job_over(job, now))
            self._state.tickets.forget_job(name)

    @guarded_change
    def stay(self, name: JobId, now: float, now_ms: int) -> None:
        """Keep a job that the store didn't accept for another service."""
        job = self.jobs.stay(name)
        if job is None:
            return
        if job.cancelled_in_departure:
            self._state.finish(job, JobState.CANCELLED, now, now_ms)
        for task in self.jobs.startable(job):
            self._state.enqueue(task)

    @guarded_change
    def register(self, registration: ExecutorRegistration, now: float) -> None:
        """Add or update an executor's registration."""
        state = self.executors.get(registration.executor)
        if state is None:
            executor = ExecutorState(registration, now)
            executor.cordoned = self._upkeep.is_cordoned(registration.executor)
            self._evacuations.mark(executor)
            self._state.add_executor(executor)
            self._state.known_executors_changed = True
            return
        incarnation = registration.incarnation
        if incarnation < state.incarnation or incarnation in state.past_incarnations:
            # Polls report a new incarnation before the store does, and a listing may be followed by
            # changes that are older than the listing. If such an old registration were taken for
            # the present state, the next report of the present incarnation would look like another
            # restart, and its runs would be taken for over.
            state.unconfirmed_registration = registration
            return
        if incarnation > state.incarnation:
            self._state.handle_restart(state, incarnation, now)
        self._state.describe(state, registration)
        self._evacuations.mark(state)

    @guarded_change
    def unregister(self, executor: ExecutorId, now: float) -> None:
        """Handle the removal of a registration: the executor left or can't reach the store."""
        state = self.executors.get(executor)
        if state is not None:
            state.registered = False
            state.note_unregistered(now)
            state.unconfirmed_registration = None
            self._state.drop_if_lease_expired(state, now)

    @guarded_change
    def take_changed_executors(self) -> tuple[ExecutorRegistration, ...] | None:
        """Return the executors to store for a successor, or None if they haven't changed.

        Executors that have no runs and may get none are left out, since a successor would wait in
        vain for those that have left. They get no run before they are stored again.
        """
        if not self._state.known_executors_changed:
            return None
        self._state.known_executors_changed = False
        listed = []
        for executor in self.executors.values():
            if self._state.may_hold_runs(executor):
                listed.append(executor.registration)
            else:
                executor.stored_address = None
        return tuple(listed)

    @guarded_change
    def executors_stored(self, registrations: Iterable[ExecutorRegistration]) -> None:
        """Mark these executors as stored; they may get runs."""
        for registration in registrations:
            executor = self.executors.get(registration.executor)
            if executor is not None:
                executor.stored_address = registration.address

    @guarded_change
    def executors_not_stored(self) -> None:
        """Handle a failed write of the executors, or one whose outcome is unknown."""
        self._state.known_executors_changed = True

    @property
    def executors_changed(self) -> bool:
        """Whether the executors to store for a successor have changed."""
        return self._state.known_executors_changed

    @guarded_change
    def start_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """Handle the answer to a start order, or its absence."""
        self._report_handler.start_answered(run, answer, now)

    @guarded_change
    def stop_answered(self, run: Run, answer: OrderAnswer, now: float) -> None:
        """Handle the answer to a stop order, or its absence."""
        self._report_handler.stop_answered(run, answer, now)

    @guarded_change
    def pace_answered(self, run: Run, answer: OrderAnswer) -> None:
        """Handle the answer to a pace order, or its absence."""
        self._report_handler.pace_answered(run, answer)

    @guarded_change
    def handle_incarnation(
        self, executor: ExecutorState, incarnation: int | None, sent_at: float, now: float
    ) -> bool:
        """Handle an incarnation reported by a call. Returns whether the executor has restarted."""
        return self._report_handler.handle_incarnation(executor, incarnation, sent_at, now)

    @guarded_change
    def poll_failed(self, executor: ExecutorState, now: float) -> None:
        """Handle a poll without an answer."""
        self._report_handler.poll_failed(executor, now)

    @guarded_change
    def poll_answered(
        self,
        executor: ExecutorState,
        sent_at: float,
        answer: PollAnswer,
        now: float,
        now_ms: int,
        in_time: bool = True,
    ) -> None:
        """Handle the list of an executor's runs and ends."""
        self._report_handler.poll_answered(executor, sent_at, answer, now, now_ms, in_time)

    @guarded_change
    def release_stored_ends(self) -> None:
        """Let executors forget the ends whose changes have been stored."""
        stored = self.jobs.changes.stored_to
        for executor in self.executors.values():
            while executor.unstored_ends and executor.unstored_ends[0][1] <= stored:
                executor.forgettable_end = executor.unstored_ends.popleft()[0]

    @property
    def wants_advice(self) -> bool:
        """Whether a step wants advice, so that ``next_question`` may return a question."""
        return self._advice_requests.waiting_steps > 0

    @guarded_change
    def next_question(self, now: float, now_ms: int) -> AskAdvice | None:
        """Return the question that the advisor should answer next, or None if there is none."""
        return self._advice_requests.next(now, now_ms)

    @guarded_change
    def question_sent(self, question: AskAdvice, due_at: float) -> None:
        """Record that a question was sent. It may be repeated after ``due_at``."""
        self._advice_requests.sent(question, due_at)

    @guarded_change
    def handle_advice(
        self,
        question: AskAdvice,
        tickets: dict[ExecutorId, str] | None,
        seconds: float,
        now: float,
        now_ms: int,
    ) -> None:
        """Handle the advisor's answer: tickets valid for ``seconds``, or None without an answer.

        An answer may come after the question was repeated.
        """
        job = self.jobs.get(question.step[0])
        if job is None or job.state.is_final:
            return
        if tickets is None:
            self._state.tickets.not_answered(question.step, now)
            return
        granted = {
            name: Ticket.received(text, seconds, executor.incarnation, now)
            for name, text in tickets.items()
            if (executor := self.executors.get(name)) is not None
        }
        self._advice_requests.learn(question, set(tickets))
        self._state.tickets.answered(question.step, question.executors, tickets, granted, now)
        self._state.waiting.retry_step(question.step, now_ms)

    @property
    def shed_level(self) -> Shed:
        """The work that is skipped at the current load."""
        return self._state.shed_level

    @guarded_change
    def update_shed_level(self, lag: float) -> Shed:
        """Set the level of load shedding for a lag of the event loop in seconds, and return it."""
        self._state.shed_level = shed_level(lag, self._state.shed_level)
        return self._state.shed_level

    @guarded_change
    def check_time(self, now: float, now_ms: int) -> None:
        """Handle expired leases, stops without an answer, stalled runs and jobs that become due."""
        for executor in tuple(self.executors.values()):
            self._time_checks.check(executor, now)
            self._stragglers.check(executor, now)
        self._state.give_up_unreached(now)
        self._review_stored_list(now)
        self._state.tell(lambda policy: policy.tick(now, now_ms))
        self._upkeep.evict(now)
        self._evacuations.move_tasks(now)
        self._state.move_reservations.expire(now)
        if self._state.shed_level < Shed.ARRANGEMENT:
            self._arrangement.check(now)
            self._paced_runs.check(now)
        for job in tuple(self.jobs.with_future_occurrences()):
            for task in self.jobs.open_due(job, now_ms):
                self._state.enqueue(task)
        self._placement.retry(now, now_ms)
        for finished_job in self.jobs.drop_finished():
            self._state.tickets.forget_job(finished_job)

    def _review_stored_list(self, now: float) -> None:
        """Have the list of executors stored again if others may hold runs than those on it."""
        removes = now - self._list_reviewed_at >= LIST_REVIEW_SECONDS
        if removes:
            self._list_reviewed_at = now
        for executor in self.executors.values():
            is_listed = executor.stored_address is not None
            if is_listed and not removes:
                continue
            if is_listed != self._state.may_hold_runs(executor):
                self._state.known_executors_changed = True
                return

    @guarded_change
    def recover_upkeep(self, marks: Iterable[tuple[MachineId, UpkeepMark]], now: float) -> None:
        """Restore which machines an earlier owner has ordered down; called after ``recover``."""
        self._upkeep.recover(marks, now)

    @guarded_change
    def next_upkeep(self, views: Iterable[WaveView], now: float) -> list[tuple[int, MachineId]]:
        """Return the wave and machine of each upkeep to order now; cordon those that come next."""
        return self._upkeep.next_orders(views, now)

    @guarded_change
    def record_ownership(self, at: float) -> None:
        """Record that this owner certainly owned the service at the given time."""
        proved_at = self._state.ownership_proved_at
        self._state.ownership_proved_at = at if proved_at == float("inf") else max(proved_at, at)

    def needs_ownership_proof(self, now: float) -> bool:
        """Whether the store should be asked if this owner still owns the service."""
        return (
            now - self._state.ownership_proved_at > MAX_PROOF_AGE_SECONDS
            or self._state.needs_ownership_proof(now)
        )

    @guarded_change
    def update_registration_age(self, age: RegistrationAge) -> None:
        """Set how old the registrations are that this scheduler knows."""
        self._registration_age = age

    @guarded_change
    def place(self, now: float, now_ms: int) -> bool:
        """Send waiting tasks to executors that can run them; the others wait for the next tick.

        Returns whether tasks are left that another round should place at once.
        """
        return self._may_start(now) and self._placement.place(now, now_ms)

    @guarded_change
    def prepare_start(self, run: Run, now: float) -> bool:
        """Prepare a start for sending when its turn has come.

        Returns False if it must not be sent any more.
        """
        if not self._may_start(now):
            return False
        return self._placement.prepare_start(run, now, self.start_validity_ms(now))

    def start_validity_ms(self, now: float) -> int:
        """Return for how many milliseconds a start is valid now; 0 if none must be sent."""
        return start_validity_ms(self._registration_age, self._settings.drain_notice, now)

    def _may_start(self, now: float) -> bool:
        """Whether this owner may start tasks.

        A successor waits a fixed time for executors that it can't reach. Everything that this owner
        has started there must be over by then, or the successor would start the same tasks a second
        time. Nor may it while it doesn't know which executors are leaving.
        """
        if not self.start_validity_ms(now):
            return False
        longest_wait = self._settings.unreached_lease - LAST_START_MARGIN_SECONDS
        return now - self._state.ownership_proved_at <= longest_wait
