"""Tests of requests to release a service, over a stream on the loopback interface."""

import unittest

import trio

from ..._ids import FailureDomainName, NodeName, Revision, ServiceName
from ..._links import Address
from .. import LoopTime, RelayedExecutors, RelayEndpoint, RelayServer
from .builders_executor_calls import AcceptingExecutors

SERVICE, REVISION = ServiceName("desk"), Revision(7)
TEST_TIMEOUT_SECONDS = 30.0


class RelayReleaseTest(unittest.TestCase):
    """A relay does what the owner asks and says whether it succeeded."""

    def test_the_answer_of_the_relay_reaches_the_owner(self) -> None:
        for succeeds in (True, False):
            with self.subTest(succeeds=succeeds):
                asked, answered = trio.run(_ask, succeeds)
                self.assertEqual(asked, [(SERVICE, REVISION)])
                self.assertIs(answered, succeeds)


async def _ask(succeeds: bool) -> tuple[list[tuple[ServiceName, Revision]], bool]:
    asked = []

    async def release(service: ServiceName, revision: Revision) -> bool:
        await trio.lowlevel.checkpoint()
        asked.append((service, revision))
        return succeeds

    with trio.fail_after(TEST_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(RelayServer(AcceptingExecutors, release=release).run, [listener])
            port = listener.socket.getsockname()[1]
            endpoint = RelayEndpoint(
                NodeName("n-1"), FailureDomainName("suva"), Address("127.0.0.1", port)
            )
            owner = RelayedExecutors(AcceptingExecutors(), LoopTime())
            nursery.start_soon(owner.run)
            owner.set_relays([endpoint])
            await owner.wait_connected()
            answered = await owner.release(endpoint, SERVICE, REVISION, TEST_TIMEOUT_SECONDS)
            nursery.cancel_scope.cancel()
    return asked, answered
