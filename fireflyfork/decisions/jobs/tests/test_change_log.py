"""Which changes are stored, over generated orders of changes and writes."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ...._ids import JobId
from .. import ChangeLog


class ChangeLogMachine(RuleBasedStateMachine):
    """Compares the log with a model that keeps every change."""

    def __init__(self) -> None:
        """Initialize without changes."""
        super().__init__()
        self.log = ChangeLog()
        self.changed: dict[int, JobId] = {}
        self.stored: set[int] = set()
        self.flying: tuple[set[JobId], int] | None = None

    @rule(job=st.sampled_from([JobId("a"), JobId("b"), JobId("c")]))
    def change(self, job: JobId) -> None:
        """Change a job."""
        self.changed[self.log.record(job)] = job

    @precondition(lambda self: self.flying is None)
    @rule(max_jobs=st.integers(1, 3))
    def take(self, max_jobs: int) -> None:
        """Begin a write."""
        self.flying = (set(self.log.take(max_jobs)), self.log.last)

    @precondition(lambda self: self.flying is not None)
    @rule(succeeds=st.booleans())
    def finish(self, succeeds: bool) -> None:
        """End a write."""
        assert self.flying is not None
        jobs, last = self.flying
        if succeeds:
            self.stored |= {n for n, job in self.changed.items() if job in jobs and n <= last}
            self.log.mark_stored()
        else:
            self.log.put_back()
        self.flying = None

    @invariant()
    def says_nothing_is_stored_that_is_not(self) -> None:
        """Every change up to ``stored_to`` is stored."""
        assert set(range(1, self.log.stored_to + 1)) <= self.stored

    @invariant()
    def knows_that_all_is_stored(self) -> None:
        """If every change is stored, ``stored_to`` is the latest change."""
        if self.stored == set(self.changed) and self.flying is None:
            assert self.log.stored_to == self.log.last


ChangeLogTest = ChangeLogMachine.TestCase
