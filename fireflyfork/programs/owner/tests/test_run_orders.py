"""Orders to executors that wait between the decision and the call."""

import unittest
from unittest.mock import create_autospec

import trio
from trio.testing import wait_all_tasks_blocked

from ...._ids import FencingToken
from ....adapters import ExecutorCalls, ExecutorEndpoint, LoopTime
from ....decisions.jobs import CallOutcome, OrderAnswer, StartRequest, StartRun
from ....decisions.jobs.tests.builders_jobs import START_MS, OwnerUnderTest, job, registration, step
from ..._clocks import Clock
from .._executor_polls import ExecutorPolls
from .._run_orders import MAX_ORDERS_PER_EXECUTOR, RunOrders


class RunOrdersTest(unittest.TestCase):
    """Orders are sent only to the incarnation for which they were decided."""

    def test_a_waiting_order_goes_to_its_incarnation(self) -> None:
        """Guards against starts that are sent to a restarted executor.

        An executor answers slowly, so some of its starts wait. While they wait, it restarts, and
        their tasks are placed elsewhere. If the waiting starts were sent to the new incarnation,
        their tasks would run twice.
        """
        trio.run(self._order_that_waits)

    async def _order_that_waits(self) -> None:
        owner = OwnerUnderTest("i-0")
        places: list[ExecutorEndpoint] = []
        answered = trio.Event()

        async def start(place: ExecutorEndpoint, _: FencingToken, __: StartRequest) -> OrderAnswer:
            places.append(place)
            await answered.wait()
            return OrderAnswer(CallOutcome.UNKNOWN, None)

        calls = create_autospec(ExecutorCalls, instance=True)
        calls.start = start
        clock = create_autospec(Clock, instance=True)
        clock.now.return_value = owner.now
        polls = create_autospec(ExecutorPolls, instance=True)
        orders = RunOrders(
            owner.scheduler, calls, polls, FencingToken(1), clock, lambda: None, LoopTime()
        )
        owner.scheduler.accept(
            job("00000000000000aa", step(count=MAX_ORDERS_PER_EXECUTOR + 1)), START_MS
        )
        async with trio.open_nursery() as nursery:
            for run in owner.send():
                nursery.start_soon(orders.carry_out, StartRun(run))
            await wait_all_tasks_blocked()
            self.assertEqual(len(places), MAX_ORDERS_PER_EXECUTOR)
            owner.scheduler.register(registration("i-0", incarnation=2), owner.now)
            answered.set()
        self.assertEqual({place.incarnation for place in places}, {1})
