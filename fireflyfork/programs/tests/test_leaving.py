"""Tests of targets and entries that leave as planned."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from ... import TargetId
from ...adapters import HttpClientConnection, InstanceChange, InstanceState, RequestHead
from ...decisions import Acquisition
from .builders_entries import RunningFleet, running_fleet

GENEROUS_SECONDS = 60.0
SEVERAL_HEARTBEATS = 3.0


def run_fleet(body: Callable[[RunningFleet], Awaitable[None]], **arrangement: object) -> None:
    """Run ``body`` with a fleet; ``arrangement`` is passed to ``running_fleet``."""

    async def main() -> None:
        with trio.fail_after(GENEROUS_SECONDS):
            async with running_fleet(**arrangement) as fleet:  # type: ignore[arg-type]
                await body(fleet)

    trio.run(main)


async def book_all_at_entry_1(
    fleet: RunningFleet, action: Callable[[], Awaitable[None]]
) -> list[int]:
    """Return the statuses of four bookings, during which ``action`` is called."""
    statuses: list[int] = []

    async def send_one() -> None:
        head, _ = await fleet.entries[1].call("POST", "/desk/x")
        statuses.append(head.status)

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(send_one)
        await trio.sleep(0.1)
        await action()
    return statuses


class LeavingTargetTest(unittest.TestCase):
    """A target that the platform reports as leaving."""

    def test_a_leaving_target_gets_no_requests_once_a_peer_has_reported_it(self) -> None:
        """Guards against bookings that are sent to a leaving target and end with its instance.

        Only one entry has the new instance list; the owner's list lags.
        """

        async def body(fleet: RunningFleet) -> None:
            leaving_id = TargetId("desk-0")
            change = InstanceChange(leaving_id, InstanceState.LEAVING)
            fleet.entries[2].entry.note_instances((change,))
            await trio.sleep(SEVERAL_HEARTBEATS)
            before = len(fleet.executors[leaving_id].history)
            for number in range(12):
                head, answer = await fleet.entries[number % 3].call("POST", "/desk/x")
                self.assertEqual(head.status, 200, answer)
            self.assertEqual(len(fleet.executors[leaving_id].history), before)

        run_fleet(body)

    def test_requests_running_on_a_leaving_target_are_completed(self) -> None:
        """Guards against running bookings that are not answered because their target is leaving."""

        async def body(fleet: RunningFleet) -> None:
            async def lose_all() -> None:
                changes = [
                    InstanceChange(target_id, InstanceState.LEAVING)
                    for target_id in fleet.executors
                ]
                fleet.entries[0].entry.note_instances(changes)

            statuses = await book_all_at_entry_1(fleet, lose_all)
            self.assertEqual(statuses, [200] * 4)

        run_fleet(body, run_seconds=0.4)


class LeavingEntryTest(unittest.TestCase):
    """An entry that is restarted as planned."""

    def test_requests_in_flight_are_answered(self) -> None:
        """Guards against unanswered requests when an entry is stopped while callers wait."""

        async def body(fleet: RunningFleet) -> None:
            async def stop() -> None:
                await fleet.entries[1].entry.stop_callers(0.0)

            statuses = await book_all_at_entry_1(fleet, stop)
            self.assertEqual(statuses, [200] * 4)

        run_fleet(body, run_seconds=0.4)

    def test_a_kept_connection_is_told_before_it_is_closed(self) -> None:
        """Guards against a stopping entry that closes a kept connection without notice.

        A request could already be on its way, and its caller could not tell whether it ran.
        """

        async def body(fleet: RunningFleet) -> None:
            running = fleet.entries[1]
            connection = await HttpClientConnection.open(running.caller_address, 5.0)
            head = RequestHead(
                "GET", "/desk/x", ((b"host", b"desk"), (b"request-timeout-ms", b"5000"))
            )
            async with trio.open_nursery() as nursery:
                first, _ = await connection.request(head, b"", 10_000)
                self.assertIsNone(first.header(b"connection"))
                nursery.start_soon(running.entry.stop_callers, 1.0)
                await trio.sleep(0.1)
                last, _ = await connection.request(head, b"", 10_000)
                self.assertEqual(last.status, 200)
                self.assertEqual(last.header(b"connection"), "close")
            connection.close()

        run_fleet(body)

    def test_a_planned_move_under_load_loses_and_doubles_nothing(self) -> None:
        """Guards against lost or repeated bookings when the ownership of all targets moves.

        Bookings that wait at the old owner are redirected to the new one, which counts the slots of
        running bookings as busy.
        """

        async def body(fleet: RunningFleet) -> None:
            answers: list[tuple[int, bytes]] = []

            async def send_one(number: int) -> None:
                entry = fleet.entries[number % 3]
                head, answer = await entry.call("POST", f"/desk/{number}", timeout_ms="9000")
                answers.append((head.status, answer))

            async with trio.open_nursery() as nursery:
                for number in range(24):
                    nursery.start_soon(send_one, number)
                await trio.sleep(0.3)
                fleet.move_all(2, Acquisition.MOVED)
            self.assertEqual([status for status, _ in answers], [200] * 24, answers)
            self.assertEqual(len(fleet.runs()), 24)
            self.assertEqual(len(set(fleet.runs())), 24)
            for executor in fleet.executors.values():
                self.assertLessEqual(executor.most_busy, 2)

        run_fleet(body, run_seconds=0.2)
