"""Runs the owner of one service, from recovery to the loss of its ownership."""

from __future__ import annotations

from functools import partial

import trio
from loguru import logger

from ..._errors import DecisionError, StoreError
from ..._ids import NodeName, Revision, ServiceName
from ...adapters import (
    RelayedExecutors,
    StoreListing,
)
from ...decisions.jobs import (
    NO_POLICIES,
    ExecutorState,
    PolicySettings,
    QueueTable,
    Scheduler,
    SchedulerSettings,
)
from ...platform import (
    PlatformBounds,
)
from .._announcements import Announcements
from .._clocks import Clock
from .._external_clients import ExternalClients
from .._metrics import Metrics
from .._scheduling_keys import owner_key
from ..containment._contained_calls import ContainedExecutorCalls
from ..containment._unexpected_errors import UnexpectedErrors, single_errors
from ._advice_calls import AdviceCalls
from ._decision_log import DecisionLog
from ._executor_polls import MAX_UNCONFIRMED_SECONDS, ExecutorPolls
from ._job_transfers import JobTransfers
from ._operator_requests import OperatorRequests
from ._owner_parts import Part, first_then
from ._recovery_reads import read_recovery_state, retry_until_answered
from ._registration_intake import RegistrationIntake
from ._release_through_peer import ReleaseThroughPeer
from ._run_orders import RunOrders
from ._service_journal import OwnershipLostError, ServiceJournal
from ._service_lease import Term
from ._succession import Succession
from ._upkeep_duty import UpkeepDuty
from ._work_intake import WorkIntake

LEASE_SECONDS = 5.0
"""How long executors continue runs after the last renewal by an owner.

The lease has to outlast a change of owner, about 2 s, and an outage of the store of 4 or 5 s. Tasks
on an executor that is cut off can't run elsewhere before the lease ends."""
MAX_LEASE_SHARE = 0.95
"""Maximum lease of executors, as a share of the longest lease that the platform allows."""
CLOCK_MARGIN_SECONDS = 0.5
"""Margin for the clocks of executors, which may be 2% slow."""
HAND_OVER_SECONDS = 0.6
"""Time to store pending changes before a planned hand-over: several writes of 5 ms each."""
CLEANUP_SECONDS = 10.0
RETENTION_MARGIN_SECONDS = 180.0
"""Extra time for which jobs that are over stay in the store after their state must be readable.

It allows for clock differences and late repeats of requests. The jobs are then removed, a few every
ten seconds; otherwise each new owner would read more of them."""
TICK_SECONDS = 0.1
"""Interval of the checks for lapses, retries and due times: a tenth of the delay that a caller
notices."""
PROOF_RETRY_SECONDS = 0.5
"""Interval of attempts to read the owner key while the store doesn't answer; calls are paid for."""
ROUND_PAUSE_FACTOR = 3.0
"""Pause after a round of placing, as a multiple of the duration of the round.

Rounds thus take at most a quarter of the loop's time. Changes during the pause are handled
together in the next round."""
MAX_ROUND_PAUSE_SECONDS = 0.03
_ENDS_TERM = (OwnershipLostError, DecisionError)
"""Errors after which no part of the owner may go on."""


class ServiceOwner:
    """Runs one term of ownership."""

    def __init__(
        self,
        term: Term,
        node: NodeName,
        clients: ExternalClients,
        clock: Clock,
        metrics: Metrics,
        bounds: PlatformBounds,
        requests: OperatorRequests,
        announcements: Announcements,
        policies: PolicySettings = NO_POLICIES,
    ) -> None:
        """Create and connect the parts of the owner; ``run`` starts them."""
        metrics.count("fireflyfork_ownerships_total", service=term.service)
        self._term = term
        self._service: ServiceName = term.service
        self._store = clients.store
        self._errors = UnexpectedErrors(metrics)
        self._relays = RelayedExecutors(clients.executors, clients.loop_time, clients.relay_traffic)
        self._calls = ContainedExecutorCalls(self._relays, self._errors)
        self._profile = clients.loop_profile
        self._loop_time = clients.loop_time
        self._metrics = metrics
        self._clock = clock
        self._requests = requests
        self._retention = bounds.status_retention + RETENTION_MARGIN_SECONDS
        lease = min(LEASE_SECONDS, bounds.max_lease * MAX_LEASE_SHARE)
        unreached_lease = MAX_UNCONFIRMED_SECONDS + lease + CLOCK_MARGIN_SECONDS
        self._scheduler = Scheduler(
            SchedulerSettings(
                self._service,
                unreached_lease,
                lease,
                policies,
                stop_timeout=bounds.stop_timeout,
                drain_notice=bounds.drain_notice,
                far_factor=bounds.far_factor,
            )
        )
        self._journal = ServiceJournal(
            self._store,
            term,
            self._scheduler,
            self._note_journal_written,
            clock.now,
            lambda sent_at, revision: self._registrations.note_write(sent_at, revision),
        )
        self._upkeep = UpkeepDuty(
            self._store, clients.machines, self._scheduler, term, node, clock, requests.waves
        )
        self._polls = ExecutorPolls(
            self._scheduler,
            self._calls,
            self._journal,
            term,
            clock,
            lease,
            lambda: self._confirmed_owner_at,
            self.request_dispatch,
            clients.loop_time,
        )
        self._work_intake = WorkIntake(
            self._store,
            self._scheduler,
            term,
            clock,
            self._note_ownership,
            self.request_dispatch,
            requests.require_owner,
        )
        self._transfers = JobTransfers(
            self._store,
            self._scheduler,
            term,
            clock,
            bounds.configuration_delay,
            self.request_dispatch,
        )
        self._registrations = RegistrationIntake(
            self._store,
            self._scheduler,
            self._service,
            clock,
            self._polls.wake_unless_idle,
            self.request_dispatch,
            metrics,
        )
        self._succession = Succession(
            self._service, node, announcements, self._relays, lambda: len(self._scheduler.executors)
        )
        self._release = ReleaseThroughPeer(
            term,
            announcements.own.failure_domain,
            self._relays,
            clock,
            metrics,
            lambda: self._confirmed_owner_at,
        )
        self._may_release = policies.ownership.hand_over_without_store
        self._ready = False
        self._decision_log = DecisionLog(clock, self._service, metrics)
        # Recovery reads don't confirm the ownership: over a thin link they take seconds, and their
        # answers may be old when they arrive.
        self._confirmed_owner_at = clock.now()
        self._proving = False
        self._dispatch_requested = trio.Event()
        self._resigning = False
        self._new_queues: QueueTable | None = None
        self._polled_executors: set[ExecutorState] = set()
        self._advice = AdviceCalls(
            self._scheduler,
            clients.advisor,
            clients.advisor_turns,
            self._service,
            clock,
            metrics,
            self.request_dispatch,
        )
        self._orders = RunOrders(
            self._scheduler,
            self._calls,
            self._polls,
            term.token,
            clock,
            self.request_dispatch,
            clients.loop_time,
        )

    @property
    def ready(self) -> bool:
        """Whether recovery is complete and the owner places tasks."""
        return self._ready

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler of this owner, for status and metrics."""
        return self._scheduler

    def note_renewal(self, sent_at: float, renewed: bool) -> None:
        """Record a renewal of the lease of the owner key; see ``ServiceLease.keep``."""
        self._release.note_renewal(sent_at, renewed)

    def request_dispatch(self) -> None:
        """Wake the dispatch loop after a change, to place tasks and send orders."""
        self._dispatch_requested.set()

    def configure(self, queues: QueueTable) -> None:
        """Apply a newer version of the configuration, in the next round of placing.

        An error is then one of this owner, and not of the caller, which serves the whole instance.
        """
        self._new_queues = queues
        self.request_dispatch()

    def _note_ownership(self) -> None:
        """Record that the store has just shown this instance to be the owner.

        Only answers that would also report a successor may call this. Other answers may keep
        arriving while the one that reports a successor is delayed, and the owner would renew leases
        for longer than its successor waits.
        """
        self._confirmed_owner_at = self._clock.now()

    def _note_journal_written(self, executors: bool) -> None:
        """Record a write of the journal, which only the owner can make."""
        self._note_ownership()
        if executors:
            self.request_dispatch()

    async def run(self) -> None:
        """Recover and work until ownership or recovery is given up, or ``resign`` is called."""
        try:
            async with trio.open_nursery() as nursery:
                with trio.CancelScope() as recovery:
                    nursery.start_soon(
                        self._succession.watch_recovery, lambda: self._ready, recovery
                    )
                    sent_at = self._clock.now()
                    work_listing, registrations_revision = await self._recover()
                    self._ready = True
                if not self._ready:
                    return
                # The watch continues after this listing, so it never reports a successor that the
                # listing includes.
                self._work_intake.require_ownership(work_listing)
                # The listing shows that there was no other owner when it was requested.
                self._scheduler.record_ownership(sent_at)
                nursery.start_soon(self._tick, nursery)
                self._start(
                    nursery, self._parts(work_listing.as_of, sent_at, registrations_revision)
                )
                await self._succession.connect_relays()
                self._start(nursery, self._succession_parts())
                await self._dispatch(nursery)
                nursery.cancel_scope.cancel()
        except* OwnershipLostError as errors:
            logger.info("ownership lost", service=self._service, reason=_first_reason(errors))

    def _start(self, nursery: trio.Nursery, parts: tuple[Part, ...]) -> None:
        for part in parts:
            nursery.start_soon(self._errors.keep_running, part.name, part.run, _ENDS_TERM)

    def _parts(
        self, work_revision: Revision, listed_at: float, registrations_revision: Revision
    ) -> tuple[Part, ...]:
        """Return the parts that run during the whole term.

        The first watch of each prefix continues from a listing that recovery has read.
        """
        first_jobs = partial(self._work_intake.watch().run, work_revision)
        follow = partial(self._registrations.follow, listed_at, registrations_revision)
        return (
            Part("journal", self._journal.run),
            Part("jobs", first_then(first_jobs, lambda: self._work_intake.watch().run())),
            Part("registrations", first_then(follow, self._registrations.follow_anew)),
            Part("old jobs", self._remove_old_jobs),
            Part("upkeep", self._upkeep.run),
            Part("job transfers", self._transfers.run),
            Part("relays", self._relays.run),
            Part("advice", self._advice.run),
        )

    def _succession_parts(self) -> tuple[Part, ...]:
        """Return the parts that may give the service up."""
        resign = partial(self.resign, HAND_OVER_SECONDS)
        watch_starts = partial(
            self._succession.watch_starts, lambda: self._registrations.held_seconds, resign
        )
        parts = (
            Part("other instances", partial(self._succession.follow_others, resign)),
            Part("held starts", watch_starts),
        )
        if not self._may_release:
            return parts
        return (*parts, Part("release", partial(self._release.run, lambda: self.resign(0.0))))

    async def resign(self, seconds: float) -> None:
        """Stop starting tasks, store pending changes for at most ``seconds``, and end ``run``.

        Polls stop first. On a busy service each poll returns ends that have to be stored, and
        waiting until none is left would use all the time allowed, while no task is placed. Ends
        that aren't processed stay on the executors' lists for the next owner.
        """
        self._resigning = True
        self._polls.stop()
        with trio.move_on_after(seconds):
            try:
                while len(self._scheduler.jobs.changes):
                    self._journal.notify()
                    await self._journal.wait_stored(seconds)
            except StoreError as error:
                logger.info("handed over with unstored changes", error=str(error))
        self.request_dispatch()

    async def _recover(self) -> tuple[StoreListing, Revision]:
        started_at = self._clock.now()
        state = await read_recovery_state(self._store, self._journal)
        jobs = self._work_intake.stored_jobs(state.work.items, state.progress.items)
        now, now_ms = self._clock.now(), self._clock.unix_ms()
        self._scheduler.configure(self._requests.queues())
        self._scheduler.evacuate(self._requests.evacuated_domains())
        self._scheduler.adopt_terms(state.terms)
        self._scheduler.adopt(state.learned)
        if state.estimates is not None:
            self._scheduler.adopt_estimates(state.estimates, now, now_ms)
        self._scheduler.adopt_shares(state.shares, now)
        registrations = self._registrations.service_registrations(state.registrations.items)
        self._scheduler.recover(jobs, registrations, state.last_known, now, now_ms)
        await retry_until_answered("upkeep", self._upkeep.recover)
        self._work_intake.take_cancellations(state.work.items)
        logger.info(
            "took ownership",
            service=self._service,
            term=self._term.number,
            token=self._term.token,
            jobs=len(self._scheduler.jobs),
            executors=len(registrations),
            seconds=round(self._clock.now() - started_at, 3),
        )
        self.request_dispatch()
        return state.work, state.registrations.as_of

    async def _tick(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self._shed_load()
            self._registrations.update_age()
            self._scheduler.evacuate(self._requests.evacuated_domains())
            self._transfers.check()
            with self._profile.section("checks of time"):
                self._scheduler.check_time(self._clock.now(), self._clock.unix_ms())
            if self._scheduler.needs_ownership_proof(self._clock.now()) and not self._proving:
                nursery.start_soon(self._prove_ownership)
            self.request_dispatch()

    def _shed_load(self) -> None:
        """Skip or reduce deferrable work while the event loop is late."""
        lag, previous = self._loop_time.lag, self._scheduler.shed_level
        shed = self._scheduler.update_shed_level(lag)
        if shed is previous:
            return
        self._metrics.count(
            "fireflyfork_load_shed_total", service=self._service, level=shed.name.lower()
        )
        logger.info(
            "load shed",
            service=self._service,
            left_out=shed.name.lower(),
            lag_ms=round(1000 * lag),
        )

    async def _prove_ownership(self) -> None:
        """Read the owner key, because a decision depends on the ownership being confirmed."""
        self._proving = True
        sent_at = self._clock.now()
        try:
            item = await self._store.read(owner_key(self._service))
        except StoreError as error:
            logger.debug("ownership not confirmed", service=self._service, error=str(error))
            await trio.sleep(PROOF_RETRY_SECONDS)
        else:
            if item is None or item.revision != self._term.owner_revision:
                raise OwnershipLostError("the owner key was replaced or removed")
            self._scheduler.record_ownership(sent_at)
        self._proving = False

    async def _remove_old_jobs(self) -> None:
        while True:
            await trio.sleep(CLEANUP_SECONDS)
            self._scheduler.jobs.forget_removed()
            before = self._clock.unix_ms() - int(self._retention * 1000)
            while await self._journal.remove_expired(before):
                pass

    async def _dispatch(self, nursery: trio.Nursery) -> None:
        while not self._resigning:
            await self._dispatch_requested.wait()
            self._dispatch_requested = trio.Event()
            started_at = self._clock.now()
            if self._new_queues is not None:
                queues, self._new_queues = self._new_queues, None
                self._scheduler.configure(queues)
            for executor in self._scheduler.take_new_executors():
                if executor not in self._polled_executors:
                    self._polled_executors.add(executor)
                    nursery.start_soon(self._keep_polling, executor)
            if not self._resigning:
                self._registrations.update_age()
                with self._profile.section("placing"):
                    if self._scheduler.place(started_at, self._clock.unix_ms()):
                        self.request_dispatch()
            for command in self._scheduler.take_commands():
                nursery.start_soon(self._orders.carry_out, command)
            self._advice.wake()
            with self._profile.section("log of decisions"):
                self._log_decisions()
            self._journal.notify()
            round_seconds = self._clock.now() - started_at
            await trio.sleep(min(ROUND_PAUSE_FACTOR * round_seconds, MAX_ROUND_PAUSE_SECONDS))

    def _log_decisions(self) -> None:
        try:
            self._decision_log.write(self._scheduler.take_notes())
        except Exception as error:
            self._errors.report("log of decisions", error)

    async def _keep_polling(self, executor: ExecutorState) -> None:
        try:
            await self._polls.run(executor)
        finally:
            self._polled_executors.discard(executor)
            self._orders.forget(executor)


def _first_reason(errors: ExceptionGroup[OwnershipLostError]) -> str:
    """Return why the ownership was lost. Each nursery on the way has wrapped the error in a group."""
    return str(next(single_errors(errors)))
