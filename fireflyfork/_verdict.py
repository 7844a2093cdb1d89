"""The verdict on whether a request may have run, which every failed attempt must report."""

from enum import Enum


class Verdict(Enum):
    """States whether a request was run."""

    NOT_RUN = "not-run"
    """The request certainly did not run: no byte of it reached an executor, or the executor refused
    it before running it."""

    MAY_HAVE_RUN = "may-have-run"
    """A part of the request was sent to an executor and no complete answer was received."""

    ANSWERED = "answered"
    """An executor answered, with any status."""

    @property
    def permits_retry_of_non_idempotent(self) -> bool:
        """Whether a request that must run at most once may be retried."""
        return self is Verdict.NOT_RUN

    def after(self, earlier: "Verdict") -> "Verdict":
        """Combine this verdict with that of the request's earlier attempts.

        A retry that did not run does not prove that the earlier attempt did not run.
        """
        if Verdict.ANSWERED in (self, earlier):
            return Verdict.ANSWERED
        if Verdict.MAY_HAVE_RUN in (self, earlier):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN
