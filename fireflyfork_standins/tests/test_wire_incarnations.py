"""Tests of the executor client over real sockets while the executor's process is replaced."""

import socket
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import trio

from fireflyfork._ids import AttemptNumber, ExecutorId, FencingToken, JobId, QueueName, ServiceName
from fireflyfork._links import Address
from fireflyfork.adapters import ANY_INCARNATION, ExecutorEndpoint, HttpServer, LoopTime, listen
from fireflyfork.decisions.jobs import (
    CallOutcome,
    ExecutorRoom,
    JobSpec,
    OrderAnswer,
    PollRequest,
    StartRequest,
    StepSpec,
    TaskKey,
)
from fireflyfork.platform import PlatformExecutors
from fireflyfork_standins.scheduling import (
    History,
    StandInExecutor,
    StandInExecutorCalls,
    StandInStore,
)
from fireflyfork_standins.scheduling._wire_executor import ExecutorHttpHandler
from fireflyfork_standins.scheduling._wire_platform import ANY_INSTANCE

NAME = ExecutorId("i-0")
SERVICE = ServiceName("desk")
JOB = JobId("00000000000000aa")
TASK = TaskKey(0, 0, 0).name(JOB)
TOKEN = FencingToken(7)
FAR_DEADLINE_MS = 400_000
"""A deadline by the clock of an executor that has been up for minutes."""


def _free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


class _ExecutorProcess:
    """One process of the executor, whose connections end with it."""

    def __init__(self, address: Address) -> None:
        history = History()
        step = StepSpec(1, 1000, 500, 0, 60_000)
        history.jobs[JOB] = JobSpec(JOB, QueueName("q"), SERVICE, "work", (step,), 0)
        random = Random(1)
        self.executor = StandInExecutor(
            NAME, SERVICE, ExecutorRoom(8000, 16000, 0), StandInStore(random), history, random
        )
        self.calls = 0
        self._address = address
        self._random = random

    @property
    def place(self) -> ExecutorEndpoint:
        """The address and the incarnation of the executor."""
        return ExecutorEndpoint(NAME, self._address, self.executor.incarnation)

    @asynccontextmanager
    async def run_server(self) -> AsyncIterator[None]:
        """Serve calls while the block runs."""
        async with trio.open_nursery() as nursery:
            everything = {NAME: self.executor}
            calls = StandInExecutorCalls(ANY_INSTANCE, everything, nursery, self._random)
            anyone = ExecutorEndpoint(NAME, self._address, ANY_INCARNATION)
            server = HttpServer(ExecutorHttpHandler(calls, anyone))
            listeners = await listen(self._address.host, self._address.port)
            nursery.start_soon(server.run, listeners)
            yield
            nursery.cancel_scope.cancel()


async def _start(client: PlatformExecutors, place: ExecutorEndpoint) -> OrderAnswer:
    order = StartRequest(TASK, AttemptNumber(1), "work", FAR_DEADLINE_MS, "")
    return await client.start(place, TOKEN, order)


class IncarnationsOnTheWireTest(unittest.TestCase):
    """An order reaches the incarnation that it was addressed to, or none."""

    def test_an_order_for_an_earlier_life_is_not_carried_out_by_the_next(self) -> None:
        """An executor restarts under its id and at its address before its owner notices. If the new
        incarnation carried out an order with a deadline by the last one's clock, the task would run
        there for much longer than the owner assumes, and would be started a second time elsewhere.
        """
        trio.run(self._order_for_an_earlier_life)

    async def _order_for_an_earlier_life(self) -> None:
        address = _free_address()
        first, second = _ExecutorProcess(address), _ExecutorProcess(address)
        client = PlatformExecutors(LoopTime())
        async with first.run_server():
            self.assertEqual(
                (await client.poll(first.place, TOKEN, PollRequest(0, None, 0.0, 1.0))).incarnation,
                first.executor.incarnation,
            )
        await trio.sleep(0.01)
        second.executor.restart()
        async with second.run_server():
            over_the_old_connection = await _start(client, first.place)
            over_a_new_one = await _start(client, first.place)
            renewed = await client.poll(
                first.place, TOKEN, PollRequest(57, FAR_DEADLINE_MS, 0.0, 1.0)
            )
        self.assertIn(
            over_the_old_connection.outcome,
            (CallOutcome.UNKNOWN, CallOutcome.OTHER_INCARNATION),
        )
        self.assertIs(over_a_new_one.outcome, CallOutcome.OTHER_INCARNATION)
        self.assertEqual(over_a_new_one.incarnation, second.executor.incarnation)
        self.assertIs(renewed.outcome, CallOutcome.OTHER_INCARNATION)
        self.assertEqual(renewed.incarnation, second.executor.incarnation)
        self.assertEqual(second.executor.running, ())

    def test_an_order_for_the_present_life_is_carried_out(self) -> None:
        trio.run(self._order_for_the_present_life)

    async def _order_for_the_present_life(self) -> None:
        life = _ExecutorProcess(_free_address())
        async with life.run_server():
            answer = await _start(PlatformExecutors(LoopTime()), life.place)
        self.assertIs(answer.outcome, CallOutcome.ACCEPTED)
        self.assertEqual(answer.incarnation, life.executor.incarnation)
        self.assertEqual(life.executor.running, (TASK,))
