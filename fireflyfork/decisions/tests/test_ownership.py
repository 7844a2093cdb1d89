"""Tests of a simulated fleet of membership state machines under faults."""

import unittest
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .._rights import MembershipTiming, RightRules
from .builders_ownership import NO_FAULTS, Faults, FleetSimulation, Process
from .builders_rights import AcknowledgesWithoutRight, DatedFromReceipt, NoWait, OldValueSettles

_ONE = st.integers(0, 9)
_SHORT = st.floats(0.1, 4.0)
_LONG = st.floats(1.0, 12.0)


class OwnershipMachine(RuleBasedStateMachine):
    """Hypothesis chooses the faults; messages and answers are also lost and delayed."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start a fleet of six processes and let it settle."""
        messages = Faults(lost=0.02, slow=0.05, unanswered=0.1, late_writes=0.1)
        self.simulation = FleetSimulation(seed, faults=messages)
        self.simulation.run(6)

    def _pick(self, number: int) -> Process | None:
        processes = self.simulation.processes
        return processes[number % len(processes)] if processes else None

    @rule(seconds=_SHORT)
    def pass_time(self, seconds: float) -> None:
        """Time passes without a new fault."""
        self.simulation.run(seconds)

    @rule(number=_ONE, seconds=_LONG)
    def pause(self, number: int, seconds: float) -> None:
        """A process is frozen."""
        if (process := self._pick(number)) is not None:
            self.simulation.pause(process, seconds)

    @rule(number=_ONE, same_address=st.booleans(), delay=_SHORT)
    def crash(self, number: int, same_address: bool, delay: float) -> None:
        """A process crashes, and a successor starts."""
        if (process := self._pick(number)) is not None:
            self.simulation.kill(process)
            self.simulation.restart(process, same_address, delay)

    @rule(number=_ONE)
    def stop(self, number: int) -> None:
        """A process is stopped as planned and replaced."""
        if (process := self._pick(number)) is not None:
            self.simulation.stop(process)

    @rule(numbers=st.sets(_ONE, min_size=1, max_size=3), seconds=_LONG)
    def cut_group(self, numbers: set[int], seconds: float) -> None:
        """Some processes are cut from all others and the store."""
        inside = [process for number in numbers if (process := self._pick(number)) is not None]
        self.simulation.cut_from_rest(inside, seconds)

    @rule(sender=_ONE, receiver=_ONE, seconds=_LONG)
    def cut_one_way(self, sender: int, receiver: int, seconds: float) -> None:
        """Messages from one process to another are dropped, in one direction."""
        sending, receiving = self._pick(sender), self._pick(receiver)
        if sending is not None and receiving is not None:
            self.simulation.cut_one_way(sending, receiving, seconds)

    @rule(seconds=_LONG)
    def store_outage(self, seconds: float) -> None:
        """The store does not answer."""
        self.simulation.store_down_until = self.simulation.now + seconds

    @invariant()
    def one_owner_at_a_time(self) -> None:
        """No two processes may dispatch for a partition at the same time."""
        if hasattr(self, "simulation"):
            assert not self.simulation.violations, self.simulation.violations

    def teardown(self) -> None:
        """After all faults have ended, each partition is served, unless no process may fence."""
        if not hasattr(self, "simulation"):
            return
        self.simulation.heal()
        self.simulation.run(25)
        assert not self.simulation.violations, self.simulation.violations
        assert not self.simulation.unserved() or self.simulation.dead_cycle()


class OwnershipTest(unittest.TestCase):
    """Safety and recovery of the fleet as a whole."""

    def test_one_owner_at_a_time(self) -> None:
        """Any combination of pauses, cuts, crashes, stops and store outages.

        Two owners of one target would send it more requests than it has slots, and requests could
        be slow or run twice.
        """
        machine: Any = OwnershipMachine.TestCase()
        machine.settings = settings(max_examples=30, stateful_step_count=10)
        machine.runTest()

    def test_crashed_member_is_replaced_within_seconds(self) -> None:
        """A member crashes while the store works; its partitions get new owners within 6 s."""
        for seed in range(6):
            simulation = FleetSimulation(seed, faults=NO_FAULTS)
            simulation.run(20)
            simulation.kill(simulation.processes[seed])
            simulation.run(6)
            with self.subTest(seed=seed):
                self.assertEqual(simulation.unserved(), set())

    def test_records_reach_members_with_silent_watches(self) -> None:
        """Two members that guard each other are cut off while the record changes.

        Their watch goes silent permanently and each record is forwarded only once. Without the
        comparison of revisions they would keep their right and never learn of partitions that were
        moved to them, and requests for those partitions would be refused forever.
        """
        cases = [
            (MembershipTiming(), False),
            (MembershipTiming(compare_interval_seconds=1e9), True),
        ]
        for timing, stays_behind in cases:
            with self.subTest(compare_seconds=timing.compare_interval_seconds):
                places = ("vanua/labasa", "vanua/labasa", "viti/suva", "viti/nadi", "viti/nadi")
                simulation = FleetSimulation(5, places, timing=timing, faults=NO_FAULTS)
                simulation.run(20)
                pair = [process for process in simulation.processes if _region(process) == "vanua"]
                simulation.watches_silent = True
                simulation.cut_from_rest(pair, 8)
                simulation.stop(
                    next(process for process in simulation.processes if process not in pair)
                )
                simulation.run(30)
                behind = any(process.state.revision < simulation.revision for process in pair)
                self.assertEqual(behind, stays_behind)

    def test_cut_off_member_does_not_overload_the_store(self) -> None:
        """A member that can't reach its best-ranked guard must not switch back and forth.

        Without hysteresis it switches back to the best guard immediately and repeatedly, with
        several writes per second.
        """
        simulation = FleetSimulation(3, faults=NO_FAULTS)
        simulation.run(20)
        first, *peers = (process for process in simulation.processes if _region(process) == "viti")
        for peer in peers:
            simulation.cut_one_way(first, peer, 60)
            simulation.cut_one_way(peer, first, 60)
        simulation.counts.clear()
        simulation.run(60)
        self.assertLess(simulation.counts["write"], 80)

    def test_mutual_guards_recover_from_a_pause_in_an_outage(self) -> None:
        """All members are paused for 5 s during a store outage, so that all lose the right.

        Members that guard each other recover without the store, and then their wards do.
        """
        simulation = FleetSimulation(1, faults=NO_FAULTS)
        simulation.run(20)
        simulation.store_down_until = simulation.now + 60
        for process in simulation.processes:
            simulation.pause(process, 5)
        simulation.run(10)
        self.assertEqual(simulation.unserved(), set())


def _region(process: Process) -> str:
    return process.state.me.zone.region


class WeakerRulesTest(unittest.TestCase):
    """The simulation with one rule weakened, with the first seed that showed a violation."""

    def test_each_rule_is_needed(self) -> None:
        """Each weakened rule leads to two owners, which shows that the simulation detects them."""
        cases: list[tuple[RightRules, int]] = [
            (AcknowledgesWithoutRight(), 199),
            (DatedFromReceipt(), 3),
            (NoWait(), 31),
            (OldValueSettles(), 20),
        ]
        for rules, seed in cases:
            for tried, breaks in ((rules, True), (RightRules(), False)):
                with self.subTest(rules=type(tried).__name__, seed=seed):
                    simulation = FleetSimulation(seed, rules=tried)
                    simulation.run(8)
                    simulation.run_with_faults(40)
                    simulation.heal()
                    simulation.run(25)
                    self.assertEqual(bool(simulation.violations), breaks)


class LargeFleetTest(unittest.TestCase):
    """A fleet over seven regions."""

    def test_eighteen_entries_settle(self) -> None:
        """Starts must not take longer as the fleet grows: 18 entries settle within 30 s."""
        places = tuple(f"r{number % 7}/d{number % 16}" for number in range(18))
        simulation = FleetSimulation(1, places, faults=NO_FAULTS)
        simulation.run(30)
        self.assertEqual(simulation.unserved(), set())
