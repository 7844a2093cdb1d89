"""Tests of the count of bytes between an owner and its relays, over streams on the loopback interface."""

import unittest

import trio

from ..._ids import AttemptNumber, ExecutorId, FailureDomainName, FencingToken, NodeName, TaskName
from ..._links import Address
from ...decisions.jobs import StartRequest
from .. import (
    ExecutorEndpoint,
    LoopTime,
    RelayedExecutors,
    RelayEndpoint,
    RelayServer,
    RelayTraffic,
)
from .._message_stream import StreamTraffic
from .._relay_messages import start_call
from .._relay_stream import RelayStream
from .builders_executor_calls import AcceptingExecutors

NEAR, FAR = FailureDomainName("nadi"), FailureDomainName("savusavu")
TOKEN = FencingToken(7)
PAYLOAD = "x" * 4_000
ORDER = StartRequest(TaskName("t"), AttemptNumber(1), PAYLOAD, 486_000, "", "")
TEST_TIMEOUT_SECONDS = 30.0
"""The timeout of a test that hangs."""


def _endpoint(domain: FailureDomainName) -> ExecutorEndpoint:
    return ExecutorEndpoint(ExecutorId("i-0"), Address("10.0.0.1", 80), 1, domain)


async def _connected() -> tuple[trio.SocketStream, trio.SocketStream]:
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    here = await trio.open_tcp_stream(*listener.socket.getsockname())
    there = await listener.accept()
    await listener.aclose()
    return here, there


async def _start_in(domain: FailureDomainName, traffic: RelayTraffic) -> None:
    """Start a task through the relay in ``domain``, with a second relay in the other failure domain."""
    before = traffic.received
    async with trio.open_nursery() as nursery:
        owner = RelayedExecutors(AcceptingExecutors(), LoopTime(), traffic)
        nursery.start_soon(owner.run)
        endpoints = []
        for number, there in enumerate((NEAR, FAR)):
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(RelayServer(AcceptingExecutors).run, [listener])
            port = listener.socket.getsockname()[1]
            endpoints.append(
                RelayEndpoint(NodeName(f"n-{number}"), there, Address("127.0.0.1", port))
            )
        owner.set_relays(endpoints)
        # A relay is usable after its first message. Before that, calls are made directly.
        while any(traffic.received.get(one, 0) == before.get(one, 0) for one in (NEAR, FAR)):
            await trio.sleep(0.01)
        await owner.start(_endpoint(domain), TOKEN, ORDER)
        nursery.cancel_scope.cancel()


class RelayTrafficTest(unittest.TestCase):
    """The counts of bytes by failure domain."""

    def test_an_order_counts_for_the_domain_that_it_goes_to(self) -> None:
        """Guards against a saturated link between regions whose traffic can't be attributed."""
        traffic = RelayTraffic()

        async def main() -> None:
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                await _start_in(FAR, traffic)

        trio.run(main)
        self.assertGreater(traffic.sent[FAR], len(PAYLOAD))
        self.assertLess(traffic.sent[NEAR], len(PAYLOAD))

    def test_both_sides_count_the_same(self) -> None:
        """Guards against counting the size of messages before they are encoded."""
        here_traffic, there_traffic = StreamTraffic(), StreamTraffic()

        async def main() -> None:
            here, there = await _connected()
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                async with trio.open_nursery() as nursery:
                    sender = RelayStream(here, here_traffic)
                    receiver = RelayStream(there, there_traffic)
                    nursery.start_soon(sender.run)
                    sender.send(start_call(1, _endpoint(FAR), TOKEN, ORDER))
                    async for _ in receiver.messages():
                        break
                    nursery.cancel_scope.cancel()
            sender.close()
            receiver.close()

        trio.run(main)
        self.assertGreater(here_traffic.sent, len(PAYLOAD))
        self.assertEqual(here_traffic.sent, there_traffic.received)
        self.assertEqual((here_traffic.received, there_traffic.sent), (0, 0))

    def test_a_new_term_goes_on_counting(self) -> None:
        """Guards against counters that are reset to zero with each change of owner."""
        traffic = RelayTraffic()

        async def main() -> None:
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                await _start_in(FAR, traffic)
                once = traffic.sent[FAR]
                await _start_in(FAR, traffic)
            self.assertGreater(traffic.sent[FAR], once + len(PAYLOAD))

        trio.run(main)
