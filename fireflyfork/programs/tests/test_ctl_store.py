"""Tests of changes to the stored configuration under store faults and concurrent operators."""

import random
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ... import ChangeId, Configuration, ConfigurationVersion, StoreUnavailableError
from ...operations import RETAINED_VERSIONS
from ...operations.tests.builders_answers import example_configuration
from .._ctl_store import (
    ChangeLostError,
    ChangeUnknownError,
    ConfigurationStore,
    CurrentConfiguration,
)
from .builders_store import Fault, MemoryStore

BASE = example_configuration()
OUTAGE = [Fault.REFUSED] * 200


def in_virtual_time(body: Callable[[], Awaitable[None]]) -> None:
    """Run ``body`` on a clock that skips all waiting times."""

    async def main() -> None:
        await body()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def configuration_store(store: MemoryStore, seed: int = 0) -> ConfigurationStore:
    """Return a client whose change ids are the same in every run."""
    return ConfigurationStore(store, randomness=random.Random(seed))


def prepared(
    stored: ConfigurationStore, proposed: Configuration, current: CurrentConfiguration, name: str
) -> Configuration:
    """Return the configuration to write, with a given change id."""
    return replace(stored.prepare(proposed, current, ""), change_id=ChangeId(name))


async def change(stored: ConfigurationStore, partitions: int, name: str) -> Configuration:
    """Replace the configuration in force, as one operator does, and return what was written."""
    current = await stored.current()
    proposed = replace(BASE, partitions_per_region=partitions)
    written = prepared(stored, proposed, current, name)
    await stored.replace(current, written)
    return written


class ReplaceTest(unittest.TestCase):
    """Single changes, with one fault each."""

    def test_versions_and_history(self) -> None:
        """Three changes make versions 1 to 3, and each version can be read again."""

        async def body() -> None:
            stored = configuration_store(MemoryStore())
            written = [await change(stored, number, f"c{number}") for number in (1, 2, 3)]
            self.assertEqual([each.version for each in written], [1, 2, 3])
            self.assertEqual(await stored.versions(), (1, 2))
            for each in written:
                self.assertEqual(await stored.version(each.version), each)
            self.assertIsNone(await stored.version(ConfigurationVersion(4)))

        in_virtual_time(body)

    def test_history_is_bounded(self) -> None:
        """Old versions are deleted, so that frequent changes don't fill the store."""

        async def body() -> None:
            stored = configuration_store(MemoryStore())
            for number in range(RETAINED_VERSIONS + 5):
                await change(stored, number + 1, f"c{number}")
            self.assertEqual(len(await stored.versions()), RETAINED_VERSIONS)

        in_virtual_time(body)

    def test_lost_answer_is_settled(self) -> None:
        """The store applies a change, but its answer is lost.

        The change must be reported as in force and must not be written as a second version.
        """

        async def body() -> None:
            store = MemoryStore()
            stored = configuration_store(store)
            await change(stored, 1, "first")
            # The calls of a change: read, archive, write, and one read back for each loss.
            store.faults.extend([Fault.NONE, Fault.NONE, Fault.ANSWER_LOST, Fault.REFUSED])
            written = await change(stored, 2, "second")
            self.assertEqual(written.version, 2)
            self.assertEqual((await stored.current()).configuration, written)

        in_virtual_time(body)

    def test_lost_answer_and_replaced_since(self) -> None:
        """An operator's change takes effect, its answer is lost, and a second operator replaces it.

        The first operator reads back another change id. If that were reported as a lost race, the
        first operator would apply again and undo the second operator's change.
        """

        async def body() -> None:
            store = MemoryStore()
            first, second = configuration_store(store), configuration_store(store)
            current = await first.current()
            written = prepared(first, BASE, current, "first")
            store.faults.append(Fault.ANSWER_LOST)

            async def interfere() -> None:
                await change(second, 7, "second")

            store.after_next_call = interfere
            await first.replace(current, written)
            self.assertEqual(await first.version(ConfigurationVersion(1)), written)
            present = (await first.current()).configuration
            assert present is not None
            self.assertEqual((present.version, present.change_id), (2, "second"))

        in_virtual_time(body)

    def test_concurrent_change_is_refused(self) -> None:
        """Of two operators who change the same version, the second fails and changes nothing."""

        async def body() -> None:
            store = MemoryStore()
            first, second = configuration_store(store), configuration_store(store)
            current = await first.current()
            winner = await change(second, 7, "second")
            loser = prepared(first, BASE, current, "first")
            with self.assertRaises(ChangeLostError) as caught:
                await first.replace(current, loser)
            self.assertEqual(caught.exception.current, winner)
            self.assertEqual((await second.current()).configuration, winner)

        in_virtual_time(body)

    def test_outage_before_the_write(self) -> None:
        """If the store fails before the write, the error says that nothing was changed."""

        async def body() -> None:
            store = MemoryStore()
            stored = configuration_store(store)
            first = await change(stored, 1, "first")
            store.faults.extend([Fault.NONE, *OUTAGE])
            with self.assertRaises(StoreUnavailableError):
                await change(stored, 2, "second")
            store.faults.clear()
            self.assertEqual((await stored.current()).configuration, first)

        in_virtual_time(body)

    def test_outage_after_the_write(self) -> None:
        """The store goes down during a change and stays down.

        Whether the change took effect can't be known, so the error says so and names the change id.
        """

        async def body() -> None:
            store = MemoryStore()
            stored = configuration_store(store)
            store.faults.extend([Fault.NONE, Fault.ANSWER_LOST, *OUTAGE])
            with self.assertRaises(ChangeUnknownError) as caught:
                await change(stored, 1, "first")
            self.assertEqual(caught.exception.change_id, "first")

        in_virtual_time(body)

    def test_a_wiped_store_does_not_start_again_at_version_1(self) -> None:
        """The store loses its contents, and the operator applies the file again.

        Entries have version 5 and never go back to a lower version. They would ignore a new version
        1, although the operator was told that it is in force.
        """

        async def body() -> None:
            stored = configuration_store(MemoryStore())
            current = await stored.current()
            file = replace(BASE, version=ConfigurationVersion(5))
            written = prepared(stored, file, current, "again")
            await stored.replace(current, written)
            self.assertEqual(written.version, 6)

        in_virtual_time(body)


class ConcurrentChangesTest(unittest.TestCase):
    """Concurrent operators, with a store that refuses calls and loses answers."""

    @settings(max_examples=80)
    @given(
        st.lists(st.sampled_from(list(Fault)), max_size=40),
        st.integers(2, 4),
        st.integers(0, 2**32),
    )
    def test_reported_outcomes_are_correct(
        self, faults: list[Fault], operators: int, seed: int
    ) -> None:
        """Each change reported as accepted is in the history once, and no refused change is.

        Guards against a wrong report to one of several operators who race while answers are lost: a
        change reported as accepted that is not in force, or as refused that is.
        """

        async def body() -> None:
            store = MemoryStore(faults, random.Random(seed).random)
            accepted: list[str] = []
            refused: list[str] = []

            async def operate(number: int) -> None:
                randomness = random.Random(seed + number)
                stored = configuration_store(store, number)
                for attempt in range(3):
                    await trio.sleep(randomness.random())
                    name = f"{number}-{attempt}"
                    try:
                        await change(stored, randomness.randrange(1, 1000), name)
                        accepted.append(name)
                    except (ChangeLostError, StoreUnavailableError):
                        refused.append(name)
                    except ChangeUnknownError:
                        continue

            async with trio.open_nursery() as nursery:
                for number in range(operators):
                    nursery.start_soon(operate, number)
            store.faults.clear()
            self.assertEqual(set(refused) & set(await _change_ids(store)), set())
            self.assertEqual([await _count(store, name) for name in accepted], [1] * len(accepted))

        in_virtual_time(body)


async def _change_ids(store: MemoryStore) -> list[str]:
    """Return the change ids of all versions, oldest first."""
    stored = configuration_store(store)
    versions = [await stored.version(version) for version in await stored.versions()]
    versions.append((await stored.current()).configuration)
    by_version = {each.version: str(each.change_id) for each in versions if each is not None}
    return list(by_version.values())


async def _count(store: MemoryStore, name: str) -> int:
    return (await _change_ids(store)).count(name)
