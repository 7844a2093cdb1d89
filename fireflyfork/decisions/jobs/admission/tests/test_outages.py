"""Callers who are refused while the store is away."""

import unittest

from ....._ids import JobId
from .. import OutageHistory

EARLY, LATE = JobId("a" * 8 + "00000000"), JobId("a" * 8 + "ffffffff")
"""The jobs whose callers return first and last."""


def _history(*lengths: float) -> OutageHistory:
    """Return a history of earlier outages, with another one that begins at 0 s."""
    history = OutageHistory()
    at = -1000.0
    for length in lengths:
        history.observe(False, at)
        history.observe(True, at + length)
        at += 50.0
    history.observe(False, 0.0)
    return history


class OutageHistoryTest(unittest.TestCase):
    """Retry-After follows the outages seen, up to what a caller needs."""

    def test_a_first_outage_is_expected_to_last_as_long_again(self) -> None:
        history = _history()
        waits = [history.retry_seconds(EARLY, 60.0, at) for at in (0.0, 2.0, 4.0, 8.0)]
        self.assertEqual(waits, [1, 2, 4, 8])

    def test_earlier_outages_tell_when_this_one_ends(self) -> None:
        history = _history(4.0, 5.0, 6.0)
        self.assertEqual(history.retry_seconds(EARLY, 60.0, 1.0), 4)
        self.assertEqual(history.retry_seconds(EARLY, 60.0, 5.5), 1)

    def test_no_caller_waits_longer_than_its_objective(self) -> None:
        """Guards against callers with a short objective who return when it's too late for them."""
        self.assertEqual(_history(30.0).retry_seconds(LATE, 2.0, 1.0), 2)

    def test_callers_return_spread_by_their_jobs(self) -> None:
        """Guards against all callers returning in the same second."""
        history = _history(10.0)
        waits = [history.retry_seconds(job, 60.0, 0.0) for job in (EARLY, LATE)]
        self.assertEqual(waits, [10, 14])

    def test_the_shortest_wait_is_a_second(self) -> None:
        self.assertEqual(_history(0.2).retry_seconds(EARLY, 60.0, 0.1), 1)
        self.assertEqual(OutageHistory().retry_seconds(EARLY, 0.2, 0.0), 1)
