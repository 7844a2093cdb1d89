"""Starts of an owner that learns late which executors are leaving.

Load: the heartbeats of thousands of executors, which a watch of the registrations falls behind.
"""

import unittest

from .._registration_age import (
    MIN_START_VALID_MS,
    NOTICE_MARGIN_MS,
    START_VALID_MS,
    RegistrationAge,
    start_validity_ms,
)
from .builders_jobs import START_MS, OwnerUnderTest, job

NOTICE_SECONDS = 2.5
A = "00000000000000aa"


class RegistrationAgeTest(unittest.TestCase):
    """No start reaches an executor after the notice of its shutdown."""

    def setUp(self) -> None:
        """Set up an executor that answers and a job for it."""
        self.owner = OwnerUnderTest("i-0")
        self.owner.scheduler.accept(job(A), START_MS)

    def _set_age(self, seconds: float, is_behind: bool) -> None:
        known_at = self.owner.now - seconds
        self.owner.scheduler.update_registration_age(RegistrationAge(known_at, is_behind))

    def test_an_owner_that_is_too_far_behind_starts_nothing(self) -> None:
        """Guards against a start on an executor that announced its shutdown seconds ago."""
        self._set_age(NOTICE_SECONDS, is_behind=True)
        self.assertEqual(self.owner.place(), [])
        self._set_age(0.0, is_behind=True)
        self.assertEqual(len(self.owner.place()), 1)

    def test_a_start_that_waited_for_its_turn_is_not_sent(self) -> None:
        """Guards against a start that was decided in time and is sent too late."""
        (run,) = self.owner.send()
        self._set_age(NOTICE_SECONDS, is_behind=True)
        self.assertFalse(self.owner.scheduler.prepare_start(run, self.owner.now))

    def test_a_start_is_void_after_the_notice_of_a_change_that_is_not_known_yet(self) -> None:
        """Guards against a start that a relay or a link delays past the notice."""
        (run,) = self.owner.send()
        self._set_age(1.8, is_behind=True)
        self.assertTrue(self.owner.scheduler.prepare_start(run, self.owner.now))
        left = run.start_deadline_ms - run.executor.min_clock_ms(self.owner.now)
        self.assertEqual(left, 2_500 - 1_800 - NOTICE_MARGIN_MS)

    def test_an_outage_of_the_store_stops_no_service(self) -> None:
        """Guards against an owner that waits for registrations while the store is away."""
        self._set_age(60.0, is_behind=False)
        self.assertEqual(len(self.owner.place()), 1)

    def test_each_start_ends_before_the_notice_does(self) -> None:
        """A start that is sent at any age is void before a leaving executor may be gone."""
        for age_ms in range(0, 5_000, 50):
            valid_ms = start_validity_ms(RegistrationAge(0.0, True), NOTICE_SECONDS, age_ms / 1000)
            if valid_ms:
                self.assertTrue(MIN_START_VALID_MS <= valid_ms <= START_VALID_MS)
                self.assertLess(age_ms + valid_ms, NOTICE_SECONDS * 1000)
