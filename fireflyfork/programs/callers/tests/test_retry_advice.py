"""The pause that callers are asked for while the store is away.

Pattern of the load: all instances refuse all submissions for four to five seconds, and each caller
tries five times.
"""

import unittest

from .._retry_advice import RetryAdvice

TRIES = 5
OUTAGE_SECONDS = 4.2


class RetryAdviceTest(unittest.TestCase):
    """An outage of the store, as the callers see it."""

    def test_every_caller_still_has_a_try_after_the_outage(self) -> None:
        """Guards against callers that use up their tries before the store is back."""
        for arrival in (0.0, 0.05, 0.3, 0.9, 1.5, 3.0, 4.1):
            with self.subTest(arrival):
                self.assertGreaterEqual(_last_try(arrival), OUTAGE_SECONDS)

    def test_the_pause_is_short_again_after_an_answer(self) -> None:
        """Guards against long pauses for a single lost call some time after an outage."""
        advice = RetryAdvice()
        advice.note_refusal(0.0)
        self.assertEqual(advice.note_refusal(3.0), 2)
        advice.note_answer()
        self.assertEqual(advice.note_refusal(9.0), 1)


def _last_try(arrival: float) -> float:
    """Return the time of the last try of a caller, at an instance that others call too."""
    advice = RetryAdvice()
    advice.note_refusal(0.0)
    at = arrival
    for _ in range(TRIES - 1):
        if at >= OUTAGE_SECONDS:
            break
        at += advice.note_refusal(at)
    return at
