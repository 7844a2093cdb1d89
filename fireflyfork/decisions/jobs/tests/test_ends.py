"""What the ends that executors list prove, and what they don't."""

import unittest

from ...._ids import TaskName
from .. import EndReason, JobState
from .builders_jobs import START_MS, OwnerUnderTest, job, registration

A = "00000000000000aa"


class CutListsTest(unittest.TestCase):
    """Executors list so many ends at once; the rest only when the first ones may be forgotten."""

    def test_a_run_whose_end_does_not_fit_on_the_list_is_not_started_again(self) -> None:
        """The store is away, so no end may be forgotten, and a busy executor lists the same five hundred
        ends each time. A task that ended after those is neither among them nor among the runs. Taken for
        gone, it ran a second time, and its job's room was booked twice.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        for _ in range(2):
            owner.now += 0.2
            owner.poll("i-0", ends_may_be_cut=True)
            for stopped in owner.stops():
                owner.answer_stop(stopped)
        owner.now += 0.2
        owner.poll("i-0", ends_may_be_cut=True)
        self.assertEqual(owner.place(), [])
        owner.end("i-0", run.task.name, 1, EndReason.DONE)
        owner.poll("i-0")
        self.assertIs(run.task.job.state, JobState.COMPLETED)

    def test_a_new_owner_waits_for_the_rest_of_the_list(self) -> None:
        """An owner is lost after a long outage of the store. What its successor is told first by a busy
        executor are the oldest five hundred ends; a task that ended after those was started again.
        """
        owner = OwnerUnderTest()
        owner.scheduler.recover([(job(A), None)], [registration("i-0")], [], owner.now, START_MS)
        for _ in range(100):
            owner.poll("i-0", ends_may_be_cut=True)
            owner.tick(0.1)
            self.assertEqual(owner.place(), [])
        owner.end("i-0", TaskName(f"{A}.0.0.0"), 1, EndReason.DONE)
        owner.poll("i-0")
        owner.tick(0.1)
        self.assertEqual(owner.place(), [])
