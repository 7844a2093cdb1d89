"""One loop for each executor: poll, renew the lease, poll again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio
from loguru import logger

from ..adapters import ExecutorCalls, ExecutorPlace, LoopTime
from ..decisions.jobs import (
    CallOutcome,
    ExecutorState,
    PollAnswer,
    PollRequest,
    Scheduler,
    Shed,
)
from ._clocks import Clock
from ._service_journal import OwnershipLostError, ServiceJournal
from ._service_lease import Term
from ._turns import Turns

POLL_SECONDS = 1.0
"""How long a poll waits for an end. Each is paid for; the lease, five times longer, bears the loss of
several."""
DISTURBED_POLL_SECONDS = 0.5
"""Where tasks without a reservation run beside serving ones: tails are measured over half a second,
and one over its target has to be noticed within the next."""
SHED_POLL_SECONDS = 2.0
"""How long each poll waits while the owner is late. Polls come back as fast as an owner can take them in, so
one that has too many executors for its processor would fall behind further and further, until it renews no
lease in time and all that runs anywhere lapses at once. Two of these fit into a lease."""
STORE_WAIT_SECONDS = 0.15
"""Ends are listed again until they are stored, so a poll before that would return at once. When the
store is away, polls go on at this pace."""
GATHER_SECONDS = 0.05
"""Tasks of a step end close together. Polls are paid for, and one that comes this much later tells of
several ends; a job loses a tenth of the least time that its objective leaves it."""
FIRST_RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 0.8
MOST_DOUBLINGS = 10
"""Of the first retry's delay. Unbounded, the power would outgrow a float in a long silence."""
LATE_SECONDS = 0.6
"""Of loop time, beyond the wait of the poll: an answer that is under way for longer is late. It takes 1 ms,
and some 45 ms from another region."""
PATIENCE_SECONDS = 5.0
"""A late answer is waited for as long as a lease lasts: it may list ends, and what is taken for over for want
of a word that is on its way would run twice."""
PROBE_PATIENCE_SECONDS = 1.5
"""A probe that is not answered soon makes room for those of other executors; the late poll goes on."""
PROBES_AT_ONCE = 24
"""For all executors together. Late answers come from a full link or a busy executor, and more calls than that
would keep it so."""
FIRST_POLLS_AT_ONCE = 64
"""A new owner has no connection to any executor. It has to renew its own lease in the store meanwhile."""
ORPHANED_LEASE_SECONDS = 2.5
"""An owner that the store hasn't shown to be the owner for so long stops renewing leases. If it went on,
its successor could never tell when a task on an executor that only the old owner reaches is over."""


@dataclass(slots=True, eq=False)
class _Poll:
    """One poll that is out."""

    sent_at: float
    in_time: bool = True
    """False once its answer is late."""
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    over: bool = False
    """Whether it was answered, given up, or made needless by a probe."""

    def note_late(self) -> None:
        """Its answer hasn't come when it should have."""
        self.in_time = False


class ExecutorPolls:
    """The polls at all executors of a service."""

    def __init__(
        self,
        scheduler: Scheduler,
        calls: ExecutorCalls,
        journal: ServiceJournal,
        term: Term,
        clock: Clock,
        lease_seconds: float,
        known_owner_at: Callable[[], float],
        kick: Callable[[], None],
        loop_time: LoopTime,
    ) -> None:
        """``known_owner_at`` tells when the store last showed that this is the owner.

        ``kick`` has tasks placed; ``loop_time`` tells late answers from a late loop.
        """
        self._scheduler = scheduler
        self._calls = calls
        self._journal = journal
        self._term = term
        self._clock = clock
        self._lease_ms = int(lease_seconds * 1000)
        self._known_owner_at = known_owner_at
        self._kick = kick
        self._loop_time = loop_time
        self._probes = trio.CapacityLimiter(PROBES_AT_ONCE)
        self._first_polls = Turns(FIRST_POLLS_AT_ONCE, loop_time)
        self._probed: set[ExecutorState] = set()
        self._ended = False
        self._wake: dict[ExecutorState, trio.Event] = {}

    def end(self) -> None:
        """Take in nothing more: what executors list from now on is the next owner's to act upon."""
        self._ended = True

    def wake(self, executor: ExecutorState) -> None:
        """Something was sent to an executor that may be idle."""
        event = self._wake.get(executor)
        if event is not None:
            event.set()

    def attend(self, executor: ExecutorState) -> None:
        """Its registration changed or went, or it began anew: poll it if that tells something.

        Nothing else would wake its loop. The next life would never be asked what it runs, and get no task;
        one that left would stay known, and successors wait for it.
        """
        if not self._idle(executor):
            # Registrations are written every 1.5 s, and each poll is paid for.
            self.wake(executor)

    async def run(self, executor: ExecutorState) -> None:
        """Poll until the executor is gone for good. Raises OwnershipLostError."""
        try:
            async with trio.open_nursery() as nursery:
                async with self._first_polls.turn():
                    if self._goes_on(executor):
                        await self._poll(executor, nursery)
                while self._goes_on(executor):
                    await self._pause(executor)
                    await self._poll(executor, nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._calls.forget(executor.executor)

    def _goes_on(self, executor: ExecutorState) -> bool:
        return not self._ended and self._scheduler.executors.get(executor.executor) is executor

    async def _poll(self, executor: ExecutorState, nursery: trio.Nursery) -> None:
        """Poll once; a late answer is waited for, with a probe beside it.

        On a full link answers take seconds. Broken off, each would take its ends with it, and the
        executor would be taken for silent for as long as the link is full.
        """
        poll = _Poll(self._clock.now())
        wait = self._wait(executor)
        alarm = self._loop_time.after(
            wait + LATE_SECONDS, partial(self._note_late, executor, poll, nursery)
        )
        try:
            with poll.scope:
                await self._ask(executor, poll, wait, PATIENCE_SECONDS)
        finally:
            poll.over = True
            alarm.cancel()

    def _note_late(self, executor: ExecutorState, poll: _Poll, nursery: trio.Nursery) -> None:
        poll.note_late()
        if executor.heard_at < poll.sent_at:
            self._note_silence(executor, CallOutcome.UNKNOWN, "no answer in its usual time")
        nursery.start_soon(self._probe, executor, poll)

    async def _probe(self, executor: ExecutorState, late: _Poll) -> None:
        """Ask over new connections until either the late poll or one of these is answered.

        Where only the connection of the late poll has gone silent, a new one is answered at once.
        """
        if executor in self._probed:
            return
        self._probed.add(executor)
        try:
            delay = FIRST_RETRY_SECONDS
            while not late.over and self._goes_on(executor):
                async with self._probes:
                    answered = late.over or await self._probe_once(executor)
                if answered:
                    late.scope.cancel()
                    return
                await trio.sleep(delay)
                delay = min(2 * delay, LONGEST_RETRY_SECONDS)
        finally:
            self._probed.discard(executor)

    async def _probe_once(self, executor: ExecutorState) -> bool:
        probe = _Poll(self._clock.now())
        alarm = self._loop_time.after(LATE_SECONDS, probe.note_late)
        try:
            return await self._ask(executor, probe, 0.0, PROBE_PATIENCE_SECONDS, fresh=True)
        finally:
            alarm.cancel()

    async def _ask(
        self,
        executor: ExecutorState,
        poll: _Poll,
        wait: float,
        patience: float,
        fresh: bool = False,
    ) -> bool:
        """Whether there was an answer, which has been taken in."""
        forget = executor.forgettable_end
        known = executor.registration
        answer = await self._calls.poll(
            ExecutorPlace(known.executor, known.address, known.incarnation, known.failure_domain),
            self._term.token,
            PollRequest(forget, self._lease(executor, poll.sent_at), wait, patience),
            fresh,
        )
        if self._ended:
            return True
        now = self._clock.now()
        if answer.outcome is CallOutcome.FENCED:
            raise OwnershipLostError(f"{executor.executor} has seen a higher token")
        if self._met_next_life(executor, poll.sent_at, answer, now):
            return True
        if answer.outcome is not CallOutcome.ACCEPTED:
            self._note_silence(executor, answer.outcome, answer.why)
            return False
        if executor.failed_polls:
            seconds = round(now - poll.sent_at, 3)
            logger.info("executor answers again", executor=executor.executor, seconds=seconds)
        executor.told_end = max(executor.told_end, forget)
        now_ms = self._clock.unix_ms()
        self._scheduler.poll_answered(executor, poll.sent_at, answer, now, now_ms, poll.in_time)
        if answer.ended:
            self._journal.notify()
        self._kick()
        return True

    def _note_silence(self, executor: ExecutorState, outcome: CallOutcome, why: str) -> None:
        if executor.failed_polls == 0:
            logger.info(
                "executor doesn't answer",
                executor=executor.executor,
                outcome=outcome.value,
                why=why,
                runs=len(executor.runs),
            )
        self._scheduler.poll_failed(executor, self._clock.now())

    def _met_next_life(
        self, executor: ExecutorState, sent_at: float, answer: PollAnswer, now: float
    ) -> bool:
        if answer.outcome is not CallOutcome.OTHER_INCARNATION:
            return False
        return self._scheduler.incarnation_met(executor, answer.incarnation, sent_at, now)

    async def _pause(self, executor: ExecutorState) -> None:
        if executor.failed_polls:
            doublings = min(executor.failed_polls - 1, MOST_DOUBLINGS)
            await trio.sleep(min(FIRST_RETRY_SECONDS * 2**doublings, LONGEST_RETRY_SECONDS))
        elif executor.unstored_ends:
            await trio.sleep(GATHER_SECONDS)
            if executor.unstored_ends:
                await self._journal.wait_stored(STORE_WAIT_SECONDS)
        elif self._idle(executor):
            event = trio.Event()
            self._wake[executor] = event
            await event.wait()
            del self._wake[executor]

    @staticmethod
    def _idle(executor: ExecutorState) -> bool:
        # One whose last answer was late gets no work until another one tells that it is punctual again.
        known = executor.polled_at is not None and not executor.answers_late
        quiet = not executor.runs and executor.told_end == executor.seen_end
        return known and quiet and executor.registered

    def _lease(self, executor: ExecutorState, now: float) -> int | None:
        """Until when what runs there may go on, on its clock; None leaves that as it is.

        An executor that doesn't answer gets no longer lease: the answer may be what is lost, and
        each renewal would put off the moment from which its tasks may run elsewhere.
        """
        orphaned = now - self._known_owner_at() > ORPHANED_LEASE_SECONDS
        if executor.polled_at is None or executor.failed_polls or orphaned:
            return None
        until = executor.clock(now) + self._lease_ms
        executor.grant_lease(until)
        return until

    def _wait(self, executor: ExecutorState) -> float:
        if executor.polled_at is None or executor.failed_polls or executor.unstored_ends:
            return 0.0
        if self._scheduler.shed >= Shed.POLLS:
            return SHED_POLL_SECONDS
        serves = fills = False
        for run in executor.runs.values():
            serves = serves or bool(run.task.spec.tail_target_ms)
            fills = fills or run.task.spec.uses_leftover_cpu
        return DISTURBED_POLL_SECONDS if serves and fills else POLL_SECONDS
