"""What goes wrong between the stop of a less urgent run and the start of an urgent one."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ... import EndReason, JobSpec, Run
from ..._runs import RunPhase
from ...tests.builders_jobs import START_MS, step
from .._preemption import HOLD_MARGIN_SECONDS
from .builders_preemption import OTHER, STOP_SECONDS, URGENT, PreemptingOwner

SAVING = step(cpu_millis=16_000, estimate_ms=8_000, checkpointing=True)
URGENT_WHOLE = step(cpu_millis=16_000, estimate_ms=2_000)


class FailedPreemptionTest(unittest.TestCase):
    """One failure each."""

    def setUp(self) -> None:
        self.owner = PreemptingOwner("i-0")
        self.victim = self.owner.submit(OTHER, SAVING)
        self.owner.run_until_listed(0.5)

    def _preempt(self) -> tuple[JobSpec, Run]:
        """Have the run stopped for an urgent task; the stop is not carried out yet."""
        urgent = self.owner.submit(URGENT, URGENT_WHOLE)
        self.owner.run_until_listed(0.1, stops_answered=False)
        self.assertEqual(len(self.owner.stopped), 1)
        return urgent, self.owner.stopped[0]

    def _assert_resumes_once(self) -> None:
        """The victim runs once, from its checkpoint, without a failed attempt."""
        (run,) = self.owner.runs_of(self.victim)
        self.assertEqual(run.checkpoint, "saved")
        self.assertEqual(run.task.failed_attempts, [])
        self.assertEqual(run.task.runs, [run])

    def test_the_victim_resumes_once_from_its_checkpoint(self) -> None:
        """Guards against a victim that starts over, or whose stop counts as a failure."""
        _, run = self._preempt()
        self.owner.stop(run)
        self.owner.run_until_listed(3.0)
        self._assert_resumes_once()

    def test_owner_dies_between_stop_and_start(self) -> None:
        """Guards against a successor that runs the victim twice or forgets the urgent task."""
        urgent, run = self._preempt()
        self.owner.stop(run)
        self.owner.forget_owner()
        self.owner.run_until_listed(0.5)
        self.assertEqual(len(self.owner.runs_of(urgent)), 1)
        self.owner.run_until_listed(2.3)
        self._assert_resumes_once()

    def test_owner_dies_before_the_stop_arrives(self) -> None:
        """Guards against a successor that starts beside the run that was never stopped."""
        urgent, run = self._preempt()
        self.owner.ends.clear()
        earlier = self.owner.forget_owner()
        self.assertIn(run, earlier.executors[run.executor.executor].runs.values())
        self.owner.scheduler.check_time(self.owner.now, START_MS)
        self.owner.scheduler.place(self.owner.now, START_MS)
        self.assertEqual(self.owner.runs_of(urgent), [])

    def test_the_stop_is_not_answered(self) -> None:
        """Guards against an urgent task that waits for an executor which never frees its room."""
        urgent, run = self._preempt()
        self.owner.run_until_listed(2.5, stops_answered=False)
        self.assertEqual(self.owner.runs_of(urgent), [])
        self.assertEqual(set(self.owner.stopped), {run})
        self.owner.join("i-1")
        self.owner.run_until_listed(0.2, stops_answered=False)
        (started,) = self.owner.runs_of(urgent)
        self.assertEqual(started.executor, self.owner.executor("i-1"))

    def test_an_executor_whose_room_stayed_taken_is_left_alone(self) -> None:
        """Guards against an urgent task that waits for the same executor again and again."""
        self.owner.join("i-1")
        self.owner.submit(OTHER, SAVING)
        self.owner.run_until_listed(0.3)
        _, first = self._preempt()
        self.owner.run_until_listed(2 * STOP_SECONDS + HOLD_MARGIN_SECONDS + 0.3, False)
        executors = [run.executor for run in dict.fromkeys(self.owner.stopped)]
        self.assertEqual(len(executors), 2)
        self.assertIs(executors[0], first.executor)
        self.assertIsNot(executors[1], first.executor)

    def test_the_urgent_job_is_cancelled_meanwhile(self) -> None:
        """Guards against room that stays held for a task that will never start."""
        urgent, run = self._preempt()
        self.owner.scheduler.cancel(urgent.job, self.owner.now, START_MS)
        self.owner.stop(run)
        self.owner.run_until_listed(0.3)
        self.assertEqual(self.owner.executor().incoming_cpu_millis, 0)
        self._assert_resumes_once()

    def test_the_freed_room_is_not_given_to_another_task(self) -> None:
        """Guards against less urgent tasks that take the room just when it comes free."""
        urgent, run = self._preempt()
        late = self.owner.submit(OTHER, step(cpu_millis=1_000))
        same = self.owner.submit(URGENT, step(cpu_millis=1_000))
        self.owner.stop(run)
        self.owner.list_runs()
        self.owner.place()
        self.assertEqual(self.owner.runs_of(late), [])
        self.assertEqual(self.owner.runs_of(same), [])
        self.owner.run_until_listed(0.2)
        self.assertEqual(len(self.owner.runs_of(urgent)), 1)

    def test_the_end_of_the_victim_arrives_after_its_next_start(self) -> None:
        """Guards against a late end that stops the resumed run or takes its task for failed."""
        _, run = self._preempt()
        self.owner.stop(run)
        self.owner.ends.clear()
        self.owner.tick(0.1)
        self.owner.poll("i-0")
        self.owner.run_until_listed(3.0)
        (resumed,) = self.owner.runs_of(self.victim)
        self.owner.end("i-0", run.task.name, run.attempt, EndReason.STOPPED, "later")
        self.owner.run_until_listed(0.1)
        self.assertEqual(self.owner.runs_of(self.victim), [resumed])
        self.assertIs(resumed.phase, RunPhase.RUNNING)
        self.assertEqual(run.task.failed_attempts, [])


_EVENTS = st.sampled_from(("urgent", "other", "saving", "cancel", "time", "lose", "late"))


class AnyOrderTest(unittest.TestCase):
    """Any order of arrivals, cancels, lost stops and time."""

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.lists(_EVENTS, max_size=25))
    def test_rooms_and_runs_stay_consistent(self, events: list[str]) -> None:
        """Guards against executors with more work than room, and tasks that run twice."""
        owner = PreemptingOwner("i-0", "i-1")
        jobs: list[JobSpec] = []
        for event in events:
            match event:
                case "urgent":
                    jobs.append(owner.submit(URGENT, step(count=2, cpu_millis=9_000)))
                case "other":
                    jobs.append(owner.submit(OTHER, step(count=3, cpu_millis=5_000)))
                case "saving":
                    jobs.append(owner.submit(OTHER, SAVING))
                case "cancel" if jobs:
                    owner.scheduler.cancel(jobs[-1].job, owner.now, START_MS + owner.clock())
                case "lose":
                    owner.run_until_listed(0.3, stops_answered=False)
                case _:
                    owner.run_until_listed(STOP_SECONDS)
            self._check(owner)
        owner.run_until_listed(60.0)
        self.assertTrue(all(owner.is_over(spec) for spec in jobs))

    def _check(self, owner: PreemptingOwner) -> None:
        for executor in owner.scheduler.executors.values():
            self.assertLessEqual(executor.used_cpu_millis, executor.registration.room.cpu_millis)
            self.assertGreaterEqual(executor.incoming_cpu_millis, 0)
        for task in owner.scheduler.jobs.live_tasks():
            self.assertLessEqual(len(task.runs), 1)
            self.assertEqual(task.failed_attempts, [])


class SearchTest(unittest.TestCase):
    """Whose turn it is when room is searched."""

    def test_steps_that_nothing_helps_leave_the_others_their_turn(self) -> None:
        """Guards against an urgent task that waits behind others which no executor can run."""
        owner = PreemptingOwner("i-0")
        owner.submit(OTHER, SAVING)
        owner.run_until_listed(0.2)
        for _ in range(2):
            owner.submit(URGENT, step(cpu_millis=1_000, estimate_ms=100, required_label="none"))
        urgent = owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(1.5)
        self.assertEqual(len(owner.runs_of(urgent)), 1)

    def test_an_unusable_executor_costs_one_more_stop_and_is_left_alone(self) -> None:
        """Guards against stops on one executor after the other for the same urgent task."""
        owner = PreemptingOwner("i-0", "i-1")
        owner.submit(OTHER, SAVING)
        owner.submit(OTHER, SAVING)
        owner.run_until_listed(0.2)
        urgent = owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(0.1, stops_answered=False)
        (first,) = owner.stopped
        first.executor.evacuated = True
        owner.run_until_listed(2.0)
        self.assertEqual(len(set(owner.stopped)), 2)
        self.assertEqual(len(owner.runs_of(urgent)), 1)

    def test_nothing_is_stopped_while_the_owner_is_late(self) -> None:
        """Guards against an owner that sees ends only after the room for a task has been given up."""
        owner = PreemptingOwner("i-0")
        owner.submit(OTHER, SAVING)
        owner.run_until_listed(0.2)
        owner.scheduler.update_shed_level(10.0)
        owner.submit(URGENT, URGENT_WHOLE)
        owner.run_until_listed(STOP_SECONDS)
        self.assertEqual(owner.stopped, [])
