"""Retry decisions for failed attempts, limited by a retry budget.

The budget grows with the traffic. Without it, an overload that makes attempts fail would cause more
attempts, and would persist after its cause has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .._verdict import Verdict


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on retries."""

    share: float = 0.1
    """Maximum average number of retries per request."""
    burst: float = 10.0
    """Maximum number of saved retries; they cover the requests of a target that fails."""
    max_attempts: int = 3
    """Maximum number of attempts for one request, including the first."""


class RetryDecision(Enum):
    """The decision to retry, or the reason not to."""

    RETRY = "retry"
    ANSWERED = "answered"
    UNSAFE = "unsafe"
    """The request is not idempotent and may already have run."""
    TOO_LATE = "too-late"
    """Another attempt is not expected to finish before the deadline."""
    TOO_MANY_ATTEMPTS = "too-many-attempts"
    OVER_BUDGET = "over-budget"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """The properties of a failed attempt that determine whether to retry."""

    verdict: Verdict
    """Verdict on the request as a whole, including earlier attempts."""
    idempotent: bool
    attempts: int
    """Number of attempts so far, including this one."""
    deadline: float
    """Deadline on the monotonic clock, in seconds."""
    expected_seconds: float
    """Expected duration of another attempt."""


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The retry budget of one service at one entry."""

    limits: RetryLimits
    saved: float

    @classmethod
    def full(cls, limits: RetryLimits) -> RetryBudget:
        """Return a full budget."""
        return cls(limits, limits.burst)

    def request(self) -> RetryBudget:
        """Add a new request's share to the budget."""
        if self.saved >= self.limits.burst:
            return self
        return RetryBudget(self.limits, min(self.limits.burst, self.saved + self.limits.share))

    def decide(self, failed: FailedAttempt, now: float) -> tuple[RetryBudget, RetryDecision]:
        """Decide whether to retry; a granted retry is deducted from the budget."""
        refusal = self._refusal(failed, now)
        if refusal is not None:
            return self, refusal
        return RetryBudget(self.limits, self.saved - 1.0), RetryDecision.RETRY

    def _refusal(self, failed: FailedAttempt, now: float) -> RetryDecision | None:
        if failed.verdict is Verdict.ANSWERED:
            return RetryDecision.ANSWERED
        if not (failed.idempotent or failed.verdict.permits_retry_of_non_idempotent):
            return RetryDecision.UNSAFE
        if now + failed.expected_seconds > failed.deadline:
            return RetryDecision.TOO_LATE
        if failed.attempts >= self.limits.max_attempts:
            return RetryDecision.TOO_MANY_ATTEMPTS
        if self.saved < 1.0:
            return RetryDecision.OVER_BUDGET
        return None
