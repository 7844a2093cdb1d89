"""Following the keys under a prefix of the store.

Loads: the heartbeats of 24 to 3,000 executors, and a store that returns 500 changes at a time.
"""

import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

import trio
from trio.testing import MockClock

from fireflyfork_standins.scheduling import StandInStore

from ..._ids import NodeName, Revision
from ...adapters import Put, StoreChange, StoreChanges
from .._prefix_watch import PrefixWatch


def _follow(gather_seconds: float) -> tuple[int, float]:
    """Return the number of store calls and the longest delay of a report, in seconds.

    A key is written 20 times per second for ten seconds.
    """

    async def main() -> tuple[int, float]:
        store = StandInStore(Random(1))
        latest = 0.0

        def changed(change: object) -> None:
            nonlocal latest
            item = getattr(change, "item", None)
            if item is not None:
                latest = max(latest, trio.current_time() - float(item.value))

        watch = PrefixWatch(
            store.client(NodeName("n-0")),
            "servers/",
            2.0,
            lambda _: None,
            changed,
            gather_seconds=gather_seconds,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run)
            nursery.start_soon(watch.run)
            await trio.sleep(0.5)
            before = store.calls
            for number in range(200):
                store.put(f"servers/i-{number % 24}", str(trio.current_time()).encode("ascii"))
                await trio.sleep(0.05)
            calls = store.calls - before
            nursery.cancel_scope.cancel()
        return calls, latest

    return trio.run(main, clock=MockClock(autojump_threshold=0))


FLEET_SECONDS = 12


async def _follow_fleet() -> tuple[float, int]:
    """Return the longest delay of a report in seconds and the number of store calls.

    3,000 executors write a heartbeat every 1.5 s.
    """
    store, latest = StandInStore(Random(1)), 0.0

    def changed(change: StoreChange) -> None:
        nonlocal latest
        if change.item is not None:
            latest = max(latest, trio.current_time() - float(change.item.value))

    watch = PrefixWatch(
        store.client(NodeName("n-0")),
        "servers/",
        2.0,
        lambda _: None,
        changed,
        gather_seconds=0.4,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.run)
        nursery.start_soon(watch.run)
        for number in range(FLEET_SECONDS * 20):
            for executor in range(100):
                name = (number % 30) * 100 + executor
                store.put(f"servers/i-{name}", str(trio.current_time()).encode("ascii"))
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    return latest, store.calls


class PrefixWatchTest(unittest.TestCase):
    """Number of requests, and the delay and completeness of the changes reported."""

    def test_many_small_changes_cost_few_calls(self) -> None:
        """Guards against a request after each of many small changes.

        Executors write a heartbeat every second or two. With a request after each, the store was
        busy with this watch, and its operators paid for every call.
        """
        calls, _ = _follow(0.0)
        gathered, latest = _follow(0.4)
        self.assertGreater(calls, 150)
        self.assertLess(gathered, 30)
        self.assertLess(latest, 0.5)

    def test_changes_during_a_slow_answer_are_reported(self) -> None:
        """Guards against changes lost during the transfer of an answer over a thin link.

        The answer contained fewer changes than its revision claimed, so a job that was accepted
        during the transfer was never placed.
        """

        async def main() -> set[str]:
            store, reported = StandInStore(Random(1)), set[str]()
            watch = PrefixWatch(
                store.client(NodeName("n-0"), link_mbps=0.001),
                "jobs/",
                2.0,
                lambda _: None,
                lambda change: reported.add(change.key),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run)
                nursery.start_soon(watch.run)
                for number in range(20):
                    await trio.sleep(0.05)
                    store.put(f"jobs/{number}", b"x" * 20)
                await trio.sleep(20.0)
                nursery.cancel_scope.cancel()
            return reported

        reported = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual(reported, {f"jobs/{number}" for number in range(20)})

    def test_more_changes_than_one_answer_holds_are_reported_in_time(self) -> None:
        """Guards against a watch that falls behind the heartbeats of thousands of executors.

        The store returns 500 changes at a time. With a pause after each answer, an owner of 3,000
        executors learned more than four seconds late that one of them was leaving.
        """
        latest, calls = trio.run(_follow_fleet, clock=MockClock(autojump_threshold=0))
        self.assertLess(latest, 0.7)
        self.assertLess(calls, 10 * FLEET_SECONDS)

    def test_changes_are_confirmed_only_once_they_are_reported(self) -> None:
        """Guards against an answer with a part of the changes that counts as a complete one.

        An owner whose successor's key is among the missing changes would consider its ownership
        confirmed.
        """

        async def main() -> list[str]:
            store, reported = StandInStore(Random(1)), set[str]()
            written_at = 0.5
            missing: list[str] = []

            def confirmed(known_at: float) -> None:
                if known_at > written_at:
                    missing.extend(keys - reported)

            watch = PrefixWatch(
                store.client(NodeName("n-0")),
                "jobs/",
                2.0,
                lambda _: None,
                lambda change: reported.add(change.key),
                on_confirmed=confirmed,
            )
            keys = {f"jobs/{number}" for number in range(2_300)}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run)
                nursery.start_soon(watch.run)
                await trio.sleep(written_at)
                for key in sorted(keys):
                    store.put(key, b"")
                await trio.sleep(5.0)
                nursery.cancel_scope.cancel()
            self.assertEqual(reported, keys)
            self.assertGreater(watch.known_at, written_at)
            return missing

        self.assertEqual(trio.run(main, clock=MockClock(autojump_threshold=0)), [])


class WriteRevisionsTest(unittest.TestCase):
    """The age of a watch whose answers never say that they are complete."""

    def test_own_writes_tell_how_old_incomplete_answers_are(self) -> None:
        """Guards against an owner that starts nothing because more changes may always be left."""

        async def main() -> float:
            store, oldest = StandInStore(Random(1)), 0.0
            client = store.client(NodeName("n-0"))
            real_changes = client.changes

            async def changes(prefix: str, after: Revision, wait_seconds: float) -> StoreChanges:
                return replace(await real_changes(prefix, after, wait_seconds), may_be_partial=True)

            watch = PrefixWatch(client, "servers/", 2.0, lambda _: None, lambda _: None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run)
                with patch.object(client, "changes", changes):
                    nursery.start_soon(watch.run)
                    for number in range(100):
                        store.put("servers/i-0", b"%d" % number)
                        sent_at = trio.current_time()
                        revision = await client.commit({}, (Put("journal", b"%d" % number),))
                        watch.note_revision(sent_at, revision)
                        await trio.sleep(0.1)
                        if number >= 10:
                            oldest = max(oldest, trio.current_time() - watch.known_at)
                nursery.cancel_scope.cancel()
            return oldest

        self.assertLess(trio.run(main, clock=MockClock(autojump_threshold=0)), 0.5)


class CatchUpTest(unittest.TestCase):
    """A watch that begins far behind, as that of a new owner of thousands of executors."""

    def test_an_old_listing_is_replaced_instead_of_caught_up_with(self) -> None:
        """Guards against a new owner that starts nothing while it reads heartbeats of seconds."""

        async def main() -> tuple[float, int]:
            store = StandInStore(Random(1))
            client = store.client(NodeName("n-0"), link_mbps=20.0)
            watch = PrefixWatch(client, "servers/", 2.0, lambda _: None, lambda _: None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run)
                await trio.sleep(1.0)
                listed_at, after = trio.current_time(), store.revision
                for number in range(8):
                    for executor in range(3_000):
                        store.put(f"servers/i-{executor}", b"%0300d" % number)
                await trio.sleep(4.0)
                started_at, before = trio.current_time(), store.calls
                nursery.start_soon(watch.run, after, lambda: False, listed_at)
                while watch.known_at < started_at:
                    await trio.sleep(0.01)
                seconds = trio.current_time() - started_at
                calls = store.calls - before
                nursery.cancel_scope.cancel()
            return seconds, calls

        seconds, calls = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertLess(seconds, 1.0)
        # Catching up with all changes would take more calls.
        self.assertLess(calls, 8 * 3_000 / 500)


class StoreAwayTest(unittest.TestCase):
    """What a watch that is behind says while the store fails."""

    def _behind_after(self, seconds: float, listing: bool = False) -> bool:
        """Return whether a watch is behind so long after the store has failed.

        With ``listing`` the store fails while the watch lists the keys anew.
        """

        async def main() -> bool:
            store = StandInStore(Random(1))
            client = store.client(NodeName("n-0"))
            watch = PrefixWatch(client, "servers/", 2.0, lambda _: None, lambda _: None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run)
                listed_at = trio.current_time()
                for number in range(3_000):
                    store.put(f"servers/{number}", b"")
                store.trouble.down = True
                after = None if listing else Revision(1)
                nursery.start_soon(watch.run, after, lambda: False, listed_at)
                await trio.sleep(seconds)
                behind = watch.is_behind
                nursery.cancel_scope.cancel()
            return behind

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_an_outage_ends_the_state_of_being_behind(self) -> None:
        """Guards against an owner that starts nothing for as long as the store is away."""
        for listing in (False, True):
            with self.subTest(listing=listing):
                self.assertFalse(self._behind_after(6.0, listing))

    def test_a_single_failed_call_does_not(self) -> None:
        """Guards against starts on old registrations because one request was cut off."""
        self.assertTrue(self._behind_after(0.5))

    def test_a_listing_is_followed_by_a_request_before_the_watch_is_up_to_date(self) -> None:
        """Guards against registrations as old as the transfer of their listing."""

        async def main() -> list[bool]:
            store, behind = StandInStore(Random(1)), list[bool]()
            watch = PrefixWatch(
                store.client(NodeName("n-0")),
                "servers/",
                2.0,
                lambda _: behind.append(watch.is_behind),
                lambda _: None,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run)
                nursery.start_soon(watch.run)
                await trio.sleep(1.0)
                behind.append(watch.is_behind)
                nursery.cancel_scope.cancel()
            return behind

        behind = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual(behind, [True, False])
