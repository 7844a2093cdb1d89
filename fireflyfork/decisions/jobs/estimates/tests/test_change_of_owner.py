"""Load: a new owner begins while a rack fails; what the earlier one learned is not learned again."""

import unittest

from ... import StoredEstimates, decode_estimates, decode_learned, encode_learned
from ...tests.builders_jobs import START_MS, learned
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
        stored = decode_estimates(encode_learned((), learned_by_earlier_owner()))
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
                data = encode_learned(fits, stored)
                self.assertEqual(decode_learned(data), fits)
                self.assertEqual(decode_estimates(data), stored)

    def test_the_stored_form_stays_small(self) -> None:
        """Guards against a value that grows with the fleet, written every two seconds."""
        fleet = RackedFleet(racks=20)
        for _ in range(3):
            fleet.round(lambda run: in_rack(run, run.executor.registration.rack), jobs=160)
        stored = fleet.owner.scheduler.learned_estimates()
        self.assertLess(len(encode_learned((), stored)), 2_000)
