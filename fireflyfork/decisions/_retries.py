"""Whether a failed attempt is followed by another.

Retries are paid from a budget that grows with the traffic. Without it, an overload that makes
attempts fail would be answered with more attempts, and would last after its cause is gone.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .._verdict import Verdict


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """How many retries there may be."""

    share: float = 0.1
    """Retries for each request, on average."""
    burst: float = 10.0
    """Retries that may be saved up, so that one lost target does not fail its callers."""
    most_attempts: int = 3
    """Attempts at one request, the first included."""


class RetryDecision(Enum):
    """Retry, or why not."""

    RETRY = "retry"
    ANSWERED = "answered"
    UNSAFE = "unsafe"
    """The request is not idempotent and may have run."""
    TOO_LATE = "too-late"
    """Another attempt isn't expected to end before the deadline."""
    TOO_MANY_ATTEMPTS = "too-many-attempts"
    OVER_BUDGET = "over-budget"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What has to be known about an attempt."""

    verdict: Verdict
    """On the request as a whole, earlier attempts included."""
    idempotent: bool
    attempts: int
    """So far, this one included."""
    deadline: float
    """By the monotonic clock, in seconds."""
    expected_seconds: float
    """How long another attempt is expected to take."""


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The retries that one service at one entry has saved up."""

    terms: RetryTerms
    saved: float

    @classmethod
    def full(cls, terms: RetryTerms) -> RetryBudget:
        """Begin with a full burst."""
        return cls(terms, terms.burst)

    def request(self) -> RetryBudget:
        """Count a request's first attempt."""
        if self.saved >= self.terms.burst:
            return self
        return RetryBudget(self.terms, min(self.terms.burst, self.saved + self.terms.share))

    def decide(self, failed: FailedAttempt, now: float) -> tuple[RetryBudget, RetryDecision]:
        """Whether to try again. The retry is paid for when it is granted."""
        refusal = self._refusal(failed, now)
        if refusal is not None:
            return self, refusal
        return RetryBudget(self.terms, self.saved - 1.0), RetryDecision.RETRY

    def _refusal(self, failed: FailedAttempt, now: float) -> RetryDecision | None:
        if failed.verdict is Verdict.ANSWERED:
            return RetryDecision.ANSWERED
        if not (failed.idempotent or failed.verdict.permits_retry_of_non_idempotent):
            return RetryDecision.UNSAFE
        if now + failed.expected_seconds > failed.deadline:
            return RetryDecision.TOO_LATE
        if failed.attempts >= self.terms.most_attempts:
            return RetryDecision.TOO_MANY_ATTEMPTS
        if self.saved < 1.0:
            return RetryDecision.OVER_BUDGET
        return None
