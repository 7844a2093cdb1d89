"""Callers who are refused while the store is away."""

import unittest
from bisect import insort
from dataclasses import dataclass

from ....._ids import JobId
from .. import OutageHistory

EARLY, LATE = JobId("a" * 8 + "00000000"), JobId("a" * 8 + "ffffffff")
"""The jobs whose callers return first and last."""
MAX_TRIES = 5


def _history(*lengths: float) -> OutageHistory:
    """Return a history of earlier outages, with another one that begins at 0 s."""
    history = OutageHistory()
    at = -1000.0
    for length in lengths:
        history.observe(False, False, at)
        history.observe(True, True, at + length)
        at += 50.0
    history.observe(False, False, 0.0)
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
        history = _history(30.0)
        self.assertEqual(history.retry_seconds(LATE, 1.0, 1.0), 1)
        self.assertEqual(history.retry_seconds(LATE, 6.0, 1.0), 2)
        self.assertEqual(history.retry_seconds(LATE, 20.0, 1.0), 5)

    def test_callers_who_give_up_soon_return_soon(self) -> None:
        """Guards against waits that leave a caller a single try before it gives up."""
        history = _history(30.0)
        self.assertEqual(history.retry_seconds(LATE, 60.0, 1.0, timeout_seconds=3.0), 1)
        self.assertEqual(history.retry_seconds(LATE, 60.0, 1.0, timeout_seconds=12.0), 4)

    def test_callers_return_soon_while_others_reach_the_store(self) -> None:
        """Guards against callers who wait although their next try reaches another instance."""
        history = _history()
        history.observe(False, True, 8.0)
        self.assertEqual(history.retry_seconds(EARLY, 60.0, 8.0), 1)
        history.observe(False, False, 9.0)
        self.assertEqual(history.retry_seconds(EARLY, 60.0, 9.0), 9)

    def test_an_outage_of_this_instance_alone_is_not_remembered(self) -> None:
        history = OutageHistory()
        history.observe(False, True, -60.0)
        history.observe(True, True, -20.0)
        history.observe(False, False, 0.0)
        self.assertEqual(history.retry_seconds(EARLY, 60.0, 3.0), 3)

    def test_callers_return_spread_by_their_jobs(self) -> None:
        """Guards against all callers returning in the same second."""
        history = _history(10.0)
        waits = [history.retry_seconds(job, 60.0, 0.0) for job in (EARLY, LATE)]
        self.assertEqual(waits, [10, 14])

    def test_the_shortest_wait_is_a_second(self) -> None:
        self.assertEqual(_history(0.2).retry_seconds(EARLY, 60.0, 0.1), 1)
        self.assertEqual(OutageHistory().retry_seconds(EARLY, 0.2, 0.0), 1)


@dataclass
class _Served:
    """Callers who were served after an outage."""

    callers: int = 0
    tries: int = 0
    delay: float = 0.0
    """Seconds from the end of the outage until the caller was served, of all callers."""


def _serve(length: float, allowed: float, history: OutageHistory | None) -> _Served:
    """Let a caller come ten times a second during an outage; without a history they wait 1 s."""
    served = _Served()
    tries = sorted((number / 10, number, 1) for number in range(int(length * 10)))
    while tries:
        at, number, attempt = tries.pop(0)
        if at >= length:
            served.callers += 1
            served.tries += attempt
            served.delay += at - length
        elif attempt < MAX_TRIES:
            job = JobId(f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}")
            wait = history.retry_seconds(job, allowed, at) if history is not None else 1
            insort(tries, (at + wait, number, attempt + 1))
    return served


class CallersTest(unittest.TestCase):
    """Callers with five tries, ten a second, while the store is away."""

    def test_more_callers_are_served_after_a_long_outage(self) -> None:
        """Guards against callers who have used up their tries when the store is back."""
        always_a_second = _serve(9.0, 12.0, None)
        for history in (_history(), _history(8.0, 9.0, 10.0)):
            served = _serve(9.0, 12.0, history)
            self.assertGreater(served.callers, 1.6 * always_a_second.callers)
            self.assertLess(
                served.tries / served.callers, always_a_second.tries / always_a_second.callers
            )

    def test_a_short_outage_delays_no_caller_for_long(self) -> None:
        """Guards against callers who wait for a store that has been back for seconds."""
        for history in (_history(), _history(4.0, 5.0, 4.5)):
            served = _serve(4.5, 12.0, history)
            self.assertEqual(served.callers, 45)
            self.assertLess(served.delay / served.callers, 2.0)
