"""One loop for each executor: poll, renew the lease, poll again."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..adapters import ExecutorCalls, ExecutorPlace
from ..decisions.jobs import CallOutcome, ExecutorState, PollAnswer, Scheduler
from ._clocks import Clock
from ._service_journal import OwnershipLostError, ServiceJournal
from ._service_lease import Term

POLL_SECONDS = 1.0
"""How long a poll waits for an end. Each is paid for; the lease, five times longer, bears the loss of
several."""
DISTURBED_POLL_SECONDS = 0.5
"""Where tasks without a reservation run beside serving ones: tails are measured over half a second,
and one over its target has to be noticed within the next."""
STORE_WAIT_SECONDS = 0.15
"""Ends are listed again until they are stored, so a poll before that would return at once. When the
store is away, polls go on at this pace."""
GATHER_SECONDS = 0.05
"""Tasks of a step end close together. Polls are paid for, and one that comes this much later tells of
several ends; a job loses a tenth of the least time that its objective leaves it."""
FIRST_RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 0.8
ORPHANED_LEASE_SECONDS = 2.5
"""An owner that the store hasn't shown to be the owner for so long stops renewing leases. If it went on,
its successor could never tell when a task on an executor that only the old owner reaches is over."""


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
    ) -> None:
        """``known_owner_at`` tells when the store last showed that this is the owner.

        ``kick`` has tasks placed.
        """
        self._scheduler = scheduler
        self._calls = calls
        self._journal = journal
        self._term = term
        self._clock = clock
        self._lease_ms = int(lease_seconds * 1000)
        self._known_owner_at = known_owner_at
        self._kick = kick
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

    async def run(self, executor: ExecutorState) -> None:
        """Poll until the executor is gone for good. Raises OwnershipLostError."""
        try:
            while not self._ended and self._scheduler.executors.get(executor.executor) is executor:
                await self._pause(executor)
                await self._poll(executor)
        finally:
            self._calls.forget(executor.executor)

    async def _poll(self, executor: ExecutorState) -> None:
        sent_at = self._clock.now()
        forget = executor.forgettable_end
        known = executor.registration
        answer = await self._calls.poll(
            ExecutorPlace(known.executor, known.address, known.incarnation),
            self._term.token,
            forget,
            self._lease(executor, sent_at),
            self._wait(executor),
        )
        if self._ended:
            return
        now = self._clock.now()
        if answer.outcome is CallOutcome.FENCED:
            raise OwnershipLostError(f"{executor.executor} has seen a higher token")
        if self._met_next_life(executor, sent_at, answer, now):
            return
        if answer.outcome is not CallOutcome.ACCEPTED:
            if executor.failed_polls == 0:
                logger.info(
                    "executor doesn't answer",
                    executor=executor.executor,
                    outcome=answer.outcome.value,
                    runs=len(executor.runs),
                )
            self._scheduler.poll_failed(executor, now)
            return
        if executor.failed_polls:
            logger.info("executor answers again", executor=executor.executor)
        executor.told_end = max(executor.told_end, forget)
        self._scheduler.poll_answered(executor, sent_at, answer, now, self._clock.unix_ms())
        if answer.ended:
            self._journal.notify()
        self._kick()

    def _met_next_life(
        self, executor: ExecutorState, sent_at: float, answer: PollAnswer, now: float
    ) -> bool:
        if answer.outcome is not CallOutcome.OTHER_INCARNATION:
            return False
        return self._scheduler.incarnation_met(executor, answer.incarnation, sent_at, now)

    async def _pause(self, executor: ExecutorState) -> None:
        if executor.failed_polls:
            delay = FIRST_RETRY_SECONDS * 2 ** (executor.failed_polls - 1)
            await trio.sleep(min(delay, LONGEST_RETRY_SECONDS))
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
        known = executor.polled_at is not None
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

    @staticmethod
    def _wait(executor: ExecutorState) -> float:
        if executor.polled_at is None or executor.failed_polls or executor.unstored_ends:
            return 0.0
        serves = fills = False
        for run in executor.runs.values():
            serves = serves or bool(run.task.spec.tail_target_ms)
            fills = fills or run.task.spec.uses_leftover_cpu
        return DISTURBED_POLL_SECONDS if serves and fills else POLL_SECONDS
