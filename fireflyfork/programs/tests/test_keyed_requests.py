"""Requests with idempotency keys, repeated at other entries and around changes of the home."""

import time
import unittest
import uuid
from collections.abc import Awaitable, Callable

import msgspec
import trio

from fireflyfork_standins import Switches

from ... import Epoch, MemberId
from ...decisions import Acquisition, partition_of
from .._key_copies import KEEP_SECONDS
from .builders_entries import PARTITIONS, REGION, RunningFleet, running_fleet

GENEROUS_SECONDS = 60.0
CLOCK_LEAD_SECONDS = 5.0


def run_fleet(body: Callable[[RunningFleet], Awaitable[None]]) -> None:
    """Run ``body`` with three entries, of which the first owns everything."""

    async def main() -> None:
        with trio.fail_after(GENEROUS_SECONDS):
            async with running_fleet() as fleet:
                await body(fleet)

    trio.run(main)


def run_fleet_with_targets_at_entry_1(body: Callable[[RunningFleet], Awaitable[None]]) -> None:
    """Run ``body`` with three entries; the second owns the targets and the first the rest."""
    targets = (partition_of(REGION, f"desk-{n}", PARTITIONS) for n in range(2))
    owned_by = {int(partition.rpartition("/")[2]): 1 for partition in targets}

    async def main() -> None:
        with trio.fail_after(GENEROUS_SECONDS):
            async with running_fleet(owned_by=owned_by) as fleet:
                await body(fleet)

    trio.run(main)


def a_key(age_seconds: float = 0.0) -> str:
    """A UUIDv7 made so long ago."""
    milliseconds = int((time.time() - age_seconds) * 1000)
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | uuid.uuid4().int >> 68))


async def book(
    fleet: RunningFleet, entry: int, key: str, body: bytes = b"room 4"
) -> tuple[int, str, bytes]:
    """One booking: its status, verdict and answer."""
    headers = ((b"idempotency-key", key.encode()),)
    head, answer = await fleet.entries[entry].call("POST", "/desk/holds", body, headers=headers)
    return head.status, head.header(b"fireflyfork-verdict") or "", answer


class RepeatedKeyTest(unittest.TestCase):
    """Repeats while the home stays where it is."""

    def test_a_repeat_at_another_entry_gets_the_first_answer(self) -> None:
        """A clerk's browser sends a booking again through another entry.

        If it ran again, the room would be booked and invoiced twice.
        """

        async def body(fleet: RunningFleet) -> None:
            key = a_key()
            first = await book(fleet, 0, key)
            self.assertEqual(first[:2], (200, "answered"))
            for entry in (1, 2, 0):
                self.assertEqual(await book(fleet, entry, key), first)
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_repeats_at_once_join_the_first(self) -> None:
        """An impatient clerk clicks many times; one booking runs and all see its answer."""

        async def body(fleet: RunningFleet) -> None:
            key = a_key()
            answers: list[tuple[int, str, bytes]] = []

            async def one(entry: int) -> None:
                answers.append(await book(fleet, entry, key))

            async with trio.open_nursery() as nursery:
                for entry in (0, 1, 2, 0, 1, 2):
                    nursery.start_soon(one, entry)
            self.assertEqual(len(set(answers)), 1, answers)
            self.assertEqual(answers[0][0], 200)
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_another_request_under_a_used_key(self) -> None:
        """A faulty client uses one key for two rooms; the second must not pass for the first."""

        async def body(fleet: RunningFleet) -> None:
            key = a_key()
            await book(fleet, 0, key)
            status, verdict, _ = await book(fleet, 1, key, b"room 5")
            self.assertEqual((status, verdict), (422, "not-run"))
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_a_repeat_after_a_lost_answer_does_not_run_again(self) -> None:
        """The executor ran the booking and its answer was lost; the clerk tries again."""

        async def body(fleet: RunningFleet) -> None:
            for executor in fleet.executors.values():
                executor.switch(Switches(lose_answers=1))
            key = a_key()
            self.assertEqual((await book(fleet, 1, key))[1], "may-have-run")
            self.assertEqual((await book(fleet, 2, key))[:2], (409, "may-have-run"))
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_a_key_from_the_future(self) -> None:
        """A caller's clock is far ahead, so that its keys would outlive the memory of them."""

        async def body(fleet: RunningFleet) -> None:
            status, verdict, _ = await book(fleet, 0, a_key(-3600))
            self.assertEqual((status, verdict), (400, "not-run"))
            self.assertEqual(fleet.runs(), [])

        run_fleet(body)


class LostHomeTest(unittest.TestCase):
    """Repeats after the home was lost, which its guard has copies for."""

    def test_a_key_that_never_started_runs_at_the_new_home(self) -> None:
        """A clerk books just after the home died, with a key that tells nothing of its age.

        Without a copy of the started keys the booking would be refused for minutes, as one that
        may have run.
        """

        async def body(fleet: RunningFleet) -> None:
            fleet.fleet.guards[MemberId("entry-0")] = MemberId("entry-1")
            used, unused = fleet.a_key_at(0), fleet.a_key_at(0)
            self.assertEqual((await book(fleet, 2, used))[0], 200)
            await trio.sleep(2 * KEEP_SECONDS)
            fleet.lose(0, to=2)
            self.assertEqual((await book(fleet, 1, unused))[:2], (200, "answered"))
            self.assertEqual((await book(fleet, 1, used))[:2], (409, "may-have-run"))
            self.assertEqual(sorted(fleet.runs()), sorted([used, unused]))

        run_fleet_with_targets_at_entry_1(body)

    def test_two_homes_lost_one_after_the_other(self) -> None:
        """The second home dies soon after it took over from the first, with the first's keys."""

        async def body(fleet: RunningFleet) -> None:
            fleet.fleet.guards[MemberId("entry-0")] = MemberId("entry-1")
            fleet.fleet.guards[MemberId("entry-2")] = MemberId("entry-1")
            key = fleet.a_key_at(0)
            await book(fleet, 1, key)
            await trio.sleep(2 * KEEP_SECONDS)
            fleet.lose(0, to=2)
            await trio.sleep(2 * KEEP_SECONDS)
            fleet.lose(2, to=1, epoch=2)
            unused = fleet.a_key_at(1)
            self.assertEqual((await book(fleet, 1, key))[:2], (409, "may-have-run"))
            self.assertEqual((await book(fleet, 1, unused))[:2], (200, "answered"))
            self.assertEqual(sorted(fleet.runs()), sorted([key, unused]))

        run_fleet_with_targets_at_entry_1(body)

    def test_a_copy_of_another_term_is_not_trusted(self) -> None:
        """The home had left its guard for another, started a key there, and came back.

        The guard's copy is stale; taking it for whole would let the booking run a second time.
        """

        async def body(fleet: RunningFleet) -> None:
            home, guard, other = (MemberId(f"entry-{n}") for n in range(3))
            fleet.fleet.guards[home] = guard
            await book(fleet, 2, fleet.a_key_at(0))
            fleet.fleet.guards[home] = other
            key = fleet.a_key_at(0)
            await book(fleet, 2, key)
            fleet.fleet.guards[home] = guard
            fleet.fleet.guarded_since[home] = Epoch(2)
            fleet.lose(0, to=2)
            self.assertEqual((await book(fleet, 1, key))[:2], (409, "may-have-run"))
            self.assertEqual(fleet.runs().count(key), 1)

        run_fleet_with_targets_at_entry_1(body)

    def test_nothing_runs_that_the_guard_does_not_know(self) -> None:
        """The guard is gone and not replaced yet; the booking waits, and is then refused."""

        async def body(fleet: RunningFleet) -> None:
            fleet.fleet.guards[MemberId("entry-0")] = MemberId("nobody")
            headers = ((b"idempotency-key", fleet.a_key_at(0).encode()),)
            head, answer = await fleet.entries[2].call(
                "POST", "/desk/holds", timeout_ms="700", headers=headers
            )
            self.assertEqual(head.status, 503, answer)
            self.assertEqual(head.header(b"fireflyfork-verdict"), "not-run")
            self.assertEqual(fleet.runs(), [])

        run_fleet_with_targets_at_entry_1(body)


class MovedHomeTest(unittest.TestCase):
    """Repeats after the home has changed."""

    def test_a_planned_move_takes_the_answers_along(self) -> None:
        """The home restarts as planned between a booking and its repeat; nothing is forgotten."""

        async def body(fleet: RunningFleet) -> None:
            old, new = a_key(), a_key()
            first = await book(fleet, 0, old)
            fleet.move_all(2, Acquisition.MOVED)
            self.assertEqual(await book(fleet, 1, old), first)
            self.assertEqual((await book(fleet, 1, new))[:2], (200, "answered"))
            self.assertEqual(sorted(fleet.runs()), sorted([old, new]))

        run_fleet(body)

    def test_a_lost_home_leaves_doubt_about_earlier_keys_only(self) -> None:
        """The home dies after it ran a booking whose answer got lost, and its table with it.

        The repeat must not run. A key that was made here later was never used and runs.
        """

        async def body(fleet: RunningFleet) -> None:
            key = a_key()
            await book(fleet, 0, key)
            fleet.move_all(2, Acquisition.TAKEN_OVER)
            status, verdict, _ = await book(fleet, 1, key)
            self.assertEqual((status, verdict), (409, "may-have-run"))
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_after_a_lost_owner_callers_hear_when_its_slots_are_surely_free(self) -> None:
        """The owner died with unknown work on its executors, so none of their slots is counted on.

        A caller whose deadline comes earlier is refused at once and told when to come back.
        """

        async def body(fleet: RunningFleet) -> None:
            fleet.move_all(2, Acquisition.TAKEN_OVER)
            head, answer = await fleet.entries[2].call("POST", "/desk/holds", timeout_ms="5000")
            self.assertEqual(head.status, 503, answer)
            self.assertEqual(msgspec.json.decode(answer)["verdict"], "not-run")
            self.assertIn(int(head.header(b"retry-after") or "0"), range(6, 9))
            self.assertEqual(fleet.runs(), [])

        run_fleet(body)

    def test_an_old_home_that_does_not_know_it_yet_runs_nothing(self) -> None:
        """The home was paused, lost its right and wakes; a booking reaches it before the news."""

        async def body(fleet: RunningFleet) -> None:
            fleet.fleet.without_right.update(fleet.fleet.addresses)
            key = a_key()
            status, verdict, answer = await book(fleet, 0, key)
            self.assertEqual((status, verdict), (503, "not-run"), answer)
            self.assertEqual(fleet.runs(), [])
            fleet.fleet.without_right.clear()
            self.assertEqual((await book(fleet, 0, key))[:2], (200, "answered"))

        run_fleet(body)
