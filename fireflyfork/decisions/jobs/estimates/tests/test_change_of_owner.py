"""Load: a new owner begins while a rack fails; what the earlier one learned is not learned again."""

import unittest
from dataclasses import replace

import msgspec

from ....._ids import ExecutorId
from ... import (
    EstimateSettings,
    StoredEstimates,
    StoredSpeed,
    decode_estimates,
    decode_learned,
    decode_registrations,
    encode_learned,
    encode_registrations,
)
from ...tests.builders_jobs import START_MS, learned, registration
from .builders_estimates import RackedFleet, in_rack


def learned_by_earlier_owner() -> StoredEstimates:
    """Return what an owner has learned of a rack that fails every run."""
    fleet = RackedFleet()
    for _ in range(5):
        fleet.round(lambda run: in_rack(run, "r0"), jobs=32)
    stored = fleet.owner.scheduler.learned_estimates()
    assert stored is not None
    return stored


class ChangeOfOwnerTest(unittest.TestCase):
    """The counts survive a change of owner, with their age."""

    def _runs_in_rack(self, stored: StoredEstimates, age_ms: int) -> int:
        """Return how many of the first runs of a new owner go to the rack."""
        fleet = RackedFleet()
        fleet.owner.scheduler.adopt_estimates(stored, fleet.owner.now, stored.at_ms + age_ms)
        fleet.owner.tick(0.1)
        runs = fleet.round(lambda run: False, jobs=64)
        return sum(in_rack(run, "r0") for run in runs)

    def test_a_new_owner_avoids_what_its_predecessor_avoided(self) -> None:
        """Guards against a failing rack that takes its attempts again from each new owner."""
        stored = decode_estimates(encode_learned((), estimates=learned_by_earlier_owner()))
        assert stored is not None
        self.assertLessEqual(self._runs_in_rack(stored, age_ms=500), 1)

    def test_old_counts_are_forgotten(self) -> None:
        """Guards against executors avoided for a fault that is over since long."""
        stored = learned_by_earlier_owner()
        for age_ms in (40_000, 3_600_000):
            with self.subTest(age_ms):
                self.assertGreater(self._runs_in_rack(stored, age_ms), 8)

    def test_a_clock_that_is_behind_makes_counts_new_and_not_newer(self) -> None:
        """Guards against counts that grow because the new owner's clock is behind."""
        stored = learned_by_earlier_owner()
        self.assertLessEqual(self._runs_in_rack(stored, age_ms=-5_000), 1)

    def test_the_stored_form_is_readable_with_and_without_estimates(self) -> None:
        """Guards against versions of the program that can't read what the other one stored."""
        fits, estimates = (learned("web", 0.5),), StoredEstimates(START_MS, ())
        for stored in (None, estimates):
            with self.subTest(stored):
                data = encode_learned(fits, estimates=stored)
                self.assertEqual(decode_learned(data), fits)
                self.assertEqual(decode_estimates(data), stored)

    def test_a_new_owner_knows_the_slow_executors(self) -> None:
        """Guards against tasks on a slow executor after each change of owner."""
        stored = StoredEstimates(START_MS, (), (StoredSpeed(ExecutorId("i-0-0"), -9.0, 5.0),))
        fleet = RackedFleet(racks=1, settings=EstimateSettings(speeds=True))
        received = decode_estimates(encode_learned((), estimates=stored))
        assert received is not None
        fleet.owner.scheduler.adopt_estimates(received, fleet.owner.now, START_MS + 500)
        fleet.owner.tick(0.1)
        runs = fleet.round(lambda run: False, jobs=7)
        self.assertNotIn("i-0-0", {run.executor.executor for run in runs})

    def test_registrations_stored_without_a_version_are_readable(self) -> None:
        """Guards against an owner that waits for no executor because it can't read their list."""
        known = replace(registration(), version="7")
        fields = msgspec.to_builtins(known)
        del fields["version"]
        (read,) = decode_registrations(msgspec.msgpack.encode([fields]))
        self.assertEqual(read, replace(known, version=""))
        self.assertEqual(decode_registrations(encode_registrations((known,))), (known,))

    def test_the_stored_form_stays_small(self) -> None:
        """Guards against a value that grows with the fleet, written every two seconds."""
        fleet = RackedFleet(racks=20)
        for _ in range(3):
            fleet.round(lambda run: in_rack(run, run.executor.registration.rack), jobs=160)
        stored = fleet.owner.scheduler.learned_estimates()
        self.assertLess(len(encode_learned((), estimates=stored)), 2_000)
