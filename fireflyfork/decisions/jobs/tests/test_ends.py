"""Tests of the conclusions that an owner draws from the ends that executors list."""

import unittest

from ...._ids import AttemptNumber, ExecutorId, TaskName
from .. import EndReason, JobState, RunningRow, StoredProgress, StoredTask
from .builders_jobs import START_MS, OwnerUnderTest, job, registration, step

A = "00000000000000aa"


class TruncatedEndListsTest(unittest.TestCase):
    """Executors list a limited number of ends; further ones only after the first may be
    forgotten."""

    def test_a_run_whose_end_does_not_fit_on_the_list_is_not_started_again(self) -> None:
        """Guards against starting a task again whose end is missing from a truncated list.

        The store is unavailable, so no end may be forgotten, and a busy executor lists the same
        five hundred ends each time. A task that ended after those is neither among the ends nor
        among the runs. It was taken for lost and ran a second time, and its job's hotel room was
        booked twice.
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
        """Guards against starting a task again after a takeover because its end was not listed yet.

        An owner is lost after a long outage of the store. A busy executor first lists its oldest
        five hundred ends to the successor, which started a task that had ended after those again.
        """
        owner = OwnerUnderTest()
        owner.scheduler.recover(
            [(job(A), None)], [registration("i-0")], [registration("i-0")], owner.now, START_MS
        )
        for _ in range(100):
            owner.poll("i-0", ends_may_be_cut=True)
            owner.tick(0.1)
            self.assertEqual(owner.place(), [])
        owner.end("i-0", TaskName(f"{A}.0.0.0"), 1, EndReason.DONE)
        owner.poll("i-0")
        owner.tick(0.1)
        self.assertEqual(owner.place(), [])


class EndsOutOfOrderTest(unittest.TestCase):
    """Ends are numbered, and may be listed in any order."""

    def test_an_end_that_is_listed_after_a_later_one_counts(self) -> None:
        """Guards against skipping an end that is listed after one with a higher number.

        The executor interface numbers the ends but does not define the order in which they are
        listed. The end was skipped and then forgotten, and its task ran again.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A, step(count=2)), START_MS)
        first, second = owner.place()
        owner.end("i-0", first.task.name, 1, EndReason.DONE)
        owner.end("i-0", second.task.name, 1, EndReason.DONE)
        owner.ends["i-0"].reverse()
        owner.poll("i-0")
        self.assertIs(first.task.job.state, JobState.COMPLETED)


class OccurrencesNotDueAtTakeoverTest(unittest.TestCase):
    """Occurrences started by an earlier owner whose clock was ahead of its successor's."""

    def setUp(self) -> None:
        """The only occurrence becomes due in a second, by the clock of the present owner."""
        self.spec = job(A, repetitions=1, first_due_ms=START_MS + 1000, interval_ms=1000)
        self.task = TaskName(f"{A}.0.0.0")
        self.owner = OwnerUnderTest()

    def _take_over(self, progress: StoredProgress | None = None) -> None:
        self.owner.scheduler.recover(
            [(self.spec, progress)],
            [registration("i-0")],
            [registration("i-0")],
            self.owner.now,
            START_MS,
        )

    def test_a_successful_task_does_not_rerun_when_its_occurrence_is_due(self) -> None:
        """Guards against running a task again whose end was listed before its occurrence was due.

        An owner starts a nightly booking run and is lost; the run ends successfully. By the
        successor's clock the run was not due yet. It treated the end as one of an unknown task, let
        the executor forget it, and made all bookings again when the run became due.
        """
        self._take_over()
        self.owner.end("i-0", self.task, 1, EndReason.DONE)
        self.owner.poll("i-0")
        self.owner.tick(1.1)
        self.assertEqual(self.owner.place(), [])
        accepted = self.owner.scheduler.jobs.get(self.spec.job)
        assert accepted is not None
        self.assertIs(accepted.state, JobState.COMPLETED)

    def test_a_run_of_an_occurrence_not_yet_due_is_adopted(self) -> None:
        """Guards against stopping a run of an occurrence that is not due by the successor's clock.

        The run was stopped, and the task was started again next to the stopping run when it became
        due.
        """
        self._take_over()
        listed = RunningRow(self.task, AttemptNumber(1), "", 40, 0.0)
        self.owner.poll("i-0", listed)
        self.assertEqual(self.owner.stops(), [])
        self.owner.tick(1.1)
        self.assertEqual(self.owner.place(), [])
        self.owner.end("i-0", self.task, 1, EndReason.DONE)
        self.owner.poll("i-0")
        accepted = self.owner.scheduler.jobs.get(self.spec.job)
        assert accepted is not None
        self.assertIs(accepted.state, JobState.COMPLETED)

    def test_attempts_that_were_stored_are_kept(self) -> None:
        """Guards against dropping the stored attempts of an occurrence that is not due yet.

        The successor then used the first attempt number again, which executors refuse, or a task
        that had failed too often got all of its attempts again.
        """
        stored = StoredTask(0, 0, 0, AttemptNumber(2), (1,))
        self._take_over(StoredProgress(JobState.RUNNING, tasks=(stored,)))
        self.owner.poll("i-0")
        self.owner.tick(1.1)
        (run,) = self.owner.place()
        self.assertEqual((run.attempt, run.task.failed_attempts), (3, [1]))

    def test_the_step_after_an_end_that_was_stored_is_known(self) -> None:
        """The first step is stored as done; a task of the second one runs and ends successfully."""
        self.spec = job(
            A, step(), step(after=(0,)), repetitions=1, first_due_ms=START_MS + 1000, interval_ms=1
        )
        self._take_over(StoredProgress(JobState.RUNNING, done=((0, 0, 0),)))
        self.owner.end("i-0", TaskName(f"{A}.0.1.0"), 1, EndReason.DONE)
        self.owner.poll("i-0")
        self.owner.tick(1.1)
        self.assertEqual(self.owner.place(), [])

    def test_an_occurrence_of_which_nothing_has_run_waits_for_its_time(self) -> None:
        self.spec = job(A, repetitions=2, first_due_ms=START_MS + 1000, interval_ms=1000)
        self._take_over()
        self.owner.end("i-0", self.task, 1, EndReason.DONE)
        self.owner.end("i-0", TaskName(f"{A}.7.0.0"), 1, EndReason.DONE)
        self.owner.poll("i-0")
        self.assertEqual(self.owner.place(), [])
        self.owner.tick(2.1)
        self.assertEqual([run.task.name for run in self.owner.place()], [f"{A}.1.0.0"])


class LateRegistrationsTest(unittest.TestCase):
    """Executors report a restart in answers to polls, and later through the store."""

    def test_an_outdated_registration_does_not_end_current_runs(
        self,
    ) -> None:
        """Guards against a late registration of an earlier incarnation.

        After a restart, a poll reports the new incarnation first, and its registration follows.
        Then a listing of the store repeats the earlier registration and the new one. The owner went
        back to the earlier incarnation, took the new registration for another restart, and all runs
        there for over: each of their tasks was started a second time elsewhere.
        """
        owner = OwnerUnderTest("i-0")
        owner.poll("i-0", incarnation=2)
        owner.scheduler.register(registration("i-0", incarnation=2), owner.now)
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.scheduler.register(registration("i-1"), owner.now)
        owner.poll("i-1")
        owner.now += 0.1
        owner.poll("i-0", RunningRow(run.task.name, run.attempt, "", 10, 0.0), incarnation=2)
        owner.now += 0.1
        owner.scheduler.register(registration("i-0", incarnation=1), owner.now)
        owner.scheduler.register(registration("i-0", incarnation=2), owner.now)
        self.assertEqual(owner.place(), [])
        self.assertEqual(list(owner.executor().runs.values()), [run])

    def test_an_outdated_registration_is_ignored(self) -> None:
        """Guards against the capacity or address of an earlier incarnation.

        Runs sent according to its registration would be refused, or would overcommit the present
        incarnation.
        """
        owner = OwnerUnderTest()
        now = registration("i-0", incarnation=2)
        owner.scheduler.recover([], [registration("i-0", draining=True)], [now], owner.now, 0)
        self.assertEqual(owner.executor().registration, now)
        self.assertFalse(owner.executor().registered)
        owner.scheduler.register(now, owner.now)
        self.assertTrue(owner.executor().registered)

    def test_late_removal_of_an_earlier_registration_is_ignored(self) -> None:
        """The registration of an earlier incarnation is removed late, while the executor
        answers."""
        owner = OwnerUnderTest("i-0")
        owner.scheduler.register(registration("i-0", incarnation=2), owner.now)
        owner.poll("i-0", incarnation=2)
        owner.scheduler.unregister(ExecutorId("i-0"), owner.now)
        self.assertIn(ExecutorId("i-0"), owner.scheduler.executors)

    def test_answers_count_after_a_restart_with_the_clock_set_back(self) -> None:
        """Guards against ignoring an executor whose clock was set back before it restarted.

        Its present incarnation seems to have begun before the earlier one. Its answers were dropped
        as those of an earlier incarnation; the owner never saw its runs end, and the jobs hung.
        """
        owner = OwnerUnderTest()
        owner.scheduler.register(registration("i-0", incarnation=9), owner.now)
        owner.poll("i-0", incarnation=9)
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.now += 1.0
        owner.poll("i-0", incarnation=5)
        owner.now += 0.1
        owner.scheduler.register(registration("i-0", incarnation=5), owner.now)
        owner.poll("i-0", incarnation=5)
        (again,) = owner.place()
        self.assertEqual((again.task.name, again.attempt), (run.task.name, 2))
        owner.end("i-0", again.task.name, 2, EndReason.DONE)
        owner.now += 0.1
        owner.poll("i-0", incarnation=5)
        self.assertIs(run.task.job.state, JobState.COMPLETED)
