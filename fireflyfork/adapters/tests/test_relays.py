"""Tests of calls to executors through relays.

The load: one owner makes hundreds of calls a second to hundreds of executors in several failure domains. The
streams use the loopback interface or memory, and the executors are simulated.
"""

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial

import trio
from trio.testing import MockClock

from ..._ids import AttemptNumber, ExecutorId, FailureDomainName, FencingToken, NodeName, TaskName
from ..._links import Address
from ...decisions.jobs import (
    CallOutcome,
    EndedRow,
    EndReason,
    OrderAnswer,
    PollAnswer,
    PollRequest,
    RunningRow,
    StartRequest,
)
from .. import (
    ExecutorCalls,
    ExecutorEndpoint,
    LoopTime,
    RelayedExecutors,
    RelayEndpoint,
    RelayServer,
)
from .._message_stream import FrameDecoder, encode_frame
from .._relay_client import MAX_RECONNECT_SECONDS, ORDER_SECONDS, SILENT_SECONDS
from .._relay_messages import DECODER, EndpointFields, Hello, PaceCall, PollReply, Pong
from .._relay_server import MAX_STALL_SECONDS
from .builders_relays import RELAY_ENDPOINT, MutedRelay

DOMAIN = FailureDomainName("suva")
EXECUTOR = ExecutorEndpoint(ExecutorId("i-0"), Address("10.0.0.1", 80), 1, DOMAIN)
TOKEN = FencingToken(7)
ORDER = StartRequest(TaskName("t"), AttemptNumber(2), "work", 486_000, "saved", "ticket")
POLL = PollRequest(57, 486_000, 1.0, 5.0)
LISTED = PollAnswer(
    CallOutcome.ACCEPTED,
    482_113,
    1,
    (RunningRow(TaskName("t"), AttemptNumber(2), "saved", 40, 5.0),),
    (EndedRow(58, TaskName("u"), AttemptNumber(1), EndReason.DONE, ""),),
    ends_may_be_cut=True,
)
TEST_TIMEOUT_SECONDS = 30.0
"""The timeout of a test that hangs."""


class RecordingExecutors(ExecutorCalls):
    """Simulated executors that record all calls, and accept orders after ``delay`` seconds."""

    def __init__(self, delay: float = 0.0) -> None:
        """Start without recorded calls."""
        self.called: list[tuple[object, ...]] = []
        self.delay = delay

    async def start(
        self, endpoint: ExecutorEndpoint, token: FencingToken, order: StartRequest
    ) -> OrderAnswer:
        """Record the call and answer it."""
        return await self._order("start", endpoint.executor, token, order)

    async def stop(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
    ) -> OrderAnswer:
        """Record the call and answer it."""
        return await self._order("stop", endpoint.executor, token, task, attempt)

    async def pace(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        task: TaskName,
        attempt: AttemptNumber,
        percent: int,
    ) -> OrderAnswer:
        """Record the call and answer it."""
        return await self._order("pace", endpoint.executor, token, task, attempt, percent)

    async def poll(
        self,
        endpoint: ExecutorEndpoint,
        token: FencingToken,
        request: PollRequest,
        fresh: bool = False,
    ) -> PollAnswer:
        """Record the call and answer it."""
        self.called.append(("poll", endpoint.executor, token, request, fresh))
        return LISTED

    def forget(self, executor: ExecutorId) -> None:
        """Record the call."""
        self.called.append(("forget", executor))

    async def _order(self, *called: object) -> OrderAnswer:
        self.called.append(called)
        await trio.sleep(self.delay)
        return OrderAnswer(CallOutcome.ACCEPTED, 482_113, 1)


async def listening(
    nursery: trio.Nursery, serve: Callable[[list[trio.SocketListener]], Awaitable[None]]
) -> int:
    """Run ``serve`` on a free port of the loopback interface, and return the port."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(serve, listeners)
    port: int = listeners[0].socket.getsockname()[1]
    return port


class StoppedClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        """Start at 0."""
        self.seconds = 0.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.seconds


class RelayWorld:
    """An owner and a relay, with simulated executors behind both."""

    def __init__(self, delay: float = 0.0) -> None:
        """Create owner and relay without running them; the relay's executors answer after ``delay`` seconds."""
        self.direct, self.relayed = RecordingExecutors(), RecordingExecutors(delay)
        self.server = RelayServer(lambda: self.relayed)
        self.owner = RelayedExecutors(self.direct, LoopTime())
        self.relay_life = trio.CancelScope()

    async def run(self, play: Callable[["RelayWorld"], Awaitable[None]]) -> None:
        """Run owner and relay, wait until the owner uses the relay, and call ``play``."""
        with trio.fail_after(TEST_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                port = await listening(nursery, self._serve)
                nursery.start_soon(self.owner.run)
                endpoint = RelayEndpoint(NodeName("n-1"), DOMAIN, Address("127.0.0.1", port))
                self.owner.set_relays([endpoint])
                await self.wait_until(True)
                await play(self)
                nursery.cancel_scope.cancel()

    async def wait_until(self, relayed: bool) -> None:
        """Wait until calls go through the relay, or directly if ``relayed`` is False."""
        while (self.owner._relay_for(EXECUTOR) is not None) is not relayed:
            await trio.sleep(0.01)

    @asynccontextmanager
    async def start_under_way(self) -> AsyncIterator[list[OrderAnswer]]:
        """Run the block after the relay has received an order; its answer is added to the list afterwards."""
        answers: list[OrderAnswer] = []

        async def start() -> None:
            answers.append(await self.owner.start(EXECUTOR, TOKEN, ORDER))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(start)
            while not self.relayed.called:
                await trio.sleep(0.01)
            yield answers

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        with self.relay_life:
            await self.server.run(listeners)


class RelayTest(unittest.TestCase):
    """Calls through a relay, and the loss of a relay."""

    def test_calls_and_answers_come_through_unchanged(self) -> None:
        """Guards against an order or an end that is altered or lost in transit."""

        async def play(world: RelayWorld) -> None:
            started = await world.owner.start(EXECUTOR, TOKEN, ORDER)
            self.assertEqual(started, OrderAnswer(CallOutcome.ACCEPTED, 482_113, 1))
            await world.owner.stop(EXECUTOR, TOKEN, ORDER.task, ORDER.attempt)
            await world.owner.pace(EXECUTOR, TOKEN, ORDER.task, ORDER.attempt, 30)
            polled = await world.owner.poll(EXECUTOR, TOKEN, POLL)
            self.assertEqual(polled, LISTED)
            self.assertEqual(
                world.relayed.called,
                [
                    ("start", "i-0", TOKEN, ORDER),
                    ("stop", "i-0", TOKEN, ORDER.task, ORDER.attempt),
                    ("pace", "i-0", TOKEN, ORDER.task, ORDER.attempt, 30),
                    ("poll", "i-0", TOKEN, POLL, False),
                ],
            )
            self.assertEqual(world.direct.called, [])

        trio.run(RelayWorld().run, play)

    def test_a_fresh_poll_bypasses_the_relay(self) -> None:
        """Guards against executors that are considered silent because their relay is."""

        async def play(world: RelayWorld) -> None:
            await world.owner.poll(EXECUTOR, TOKEN, POLL, fresh=True)
            self.assertEqual(world.direct.called, [("poll", "i-0", TOKEN, POLL, True)])

        trio.run(RelayWorld().run, play)

    def test_an_executor_elsewhere_is_called_directly(self) -> None:
        """Guards against calling an executor through a relay in another failure domain."""

        async def play(world: RelayWorld) -> None:
            elsewhere = ExecutorEndpoint(
                ExecutorId("i-1"), EXECUTOR.address, 1, FailureDomainName("nadi")
            )
            await world.owner.start(elsewhere, TOKEN, ORDER)
            self.assertEqual(len(world.direct.called), 1)

        trio.run(RelayWorld().run, play)

    def test_calls_to_a_failed_relay_may_have_run(self) -> None:
        """Guards against reporting a start as not executed, after which it would be sent a second time."""

        async def play(world: RelayWorld) -> None:
            async with world.start_under_way() as answers:
                world.relay_life.cancel()
            self.assertEqual(answers, [OrderAnswer(CallOutcome.UNKNOWN, None)])
            await world.wait_until(False)
            await world.owner.start(EXECUTOR, TOKEN, ORDER)
            self.assertEqual(len(world.direct.called), 1)

        trio.run(RelayWorld(delay=60.0).run, play)

    def test_a_stopping_relay_gets_no_new_calls_and_answers_pending_calls(self) -> None:
        """Guards against orders that are lost when a relay is stopped as planned."""

        async def play(world: RelayWorld) -> None:
            async with world.start_under_way() as answers:
                world.server.announce_stop()
                await world.wait_until(False)
            self.assertEqual([answer.outcome for answer in answers], [CallOutcome.ACCEPTED])

        trio.run(RelayWorld(delay=0.2 * ORDER_SECONDS).run, play)

    def test_a_silent_relay_is_no_longer_used(self) -> None:
        """Guards against executors that can't be reached while their relay is frozen."""

        async def freeze(stream: trio.SocketStream) -> None:
            await stream.send_all(encode_frame([Hello(1)]))
            await trio.sleep_forever()

        async def main() -> None:
            owner = RelayedExecutors(RecordingExecutors(), LoopTime())
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with trio.open_nursery() as nursery:
                    port = await listening(nursery, partial(trio.serve_listeners, freeze))
                    nursery.start_soon(owner.run)
                    owner.set_relays(
                        [RelayEndpoint(NodeName("n-1"), DOMAIN, Address("127.0.0.1", port))]
                    )
                    while owner._relay_for(EXECUTOR) is None:
                        await trio.sleep(0.01)
                    while owner._relay_for(EXECUTOR) is not None:
                        await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_relay_that_stood_still_carries_out_nothing_of_before(self) -> None:
        """Guards against an outdated pace order that reaches the executor after a newer one.

        A relay that was stalled for seconds reads orders that the owner has since replaced through
        another relay.
        """
        clock = StoppedClock()
        relayed = RecordingExecutors()

        async def main() -> None:
            server = RelayServer(lambda: relayed, clock)
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with trio.open_nursery() as nursery:
                    port = await listening(nursery, server.run)
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                    await stream.receive_some(1000)
                    clock.seconds += 2 * MAX_STALL_SECONDS
                    pace = PaceCall(0, EndpointFields.of(EXECUTOR), TOKEN, "t", 2, 100)
                    await stream.send_all(encode_frame([pace]))
                    with suppress(trio.BrokenResourceError):
                        while await stream.receive_some(1000):
                            pass
                    nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(relayed.called, [])

    def test_an_owner_of_another_version_is_not_served(self) -> None:
        """Guards against instances of different versions that misinterpret each other's messages."""

        async def main() -> bytes:
            server = RelayServer(RecordingExecutors)
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with trio.open_nursery() as nursery:
                    port = await listening(nursery, server.run)
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                    received = await stream.receive_some(1000)
                    await stream.send_all(encode_frame([Hello(99)]))
                    while data := await stream.receive_some(1000):
                        received += data
                    nursery.cancel_scope.cancel()
            return received

        self.assertEqual(list(FrameDecoder(DECODER).feed(trio.run(main))), [Hello(1)])


class SilentRelayTest(unittest.TestCase):
    """A relay whose messages are delayed by a saturated link, or that has failed."""

    def test_an_answer_that_comes_after_a_silence_is_taken(self) -> None:
        """Guards against ends that are lost with the reply to a poll: completed tasks would run again."""

        async def play(
            owner: RelayedExecutors, relay: MutedRelay, direct: RecordingExecutors
        ) -> None:
            answers: list[PollAnswer] = []

            async def poll() -> None:
                answers.append(await owner.poll(EXECUTOR, TOKEN, POLL))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(poll)
                await trio.sleep(SILENT_SECONDS + POLL.patience_seconds)
                await relay.answer_polls(LISTED)
            self.assertEqual(answers, [LISTED])
            self.assertEqual(relay.connected, 1)

        _play_muted(play)

    def test_a_silent_relay_gets_no_new_calls_until_it_answers(self) -> None:
        """Guards against orders that are queued behind a saturated link, and a relay that is never used again."""

        async def play(
            owner: RelayedExecutors, relay: MutedRelay, direct: RecordingExecutors
        ) -> None:
            await trio.sleep(2 * SILENT_SECONDS)
            await owner.poll(EXECUTOR, TOKEN, POLL)
            self.assertEqual((len(direct.called), relay.polls), (1, []))
            await relay.send(Pong())
            with trio.move_on_after(SILENT_SECONDS / 2):
                while owner._relay_for(EXECUTOR) is None:
                    await trio.sleep(0.01)
                await owner.poll(EXECUTOR, TOKEN, POLL)
            self.assertEqual((len(direct.called), len(relay.polls)), (1, 1))
            self.assertEqual(relay.connected, 1)

        _play_muted(play)

    def test_a_replaced_relay_still_delivers_pending_answers(self) -> None:
        """Guards against ends that are lost with the replies to polls when another relay is configured."""

        async def play(
            owner: RelayedExecutors, relay: MutedRelay, direct: RecordingExecutors
        ) -> None:
            answers: list[PollAnswer] = []

            async def poll() -> None:
                answers.append(await owner.poll(EXECUTOR, TOKEN, POLL))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(poll)
                await trio.sleep(POLL.wait_seconds / 2)
                owner.set_relays([])
                await trio.sleep(POLL.wait_seconds / 2)
                await owner.poll(EXECUTOR, TOKEN, POLL)
                await relay.answer_polls(LISTED)
            self.assertEqual(answers, [LISTED])
            self.assertEqual((len(direct.called), len(relay.polls)), (1, 1))

        _play_muted(play)

    def test_a_relay_that_stays_silent_is_reconnected(self) -> None:
        """Guards against a relay that is never used again because its stream was lost without being closed."""

        async def play(
            owner: RelayedExecutors, relay: MutedRelay, direct: RecordingExecutors
        ) -> None:
            longest_call = POLL.wait_seconds + POLL.patience_seconds
            await trio.sleep(2 * longest_call + MAX_RECONNECT_SECONDS)
            self.assertGreaterEqual(relay.connected, 2)

        _play_muted(play)

    def test_a_call_that_was_given_up_is_not_sent_afterwards(self) -> None:
        """Guards against a pace order that is queued behind a saturated link and undoes a newer one."""

        async def play(
            owner: RelayedExecutors, relay: MutedRelay, direct: RecordingExecutors
        ) -> None:
            relay.link_full = True
            async with trio.open_nursery() as nursery:
                for percent in (30, 40):
                    nursery.start_soon(
                        owner.pace, EXECUTOR, TOKEN, ORDER.task, ORDER.attempt, percent
                    )
                    await trio.sleep(0.1)
            relay.link_full = False
            await trio.sleep(SILENT_SECONDS)
            paces = [message.percent for message in relay.received if isinstance(message, PaceCall)]
            self.assertEqual(paces, [30])

        _play_muted(play)


def _play_muted(
    play: Callable[[RelayedExecutors, MutedRelay, RecordingExecutors], Awaitable[None]],
) -> None:
    """Call ``play`` with an owner that has just begun to use a mute relay, on a virtual clock."""

    async def main() -> None:
        relay, direct = MutedRelay(), RecordingExecutors()
        owner = RelayedExecutors(direct, LoopTime())
        async with relay.reachable(), trio.open_nursery() as nursery:
            nursery.start_soon(owner.run)
            owner.set_relays([RELAY_ENDPOINT])
            while owner._relay_for(EXECUTOR) is None:
                await trio.sleep(0.01)
            await play(owner, relay, direct)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


class ReasonsTest(unittest.TestCase):
    """The reason of a failed poll, which is logged."""

    def test_errors_name_the_silent_relay(self) -> None:
        """Guards against failed polls whose log line doesn't show which relay was used."""

        async def play(
            owner: RelayedExecutors, relay: MutedRelay, direct: RecordingExecutors
        ) -> None:
            answer = await owner.poll(EXECUTOR, TOKEN, POLL)
            self.assertIs(answer.outcome, CallOutcome.UNKNOWN)
            self.assertIn(RELAY_ENDPOINT.node, answer.why)

        _play_muted(play)

    def test_an_error_at_a_relay_is_passed_on(self) -> None:
        """Guards against errors that appear only in the relay's log."""
        failed = PollAnswer(CallOutcome.UNKNOWN, why="can't connect")
        self.assertEqual(PollReply.of(1, failed).answer(), failed)
