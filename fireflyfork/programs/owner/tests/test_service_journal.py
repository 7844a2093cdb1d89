"""Tests of the ends that an owner lets executors forget, with generated ends and failing writes."""

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

from ...._ids import AttemptNumber, JobId, LeaseId, Revision
from ....adapters import Put
from ....decisions.jobs import (
    EndedRow,
    EndReason,
    Run,
    Scheduler,
    decode_progress,
    parse_task_name,
)
from ....decisions.jobs.tests.builders_jobs import SERVICE, START_MS, OwnerUnderTest, job, row, step
from ..._scheduling_keys import owner_key, progress_key
from .._service_journal import OwnershipLostError, ServiceJournal
from .._service_lease import Term
from .builders_journal import FaultyStore, WriteBehavior

EXECUTOR = "i-0"
JOBS = [JobId(f"{number:016x}") for number in range(2)]
WRITE_BEHAVIORS = [fate for fate in WriteBehavior if fate is not WriteBehavior.CANCELLED]
MIN_WRITES_PER_TERM = 4
"""Number of writes after which a term may end. Shorter terms don't show how writes interact."""
EXAMPLES = 150
"""Enough examples to detect writes that aren't conditional on the previous write."""


class JournalMachine(RuleBasedStateMachine):
    """An owner whose tasks end and whose writes fail in any way."""

    def __init__(self) -> None:
        """Start with an empty store and an owner without jobs."""
        super().__init__()
        self.store = FaultyStore()
        self.owner = OwnerUnderTest(EXECUTOR)
        self.running: list[Run] = []
        self.term_ended = False
        self.writes = 0

    @property
    def scheduler(self) -> Scheduler:
        return self.owner.scheduler

    @initialize()
    def win(self) -> None:
        """Write the owner key and open the journal."""
        revision = self.store.backing.apply({}, (Put(owner_key(SERVICE), b"n-0"),), ())
        term = Term(SERVICE, 1, LeaseId(0), Revision(revision))
        self.journal = trio.run(self._opened, term, clock=MockClock())

    async def _opened(self, term: Term) -> ServiceJournal:
        journal = ServiceJournal(self.store, term, self.scheduler, lambda _: None)
        await journal.open()
        return journal

    @rule(name=st.sampled_from(JOBS))
    def accept(self, name: JobId) -> None:
        """Accept a job of two steps and start the tasks that may start."""
        self.scheduler.accept(job(name, step(count=4), step(after=(0,))), START_MS)
        self.running += self.owner.place()

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        reason=st.sampled_from([EndReason.DONE, EndReason.DONE, EndReason.FAILED]),
        listed=st.booleans(),
    )
    def end(self, data: st.DataObject, reason: EndReason, listed: bool) -> None:
        """End a run, with or without an immediate poll."""
        run = data.draw(st.sampled_from(self.running))
        self.running.remove(run)
        self.owner.end(EXECUTOR, run.task.name, run.attempt, reason)
        if listed:
            self.poll()

    @rule()
    def poll(self) -> None:
        """List the executor's runs and ends, and start the tasks that may start."""
        self.owner.now += 0.1
        self.owner.poll(EXECUTOR, *(row(run) for run in self.running))
        self.running += self.owner.place()
        self.owner.tick(0.1)

    @precondition(lambda self: not self.term_ended)
    @rule(fate=st.sampled_from(WRITE_BEHAVIORS))
    def write(self, fate: WriteBehavior) -> None:
        """Store one batch."""
        self.writes += 1
        self.store.behavior = fate
        trio.run(self._flush, fate, clock=MockClock(autojump_threshold=0))

    async def _flush(self, fate: WriteBehavior) -> None:
        try:
            with trio.move_on_after(1.0):
                await self.journal.flush()
        except OwnershipLostError:
            self.term_ended = True
        # A writer that is cancelled in a write writes nothing more.
        self.term_ended = self.term_ended or fate is WriteBehavior.CANCELLED

    @rule()
    def late(self) -> None:
        """Execute a delayed write."""
        self.store.execute_delayed()

    @precondition(lambda self: self.writes >= MIN_WRITES_PER_TERM and not self.term_ended)
    @rule()
    def stop(self) -> None:
        """Stop the owner during a write."""
        self.write(WriteBehavior.CANCELLED)

    @precondition(lambda self: self.writes >= MIN_WRITES_PER_TERM)
    @rule()
    def succeed(self) -> None:
        """Let another instance take over; later writes of this owner have no effect."""
        self.store.backing.put(owner_key(SERVICE), b"n-1")

    @invariant()
    def what_may_be_forgotten_is_stored(self) -> None:
        """A successor that reads the store finds all ends that the executor may forget."""
        forgettable = self.owner.executor(EXECUTOR).forgettable_end
        for end in self.owner.ends.get(EXECUTOR, []):
            if end.number <= forgettable:
                assert self._is_stored(end), end

    def _is_stored(self, end: EndedRow) -> bool:
        parsed = parse_task_name(end.task)
        assert parsed is not None
        item = self.store.backing.get(progress_key(parsed[0]))
        if item is None:
            return False
        progress = decode_progress(item.value)
        key = (parsed[1].occurrence, parsed[1].step, parsed[1].index)
        if progress.state.is_final or key in progress.done:
            return True
        failed = {
            (task.occurrence, task.step, task.index): task.failed_attempts
            for task in progress.tasks
        }
        return end.reason is EndReason.FAILED and AttemptNumber(end.attempt) in failed.get(key, ())


class JournalTest(unittest.TestCase):
    """Consistency of ends and stored progress."""

    def test_an_end_is_forgotten_only_when_it_is_stored(self) -> None:
        """Guards against forgetting an end that isn't stored.

        The next owner would run its task again. Writes are refused, lost, late or repeated, or the
        owner is stopped during one.
        """
        run_state_machine_as_test(JournalMachine, settings=settings(max_examples=EXAMPLES))
