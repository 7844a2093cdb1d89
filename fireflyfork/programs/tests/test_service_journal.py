"""What an owner lets executors forget, over generated orders of ends and of writes that fail."""

import unittest

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from trio.testing import MockClock

from ..._ids import AttemptNumber, JobId, LeaseId, Revision
from ...adapters import Put
from ...decisions.jobs import (
    EndedRow,
    EndReason,
    Run,
    Scheduler,
    decode_progress,
    parse_task_name,
)
from ...decisions.jobs.tests.builders_jobs import SERVICE, START_MS, OwnerUnderTest, job, row, step
from .._scheduling_keys import owner_key, progress_key
from .._service_journal import OwnershipLostError, ServiceJournal
from .._service_lease import Term
from .builders_journal import FatefulStore, WriteFate

EXECUTOR = "i-0"
JOBS = [JobId(f"{number:016x}") for number in range(2)]
FATES = [fate for fate in WriteFate if fate is not WriteFate.CANCELLED]
LONG_TERM = 4
"""Writes after which a term may end. A term that ends sooner shows nothing of how its writes meet."""
EXAMPLES = 150
"""Writes that are not conditional on the one before show among them, as a trial did."""


class JournalMachine(RuleBasedStateMachine):
    """An owner whose tasks end, and whose writes meet any fate."""

    def __init__(self) -> None:
        """A term has begun, and nothing is known."""
        super().__init__()
        self.store = FatefulStore()
        self.owner = OwnerUnderTest(EXECUTOR)
        self.running: list[Run] = []
        self.gone = False
        self.writes = 0

    @property
    def scheduler(self) -> Scheduler:
        return self.owner.scheduler

    @initialize()
    def win(self) -> None:
        """The owner's key is there, and the journal is opened."""
        revision = self.store.kept.apply({}, (Put(owner_key(SERVICE), b"n-0"),), ())
        term = Term(SERVICE, 1, LeaseId(0), Revision(revision))
        self.journal = trio.run(self._opened, term, clock=MockClock())

    async def _opened(self, term: Term) -> ServiceJournal:
        journal = ServiceJournal(self.store, term, self.scheduler, lambda _: None)
        await journal.open()
        return journal

    @rule(name=st.sampled_from(JOBS))
    def accept(self, name: JobId) -> None:
        """A job of two steps comes, and what may start does."""
        self.scheduler.accept(job(name, step(count=4), step(after=(0,))), START_MS)
        self.running += self.owner.place()

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        reason=st.sampled_from([EndReason.DONE, EndReason.DONE, EndReason.FAILED]),
        listed=st.booleans(),
    )
    def end(self, data: st.DataObject, reason: EndReason, listed: bool) -> None:
        """A run ends, and may be listed at once."""
        run = data.draw(st.sampled_from(self.running))
        self.running.remove(run)
        self.owner.end(EXECUTOR, run.task.name, run.attempt, reason)
        if listed:
            self.poll()

    @rule()
    def poll(self) -> None:
        """The executor lists its runs and ends, and what may start now does."""
        self.owner.now += 0.1
        self.owner.poll(EXECUTOR, *(row(run) for run in self.running))
        self.running += self.owner.place()
        self.owner.tick(0.1)

    @precondition(lambda self: not self.gone)
    @rule(fate=st.sampled_from(FATES))
    def write(self, fate: WriteFate) -> None:
        """The journal stores a portion."""
        self.writes += 1
        self.store.fate = fate
        trio.run(self._flush, fate, clock=MockClock(autojump_threshold=0))

    async def _flush(self, fate: WriteFate) -> None:
        try:
            with trio.move_on_after(1.0):
                await self.journal.flush()
        except OwnershipLostError:
            self.gone = True
        # Whoever is cancelled in a write is on the way out.
        self.gone = self.gone or fate is WriteFate.CANCELLED

    @rule()
    def late(self) -> None:
        """A write of before arrives."""
        self.store.carry_out_late()

    @precondition(lambda self: self.writes >= LONG_TERM and not self.gone)
    @rule()
    def stop(self) -> None:
        """The owner is stopped inside a write."""
        self.write(WriteFate.CANCELLED)

    @precondition(lambda self: self.writes >= LONG_TERM)
    @rule()
    def succeed(self) -> None:
        """Another instance takes over; writes of this owner have no effect any more."""
        self.store.kept.put(owner_key(SERVICE), b"n-1")

    @invariant()
    def what_may_be_forgotten_is_stored(self) -> None:
        """A successor that reads the store now knows of all ends that the executor may forget."""
        forgettable = self.owner.executor(EXECUTOR).forgettable_end
        for end in self.owner.ends.get(EXECUTOR, []):
            if end.number <= forgettable:
                assert self._is_stored(end), end

    def _is_stored(self, end: EndedRow) -> bool:
        parsed = parse_task_name(end.task)
        assert parsed is not None
        item = self.store.kept.get(progress_key(parsed[0]))
        if item is None:
            return False
        progress = decode_progress(item.value)
        key = (parsed[1].occurrence, parsed[1].step, parsed[1].index)
        if progress.state.is_final or key in progress.done:
            return True
        failed = {
            (one.occurrence, one.step, one.index): one.failed_attempts for one in progress.tasks
        }
        return end.reason is EndReason.FAILED and AttemptNumber(end.attempt) in failed.get(key, ())


class JournalTest(unittest.TestCase):
    """Ends and what is stored of them."""

    def test_an_end_is_forgotten_only_when_it_is_stored(self) -> None:
        """Writes are refused, lost, late, done twice, or the owner is stopped inside one. If an end that isn't
        stored were forgotten then, the next owner would run its task again.
        """
        run_state_machine_as_test(JournalMachine, settings=settings(max_examples=EXAMPLES))
