"""Whether a request may have run: the one fact every failed attempt must carry."""

from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    """Proved: no byte of it reached an executor, or the executor refused it before running it."""

    MAY_HAVE_RUN = "may-have-run"
    """Some of it left for an executor and no whole answer came back."""

    ANSWERED = "answered"
    """An executor answered, whatever the status."""

    @property
    def permits_retry_of_non_idempotent(self) -> bool:
        """Whether a request that must run at most once may be sent again."""
        return self is Verdict.NOT_RUN

    def after(self, earlier: "Verdict") -> "Verdict":
        """The verdict on a request whose attempts ended with ``earlier`` and then with this one."""
        if Verdict.ANSWERED in (self, earlier):
            return Verdict.ANSWERED
        if Verdict.MAY_HAVE_RUN in (self, earlier):
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN
