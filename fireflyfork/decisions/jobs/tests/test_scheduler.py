"""The handling of starts, ends and failing executors."""

import unittest

from ...._ids import AttemptNumber, ExecutorId, TaskName
from ...._links import Address
from .. import (
    AskAdvice,
    CallOutcome,
    EndReason,
    JobState,
    RunningRow,
    RunPhase,
    StoredProgress,
    StoredTask,
)
from .builders_jobs import (
    LEASE_MS,
    START_MS,
    OwnerUnderTest,
    job,
    queue,
    registration,
    row,
    step,
    table,
)

A = "00000000000000aa"


class StepsTest(unittest.TestCase):
    """Which tasks may start."""

    def test_a_step_starts_when_all_tasks_of_the_one_before_are_done(self) -> None:
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A, step(count=2), step(after=(0,))), START_MS)
        first, second = owner.place()
        owner.end("i-0", first.task.name, 1, EndReason.DONE)
        owner.poll("i-0", row(second))
        self.assertEqual(owner.place(), [])
        owner.end("i-0", second.task.name, 1, EndReason.DONE)
        owner.poll("i-0")
        self.assertEqual([run.task.name for run in owner.place()], [f"{A}.0.1.0"])

    def test_an_occurrence_waits_for_its_time(self) -> None:
        owner = OwnerUnderTest("i-0")
        spec = job(A, repetitions=2, first_due_ms=START_MS + 500, interval_ms=1000)
        owner.scheduler.accept(spec, START_MS)
        self.assertEqual(owner.place(), [])
        owner.tick(0.6)
        self.assertEqual([run.task.name for run in owner.place()], [f"{A}.0.0.0"])
        owner.tick(1.0)
        self.assertEqual([run.task.name for run in owner.place()], [f"{A}.1.0.0"])

    def test_a_job_is_completed_by_its_last_task(self) -> None:
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.end("i-0", run.task.name, 1, EndReason.DONE)
        owner.poll("i-0")
        accepted = owner.scheduler.jobs.get(job(A).job)
        assert accepted is not None
        self.assertIs(accepted.state, JobState.COMPLETED)

    def test_a_job_that_is_listed_again_after_its_end_does_not_run_again(self) -> None:
        """Guards against running a job again that is listed after its end.

        After the store has dropped its history, the owner lists all jobs again, among them one that
        has ended. If it were taken for a new job, a booking would be made twice.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.end("i-0", run.task.name, 1, EndReason.DONE)
        owner.poll("i-0")
        owner.scheduler.jobs.changes.take(10)
        owner.scheduler.jobs.changes.mark_stored()
        owner.tick(0.1)
        self.assertEqual(len(owner.scheduler.jobs), 0)
        owner.scheduler.accept(job(A), START_MS)
        self.assertEqual(owner.place(), [])

    def test_a_job_that_was_just_removed_does_not_run_again(self) -> None:
        """Guards against running a job again that was just removed from the store.

        A listing that still contains the job is on its way. If the job were taken for a new one, an
        old booking would be made again.
        """
        owner = OwnerUnderTest("i-0")
        completed = StoredProgress(JobState.COMPLETED, final_ms=START_MS)
        owner.scheduler.recover([(job(A), completed)], [], [], owner.now, START_MS)
        jobs = owner.scheduler.jobs
        self.assertEqual(jobs.expired(START_MS, 10), ())
        self.assertEqual(jobs.expired(START_MS + 1, 10), (job(A).job,))
        jobs.forget([job(A).job])
        jobs.forget_removed()
        owner.scheduler.accept(job(A), START_MS)
        self.assertEqual(owner.place(), [])


class RoomTest(unittest.TestCase):
    """No executor gets more work than its capacity."""

    def test_a_run_that_is_being_stopped_holds_its_room_until_its_end_is_listed(self) -> None:
        """Guards against reusing the resources of a cancelled task before it has stopped.

        Otherwise the executor would have more work than processors, and everything on it would slow
        down.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A, step(cpu_millis=16000)), START_MS)
        (first,) = owner.place()
        owner.scheduler.cancel(first.task.job.spec.job, owner.now, START_MS)
        owner.scheduler.accept(job("00000000000000bb", step(cpu_millis=1000)), START_MS)
        self.assertEqual(owner.place(), [])
        owner.answer_stop(first)
        owner.end("i-0", first.task.name, 1, EndReason.STOPPED)
        owner.poll("i-0")
        owner.tick(0.1)
        self.assertEqual(len(owner.place()), 1)

    def test_a_run_of_a_job_that_is_over_counts_while_it_is_stopped(self) -> None:
        """Guards against ignoring runs of a cancelled job that are still being stopped.

        The previous owner was lost while it stopped them. Its successor finds the runs and knows
        that the job is over; if it ignored them, it would overcommit the executor.
        """
        owner = OwnerUnderTest()
        cancelled = job(A, step(cpu_millis=16000))
        owner.scheduler.recover(
            [(cancelled, StoredProgress(JobState.CANCELLED))],
            [registration("i-0")],
            [registration("i-0")],
            owner.now,
            0,
        )
        listed = RunningRow(TaskName(f"{A}.0.0.0"), AttemptNumber(1), "", 10, 0.0)
        owner.poll("i-0", listed)
        self.assertEqual(owner.executor().used_cpu_millis, 16000)
        self.assertEqual([run.task.name for run in owner.stops()], [f"{A}.0.0.0"])


class UnansweredOrdersTest(unittest.TestCase):
    """An order without an answer may have been carried out, or may still be carried out later."""

    def test_a_start_without_an_answer_is_barred_before_the_task_starts_elsewhere(self) -> None:
        """Guards against starting a task elsewhere while an unanswered start may still take effect.

        The answer was lost on the way, and the task may run there or begin seconds later. It would
        run twice, and a customer would hold two rooms.
        """
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.accept(job(A), START_MS)
        (lost,) = owner.send()
        owner.answer_start(lost, CallOutcome.UNKNOWN)
        self.assertIs(lost.phase, RunPhase.UNSURE)
        self.assertEqual(owner.stops(), [lost])
        owner.poll(lost.executor.executor)
        self.assertEqual(owner.place(), [])
        owner.now += 0.1
        owner.answer_stop(lost)
        owner.now += 0.1
        owner.poll(lost.executor.executor)
        self.assertEqual([run.attempt for run in owner.place()], [2])

    def test_a_truncated_list_proves_nothing(self) -> None:
        """Guards against taking a run for over because its end is missing from a truncated list.

        While the store is unavailable no end may be forgotten, and more runs have ended on an
        executor than one answer lists. A run that ended successfully was started again elsewhere.
        """
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        name = str(run.executor.executor)
        owner.now += 0.1
        owner.poll(name, ends_may_be_cut=True)
        self.assertEqual(owner.stops(), [])
        owner.scheduler.cancel(run.task.job.spec.job, owner.now, START_MS)
        owner.answer_stop(run)
        owner.now += 0.1
        owner.poll(name, ends_may_be_cut=True)
        self.assertEqual(len(run.executor.runs), 1)

    def test_a_stop_without_an_answer_is_sent_again(self) -> None:
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (lost,) = owner.send()
        owner.answer_start(lost, CallOutcome.UNKNOWN)
        owner.stops()
        owner.answer_stop(lost, CallOutcome.UNKNOWN)
        owner.tick(0.5)
        self.assertEqual(owner.stops(), [lost])

    def test_a_list_that_was_made_before_the_start_proves_nothing(self) -> None:
        """Guards against evidence from a list of runs made before a start.

        Answers on different connections can arrive out of order: a list made before a start arrives
        after the answer to the start. Taken as proof that the run is over, it would start the task
        twice.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        sent_at = owner.now
        owner.now += 0.1
        (run,) = owner.place()
        owner.poll("i-0", sent_at=sent_at)
        self.assertIs(run.phase, RunPhase.RUNNING)
        self.assertEqual(owner.place(), [])

    def test_an_order_that_is_refused_as_malformed_is_not_sent_again_at_once(self) -> None:
        """Guards against orders that are sent hundreds of times a second.

        An executor refuses a malformed start. Sent again as soon as the refusal arrived, the order
        kept the owner from all other work.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.send()
        owner.answer_start(run, CallOutcome.MALFORMED)
        self.assertEqual(owner.send(), [])
        owner.tick(0.1)
        self.assertEqual([again.attempt for again in owner.send()], [2])


class LostExecutorsTest(unittest.TestCase):
    """Executors that don't answer or that restart."""

    def test_tasks_of_a_silent_executor_start_elsewhere_once_its_lease_has_lapsed(self) -> None:
        """Guards against starting tasks of a silent executor elsewhere before its lease has
        expired.

        A disconnected executor continues until its lease ends, on a clock that may be 2% slow.
        Restarted any earlier, its tasks would run twice.
        """
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        silent = run.executor
        silent.lease_until_ms = owner.clock() + 5000
        for _ in range(50):
            owner.now += 0.1
            owner.scheduler.poll_failed(silent, owner.now)
        self.assertEqual(owner.place(), [])
        owner.tick(0.3)
        again = owner.place()
        self.assertEqual(
            [(new_run.attempt, new_run.executor is silent) for new_run in again], [(2, False)]
        )

    def test_a_restarted_executor_has_no_earlier_runs(self) -> None:
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        owner.place()
        owner.scheduler.register(registration("i-0", incarnation=2), owner.now)
        owner.poll("i-0", incarnation=2)
        self.assertEqual([run.attempt for run in owner.place()], [2])

    def test_an_executor_lost_after_a_restart_blocks_no_task(self) -> None:
        """Guards against a task that waits forever for an executor that restarted and vanished.

        An executor restarts while an order is on its way to it, and is lost before the new
        incarnation answers. The owner waited for that answer forever, and so did the job's caller.
        """
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.accept(job(A), START_MS)
        owner.now += 0.1
        (run,) = owner.send()
        restarted = run.executor
        owner.now += 0.1
        owner.scheduler.register(registration(restarted.executor, incarnation=2), owner.now)
        owner.answer_start(run, CallOutcome.UNKNOWN)
        owner.scheduler.unregister(restarted.executor, owner.now)
        for _ in range(60):
            owner.tick(1.0)
            owner.scheduler.poll_failed(restarted, owner.now)
        again = owner.place()
        self.assertEqual(
            [(new_run.attempt, new_run.executor is restarted) for new_run in again], [(2, False)]
        )

    def test_an_answer_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Guards against mixing the answer of an earlier incarnation into the state of the present
        one.

        An executor restarts while the answer to a poll is under way. With the old list, the owner
        would wait for runs that are over.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.scheduler.register(registration("i-0", incarnation=2), owner.now)
        owner.poll("i-0", row(run), incarnation=1)
        self.assertEqual(owner.executor().runs, {})

    def test_a_failed_poll_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Guards against a failed poll of an earlier incarnation that removes the present one.

        An executor crashes, is given up, and registers again under its id while a poll is pending.
        When that poll failed, the new incarnation was dropped from the tables, and its jobs hung
        forever.
        """
        owner = OwnerUnderTest("i-0")
        given_up = owner.executor()
        owner.scheduler.poll_failed(given_up, owner.now)
        owner.scheduler.unregister(ExecutorId("i-0"), owner.now)
        self.assertEqual(owner.scheduler.executors, {})
        owner.scheduler.register(registration("i-0", incarnation=2), owner.now)
        owner.scheduler.poll_failed(given_up, owner.now)
        self.assertIn(ExecutorId("i-0"), owner.scheduler.executors)

    def test_an_executor_clock_starts_at_zero(self) -> None:
        """Guards against estimating an executor's clock by that of the instance.

        An executor's clock begins at 0 when it starts. When it was taken to be hours ahead, like
        the instance's own clock, its leases were cut short and its tasks were started elsewhere
        while they still ran.
        """
        owner = OwnerUnderTest("i-0", polled=False)
        self.assertLess(owner.executor().min_clock_ms(owner.now + 1.0), 1100)

    def test_long_running_tasks_leave_a_draining_executor(self) -> None:
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A, step(long_running=True)), START_MS)
        (run,) = owner.place()
        owner.scheduler.register(registration("i-0", draining=True), owner.now)
        owner.tick(0.1)
        self.assertEqual(owner.stops(), [run])

    def test_a_new_owner_moves_tasks_off_a_draining_executor(self) -> None:
        """Guards against a successor that ignores an executor which is already draining.

        The earlier owner was lost after the executor announced that it drains. Its long-running
        tasks were cut off when it exited.
        """
        owner = OwnerUnderTest()
        leaving = registration("i-0", draining=True)
        spec = job(A, step(long_running=True))
        owner.scheduler.recover([(spec, None)], [leaving], [leaving], owner.now, START_MS)
        listed = RunningRow(TaskName(f"{A}.0.0.0"), AttemptNumber(1), "", 100, 0.0)
        owner.poll("i-0", listed)
        owner.tick(0.1)
        self.assertEqual([run.task.name for run in owner.stops()], [f"{A}.0.0.0"])

    def test_a_stalled_run_is_stopped(self) -> None:
        """Guards against a run that hangs: its progress stops, and its caller would wait
        forever."""
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        for _ in range(3):
            owner.poll(run.executor.executor, row(run, percent=40))
            owner.tick(1.0)
        self.assertEqual(owner.stops(), [run])


class FailuresTest(unittest.TestCase):
    """Each failed attempt is counted once, and against the task or executor at fault."""

    def test_a_job_fails_when_a_task_has_used_its_attempts(self) -> None:
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        for attempt in (1, 2):
            (run,) = owner.place()
            owner.end("i-0", run.task.name, attempt, EndReason.FAILED)
            owner.poll("i-0")
            owner.tick(1.1)
        accepted = owner.scheduler.jobs.get(job(A).job)
        assert accepted is not None
        self.assertIs(accepted.state, JobState.FAILED)
        self.assertEqual(owner.place(), [])

    def test_a_failure_that_was_stored_is_not_counted_again_by_the_next_owner(self) -> None:
        """Guards against counting a stored failure a second time.

        An owner stores a failed attempt and is lost before the executor is told to forget it. Its
        successor finds the end in the list again; counted twice, the job would fail although it has
        another attempt.
        """
        owner = OwnerUnderTest()
        stored = StoredTask(0, 0, 0, AttemptNumber(1), (1,))
        progress = StoredProgress(JobState.RUNNING, tasks=(stored,))
        owner.scheduler.recover(
            [(job(A), progress)], [registration("i-0")], [registration("i-0")], owner.now, START_MS
        )
        owner.end("i-0", TaskName(f"{A}.0.0.0"), 1, EndReason.FAILED)
        owner.poll("i-0")
        self.assertEqual([run.attempt for run in owner.place()], [2])

    def test_the_next_attempt_goes_to_another_executor(self) -> None:
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.accept(job(A), START_MS)
        (first,) = owner.place()
        name = str(first.executor.executor)
        owner.end(name, first.task.name, 1, EndReason.FAILED)
        owner.poll(name)
        (second,) = owner.place()
        self.assertIsNot(second.executor, first.executor)

    def test_evicted_work_resumes_from_its_checkpoint(self) -> None:
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A, step(checkpointing=True)), START_MS)
        (run,) = owner.place()
        owner.end("i-0", run.task.name, 1, EndReason.STOPPED, "saved")
        owner.poll("i-0")
        (again,) = owner.place()
        self.assertEqual((again.checkpoint, again.attempt), ("saved", 2))


class TakeoverTest(unittest.TestCase):
    """The tasks that a new owner may start, and when."""

    def setUp(self) -> None:
        """Set up a job of two steps that an earlier owner may have begun, and two executors."""
        self.owner = OwnerUnderTest()
        self.spec = job(A, step(), step(after=(0,)))
        self.owner.scheduler.recover(
            [(self.spec, None)],
            [registration("i-0"), registration("i-1")],
            [registration("i-0"), registration("i-1")],
            self.owner.now,
            START_MS,
        )

    def test_a_task_waits_until_every_executor_has_answered(self) -> None:
        """Guards against starting a task that an earlier owner has started without storing it.

        An owner is killed just after it started a task. Its successor finds no record of the run;
        started immediately, the task would run twice.
        """
        self.owner.poll("i-0")
        self.assertEqual(self.owner.place(), [])
        self.owner.poll("i-1")
        self.assertEqual(len(self.owner.place()), 1)

    def test_a_listed_run_is_adopted(self) -> None:
        listed = RunningRow(TaskName(f"{A}.0.0.0"), AttemptNumber(1), "", 40, 0.0)
        self.owner.poll("i-0", listed)
        self.owner.poll("i-1")
        self.assertEqual(self.owner.place(), [])
        self.assertEqual(self.owner.stops(), [])
        self.assertEqual(len(self.owner.executor("i-0").runs), 1)

    def test_the_next_step_waits_too_when_the_end_of_the_one_before_comes_first(self) -> None:
        """Guards against starting a step that already runs on an executor which has not answered
        yet.

        The first executor lists the end of the first step, and the second one already runs the next
        step.
        """
        self.owner.end("i-0", TaskName(f"{A}.0.0.0"), 1, EndReason.DONE)
        self.owner.poll("i-0")
        self.assertEqual(self.owner.place(), [])
        listed = RunningRow(TaskName(f"{A}.0.1.0"), AttemptNumber(1), "", 40, 0.0)
        self.owner.poll("i-1", listed)
        self.assertEqual(self.owner.place(), [])

    def test_an_executor_that_never_answers_is_waited_for_until_its_lease_is_over(self) -> None:
        self.owner.poll("i-0")
        self.owner.tick(7.9)
        self.assertEqual(self.owner.place(), [])
        self.owner.tick(0.2)
        self.assertEqual([run.attempt for run in self.owner.place()], [2])

    def test_a_job_accepted_after_the_takeover_starts_at_once(self) -> None:
        self.owner.poll("i-0")
        self.owner.scheduler.accept(job("00000000000000bb"), START_MS)
        self.assertEqual([run.task.name for run in self.owner.place()], ["00000000000000bb.0.0.0"])

    def test_executors_whose_registration_has_lapsed_are_waited_for(self) -> None:
        """Guards against starting tasks of executors whose registrations have expired.

        Registrations expire while the store is unavailable. An owner that is elected when the store
        returns sees three executors of thirty; the others still run the tasks that their last owner
        started.
        """
        owner = OwnerUnderTest()
        owner.scheduler.recover(
            [(self.spec, None)], [registration("i-0")], [registration("i-1")], owner.now, START_MS
        )
        owner.poll("i-0")
        self.assertEqual(owner.place(), [])
        owner.poll("i-1")
        (run,) = owner.place()
        self.assertEqual(run.executor.executor, "i-0")

    def test_a_given_up_run_is_stopped_when_it_is_listed(self) -> None:
        """Guards against a late start that runs next to its replacement.

        An executor leaves an order unanswered and carries it out seconds later, after the task has
        been started elsewhere under a higher attempt number.
        """
        self.owner.poll("i-0")
        self.owner.poll("i-1")
        (run,) = self.owner.place()
        other_name = "i-1" if run.executor.executor == "i-0" else "i-0"
        run.task.attempt = AttemptNumber(2)
        late = RunningRow(run.task.name, AttemptNumber(1), "", 0, 0.0)
        self.owner.poll(other_name, late)
        self.assertEqual(
            [(stopped_run.attempt, stopped_run.phase) for stopped_run in self.owner.stops()],
            [(1, RunPhase.STOPPING)],
        )

    def test_the_earlier_lease_counts_from_the_first_answer(self) -> None:
        """Guards against taking a lease granted by an earlier owner for expired.

        An owner renews an executor's lease and is lost. Its successor finds the task there, and
        then cannot reach the executor any more, not even with its own renewals. The executor
        continues under the earlier lease; started elsewhere immediately, the task would run in two
        places.
        """
        listed = RunningRow(TaskName(f"{A}.0.0.0"), AttemptNumber(1), "", 40, 0.0)
        self.owner.poll("i-0", listed)
        self.owner.poll("i-1")
        silent = self.owner.executor("i-0")
        for _ in range(49):
            self.owner.now += 0.1
            self.owner.scheduler.poll_failed(silent, self.owner.now)
            self.owner.poll("i-1")
        self.assertEqual(self.owner.place(), [])
        self.owner.tick(0.6)
        again = self.owner.place()
        self.assertEqual([(run.attempt, run.executor.executor) for run in again], [(2, "i-1")])

    def test_a_lease_outlives_the_state_of_its_executor(self) -> None:
        """Guards against forgetting a lease together with the state of its executor.

        An idle executor vanishes just after its lease was renewed, is dropped, and registers again.
        It gets a task and vanishes again. The task continues under the earlier renewal and must not
        start elsewhere before it ends.
        """
        owner = OwnerUnderTest("i-0")
        owner.executor().lease_until_ms = owner.clock() + LEASE_MS
        owner.scheduler.poll_failed(owner.executor(), owner.now)
        owner.scheduler.unregister(ExecutorId("i-0"), owner.now)
        self.assertEqual(owner.scheduler.executors, {})
        owner.scheduler.register(registration("i-0"), owner.now)
        owner.poll("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.scheduler.register(registration("i-1"), owner.now)
        for _ in range(48):
            owner.now += 0.1
            owner.scheduler.poll_failed(run.executor, owner.now)
            owner.poll("i-1")
        self.assertEqual(owner.place(), [])
        owner.tick(0.7)
        self.assertEqual([again.attempt for again in owner.place()], [2])

    def test_an_executor_is_waited_for_until_it_has_listed_all_its_ends(self) -> None:
        """Guards against releasing held tasks before an executor has listed all of its ends.

        While the store was unavailable, more runs have ended on an executor than one answer lists.
        The owner is replaced when the store returns, and its successor starts a task again that
        ended successfully but isn't listed yet.
        """
        self.owner.poll("i-1")
        self.owner.poll("i-0", ends_may_be_cut=True)
        self.assertEqual(self.owner.place(), [])
        self.owner.tick(8.1)
        self.owner.poll("i-0", ends_may_be_cut=True)
        self.assertEqual(self.owner.place(), [])
        polled_executor = self.owner.executor("i-0")
        polled_executor.grant_lease(self.owner.clock() + LEASE_MS)
        self.owner.scheduler.poll_failed(polled_executor, self.owner.now)
        self.owner.tick(1.0)
        self.assertEqual(self.owner.place(), [])
        self.owner.end("i-0", TaskName(f"{A}.0.0.0"), 1, EndReason.DONE)
        self.owner.poll("i-0")
        self.assertEqual([run.task.name for run in self.owner.place()], [f"{A}.0.1.0"])


class StoredExecutorsTest(unittest.TestCase):
    """An executor gets runs only while a successor would wait for it."""

    def setUp(self) -> None:
        """Set up an owner whose writes are not confirmed."""
        self.owner = OwnerUnderTest()
        self.owner.store_answers = False

    def _is_used(self) -> bool:
        """Whether a new job is started."""
        self.owner.scheduler.accept(job(A), START_MS)
        return bool(self.owner.place())

    def test_an_executor_waits_for_the_write_that_holds_it(self) -> None:
        """Guards against using an executor before the write that contains it is confirmed.

        An unanswered write may not have been carried out. The next owner would not know the
        executor, and would start its tasks a second time.
        """
        self.owner.scheduler.register(registration("i-0"), self.owner.now)
        self.owner.poll("i-0")
        self.assertFalse(self._is_used())
        self.owner.store_answers = True
        self.assertEqual(len(self.owner.place()), 1)

    def test_executors_that_an_earlier_owner_had_stored_are_used_at_once(self) -> None:
        """Guards against a takeover that waits for another write while the store is slow."""
        registered = registration("i-0")
        self.owner.scheduler.recover([], [registered], [registered], self.owner.now, START_MS)
        self.owner.poll("i-0")
        self.assertTrue(self._is_used())

    def test_an_executor_that_was_dropped_is_stored_again(self) -> None:
        """Guards against an executor that is missing from the list, which was written without
        it."""
        registered = registration("i-0")
        self.owner.scheduler.recover([], [registered], [registered], self.owner.now, START_MS)
        self.owner.poll("i-0")
        self.owner.scheduler.poll_failed(self.owner.executor(), self.owner.now)
        self.owner.scheduler.unregister(ExecutorId("i-0"), self.owner.now)
        self.assertEqual(self.owner.scheduler.executors, {})
        self.owner.scheduler.register(registered, self.owner.now)
        self.owner.poll("i-0")
        self.assertFalse(self._is_used())

    def test_an_executor_that_has_moved_is_stored_again(self) -> None:
        """Guards against a successor that looks for an executor at its earlier address.

        A successor that doesn't see the new registration would give the executor up after some
        seconds, and its callers would wait for nothing.
        """
        registered = registration("i-0")
        self.owner.scheduler.recover([], [registered], [registered], self.owner.now, START_MS)
        self.owner.poll("i-0")
        self.owner.scheduler.take_changed_executors()
        moved = registration("i-0", address=Address("10.0.0.2", 80))
        self.owner.scheduler.register(moved, self.owner.now)
        self.assertFalse(self._is_used())
        self.assertEqual(self.owner.scheduler.take_changed_executors(), (moved,))
        self.owner.scheduler.executors_stored([moved])
        self.assertEqual(len(self.owner.place()), 1)


class StoredEndsTest(unittest.TestCase):
    """An executor may forget an end only when the end is stored."""

    def test_an_end_is_forgettable_once_its_change_is_stored(self) -> None:
        """Guards against losing an end that is not stored yet.

        If the executor forgot it and the owner was lost, no record would show that the task is
        done, and it would run again.
        """
        owner = OwnerUnderTest("i-0")
        owner.scheduler.accept(job(A), START_MS)
        (run,) = owner.place()
        owner.end("i-0", run.task.name, 1, EndReason.DONE)
        owner.poll("i-0")
        owner.scheduler.release_stored_ends()
        self.assertEqual(owner.executor().forgettable_end, 0)
        changes = owner.scheduler.jobs.changes
        changes.take(10)
        owner.scheduler.release_stored_ends()
        self.assertEqual(owner.executor().forgettable_end, 0)
        changes.mark_stored()
        owner.scheduler.release_stored_ends()
        self.assertEqual(owner.executor().forgettable_end, 1)


class GangsTest(unittest.TestCase):
    """Gangs: tasks that work only together."""

    def setUp(self) -> None:
        """Set up two executors with room for three members each."""
        self.owner = OwnerUnderTest("i-0", "i-1")
        self.gang = step(count=4, cpu_millis=5000, gang=True, checkpointing=True)

    def test_all_members_start_at_once_or_none(self) -> None:
        """Guards against two gangs that each get half of the resources and wait for each other
        forever."""
        self.owner.scheduler.accept(job(A, self.gang), START_MS)
        runs = self.owner.place()
        self.assertEqual({run.attempt for run in runs}, {1})
        self.assertEqual(len(runs), 4)
        self.owner.scheduler.accept(job("00000000000000bb", self.gang), START_MS)
        self.assertEqual(self.owner.place(), [])
        self.assertEqual(
            sum(executor.used_cpu_millis for executor in self.owner.scheduler.executors.values()),
            20000,
        )

    def test_the_end_of_one_member_ends_the_gang(self) -> None:
        self.owner.scheduler.accept(job(A, self.gang), START_MS)
        first, *_ = self.owner.place()
        name = str(first.executor.executor)
        self.owner.end(name, first.task.name, 1, EndReason.DONE)
        self.owner.poll(name)
        accepted = self.owner.scheduler.jobs.get(job(A).job)
        assert accepted is not None
        self.assertIs(accepted.state, JobState.COMPLETED)

    def test_a_broken_gang_starts_again_together_from_one_checkpoint(self) -> None:
        """Guards against restarting the members of a broken gang one by one.

        An executor fails one member, and the others end as broken. Each restarted member would hold
        its resources and wait for the others.
        """
        self.owner.scheduler.accept(job(A, self.gang), START_MS)
        runs = self.owner.place()
        for number, run in enumerate(runs):
            reason = EndReason.FAILED if number == 0 else EndReason.GANG_BROKEN
            self.owner.end(str(run.executor.executor), run.task.name, 1, reason, "saved")
        self.owner.poll("i-0")
        self.assertEqual(self.owner.place(), [])
        self.owner.poll("i-1")
        again = self.owner.place()
        self.assertEqual({(run.attempt, run.checkpoint) for run in again}, {(2, "saved")})
        self.assertEqual(len(again), 4)

    def test_a_partly_started_gang_is_stopped_and_restarted(self) -> None:
        """Guards against a gang of which an earlier owner started only a part.

        The owner was killed while it sent out the members. The started ones wait for the others,
        which are never started.
        """
        owner = OwnerUnderTest()
        owner.scheduler.recover(
            [(job(A, self.gang), None)],
            [registration("i-0"), registration("i-1")],
            [registration("i-0"), registration("i-1")],
            owner.now,
            START_MS,
        )
        listed = RunningRow(TaskName(f"{A}.0.0.2"), AttemptNumber(1), "", 0, 0.0)
        owner.poll("i-0", listed)
        owner.poll("i-1")
        (stopped,) = owner.stops()
        owner.answer_stop(stopped)
        owner.end("i-0", stopped.task.name, 1, EndReason.STOPPED)
        owner.poll("i-0")
        self.assertEqual([run.attempt for run in owner.place()], [2, 2, 2, 2])

    def test_a_gang_that_is_slower_across_racks_stays_in_one(self) -> None:
        owner = OwnerUnderTest()
        for name, rack in (("i-0", "r1"), ("i-1", "r2"), ("i-2", "r2")):
            owner.scheduler.register(registration(name, rack=rack), owner.now)
            owner.poll(name)
        owner.scheduler.accept(
            job(A, step(count=4, cpu_millis=5000, gang=True, same_rack=True)), START_MS
        )
        self.assertEqual({run.executor.registration.rack for run in owner.place()}, {"r2"})


class FailureAttributionTest(unittest.TestCase):
    """Tasks that can't succeed are distinguished from executors that fail everything."""

    def test_a_task_that_always_fails_does_not_block_executors(self) -> None:
        """Guards against avoiding all executors because many jobs arrive that can't succeed.

        If each of their failures counted against the executor, sound jobs would find no executor.
        """
        owner = OwnerUnderTest("i-0", "i-1")
        owner.scheduler.configure(table(queue(attempts=9)))
        owner.scheduler.accept(job(A), START_MS)
        for attempt in range(1, 6):
            (run,) = owner.place()
            name = str(run.executor.executor)
            owner.end(name, run.task.name, attempt, EndReason.FAILED)
            owner.poll(name)
        self.assertEqual(
            sum(executor.consecutive_failures for executor in owner.scheduler.executors.values()), 1
        )

    def test_an_executor_that_fails_all_tasks_is_avoided(self) -> None:
        owner = OwnerUnderTest("i-0")
        for number in range(2):
            owner.scheduler.accept(job(f"{number:016x}"), START_MS)
            (run,) = owner.place()
            owner.end("i-0", run.task.name, 1, EndReason.FAILED)
            owner.poll("i-0")
            owner.scheduler.cancel(run.task.job.spec.job, owner.now, START_MS)
        self.assertFalse(owner.executor().is_usable(owner.now))
        self.assertTrue(owner.executor().is_usable(owner.now + 1.1))


class TicketsTest(unittest.TestCase):
    """Queues whose advisor permits only some executors to run a step."""

    def setUp(self) -> None:
        """Set up a queue that needs tickets, and two executors."""
        self.owner = OwnerUnderTest("i-0", "i-1")
        self.owner.scheduler.configure(table(queue(needs_tickets=True)))
        self.owner.scheduler.accept(job(A), START_MS)

    def _ask(self) -> AskAdvice:
        self.owner.scheduler.place(self.owner.now, START_MS)
        self.assertEqual(self.owner.scheduler.take_commands(), [])
        question = self.owner.scheduler.next_question(self.owner.now, START_MS)
        assert question is not None
        self.owner.scheduler.question_sent(question, self.owner.now + 1.0)
        self.assertIsNone(self.owner.scheduler.next_question(self.owner.now, START_MS))
        return question

    def _answer(self, question: AskAdvice, tickets: dict[ExecutorId, str] | None) -> None:
        self.owner.scheduler.handle_advice(question, tickets, 3.0, self.owner.now, START_MS)

    def test_a_start_waits_for_the_ticket_and_carries_it(self) -> None:
        question = self._ask()
        self.assertEqual(set(question.executors), {"i-0", "i-1"})
        self._answer(question, {ExecutorId("i-1"): "t"})
        (run,) = self.owner.place()
        self.assertEqual((run.executor.executor, run.ticket), ("i-1", "t"))

    def test_an_advisor_that_does_not_answer_is_asked_again(self) -> None:
        """Guards against a job that waits forever because the advisor did not answer.

        The advisor is busy and rejects a question. Asked again immediately it would only be busier,
        so the question is repeated after a delay.
        """
        self._answer(self._ask(), None)
        self.owner.scheduler.place(self.owner.now, START_MS)
        self.assertEqual(self.owner.scheduler.take_commands(), [])
        self.assertIsNone(self.owner.scheduler.next_question(self.owner.now, START_MS))
        self.owner.tick(0.3)
        self._ask()

    def test_a_ticket_that_is_refused_is_not_used_again(self) -> None:
        """Guards against sending an expired ticket again and again, which is refused each time."""
        self._answer(self._ask(), {ExecutorId("i-1"): "old"})
        (run,) = self.owner.send()
        self.owner.answer_start(run, CallOutcome.NO_TICKET)
        self.assertEqual(self._ask().executors[0], "i-1")

    def test_a_ticket_does_not_outlive_the_executor(self) -> None:
        self._answer(self._ask(), {ExecutorId("i-1"): "t"})
        self.owner.scheduler.register(registration("i-1", incarnation=2), self.owner.now)
        self.owner.poll("i-1", incarnation=2)
        self.assertEqual(self.owner.send(), [])
