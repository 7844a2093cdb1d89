"""Polls each executor of a service in a loop, which also renews the leases of its runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio
from loguru import logger

from ...adapters import ExecutorCalls, ExecutorEndpoint, LoopTime
from ...decisions.jobs import (
    CallOutcome,
    ExecutorState,
    PollAnswer,
    PollRequest,
    Scheduler,
    Shed,
)
from .._call_limiter import CallLimiter
from .._clocks import Clock
from ._service_journal import OwnershipLostError, ServiceJournal
from ._service_lease import Term

POLL_SECONDS = 1.0
"""How long the executor holds a poll open while no run ends.

Each poll is paid for. The lease is five times longer, so it survives the loss of several polls."""
DISTURBED_POLL_SECONDS = 0.5
"""Poll wait for executors that run both serving tasks and tasks without a reservation.

Tail latency is measured over half a second, and a value above its target has to be noticed within
the next half second."""
SHED_POLL_SECONDS = 2.0
"""Poll wait while the owner's event loop is late.

Executors are polled as fast as the owner can process the answers. An owner with too many executors
for its processor would fall further and further behind until it renews no lease in time, and every
run would lapse at once. Two of these waits fit into a lease."""
STORE_WAIT_SECONDS = 0.15
"""Maximum delay of the next poll while ends of runs aren't stored yet.

An executor lists an end again until it is stored, so an earlier poll would return at once. While
the store is unavailable, polls continue at this interval."""
END_BATCH_SECONDS = 0.05
"""Delay of the next poll after an answer that lists ends of runs.

The tasks of a step end close together, and each poll is paid for, so one poll should return several
ends. A job with the tightest objective loses a tenth of its slack by the delay."""
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.8
MAX_RETRY_DOUBLINGS = 10
"""Limits the exponent of the retry delay, which would overflow a float during a long silence."""
LATE_ANSWER_SECONDS = 0.6
"""Loop time after which an answer counts as late, in addition to the wait of the poll.

A call takes 1 ms, or 45 ms to another region."""
POLL_TIMEOUT_SECONDS = 5.0
"""Timeout of a poll, as long as a lease.

A late answer may list ends. If it were dropped, the owner would consider those runs lost and start
their tasks a second time."""
PROBE_TIMEOUT_SECONDS = 1.5
"""Timeout of a probe. It is short so that probes of other executors get their turn while the late
poll continues."""
MAX_CONCURRENT_PROBES = 24
"""Maximum number of concurrent probes over all executors.

Late answers are caused by a full link or a busy executor, and more calls would prolong either."""
MAX_CONCURRENT_FIRST_POLLS = 64
"""Maximum number of concurrent first polls.

A new owner has no connection to any executor, and has to renew its own lease in the store while it
opens them."""
MAX_UNCONFIRMED_SECONDS = 2.5
"""Time without confirmed ownership after which the owner stops renewing leases.

The store confirms the ownership. If the owner renewed leases without that confirmation, its
successor could never determine when a task has ended on an executor that only the old owner
reaches."""


@dataclass(slots=True, eq=False)
class _Poll:
    """State of one outstanding poll."""

    sent_at: float
    in_time: bool = True
    """False once the answer is late."""
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    finished: bool = False
    """Whether the poll was answered, given up, or made unnecessary by the answer to a probe."""

    def note_late(self) -> None:
        """Record that the answer didn't arrive in the expected time."""
        self.in_time = False


class ExecutorPolls:
    """Polls all executors of a service."""

    def __init__(
        self,
        scheduler: Scheduler,
        calls: ExecutorCalls,
        journal: ServiceJournal,
        term: Term,
        clock: Clock,
        lease_seconds: float,
        confirmed_owner_at: Callable[[], float],
        request_dispatch: Callable[[], None],
        loop_time: LoopTime,
    ) -> None:
        """Initialize the polls of one term of ownership.

        ``confirmed_owner_at`` returns when the store last showed that this instance is the owner.
        ``request_dispatch`` requests a round of placing. ``loop_time`` distinguishes a late answer
        from a late event loop.
        """
        self._scheduler = scheduler
        self._calls = calls
        self._journal = journal
        self._term = term
        self._clock = clock
        self._lease_ms = int(lease_seconds * 1000)
        self._confirmed_owner_at = confirmed_owner_at
        self._request_dispatch = request_dispatch
        self._loop_time = loop_time
        self._probe_limiter = trio.CapacityLimiter(MAX_CONCURRENT_PROBES)
        self._first_poll_limiter = CallLimiter(MAX_CONCURRENT_FIRST_POLLS, loop_time)
        self._probing: set[ExecutorState] = set()
        self._stopped = False
        self._wake_events: dict[ExecutorState, trio.Event] = {}

    def stop(self) -> None:
        """Process no more answers: ends that executors list from now on are left to the next owner."""
        self._stopped = True

    def wake(self, executor: ExecutorState) -> None:
        """Resume polling an executor that may be idle."""
        event = self._wake_events.get(executor)
        if event is not None:
            event.set()

    def wake_unless_idle(self, executor: ExecutorState) -> None:
        """Resume polling an executor unless it is idle, after its registration changed or it
        restarted.

        Nothing else would resume a paused loop. The runs of a restarted executor would never be
        queried, and it would get no task. An executor that was shut down would stay registered with
        the owner, and successors would wait for it.
        """
        if not self._idle(executor):
            # Registrations are written every 1.5 s, and each poll is paid for.
            self.wake(executor)

    async def run(self, executor: ExecutorState) -> None:
        """Poll until the executor has been removed from the scheduler. Raises OwnershipLostError."""
        try:
            async with trio.open_nursery() as nursery:
                async with self._first_poll_limiter.acquire_slot():
                    if self._is_active(executor):
                        await self._poll(executor, nursery)
                while self._is_active(executor):
                    await self._wait_for_next_poll(executor)
                    await self._poll(executor, nursery)
                nursery.cancel_scope.cancel()
        finally:
            self._calls.forget(executor.executor)

    def _is_active(self, executor: ExecutorState) -> bool:
        return not self._stopped and self._scheduler.executors.get(executor.executor) is executor

    async def _poll(self, executor: ExecutorState, nursery: trio.Nursery) -> None:
        """Poll once. While the answer is late, probe the executor over new connections.

        Over a full link, answers take seconds. Cancelling a late poll would lose the ends that its
        answer lists, and the executor would appear silent for as long as the link is full.
        """
        poll = _Poll(self._clock.now())
        wait = self._poll_wait(executor)
        late_timer = self._loop_time.call_after(
            wait + LATE_ANSWER_SECONDS, partial(self._note_late, executor, poll, nursery)
        )
        try:
            with poll.scope:
                await self._send_poll(executor, poll, wait, POLL_TIMEOUT_SECONDS)
        finally:
            poll.finished = True
            late_timer.cancel()

    def _note_late(self, executor: ExecutorState, poll: _Poll, nursery: trio.Nursery) -> None:
        poll.note_late()
        if executor.last_answer_at < poll.sent_at:
            self._note_failed_poll(executor, CallOutcome.UNKNOWN, "no answer in the expected time")
        nursery.start_soon(self._probe, executor, poll)

    async def _probe(self, executor: ExecutorState, late_poll: _Poll) -> None:
        """Probe over new connections until the late poll or a probe is answered.

        If only the connection of the late poll has failed, a probe over a new connection is
        answered at once.
        """
        if executor in self._probing:
            return
        self._probing.add(executor)
        try:
            delay = MIN_RETRY_SECONDS
            while not late_poll.finished and self._is_active(executor):
                async with self._probe_limiter:
                    answered = late_poll.finished or await self._probe_once(executor)
                if answered:
                    late_poll.scope.cancel()
                    return
                await trio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_SECONDS)
        finally:
            self._probing.discard(executor)

    async def _probe_once(self, executor: ExecutorState) -> bool:
        probe = _Poll(self._clock.now())
        late_timer = self._loop_time.call_after(LATE_ANSWER_SECONDS, probe.note_late)
        try:
            return await self._send_poll(executor, probe, 0.0, PROBE_TIMEOUT_SECONDS, fresh=True)
        finally:
            late_timer.cancel()

    async def _send_poll(
        self,
        executor: ExecutorState,
        poll: _Poll,
        wait: float,
        timeout: float,
        fresh: bool = False,
    ) -> bool:
        """Send a poll and process its answer. Return whether an answer arrived."""
        forgettable_end = executor.forgettable_end
        registration = executor.registration
        answer = await self._calls.poll(
            ExecutorEndpoint(
                registration.executor,
                registration.address,
                executor.incarnation,
                registration.failure_domain,
            ),
            self._term.token,
            PollRequest(forgettable_end, self._extend_lease(executor, poll.sent_at), wait, timeout),
            fresh,
        )
        if self._stopped:
            return True
        now = self._clock.now()
        if answer.outcome is CallOutcome.FENCED:
            raise OwnershipLostError(f"{executor.executor} reported a higher fencing token")
        if self._detects_restart(executor, poll.sent_at, answer, now):
            return True
        if answer.outcome is not CallOutcome.ACCEPTED:
            self._note_failed_poll(executor, answer.outcome, answer.why)
            return False
        if executor.failed_polls:
            seconds = round(now - poll.sent_at, 3)
            logger.info("executor answers again", executor=executor.executor, seconds=seconds)
        executor.released_end = max(executor.released_end, forgettable_end)
        now_ms = self._clock.unix_ms()
        self._scheduler.poll_answered(executor, poll.sent_at, answer, now, now_ms, poll.in_time)
        if answer.ended:
            self._journal.notify()
        self._request_dispatch()
        return True

    def _note_failed_poll(self, executor: ExecutorState, outcome: CallOutcome, why: str) -> None:
        if executor.failed_polls == 0:
            logger.info(
                "executor doesn't answer",
                executor=executor.executor,
                outcome=outcome.value,
                why=why,
                runs=len(executor.runs),
            )
        self._scheduler.poll_failed(executor, self._clock.now())

    def _detects_restart(
        self, executor: ExecutorState, sent_at: float, answer: PollAnswer, now: float
    ) -> bool:
        if answer.outcome is not CallOutcome.OTHER_INCARNATION:
            return False
        return self._scheduler.handle_incarnation(executor, answer.incarnation, sent_at, now)

    async def _wait_for_next_poll(self, executor: ExecutorState) -> None:
        if executor.failed_polls:
            doublings = min(executor.failed_polls - 1, MAX_RETRY_DOUBLINGS)
            await trio.sleep(min(MIN_RETRY_SECONDS * 2**doublings, MAX_RETRY_SECONDS))
        elif executor.unstored_ends:
            await trio.sleep(END_BATCH_SECONDS)
            if executor.unstored_ends:
                await self._journal.wait_stored(STORE_WAIT_SECONDS)
        elif self._idle(executor):
            event = trio.Event()
            self._wake_events[executor] = event
            await event.wait()
            del self._wake_events[executor]

    @staticmethod
    def _idle(executor: ExecutorState) -> bool:
        # An executor whose last answer was late gets no work until a timely answer, so polling goes
        # on.
        timely = executor.polled_at is not None and not executor.answers_late
        has_no_work = not executor.runs and executor.released_end == executor.processed_end
        return timely and has_no_work and executor.registered

    def _extend_lease(self, executor: ExecutorState, now: float) -> int | None:
        """Extend the lease of the executor's runs and return its end on the executor's clock.

        Returns None to leave the lease unchanged. The lease of an executor that doesn't answer
        isn't extended: only its answers may be lost, and each renewal would postpone the time from
        which its tasks may run elsewhere.
        """
        unconfirmed = now - self._confirmed_owner_at() > MAX_UNCONFIRMED_SECONDS
        if executor.polled_at is None or executor.failed_polls or unconfirmed:
            return None
        until_ms = executor.min_clock_ms(now) + self._lease_ms
        executor.grant_lease(until_ms)
        return until_ms

    def _poll_wait(self, executor: ExecutorState) -> float:
        if executor.polled_at is None or executor.failed_polls or executor.unstored_ends:
            return 0.0
        if self._scheduler.shed_level >= Shed.POLLS:
            return SHED_POLL_SECONDS
        has_serving_tasks = has_filling_tasks = False
        for run in executor.runs.values():
            has_serving_tasks = has_serving_tasks or bool(run.task.spec.tail_target_ms)
            has_filling_tasks = has_filling_tasks or run.task.spec.uses_leftover_cpu
        return DISTURBED_POLL_SECONDS if has_serving_tasks and has_filling_tasks else POLL_SECONDS
