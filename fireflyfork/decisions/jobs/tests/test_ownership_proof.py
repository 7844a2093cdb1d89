"""Tests of an owner that is uncertain whether it still owns the service."""

import unittest

from .builders_jobs import START_MS, OwnerUnderTest, job, registration

A = "00000000000000aa"


class OwnershipProofTest(unittest.TestCase):
    """A successor may have reached executors that this owner cannot reach."""

    def setUp(self) -> None:
        """Set up one executor that answers."""
        self.owner = OwnerUnderTest("i-0")

    def _prove(self) -> None:
        self.owner.scheduler.record_ownership(self.owner.now)

    def test_a_lease_lapses_only_with_proof_of_ownership(self) -> None:
        """Guards against declaring a run over while a successor renews its executor's lease.

        The owner is cut off from the executor. The run there continues; if the owner started its
        task elsewhere, it would run twice.
        """
        owner = self.owner
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.scheduler.register(registration("i-1"), owner.now)
        owner.poll("i-1")
        self._prove()
        owner.scheduler.poll_failed(run.executor, owner.now)
        owner.tick(6.0)
        self.assertEqual(owner.place(), [])
        self.assertTrue(owner.scheduler.needs_ownership_proof(owner.now))
        self._prove()
        self.assertFalse(owner.scheduler.needs_ownership_proof(owner.now))
        owner.tick(0.1)
        self.assertEqual([again.attempt for again in owner.place()], [2])

    def test_an_unreached_executor_is_given_up_only_with_proof_of_ownership(self) -> None:
        """Guards against giving up an executor that a successor may have reached."""
        owner = OwnerUnderTest()
        owner.scheduler.recover(
            [(job(A), None)],
            [registration("i-0"), registration("i-1")],
            [registration("i-0"), registration("i-1")],
            owner.now,
            START_MS,
        )
        owner.now += 5.0
        owner.scheduler.record_ownership(owner.now)
        owner.poll("i-0")
        owner.tick(3.1)
        self.assertEqual(owner.place(), [])
        self.assertTrue(owner.scheduler.needs_ownership_proof(owner.now))
        owner.scheduler.record_ownership(owner.now)
        owner.tick(0.1)
        self.assertEqual(len(owner.place()), 1)

    def test_no_task_starts_that_a_successor_may_start(self) -> None:
        """Guards against starting tasks shortly before a successor may start them as well.

        A successor waits 8 s for executors that it can't reach. Each start extends its executor's
        lease by a little more than a second, so the last start must be sent well before that.
        """
        owner = self.owner
        self._prove()
        owner.scheduler.accept(job(A), START_MS)
        owner.tick(6.6)
        self.assertEqual(owner.place(), [])
        self._prove()
        self.assertEqual(len(owner.place()), 1)

    def test_an_older_proof_is_ignored(self) -> None:
        self._prove()
        self.owner.scheduler.record_ownership(self.owner.now - 10.0)
        self.owner.scheduler.accept(job(A), START_MS)
        self.assertEqual(len(self.owner.place()), 1)
