"""Tests of retry decisions and the retry budget."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from ... import Verdict
from .. import FailedAttempt, RetryBudget, RetryDecision, RetryLimits

TERMS = RetryLimits(share=0.1, burst=3.0)
FAILED = FailedAttempt(Verdict.NOT_RUN, False, 1, deadline=10.0, expected_seconds=1.0)


class RetryTest(unittest.TestCase):
    """Single decisions, and the budget over generated histories."""

    def test_decisions(self) -> None:
        """A non-idempotent request is retried only if not run, in time and within the budget."""
        poor = RetryBudget(TERMS, 0.9)
        full = RetryBudget.full(TERMS)
        may = Verdict.MAY_HAVE_RUN
        cases = [
            (full, FAILED, RetryDecision.RETRY),
            (full, replace(FAILED, verdict=may), RetryDecision.UNSAFE),
            (full, replace(FAILED, verdict=may, idempotent=True), RetryDecision.RETRY),
            (full, replace(FAILED, verdict=Verdict.ANSWERED), RetryDecision.ANSWERED),
            (full, replace(FAILED, deadline=0.9), RetryDecision.TOO_LATE),
            (full, replace(FAILED, attempts=3), RetryDecision.TOO_MANY_ATTEMPTS),
            (poor, FAILED, RetryDecision.OVER_BUDGET),
        ]
        for budget, failed, expected in cases:
            with self.subTest(failed=failed, saved=budget.saved):
                remaining, decision = budget.decide(failed, 0.0)
                self.assertIs(decision, expected)
                spent = 1.0 if expected is RetryDecision.RETRY else 0.0
                self.assertAlmostEqual(remaining.saved, budget.saved - spent)

    @given(st.lists(st.integers(0, 30), max_size=60))
    @settings(max_examples=100)
    def test_retries_do_not_amplify(self, failures_between_requests: list[int]) -> None:
        """When all attempts fail, the number of retries stays within the share and the burst."""
        budget, retries = RetryBudget.full(TERMS), 0
        for failures in failures_between_requests:
            budget = budget.request()
            for _ in range(failures):
                budget, decision = budget.decide(FAILED, 0.0)
                retries += decision is RetryDecision.RETRY
        self.assertLessEqual(
            retries, TERMS.burst + TERMS.share * len(failures_between_requests) + 1e-6
        )
