"""The largest jobs under a steady stream of small ones that fill every gap."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from ... import EndReason, ReservationDropped, ReservationMade, ReservationOutcome, Run
from ...tests.builders_jobs import registration, row, step
from .builders_shares import FAIR, FairOwner, large, small


def _stream(owner: FairOwner, seconds: float, runs: list[Run], estimate_ms: int) -> bool:
    """Play a while with a steady stream of small jobs; return whether a large one was started."""
    for number in range(int(seconds * 10)):
        if number % 2 == 0:
            owner.submit("a", small(estimate_ms=estimate_ms))
        owner.tick(0.1)
        runs[:] = owner.finish_due(runs)
        started = owner.place()
        runs.extend(started)
        if any(run.task.spec.cpu_millis == 16000 for run in started):
            return True
    return False


class LargeJobTest(unittest.TestCase):
    """How long a large job waits at most."""

    def test_a_large_job_starts_soon_after_its_reservation(self) -> None:
        """Guards against large jobs that wait as long as small ones keep coming."""
        for enabled in (True, False):
            chains = 2.0 if enabled else 1e9
            owner = FairOwner("i-0", settings=replace(FAIR, reservation_after_chains=chains))
            runs: list[Run] = []
            _stream(owner, 2.0, runs, 1000)
            owner.submit("a", large())
            self.assertEqual(_stream(owner, 4.0 + 0.5 + 1.0 + 0.5, runs, 1000), enabled)

    def test_a_large_job_on_leftover_cpu_starts_soon_after_its_reservation(self) -> None:
        """Guards against large jobs that wait while small ones share what services leave."""
        leftover = {"uses_leftover_cpu": True, "image": "batch"}
        for enabled in (True, False):
            chains = 2.0 if enabled else 1e9
            owner = FairOwner("i-0", settings=replace(FAIR, reservation_after_chains=chains))
            runs: list[Run] = []
            started = False
            for number in range(70):
                if number == 10:
                    owner.submit("a", large(**leftover))
                owner.submit("a", small(**leftover))
                owner.tick(0.1)
                runs = owner.finish_due(runs) + owner.place()
                started = started or any(run.task.spec.cpu_millis == 16000 for run in runs)
            self.assertEqual(started, enabled)

    def test_small_tasks_fill_the_room_until_the_reserved_time(self) -> None:
        """Guards against room that stands empty while a reserved job can't use it yet."""
        owner = FairOwner("i-0")
        owner.submit("a", small(estimate_ms=10_000))
        runs = owner.place()
        owner.submit("a", large())
        for _ in range(47):
            owner.tick(0.1)
            self.assertEqual(owner.place(), [])
        self.assertEqual(len(owner.policy._reservations), 1)
        owner.submit("a", small(estimate_ms=3000))
        owner.submit("a", small(estimate_ms=9000))
        started = [run.task.spec.estimate_ms for run in owner.place()]
        self.assertEqual(started, [3000])
        for run in runs:
            self.assertTrue(run.is_active)

    def test_tasks_that_leave_enough_room_are_not_held(self) -> None:
        """Guards against an executor that is closed although there is room beside the large job."""
        owner = FairOwner("i-0")
        for _ in range(4):
            owner.submit("a", small(estimate_ms=20_000))
        owner.place()
        owner.submit("a", replace(large(), cpu_millis=8000))
        for _ in range(46):
            owner.tick(0.1)
            owner.place()
        self.assertEqual(len(owner.policy._reservations), 1)
        kept = next(iter(owner.policy._reservations))
        task = kept.task
        self.assertTrue(owner.policy.may_take(task, kept.executor, owner.now))
        spec = owner.submit("a", small(estimate_ms=60_000))
        (other,) = owner.scheduler.jobs._jobs[spec.job].tasks.values()
        self.assertTrue(owner.policy.may_take(other, kept.executor, owner.now))
        wide = owner.submit("a", replace(small(estimate_ms=60_000), cpu_millis=12_000))
        (refused,) = owner.scheduler.jobs._jobs[wide.job].tasks.values()
        self.assertFalse(owner.policy.may_take(refused, kept.executor, owner.now))

    def test_tasks_of_one_step_leave_enough_room_together(self) -> None:
        """Guards against a step whose tasks each leave enough room, and all of them don't."""
        for gang, expected in ((False, 3), (True, 0)):
            owner = FairOwner("i-0")
            owner.submit("a", small(estimate_ms=20_000))
            owner.place()
            owner.submit("a", replace(large(), cpu_millis=12_500))
            for _ in range(46):
                owner.tick(0.1)
                owner.place()
            owner.submit("a", step(count=4, memory_mb=100, estimate_ms=60_000, gang=gang))
            owner.tick(0.1)
            self.assertEqual(len(owner.place()), expected)

    def test_a_more_urgent_priority_may_take_reserved_room(self) -> None:
        """Guards against a reservation that holds urgent callers back."""
        owner = FairOwner("i-0", priorities=(0, 1))
        owner.submit("b", small(estimate_ms=30_000))
        owner.place()
        owner.submit("b", large())
        for _ in range(46):
            owner.tick(0.1)
            owner.place()
        self.assertEqual(len(owner.policy._reservations), 1)
        owner.submit("a", small(estimate_ms=60_000))
        self.assertEqual(len(owner.place()), 1)


class ReservedRoomTest(unittest.TestCase):
    """What becomes of tasks while room is reserved for a job."""

    def setUp(self) -> None:
        """Set up a job with a reservation on the only executor, which is full."""
        self.owner = FairOwner("i-0")
        self.owner.submit("a", small(estimate_ms=5_000))
        self.owner.place()
        self.owner.submit("a", large())
        for _ in range(47):
            self.owner.tick(0.1)
            self.owner.place()
        self.assertEqual(len(self.owner.policy._reservations), 1)

    def test_a_task_that_fails_on_reserved_room_starts_again(self) -> None:
        """Guards against a task that counts as waiting after its start and is never placed again."""
        runs: list[Run] = []
        for _ in range(20):
            self.owner.tick(0.1)
            for run in tuple(self.owner.executor().runs.values()):
                if run.task.spec.cpu_millis < 16000 and self.owner.now - run.ordered_at >= 5.0:
                    self.owner.end("i-0", run.task.name, run.attempt, EndReason.DONE)
                    self.owner.poll()
            runs.extend(self.owner.place())
        (run,) = runs
        self.owner.end("i-0", run.task.name, run.attempt, EndReason.LAPSED)
        self.owner.poll()
        self.assertEqual([again.attempt for again in self.owner.place()], [2])

    def test_a_long_running_task_takes_reserved_room(self) -> None:
        """Guards against a service that stays away for as long as a reservation stands."""
        self.owner.submit("a", step(cpu_millis=1000, long_running=True))
        self.assertEqual([run.task.spec.long_running for run in self.owner.place()], [True])


class ReservationEndTest(unittest.TestCase):
    """What ends a reservation."""

    def setUp(self) -> None:
        self.owner = FairOwner("i-0", "i-1")
        self.owner.scheduler.register(registration("i-1", draining=True), self.owner.now)
        self.owner.submit("a", small(estimate_ms=5000))
        (self.blocking,) = self.owner.place()
        self.waiting = self.owner.submit("a", large())
        for _ in range(46):
            self.owner.tick(0.1)
            self.owner.place()
        self.assertEqual(len(self.owner.policy._reservations), 1)

    def _outcomes(self) -> list[ReservationOutcome]:
        notes = self.owner.scheduler.take_notes()
        self.assertTrue(any(isinstance(note, ReservationMade) for note in notes))
        return [note.reason for note in notes if isinstance(note, ReservationDropped)]

    def test_its_tasks_were_started(self) -> None:
        """Guards against a reservation that goes on after its job was placed."""
        self.owner.finish(self.blocking)
        self.owner.poll()
        self.owner.tick(0.1)
        self.assertEqual(len(self.owner.place()), 1)
        self.assertEqual(len(self.owner.policy._reservations), 0)
        self.assertEqual(self._outcomes(), [ReservationOutcome.USED])

    def test_its_job_was_cancelled(self) -> None:
        """Guards against room that is kept for a job that is over."""
        self.owner.scheduler.cancel(self.waiting.job, self.owner.now, self.waiting.accepted_ms)
        self.assertEqual(self._outcomes(), [ReservationOutcome.JOB_OVER])

    def test_its_executor_left(self) -> None:
        """Guards against a job that waits for an executor that takes no new work."""
        self.owner.scheduler.register(registration("i-0", draining=True), self.owner.now)
        self.owner.tick(0.1)
        self.assertEqual(self._outcomes(), [ReservationOutcome.EXECUTOR_LEFT])

    def test_its_room_is_not_free_in_time(self) -> None:
        """Guards against a job that waits for a run that never ends while others end elsewhere."""
        self.owner.scheduler.register(registration("i-1"), self.owner.now)
        self.owner.submit("a", small(estimate_ms=7000))
        self.owner.tick(0.1)
        self.assertEqual(len(self.owner.place()), 1)
        for number in range(65):
            self.owner.tick(0.1)
            self.owner.poll("i-0", row(self.blocking, percent=10 + number))
        self.assertEqual(self._outcomes(), [ReservationOutcome.OVERDUE])
        kept = next(iter(self.owner.policy._reservations))
        self.assertEqual(kept.executor.executor, "i-1")


class ReservationStateMachineTest(unittest.TestCase):
    """Reservations under any order of events."""

    @settings(max_examples=40)
    @given(
        st.lists(
            st.tuples(st.integers(0, 6), st.integers(1, 4), st.integers(200, 4000)), max_size=50
        )
    )
    def test_no_reservation_outlives_its_job(self, events: list[tuple[int, int, int]]) -> None:
        """Guards against reservations that nobody uses, and executors with more than their room."""
        owner, runs = FairOwner("i-0", "i-1"), list[Run]()
        specs = []
        for kind, size, value in events:
            if kind <= 2:
                cpu_millis = 4000 * size
                change = {"cpu_millis": cpu_millis, "estimate_ms": value, "count": 1 + value % 3}
                specs.append(owner.submit("ab"[kind % 2], replace(small(), **change)))  # type: ignore[arg-type]
            elif kind == 3 and specs:
                spec = specs[value % len(specs)]
                owner.scheduler.cancel(spec.job, owner.now, spec.accepted_ms)
            elif kind == 4 and runs:
                run = runs.pop(value % len(runs))
                reason = EndReason.DONE if value % 4 else EndReason.FAILED
                owner.end(run.executor.executor, run.task.name, run.attempt, reason)
                owner.poll(
                    run.executor.executor,
                    *(row(other) for other in run.executor.runs.values() if other is not run),
                )
            else:
                owner.tick(value / 1000)
            runs.extend(owner.place())
            for kept in owner.policy._reservations:
                self.assertFalse(kept.job.state.is_final)
                self.assertGreater(kept.tasks, 0)
            self.assertLessEqual(len(owner.policy._reservations), 1)
            for executor in owner.scheduler.executors.values():
                self.assertGreaterEqual(executor.free_cpu_millis, 0)
