"""Tests of the store's client with the stand-in over real sockets."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from fireflyfork import Address, Revision, StoreConflictError, StoreUnavailableError
from fireflyfork.adapters import HttpServer, HttpStore, listen

from .._switches import Switches
from ..store import StoreHandler

Body = Callable[[HttpStore, StoreHandler], Awaitable[None]]


def run_with_store(body: Body) -> None:
    """Run ``body`` with a client and the handler of the stand-in that serves it."""

    async def main() -> None:
        handler = StoreHandler()
        server = HttpServer(handler)
        listeners = await listen("127.0.0.1", 0)
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, listeners)
            with trio.fail_after(30):
                await body(HttpStore(Address("127.0.0.1", port)), handler)
            nursery.cancel_scope.cancel()

    trio.run(main)


class StoreTest(unittest.TestCase):
    """The guarantees of the store, and its failures as the client sees them."""

    def test_compare_and_swap(self) -> None:
        """Two operators change the same key. The second change must fail with a conflict."""

        async def body(store: HttpStore, _: StoreHandler) -> None:
            self.assertIsNone(await store.read("a/b c"))
            first = await store.write("a/b c", b"1", Revision(0))
            with self.assertRaises(StoreConflictError):
                await store.write("a/b c", b"other", Revision(0))
            await store.write("a/b c", b"2", first)
            stored = await store.read("a/b c")
            assert stored is not None
            self.assertEqual(stored.value, b"2")
            self.assertEqual(await store.keys("a/"), ("a/b c",))
            await store.delete("a/b c", stored.revision)
            self.assertIsNone(await store.read("a/b c"))

        run_with_store(body)

    def test_a_lost_answer_has_taken_effect(self) -> None:
        """The store applies a write but its answer is lost, so the writer gets only an error."""

        async def body(store: HttpStore, handler: StoreHandler) -> None:
            handler.switch(Switches(lose_answers=1))
            with self.assertRaises(StoreUnavailableError):
                await store.write("k", b"v", Revision(0))
            stored = await store.read("k")
            assert stored is not None
            self.assertEqual(stored.value, b"v")

        run_with_store(body)

    def test_outage(self) -> None:
        """While the store is down, calls fail as unavailable. They succeed when it is up again."""

        async def body(store: HttpStore, handler: StoreHandler) -> None:
            handler.switch(Switches(down=True))
            with self.assertRaises(StoreUnavailableError):
                await store.read("k")
            handler.switch(Switches())
            self.assertIsNone(await store.read("k"))

        run_with_store(body)

    def test_wait_sees_the_change(self) -> None:
        """A watch returns the value as soon as it changes, or None if it doesn't change in time."""

        async def body(store: HttpStore, _: StoreHandler) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.write, "k", b"v", Revision(0))
                stored = await store.wait("k", Revision(0), 20.0)
            assert stored is not None
            self.assertEqual(stored.value, b"v")
            self.assertIsNone(await store.wait("k", stored.revision, 0.01))

        run_with_store(body)
