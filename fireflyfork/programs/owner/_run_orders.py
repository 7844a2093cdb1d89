"""Sends orders to executors: start, stop and pace runs."""

from __future__ import annotations

from collections.abc import Callable

import trio
from loguru import logger

from ..._ids import FencingToken
from ...adapters import ExecutorCalls, ExecutorEndpoint, LoopTime
from ...decisions.jobs import (
    CallOutcome,
    ExecutorState,
    OrderAnswer,
    PaceRun,
    Run,
    RunCommand,
    Scheduler,
    StartRequest,
    StartRun,
    StopRun,
)
from .._call_limiter import CallLimiter
from .._clocks import Clock
from ._executor_polls import ExecutorPolls
from ._service_journal import OwnershipLostError

MAX_ORDERS_PER_EXECUTOR = 6
"""Maximum number of concurrent orders to one executor, in addition to the poll.

An executor accepts 64 connections in total. Starts arrive in bursts of up to the number of tasks of
a step."""
MAX_CONCURRENT_STARTS = 64
"""Maximum number of concurrent starts.

Concurrent calls all finish when the last call does. With more calls, an owner that is short of
processor time would exceed the start deadline of each."""


class RunOrders:
    """Sends the scheduler's orders and reports the answers to it."""

    def __init__(
        self,
        scheduler: Scheduler,
        calls: ExecutorCalls,
        polls: ExecutorPolls,
        token: FencingToken,
        clock: Clock,
        request_dispatch: Callable[[], None],
        loop_time: LoopTime,
    ) -> None:
        """Set up the orders of one term of ownership.

        ``request_dispatch`` is called after an answer. ``loop_time`` distinguishes a late event
        loop from a late answer.
        """
        self._scheduler = scheduler
        self._calls = calls
        self._polls = polls
        self._token = token
        self._clock = clock
        self._request_dispatch = request_dispatch
        self._order_limiters: dict[ExecutorState, trio.CapacityLimiter] = {}
        self._start_limiter = CallLimiter(MAX_CONCURRENT_STARTS, loop_time)

    def forget(self, executor: ExecutorState) -> None:
        """Drop the state of an executor that was removed from the scheduler."""
        self._order_limiters.pop(executor, None)

    async def carry_out(self, command: RunCommand) -> None:
        """Send one order and report its answer to the scheduler.

        Raises OwnershipLostError if the executor has seen a higher fencing token.
        """
        executor = command.run.executor
        limiter = self._order_limiters.setdefault(
            executor, trio.CapacityLimiter(MAX_ORDERS_PER_EXECUTOR)
        )
        async with limiter:
            answer = await self._order(command, executor)
        if answer.outcome is CallOutcome.FENCED:
            raise OwnershipLostError(f"{executor.executor} reported a higher fencing token")
        now = self._clock.now()
        match command:
            case StartRun(run):
                if answer.outcome is not CallOutcome.ACCEPTED:
                    self._log_refused_start(run, answer)
                self._scheduler.start_answered(run, answer, now)
            case StopRun(run):
                self._scheduler.stop_answered(run, answer, now)
            case PaceRun(run):
                self._scheduler.pace_answered(run, answer)
                return
        self._polls.wake_unless_idle(executor)
        self._request_dispatch()

    async def _order(self, command: RunCommand, executor: ExecutorState) -> OrderAnswer:
        if not isinstance(command, StartRun):
            return await self._send(command, executor)
        async with self._start_limiter.acquire_slot():
            if not self._scheduler.prepare_start(command.run, self._clock.now()):
                return OrderAnswer(CallOutcome.PAST_DEADLINE, None)
            return await self._send(command, executor)

    async def _send(self, command: RunCommand, executor: ExecutorState) -> OrderAnswer:
        run = command.run
        registration = executor.registration
        endpoint = ExecutorEndpoint(
            registration.executor,
            registration.address,
            run.incarnation,
            registration.failure_domain,
        )
        self._polls.wake(executor)
        if isinstance(command, StopRun):
            return await self._calls.stop(endpoint, self._token, run.task.name, run.attempt)
        if isinstance(command, PaceRun):
            return await self._calls.pace(
                endpoint, self._token, run.task.name, run.attempt, command.percent
            )
        order = StartRequest(
            run.task.name,
            run.attempt,
            run.task.job.spec.payload,
            run.start_deadline_ms,
            run.checkpoint,
            run.ticket,
        )
        return await self._calls.start(endpoint, self._token, order)

    @staticmethod
    def _log_refused_start(run: Run, answer: OrderAnswer) -> None:
        logger.info(
            "start not accepted",
            task=run.task.name,
            attempt=run.attempt,
            executor=run.executor.executor,
            outcome=answer.outcome.value,
        )
