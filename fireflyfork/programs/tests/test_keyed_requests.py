"""Tests of requests that are repeated under an idempotency key at other entries and other homes."""

import time
import unittest
import uuid
from collections.abc import Awaitable, Callable

import msgspec
import trio

from fireflyfork_standins import Switches

from ... import Epoch, MemberId
from ...decisions import Acquisition, partition_of
from .._key_copies import COPY_CHECK_SECONDS
from .builders_entries import PARTITIONS, REGION, RunningFleet, running_fleet

GENEROUS_SECONDS = 60.0
CLOCK_LEAD_SECONDS = 5.0


def run_fleet(body: Callable[[RunningFleet], Awaitable[None]]) -> None:
    """Run ``body`` with three entries, of which the first owns all partitions."""

    async def main() -> None:
        with trio.fail_after(GENEROUS_SECONDS):
            async with running_fleet() as fleet:
                await body(fleet)

    trio.run(main)


def run_fleet_with_targets_at_entry_1(body: Callable[[RunningFleet], Awaitable[None]]) -> None:
    """Run ``body`` with three entries.

    The second owns the partitions of the targets, and the first owns the other partitions.
    """
    targets = (partition_of(REGION, f"desk-{n}", PARTITIONS) for n in range(2))
    owned_by = {int(partition.rpartition("/")[2]): 1 for partition in targets}

    async def main() -> None:
        with trio.fail_after(GENEROUS_SECONDS):
            async with running_fleet(owned_by=owned_by) as fleet:
                await body(fleet)

    trio.run(main)


def a_key(age_seconds: float = 0.0) -> str:
    """Return a UUIDv7 key that was generated ``age_seconds`` ago."""
    milliseconds = int((time.time() - age_seconds) * 1000)
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | uuid.uuid4().int >> 68))


async def book(
    fleet: RunningFleet, entry: int, key: str, body: bytes = b"room 4"
) -> tuple[int, str, bytes]:
    """Send one booking and return its status, verdict and answer."""
    headers = ((b"idempotency-key", key.encode()),)
    head, answer = await fleet.entries[entry].call("POST", "/desk/holds", body, headers=headers)
    return head.status, head.header(b"fireflyfork-verdict") or "", answer


class RepeatedKeyTest(unittest.TestCase):
    """Repeats while the key's home does not change."""

    def test_a_repeat_at_another_entry_gets_the_first_answer(self) -> None:
        """Guards against a booking that runs twice when it is repeated at another entry.

        The room would be booked and invoiced twice.
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
        """Guards against concurrent repeats that each run: one booking runs, all get its answer."""

        async def body(fleet: RunningFleet) -> None:
            key = a_key()
            answers: list[tuple[int, str, bytes]] = []

            async def send_one(entry: int) -> None:
                answers.append(await book(fleet, entry, key))

            async with trio.open_nursery() as nursery:
                for entry in (0, 1, 2, 0, 1, 2):
                    nursery.start_soon(send_one, entry)
            self.assertEqual(len(set(answers)), 1, answers)
            self.assertEqual(answers[0][0], 200)
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_another_request_under_a_used_key(self) -> None:
        """Guards against a second request that gets the answer of the first one with its key.

        A faulty client uses one key for two different bookings.
        """

        async def body(fleet: RunningFleet) -> None:
            key = a_key()
            await book(fleet, 0, key)
            status, verdict, _ = await book(fleet, 1, key, b"room 5")
            self.assertEqual((status, verdict), (422, "not-run"))
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_a_repeat_after_a_lost_answer_does_not_run_again(self) -> None:
        """Guards against a second run after the executor ran the booking and its answer was lost."""

        async def body(fleet: RunningFleet) -> None:
            for executor in fleet.executors.values():
                executor.switch(Switches(lose_answers=1))
            key = a_key()
            self.assertEqual((await book(fleet, 1, key))[1], "may-have-run")
            self.assertEqual((await book(fleet, 2, key))[:2], (409, "may-have-run"))
            self.assertEqual(fleet.runs(), [key])

        run_fleet(body)

    def test_a_key_from_the_future(self) -> None:
        """Guards against keys that stay valid after the home has forgotten them.

        The keys' times are in the future because the caller's clock is far ahead.
        """

        async def body(fleet: RunningFleet) -> None:
            status, verdict, _ = await book(fleet, 0, a_key(-3600))
            self.assertEqual((status, verdict), (400, "not-run"))
            self.assertEqual(fleet.runs(), [])

        run_fleet(body)


class LostHomeTest(unittest.TestCase):
    """Repeats after the loss of a home whose guard holds copies of its key tables."""

    def test_a_key_that_never_started_runs_at_the_new_home(self) -> None:
        """Guards against new bookings that are refused for minutes after a home was lost.

        The key contains no time, so without a copy of the started keys it would count as one that
        may have run.
        """

        async def body(fleet: RunningFleet) -> None:
            fleet.state.guards[MemberId("entry-0")] = MemberId("entry-1")
            used, unused = fleet.key_at(0), fleet.key_at(0)
            self.assertEqual((await book(fleet, 2, used))[0], 200)
            await trio.sleep(2 * COPY_CHECK_SECONDS)
            fleet.fence_entry(0, to=2)
            self.assertEqual((await book(fleet, 1, unused))[:2], (200, "answered"))
            self.assertEqual((await book(fleet, 1, used))[:2], (409, "may-have-run"))
            self.assertEqual(sorted(fleet.runs()), sorted([used, unused]))

        run_fleet_with_targets_at_entry_1(body)

    def test_two_homes_lost_one_after_the_other(self) -> None:
        """Guards against the loss of the first home's keys when the second home is lost too."""

        async def body(fleet: RunningFleet) -> None:
            fleet.state.guards[MemberId("entry-0")] = MemberId("entry-1")
            fleet.state.guards[MemberId("entry-2")] = MemberId("entry-1")
            key = fleet.key_at(0)
            await book(fleet, 1, key)
            await trio.sleep(2 * COPY_CHECK_SECONDS)
            fleet.fence_entry(0, to=2)
            await trio.sleep(2 * COPY_CHECK_SECONDS)
            fleet.fence_entry(2, to=1, epoch=2)
            unused = fleet.key_at(1)
            self.assertEqual((await book(fleet, 1, key))[:2], (409, "may-have-run"))
            self.assertEqual((await book(fleet, 1, unused))[:2], (200, "answered"))
            self.assertEqual(sorted(fleet.runs()), sorted([key, unused]))

        run_fleet_with_targets_at_entry_1(body)

    def test_a_copy_of_another_term_is_not_trusted(self) -> None:
        """Guards against a stale copy that lets a booking run a second time.

        The home changed its guard, started a key, and returned to the first guard, whose copy lacks
        that key.
        """

        async def body(fleet: RunningFleet) -> None:
            home, guard, other = (MemberId(f"entry-{n}") for n in range(3))
            fleet.state.guards[home] = guard
            await book(fleet, 2, fleet.key_at(0))
            fleet.state.guards[home] = other
            key = fleet.key_at(0)
            await book(fleet, 2, key)
            fleet.state.guards[home] = guard
            fleet.state.guarded_since[home] = Epoch(2)
            fleet.fence_entry(0, to=2)
            self.assertEqual((await book(fleet, 1, key))[:2], (409, "may-have-run"))
            self.assertEqual(fleet.runs().count(key), 1)

        run_fleet_with_targets_at_entry_1(body)

    def test_nothing_runs_before_the_guard_has_acknowledged_its_key(self) -> None:
        """Guards against bookings that run before the guard has acknowledged their keys.

        The guard is lost and not replaced yet; the booking waits until it is refused.
        """

        async def body(fleet: RunningFleet) -> None:
            fleet.state.guards[MemberId("entry-0")] = MemberId("nobody")
            headers = ((b"idempotency-key", fleet.key_at(0).encode()),)
            head, answer = await fleet.entries[2].call(
                "POST", "/desk/holds", timeout_ms="700", headers=headers
            )
            self.assertEqual(head.status, 503, answer)
            self.assertEqual(head.header(b"fireflyfork-verdict"), "not-run")
            self.assertEqual(fleet.runs(), [])

        run_fleet_with_targets_at_entry_1(body)


class MovedHomeTest(unittest.TestCase):
    """Repeats after another entry became the key's home."""

    def test_a_planned_move_takes_the_answers_along(self) -> None:
        """Guards against keys and answers that are lost in a planned restart of their home."""

        async def body(fleet: RunningFleet) -> None:
            old, new = a_key(), a_key()
            first = await book(fleet, 0, old)
            fleet.move_all(2, Acquisition.MOVED)
            self.assertEqual(await book(fleet, 1, old), first)
            self.assertEqual((await book(fleet, 1, new))[:2], (200, "answered"))
            self.assertEqual(sorted(fleet.runs()), sorted([old, new]))

        run_fleet(body)

    def test_a_lost_home_leaves_doubt_about_earlier_keys_only(self) -> None:
        """Guards against a second run of a booking after its home and key table were lost.

        The answer was lost too. The key is older than the loss, so the repeat is refused as one
        that may have run. A key that the new home generates later was never used and runs.
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
        """Guards against callers that wait in vain for the slots of a lost owner.

        The lost owner's requests may still run, so its slots count as busy for the longest run
        time. A caller with an earlier deadline is refused immediately, with the time to retry.
        """

        async def body(fleet: RunningFleet) -> None:
            fleet.move_all(2, Acquisition.TAKEN_OVER)
            head, answer = await fleet.entries[2].call("POST", "/desk/holds", timeout_ms="5000")
            self.assertEqual(head.status, 503, answer)
            self.assertEqual(msgspec.json.decode(answer)["verdict"], "not-run")
            self.assertIn(int(head.header(b"retry-after") or "0"), range(6, 9))
            self.assertEqual(fleet.runs(), [])

        run_fleet(body)

    def test_a_former_home_without_the_new_record_runs_nothing(self) -> None:
        """Guards against a run at a home that was paused, lost its right and was resumed.

        A booking reaches it before it has received the new fleet record.
        """

        async def body(fleet: RunningFleet) -> None:
            fleet.state.without_right.update(fleet.state.addresses)
            key = a_key()
            status, verdict, answer = await book(fleet, 0, key)
            self.assertEqual((status, verdict), (503, "not-run"), answer)
            self.assertEqual(fleet.runs(), [])
            fleet.state.without_right.clear()
            self.assertEqual((await book(fleet, 0, key))[:2], (200, "answered"))

        run_fleet(body)
