"""The owner of one service at work: from recovery to the loss of its ownership."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from .._errors import StoreError
from .._ids import NodeName, Revision, ServiceName
from ..adapters import (
    RelayedExecutors,
    StoreListing,
)
from ..decisions.jobs import (
    AskAdvice,
    ExecutorState,
    QueueTable,
    Scheduler,
    SchedulerTerms,
    UpkeepWave,
    step_name,
)
from ..platform import (
    PlatformBounds,
)
from ._announcements import Announcements
from ._clocks import Clock
from ._decision_log import DecisionLog
from ._executor_polls import ORPHANED_LEASE_SECONDS, ExecutorPolls
from ._metrics import Metrics
from ._outside import Outside
from ._recovery_reads import read_left_behind, until_answered
from ._registration_intake import RegistrationIntake
from ._run_orders import RunOrders
from ._scheduling_keys import owner_key
from ._service_journal import OwnershipLostError, ServiceJournal
from ._service_lease import Term
from ._succession import Succession
from ._upkeep_duty import UpkeepDuty
from ._work_intake import WorkIntake

LEASE_SECONDS = 5.0
"""How long executors go on by themselves. It has to outlast a change of owner, some 2 s, and a store
that is away for 4 or 5 s; tasks on an executor that is cut off wait for its end."""
LEASE_SHARE = 0.95
"""Of the longest lease that the platform grants, where that is shorter."""
UNHEARD_MARGIN_SECONDS = 0.5
"""For the clocks of executors, which may be 2% slow."""
HAND_OVER_SECONDS = 0.6
"""To store what is left before a planned hand-over; some writes of 5 ms each."""
CLEANUP_SECONDS = 10.0
RETENTION_MARGIN_SECONDS = 180.0
"""Jobs that are over stay in the store for as long as their state must be readable and this on top, for
clocks that differ and requests that come again late; then they go, a few every ten seconds, or a new
owner would read more and more of them."""
TICK_SECONDS = 0.1
"""Lapses, retries and due times are checked this often: a tenth of what a caller notices."""
PROOF_RETRY_SECONDS = 0.5
"""Between questions who owns the service, while the store doesn't answer; calls are paid for."""
ROUND_REST = 3.0
"""A round of placing is followed by a rest so many times as long, so that rounds take a quarter of the loop's
time at most. What happens meanwhile is placed together with the next one."""
LONGEST_ROUND_REST_SECONDS = 0.03


class ServiceOwner:
    """One term of ownership."""

    def __init__(
        self,
        term: Term,
        node: NodeName,
        outside: Outside,
        clock: Clock,
        metrics: Metrics,
        bounds: PlatformBounds,
        queues: Callable[[], QueueTable],
        waves: Callable[[], tuple[UpkeepWave, ...]],
        announcements: Announcements,
    ) -> None:
        """``queues`` tells the queues in force, ``waves`` the upkeep that the operator asks for."""
        metrics.count("fireflyfork_ownerships_total", service=term.service)
        self._term = term
        self._service: ServiceName = term.service
        self._store = outside.store
        self._calls = RelayedExecutors(outside.executors, outside.loop_time, outside.relay_traffic)
        self._advisor = outside.advisor
        self._profile = outside.loop_profile
        self._loop_time = outside.loop_time
        self._metrics = metrics
        self._clock = clock
        self._queues = queues
        self._retention = bounds.status_retention + RETENTION_MARGIN_SECONDS
        lease = min(LEASE_SECONDS, bounds.longest_lease * LEASE_SHARE)
        unheard = ORPHANED_LEASE_SECONDS + lease + UNHEARD_MARGIN_SECONDS
        self._scheduler = Scheduler(SchedulerTerms(self._service, unheard, lease))
        self._journal = ServiceJournal(self._store, term, self._scheduler, self._confirmed)
        self._upkeep = UpkeepDuty(
            self._store, outside.machines, self._scheduler, term, node, clock, waves
        )
        self._polls = ExecutorPolls(
            self._scheduler,
            self._calls,
            self._journal,
            term,
            clock,
            lease,
            lambda: self._known_owner_at,
            self.kick,
            outside.loop_time,
        )
        self._work_intake = WorkIntake(
            self._store, self._scheduler, term, clock, self._note_ownership, self.kick
        )
        self._registrations = RegistrationIntake(
            self._store, self._scheduler, self._service, clock, self._polls.attend, self.kick
        )
        self._succession = Succession(
            self._service, node, announcements, self._calls, lambda: len(self._scheduler.executors)
        )
        self._ready = False
        self._log = DecisionLog(clock, self._service, metrics)
        # Reading what is left shows nothing: over a thin link it takes seconds, and may be old when it ends.
        self._known_owner_at = clock.now()
        self._proving = False
        self._work = trio.Event()
        self._resigning = False
        self._polled: set[ExecutorState] = set()
        self._orders = RunOrders(
            self._scheduler,
            self._calls,
            self._polls,
            term.token,
            clock,
            self.kick,
            outside.loop_time,
        )

    @property
    def ready(self) -> bool:
        """Whether it has read what it needs and decides."""
        return self._ready

    @property
    def scheduler(self) -> Scheduler:
        """For status and metrics."""
        return self._scheduler

    def kick(self) -> None:
        """Something changed: place tasks and send orders."""
        self._work.set()

    def configure(self, queues: QueueTable) -> None:
        """Another version of the configuration is in force."""
        self._scheduler.configure(queues)
        self.kick()

    def _note_ownership(self) -> None:
        """The store has shown that this is still the owner.

        No other answer will do. While the one that tells of a successor doesn't come, others may, and an
        owner that went on for these would renew leases for longer than its successor waits.
        """
        self._known_owner_at = self._clock.now()

    def _confirmed(self, executors: bool) -> None:
        """The journal was written, which only the owner can."""
        self._note_ownership()
        if executors:
            self.kick()

    async def run(self) -> None:
        """Work until the ownership is lost or ``resign`` was called."""
        try:
            async with trio.open_nursery() as nursery:
                with trio.CancelScope() as recovery:
                    nursery.start_soon(
                        self._succession.watch_recovery, lambda: self._ready, recovery
                    )
                    asked_at = self._clock.now()
                    work, servers_revision = await self._recover()
                    self._ready = True
                if not self._ready:
                    return
                # The watch goes on after this listing, so it never tells of a successor that is in it.
                self._work_intake.require_ownership(work)
                # No other owner had come when the store was asked for it.
                self._scheduler.note_ownership(asked_at)
                nursery.start_soon(self._journal.run)
                nursery.start_soon(self._work_intake.watch().run, work.as_of)
                nursery.start_soon(self._registrations.watch().run, servers_revision)
                nursery.start_soon(self._tick, nursery)
                nursery.start_soon(self._remove_old_jobs)
                nursery.start_soon(self._upkeep.run)
                nursery.start_soon(self._calls.run)
                nursery.start_soon(
                    self._succession.follow_others, lambda: self.resign(HAND_OVER_SECONDS)
                )
                await self._dispatch(nursery)
                nursery.cancel_scope.cancel()
        except* OwnershipLostError as errors:
            logger.info("ownership lost", service=self._service, reason=_first_reason(errors))

    async def resign(self, seconds: float) -> None:
        """Start nothing more, store what is known, and end ``run``.

        Polls end first. On a busy service each brings ends that have to be stored; waiting until none is
        left would take all of the time allowed, while no task is placed. What is not taken in stays
        on the executors' lists for the next owner.
        """
        self._resigning = True
        self._polls.end()
        with trio.move_on_after(seconds):
            try:
                while len(self._scheduler.jobs.changes):
                    self._journal.notify()
                    await self._journal.wait_stored(seconds)
            except StoreError as error:
                logger.info("handed over with changes left", error=str(error))
        self.kick()

    async def _recover(self) -> tuple[StoreListing, Revision]:
        begun = self._clock.now()
        left = await read_left_behind(self._store, self._journal)
        jobs = self._work_intake.stored_jobs(left.work.items, left.progress.items)
        now, now_ms = self._clock.now(), self._clock.unix_ms()
        self._scheduler.configure(self._queues())
        self._scheduler.adopt(left.learned)
        registrations = self._registrations.stored(left.registrations.items)
        self._scheduler.recover(jobs, registrations, left.last_known, now, now_ms)
        await until_answered("upkeep", self._upkeep.recover)
        self._work_intake.take_cancellations(left.work.items)
        logger.info(
            "took ownership",
            service=self._service,
            term=self._term.number,
            token=self._term.token,
            jobs=len(self._scheduler.jobs),
            executors=len(registrations),
            seconds=round(self._clock.now() - begun, 3),
        )
        self.kick()
        return left.work, left.registrations.as_of

    async def _tick(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self._shed_load()
            with self._profile.section("checks of time"):
                self._scheduler.check_time(self._clock.now(), self._clock.unix_ms())
            if self._scheduler.wants_proof(self._clock.now()) and not self._proving:
                nursery.start_soon(self._prove_ownership)
            self.kick()

    def _shed_load(self) -> None:
        """Leave undone what can wait while the event loop is late."""
        lag, before = self._loop_time.lag, self._scheduler.shed
        shed = self._scheduler.note_lag(lag)
        if shed is before:
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
        """Ask the store who owns the service: something rests on that it is still this owner."""
        self._proving = True
        asked_at = self._clock.now()
        try:
            item = await self._store.read(owner_key(self._service))
        except StoreError as error:
            logger.debug("ownership not proved", service=self._service, error=str(error))
            await trio.sleep(PROOF_RETRY_SECONDS)
        else:
            if item is None or item.revision != self._term.owner_revision:
                raise OwnershipLostError("the owner's key has changed")
            self._scheduler.note_ownership(asked_at)
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
            await self._work.wait()
            self._work = trio.Event()
            begun = self._clock.now()
            for executor in self._scheduler.take_new_executors():
                if executor not in self._polled:
                    self._polled.add(executor)
                    nursery.start_soon(self._keep_polling, executor)
            if not self._resigning:
                with self._profile.section("placing"):
                    self._scheduler.place(begun, self._clock.unix_ms())
            for command in self._scheduler.take_commands():
                if isinstance(command, AskAdvice):
                    nursery.start_soon(self._ask_advice, command)
                else:
                    nursery.start_soon(self._orders.carry_out, command)
            with self._profile.section("log of decisions"):
                self._log.write(self._scheduler.take_notes())
            self._journal.notify()
            spent = self._clock.now() - begun
            await trio.sleep(min(ROUND_REST * spent, LONGEST_ROUND_REST_SECONDS))

    async def _keep_polling(self, executor: ExecutorState) -> None:
        try:
            await self._polls.run(executor)
        finally:
            self._polled.discard(executor)
            self._orders.forget(executor)

    async def _ask_advice(self, question: AskAdvice) -> None:
        advice = await self._advisor.advise(step_name(*question.step), question.executors)
        now, now_ms = self._clock.now(), self._clock.unix_ms()
        if advice is None:
            self._scheduler.advised(question, None, 0.0, now, now_ms)
        else:
            seconds = advice.valid_seconds
            self._scheduler.advised(question, advice.tickets, seconds, now, now_ms)
        self.kick()


def _first_reason(errors: ExceptionGroup[OwnershipLostError]) -> str:
    """Why the ownership was lost; each nursery that it passed through has wrapped it in a group."""
    first = errors.exceptions[0]
    return _first_reason(first) if isinstance(first, ExceptionGroup) else str(first)
