"""Tests of a partition's journal with lost answers, store failures and concurrent writers."""

import unittest

import trio

from ... import JobId, MemberId
from ...decisions import RING_SLOTS, JobAccepted, JobNumber, TaskGivenUp, TaskTable
from .._planner_journal import PartitionJournal, PartitionLostError
from .builders_planner import (
    PARTITION,
    MemoryStore,
    make_submission,
    run_simulated,
)

ME = MemberId("planner-1")


def always() -> bool:
    """Allow a takeover."""
    return True


def accepted(number: int, tasks: int = 2) -> JobAccepted:
    """Return the change that accepts a job of letters."""
    submission = make_submission()
    return JobAccepted(JobNumber(number), JobId(f"job-{number}"), submission.shape, tasks, 1.0)


def make_journal(store: MemoryStore) -> PartitionJournal:
    """Return a journal that has not recovered yet."""
    return PartitionJournal(store, PARTITION)


class JournalTest(unittest.TestCase):
    """Which writers succeed, and what recovery reads."""

    def test_a_lost_answer_is_settled_by_reading_back(self) -> None:
        """The store applies a write, but its answer is lost.

        A planner that repeated the write would mistake its own write for another owner's and give
        up its partition, and submitters would see errors for jobs that are stored.
        """

        async def body() -> None:
            store = MemoryStore()
            journal = make_journal(store)
            store.lose_answers = 1
            await journal.recover(ME, always)
            store.lose_answers = 1
            await journal.commit((accepted(1),))
            store.lose_answers = 1
            table = TaskTable.empty().apply((accepted(1),))
            encoded = journal.encode_snapshot(table, journal.position.sequence)
            assert encoded is not None
            await journal.snapshot(*encoded, journal.position.sequence)
            await journal.commit((accepted(2),))
            recovered = await make_journal(store).recover(ME, always)
            self.assertEqual(set(recovered.jobs), {"job-1", "job-2"})

        run_simulated(body)

    def test_nothing_of_an_earlier_owner_is_stored(self) -> None:
        """A planner is paused before a commit while another planner takes over its partition.

        If the commit succeeded, the two planners would start different attempts of the same tasks.
        """

        async def body() -> None:
            store = MemoryStore()
            earlier, later = make_journal(store), make_journal(store)
            await earlier.recover(ME, always)
            await earlier.commit((accepted(1),))
            await later.recover(ME, always)
            with self.assertRaises(PartitionLostError):
                await earlier.commit((accepted(2),))
            await later.commit((accepted(2, tasks=7),))
            recovered = await make_journal(store).recover(ME, always)
            self.assertEqual(recovered.jobs[JobId("job-2")].task_count, 7)

        run_simulated(body)

    def test_commit_under_way_while_another_takes_over(self) -> None:
        """A commit during a takeover either fails or is read by the new owner."""

        async def body() -> None:
            store = MemoryStore()
            earlier, later = make_journal(store), make_journal(store)
            await earlier.recover(ME, always)
            outcomes: list[bool] = []
            tables: list[TaskTable] = []

            async def commit() -> None:
                try:
                    await earlier.commit((accepted(1),))
                    outcomes.append(True)
                except PartitionLostError:
                    outcomes.append(False)

            async def take_over() -> None:
                tables.append(await later.recover(ME, always))

            for delay in (0.0, 0.001, 0.003, 0.005, 0.007):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(take_over)
                    await trio.sleep(delay)
                    nursery.start_soon(commit)
                stored = JobId("job-1") in tables[-1].jobs
                self.assertEqual(outcomes[-1], stored)
                store = MemoryStore()
                earlier, later = make_journal(store), make_journal(store)
                await earlier.recover(ME, always)

        run_simulated(body)

    def test_ring_slots_are_reused(self) -> None:
        """Planners crash in turn over three rounds of the ring, and no change is lost.

        Overwriting a slot before a snapshot covers it would lose accepted jobs.
        """

        async def body() -> None:
            store = MemoryStore()
            table = TaskTable.empty()
            journal = make_journal(store)
            await journal.recover(ME, always)
            for number in range(1, 3 * RING_SLOTS):
                changes = (accepted(number), TaskGivenUp(JobNumber(number), 0, 1.0, "no"))
                table = table.apply(changes)
                sequence = journal.position.sequence + 1
                due = journal.position.snapshot_due
                await journal.commit(changes)
                if due:
                    encoded = journal.encode_snapshot(table, sequence)
                    assert encoded is not None
                    await journal.snapshot(*encoded, sequence)
                if number % 100 == 0:
                    journal = make_journal(store)
                    self.assertEqual(await journal.recover(ME, always), table)
            self.assertEqual(await make_journal(store).recover(ME, always), table)
            self.assertLessEqual(len(store.values), RING_SLOTS + 1)

        run_simulated(body)

    def test_a_late_snapshot_of_an_earlier_owner(self) -> None:
        """A paused planner's snapshot arrives after the new owner has read the previous snapshot.

        The new owner must be able to replace it. Otherwise the ring fills up and commits stop.
        """

        async def body() -> None:
            store = MemoryStore()
            earlier, later = make_journal(store), make_journal(store)
            await earlier.recover(ME, always)
            await earlier.commit((accepted(1),))
            table = TaskTable.empty().apply((accepted(1),))
            late = earlier.encode_snapshot(table, earlier.position.sequence)
            assert late is not None
            await later.recover(ME, always)
            await earlier.snapshot(*late, earlier.position.sequence)
            await later.commit((accepted(2),))
            table = table.apply((accepted(2),))
            newer = later.encode_snapshot(table, later.position.sequence)
            assert newer is not None
            await later.snapshot(*newer, later.position.sequence)
            self.assertEqual(await make_journal(store).recover(ME, always), table)
            with self.assertRaises(PartitionLostError):
                await earlier.snapshot(*late, 1)

        run_simulated(body)

    def test_takeovers_without_a_commit_do_not_fill_the_ring(self) -> None:
        """Planners crash right after their takeover, more often than the ring has slots.

        Without a snapshot during recovery, their takeover segments would fill the ring.
        """

        async def body() -> None:
            store = MemoryStore()
            for _ in range(RING_SLOTS + 50):
                await make_journal(store).recover(ME, always)
            await make_journal(store).recover(ME, always)

        run_simulated(body)
