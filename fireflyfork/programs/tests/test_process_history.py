"""Tests of failures of whole processes, checked on the history of callers and executors."""

import signal
import time
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from ... import TargetId
from .builders_processes import Callers, EntryProcess, ProcessFleet, process_fleet
from .history_checks import CallEnd, cut_off, runs_after, unanswered, violations

Scenario = Callable[[ProcessFleet], Awaitable[None]]
LONGEST_SECONDS = 90.0
CALLERS = 8


def run_scenario(scenario: Scenario, proxied: bool = False, settled: bool = True) -> None:
    """Run a scenario with a new fleet, by default after all entries answer bookings."""

    async def main() -> None:
        with trio.fail_after(LONGEST_SECONDS):
            async with process_fleet(proxied) as fleet:
                if settled:
                    await Callers(fleet, seed=0).settle()
                    fleet.settled_calls = len(fleet.calls)
                await scenario(fleet)

    try:
        trio.run(main)
    except BaseExceptionGroup as group:
        # A nursery wraps a failed check in a group, which the test runner would report as an error
        # instead of a failure.
        if len(group.exceptions) == 1:
            raise group.exceptions[0] from None
        raise


async def owner_of_most(fleet: ProcessFleet) -> EntryProcess:
    """Return the entry that owns the most targets."""
    owned = [(len(await fleet.own_targets(entry)), entry.name, entry) for entry in fleet.entries]
    return max(owned)[2]


class ProcessHistoryTest(unittest.TestCase):
    """After each scenario, all guarantees that hold under every failure are checked."""

    async def _check_history(self, fleet: ProcessFleet, min_answered: int) -> None:
        history = await fleet.history()
        self.assertEqual(violations(history), [])
        counts = Counter((call.end.value, call.status, call.verdict) for call in history.calls)
        self.assertGreater(sum(call.status == 200 for call in history.calls), min_answered, counts)

    def test_nothing_fails(self) -> None:
        """Without failures all bookings are answered, so the harness itself loses none."""

        async def scenario(fleet: ProcessFleet) -> None:
            await Callers(fleet, seed=1).run(CALLERS, 3.0)
            await self._check_history(fleet, min_answered=50)
            self.assertEqual(list(unanswered(await fleet.history(), fleet.settled_calls)), [])

        run_scenario(scenario)

    def test_an_owner_dies_under_load(self) -> None:
        """Guards against second runs and a false "not run" when an owner is killed.

        Bookings are running at the owner when its process is killed.
        """

        async def scenario(fleet: ProcessFleet) -> None:
            victim = await owner_of_most(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=2).run, 4 * CALLERS, 9.0)
                await trio.sleep(2.0)
                fleet.signal_entry(victim, signal.SIGKILL)
            await self._check_history(fleet, min_answered=50)
            late = [call for call in fleet.calls if call.sent_at > fleet.calls[-1].sent_at - 1.0]
            self.assertTrue(any(call.status == 200 for call in late))

        run_scenario(scenario, proxied=True)

    def test_an_owner_is_paused_and_resumed(self) -> None:
        """Guards against overloaded executors when an owner is paused, replaced and resumed."""

        async def scenario(fleet: ProcessFleet) -> None:
            victim = await owner_of_most(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=3).run, 3 * CALLERS, 10.0)
                await trio.sleep(1.5)
                await fleet.freeze(victim, 5.0)
            await self._check_history(fleet, min_answered=50)

        run_scenario(scenario, proxied=True)

    def test_the_store_is_down_under_load(self) -> None:
        """Guards against unanswered bookings while the platform's store is down for 6 seconds."""

        async def scenario(fleet: ProcessFleet) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=4).run, CALLERS, 9.0)
                await trio.sleep(1.0)
                await fleet.switch(fleet.store, down=True)
                await trio.sleep(6.0)
                await fleet.switch(fleet.store)
            await self._check_history(fleet, min_answered=100)
            self.assertEqual(list(unanswered(await fleet.history(), fleet.settled_calls)), [])

        run_scenario(scenario)

    def test_store_answers_are_lost_while_an_entry_joins(self) -> None:
        """Guards against false conclusions from lost store answers when a killed entry rejoins."""

        async def scenario(fleet: ProcessFleet) -> None:
            victim = fleet.entries[1]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=5).run, CALLERS, 8.0)
                await trio.sleep(1.0)
                fleet.signal_entry(victim, signal.SIGKILL)
                await fleet.ended(victim)
                await fleet.switch(fleet.store, lose_answers=4)
                fleet.start_entry(victim)
            await fleet.ready(victim)
            await self._check_history(fleet, min_answered=50)

        run_scenario(scenario)

    def test_failures_come_together_and_twice(self) -> None:
        """Guards against wrong verdicts when entries fail while the store is down.

        No member can be fenced during the outage. Then store answers are lost and another entry is
        paused.
        """

        async def scenario(fleet: ProcessFleet) -> None:
            dies, pauses = fleet.entries[1], fleet.entries[2]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=9).run, 2 * CALLERS, 12.0)
                await trio.sleep(0.5)
                await fleet.switch(fleet.store, down=True)
                await trio.sleep(0.5)
                fleet.signal_entry(dies, signal.SIGKILL)
                await trio.sleep(3.5)
                await fleet.switch(fleet.store, lose_answers=2)
                fleet.start_entry(dies)
                await fleet.freeze(pauses, 3.0)
            await self._check_history(fleet, min_answered=50)

        run_scenario(scenario, proxied=True)

    def test_a_planned_restart_cuts_nothing_off(self) -> None:
        """Guards against cut-off or doubtful bookings when an owner is restarted as planned."""

        async def scenario(fleet: ProcessFleet) -> None:
            victim = await owner_of_most(fleet)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=6).run, CALLERS, 9.0)
                await trio.sleep(1.5)
                fleet.signal_entry(victim, signal.SIGTERM)
                self.assertEqual(await fleet.ended(victim), 0)
                fleet.start_entry(victim)
            await self._check_history(fleet, min_answered=100)
            self.assertEqual(list(cut_off(fleet.calls)), [])
            calls = fleet.calls[fleet.settled_calls :]
            doubtful = [call for call in calls if call.verdict == "may-have-run"]
            keys = {call.key for call in doubtful}
            seen = [call for call in fleet.calls if call.key in keys]
            self.assertEqual(seen, [])

        run_scenario(scenario, proxied=True)

    def test_a_leaving_executor_gets_nothing_new(self) -> None:
        """Guards against bookings that are sent to a leaving executor and end with its instance.

        The entries read the change from an instance list that lags.
        """

        async def scenario(fleet: ProcessFleet) -> None:
            leaving = TargetId("t0")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=7).run, CALLERS, 7.0)
                await trio.sleep(2.0)
                marked_at = time.time()
                await fleet.mark(leaving, "leaving")
            history = await fleet.history()
            self.assertEqual(list(runs_after(history, leaving, marked_at + 3.0)), [])
            self.assertTrue([run for run in history.runs if run.target_id == leaving])
            await self._check_history(fleet, min_answered=100)
            self.assertEqual(list(unanswered(history, fleet.settled_calls)), [])

        run_scenario(scenario)

    def test_connections_go_silent_for_good(self) -> None:
        """Guards against requests that are sent on connections that have gone silent."""

        async def scenario(fleet: ProcessFleet) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Callers(fleet, seed=8).run, CALLERS, 8.0)
                await trio.sleep(2.0)
                silent_at = time.time()
                for relay in fleet.proxies.values():
                    relay.silence()
            await self._check_history(fleet, min_answered=100)
            calls = fleet.calls[fleet.settled_calls :]
            met = {call.key for call in calls if call.verdict == "may-have-run"}
            self.assertEqual([c for c in fleet.calls if c.end is CallEnd.BROKEN], [])
            self.assertLessEqual(len(met), 2 * CALLERS)
            late = [call for call in fleet.calls if call.sent_at > silent_at + 4.0]
            self.assertEqual([call for call in late if call.status != 200], [])

        run_scenario(scenario, proxied=True)
